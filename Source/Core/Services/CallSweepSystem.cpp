#include "Services/CallSweepSystem.h"

#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Services/ServiceCall.h"

namespace {

constexpr std::string_view kPrefix = "call/";

} // namespace

call_sweep_system::call_sweep_system(incarnation_id aSelf,
                                     call_sweep_settings aSettings)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
{
}

call_sweep_output call_sweep_system::Tick(time_point aNow, wall_time aWallNow)
{
  call_sweep_output work;
  if (mRequestInFlight) {
    return work;
  }
  if (!mRows.empty()) {
    work.mCommit = BuildCleanupTransaction(aWallNow);
  } else if (!mNextPage || *mNextPage <= aNow) {
    mNextPage = aNow + mSettings.mPageInterval;
    work.mScan =
      table_scan{ std::string(kPrefix), mLastKey, mSettings.mPageSize };
  }
  mRequestInFlight = work.mCommit.has_value() || work.mScan.has_value();
  return work;
}

void call_sweep_system::OnScan(
  const result<std::vector<table_row>, table_error>& aReply)
{
  mRequestInFlight = false;
  if (!aReply.has_value()) {
    ++mCounters.mFailures;
    return;
  }
  ++mCounters.mPages;
  mRows = aReply.value();
  const bool last = mRows.size() < mSettings.mPageSize;
  mLastKey = last ? std::string() : mRows.back().mKey;
}

void call_sweep_system::OnCommit(
  const result<commit_reply, table_error>& aReply)
{
  mRequestInFlight = false;
  // Rows whose change failed are read again in the next round.
  const bool committed = aReply.has_value() && aReply.value().mCommitted;
  mCounters.mFailures += committed ? 0 : 1;
}

// Every write is conditional on the version that was read, so a row that an
// attempt reopened in the meantime stays unchanged.
std::optional<table_transaction> call_sweep_system::BuildCleanupTransaction(
  wall_time aWallNow)
{
  table_transaction transaction;
  for (const table_row& row : std::exchange(mRows, {})) {
    auto call = ParseCallRow(row.mValue);
    if (!call.has_value()) {
      continue;
    }
    std::optional<std::string> value;
    if (call.value().mDeadline + mSettings.mRowRetention <= aWallNow &&
        call.value().mExpires <= aWallNow) {
      ++mCounters.mDeleted;
    } else if (call.value().mResponse && call.value().mExpires <= aWallNow) {
      ++mCounters.mAnswersRemoved;
      call.value().mResponse.reset();
      value = FormatCallRow(call.value());
    } else {
      continue;
    }
    transaction.mConditions.push_back({ row.mKey, row.mVersion });
    transaction.mWrites.push_back({ row.mKey, std::move(value) });
  }
  if (transaction.mWrites.empty()) {
    return std::nullopt;
  }
  const std::string name =
    fmt::format("call-sweep/{}/{}", FormatIncarnation(mSelf), ++mTransactions);
  transaction.mId = { StableHash(name), StableHash(name, 1) };
  return transaction;
}
