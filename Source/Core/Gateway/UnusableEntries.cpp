#include "Gateway/UnusableEntries.h"

#include "Common/Log.h"

namespace {

constexpr std::chrono::seconds kPeriod(1);
constexpr unsigned kMaxLinesPerPeriod = 5;

} // namespace

void unusable_entries::OnEntry(const stored_row& aRow, time_point aNow)
{
  ++mCount;
  mMetrics.OnUnusableEntry();
  if (aNow >= mPeriodEnd) {
    mPeriodEnd = aNow + kPeriod;
    mLines = 0;
  }
  if (++mLines > kMaxLinesPerPeriod) {
    ++mNotLogged;
    return;
  }
  Log(log_level::Info,
      "server_entry_unusable",
      { Field("server", aRow.mKey.mKey), Field("version", aRow.mVersion) });
}

void unusable_entries::OnTick(time_point aNow)
{
  if (mNotLogged == 0 || aNow < mPeriodEnd) {
    return;
  }
  Log(log_level::Warning,
      "server_entries_not_logged",
      { Field("entries", mNotLogged), Field("unusable", mCount) });
  mNotLogged = 0;
}
