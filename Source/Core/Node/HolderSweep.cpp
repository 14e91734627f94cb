#include "Node/HolderSweep.h"

#include <utility>

#include "Budget/BudgetRows.h"

namespace {

// A fleet of 340 nodes has a few hundred rows of about 100 bytes. One page a
// minute costs each node about 330 B/s and covers all rows in two minutes.
constexpr std::chrono::seconds kScanInterval(60);
constexpr std::uint32_t kScanPageSize = 200;
// The host list lags behind, so a new node may be missing from it for a while
// and must not count as gone at once.
constexpr std::chrono::seconds kUnknownNodeGracePeriod(60);

} // namespace

holder_sweep::holder_sweep(table_service& aTable,
                           const time_source& aTime,
                           gone_callback aOnHolderGone)
  : mTable(aTable)
  , mTime(aTime)
  , mOnHolderGone(std::move(aOnHolderGone))
{
}

void holder_sweep::Tick(time_point aNow)
{
  if (mScanPending || aNow < mNextScan) {
    return;
  }
  mScanPending = true;
  mNextScan = aNow + kScanInterval;
  mTable.Scan(
    { std::string(kHolderPrefix), mScanCursor, kScanPageSize },
    [this](const result<std::vector<table_row>, table_error>& aReply) {
      mScanPending = false;
      if (aReply.has_value()) {
        HandlePage(aReply.value());
      }
    });
}

void holder_sweep::SetMembers(const std::vector<member>& aMembers)
{
  mMembers.clear();
  for (const member& member : aMembers) {
    mMembers.emplace(member.mId, member);
  }
}

void holder_sweep::HandlePage(const std::vector<table_row>& aRows)
{
  const time_point now = mTime.Now();
  for (const table_row& row : aRows) {
    const auto holder = ParseHolderKey(row.mKey);
    if (holder && IsGone(*holder, now)) {
      mOnHolderGone(*holder);
    }
  }
  mScanCursor =
    aRows.size() < kScanPageSize ? std::string() : aRows.back().mKey;
}

bool holder_sweep::IsGone(const incarnation_id& aHolder, time_point aNow)
{
  const auto found = mMembers.find(aHolder.mNode);
  if (found == mMembers.end()) {
    const auto entry =
      mGraceDeadlines.try_emplace(aHolder, aNow + kUnknownNodeGracePeriod);
    return aNow >= entry.first->second;
  }
  mGraceDeadlines.erase(aHolder);
  const member& member = found->second;
  if (member.mIncarnation > aHolder.mIncarnation) {
    return true;
  }
  return member.mIncarnation == aHolder.mIncarnation &&
         member.mState == member_state::Dead;
}
