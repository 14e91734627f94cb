#include "Gateway/TableFollower.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "Common/Log.h"
#include "Gateway/StoreEra.h"

namespace {

using std::chrono::milliseconds;

// Delay after a failed call, doubled with each further one up to four times
// this. It is short because rows that expired during an outage are restored
// within two seconds after it.
constexpr milliseconds kInitialRetryDelay(100);
constexpr unsigned kMaxDoublings = 2;
// Time in which the owners of rows write again what a restored store lacks.
// Servers write their entries every 1.2 s.
constexpr milliseconds kRewriteTime(4000);
// Limit of the rows that are remembered as removed.
constexpr std::size_t kMaxRemovedRows = 4096;

} // namespace

table_follower::table_follower(row_store& aStore,
                               const time_source& aTime,
                               std::string aTable,
                               milliseconds aLongPollTime,
                               milliseconds aPollInterval,
                               listener& aListener,
                               std::size_t aMaxValueBytes)
  : mStore(aStore)
  , mTime(aTime)
  , mTable(std::move(aTable))
  , mLongPollTime(aLongPollTime)
  , mPollInterval(aPollInterval)
  , mListener(aListener)
  , mMaxValueBytes(aMaxValueBytes)
{
}

table_follower::~table_follower()
{
  *mAlive = false;
}

void table_follower::Start()
{
  RequestPage({});
}

void table_follower::AddPeerRow(const stored_row& aRow, std::uint64_t aEra)
{
  if (mEra == 0 && !mLoaded) {
    mEra = aEra;
  }
  if (aEra != RowEra()) {
    return;
  }
  const auto existing = mRows.find(aRow.mKey);
  if ((!mLoaded || mStoreUnreachable) &&
      (existing == mRows.end() || existing->second.mVersion < aRow.mVersion)) {
    mListener.OnRow(mRows[aRow.mKey] = LimitValue(aRow));
  }
}

table_copy table_follower::Copy() const
{
  table_copy copy{ RowEra(), Version(), mCurrentAt, {} };
  copy.mRows.reserve(mRows.size());
  for (const auto& [key, row] : mRows) {
    copy.mRows.push_back(row);
  }
  return copy;
}

void table_follower::ApplyPeerCopy(const table_copy& aCopy)
{
  if (std::pair(aCopy.mEra, aCopy.mVersion) < std::pair(mEra, Version()) ||
      aCopy.mCurrentAt <= mCurrentAt) {
    return;
  }
  const bool restored = aCopy.mEra > mEra && mEra != 0;
  if (restored) {
    ForgetVersions();
  }
  mEra = std::max(mEra, aCopy.mEra);
  std::set<row_key> present;
  for (const stored_row& row : aCopy.mRows) {
    present.insert(row.mKey);
    ApplyRow(row);
  }
  std::vector<row_key> removedKeys;
  for (const auto& [key, row] : mRows) {
    if ((restored || row.mVersion <= aCopy.mVersion) &&
        !present.contains(key)) {
      removedKeys.push_back(key);
    }
  }
  for (const row_key& key : removedKeys) {
    RemoveRow(key);
  }
  mPeerVersion = aCopy.mVersion;
  mCurrentAt = aCopy.mCurrentAt;
}

void table_follower::RequestPage(const std::string& aFrom)
{
  mCallStartedAt = mTime.Now();
  if (aFrom.empty()) {
    mIncomingRows.clear();
    mReadStartVersion = 0;
  }
  mStore.Read(mTable, {}, aFrom, [this, alive = mAlive](auto aPage) {
    if (*alive) {
      OnPage(std::move(aPage));
    }
  });
}

void table_follower::ForgetVersions()
{
  mEraOfRows = RowEra();
  mVersion = 0;
  mPeerVersion = 0;
  mFullReadNeeded = true;
  mRestored = true;
}

bool table_follower::StartsOver()
{
  const std::uint64_t era = mStore.Era();
  if (era <= mEra) {
    return false;
  }
  if (mEra == 0 && !mLoaded) {
    mEra = era;
    return false;
  }
  Log(log_level::Warning,
      "table_read_again",
      { Field("table", mTable),
        Field("era", era),
        Field("version", mVersion),
        Field("rows", mRows.size()) });
  ForgetVersions();
  mEra = era;
  ScheduleNextCall(milliseconds(0));
  return true;
}

void table_follower::OnPage(result<row_page, row_store_error> aPage)
{
  if (StartsOver()) {
    return;
  }
  if (!aPage.has_value()) {
    ScheduleRetry(aPage.error());
    return;
  }
  RecordContact();
  const row_page& page = aPage.value();
  // Changes between the pages are found because polling starts at the version
  // of the first page.
  if (mReadStartVersion == 0) {
    mReadStartVersion = page.mVersion;
    mReadStartedAt = page.mReadAt.value_or(mCallStartedAt);
  }
  for (const stored_row& row : page.mRows) {
    mIncomingRows[row.mKey] = LimitValue(row);
  }
  if (page.mHasMore && !page.mRows.empty()) {
    // The smallest key after the last one of the page.
    RequestPage(page.mRows.back().mKey.mKey + '\0');
    return;
  }
  FinishRead();
}

void table_follower::FinishRead()
{
  std::vector<row_key> removedKeys;
  for (auto& [key, row] : mRows) {
    if (mIncomingRows.contains(key)) {
      continue;
    }
    if (mRestored) {
      mMissingRows.insert(key);
      // It may be written again under any version of the new era.
      row.mVersion = 0;
    } else if (!mMissingRows.contains(key)) {
      removedKeys.push_back(key);
    }
  }
  for (const row_key& key : removedKeys) {
    RemoveRow(key);
  }
  mPeerVersion = 0;
  if (mRestored) {
    mMissingKeptUntil = mTime.Now() + kRewriteTime;
  }
  for (const auto& [key, row] : mIncomingRows) {
    ApplyRow(row);
  }
  mRestored = false;
  mIncomingRows.clear();
  mVersion = std::max(mVersion, mReadStartVersion);
  mCurrentAt = std::max(mCurrentAt, mReadStartedAt);
  mFullReadNeeded = false;
  if (!std::exchange(mLoaded, true)) {
    mListener.OnTableLoaded();
  }
  ScheduleNextCall(mPollInterval);
}

void table_follower::FollowChanges()
{
  mCallStartedAt = mTime.Now();
  mStore.ReadChanges(
    mTable, mVersion, mLongPollTime, [this, alive = mAlive](auto aPage) {
      if (*alive) {
        OnChanges(std::move(aPage));
      }
    });
}

void table_follower::OnChanges(result<row_page, row_store_error> aPage)
{
  if (StartsOver()) {
    return;
  }
  if (!aPage.has_value()) {
    if (aPage.error() == row_store_error::HistoryLost) {
      mFullReadNeeded = true;
      Log(log_level::Info, "store_history_lost", { Field("table", mTable) });
      ScheduleNextCall(milliseconds(0));
      return;
    }
    ScheduleRetry(aPage.error());
    return;
  }
  RecordContact();
  for (const stored_row& row : aPage.value().mRows) {
    // The store reports the changes of all parts of the table.
    if (!row.mKey.mPartition.empty()) {
      continue;
    }
    if (row.mRemoved) {
      RemoveRow(row.mKey);
    } else {
      ApplyRow(row);
    }
  }
  mVersion = std::max(mVersion, aPage.value().mVersion);
  mCurrentAt =
    std::max(mCurrentAt, aPage.value().mReadAt.value_or(mCallStartedAt));
  RemoveMissing();
  ScheduleNextCall(mPollInterval);
}

void table_follower::RemoveMissing()
{
  if (mMissingRows.empty() || mTime.Now() < mMissingKeptUntil) {
    return;
  }
  Log(log_level::Info,
      "rows_not_written_again",
      { Field("table", mTable), Field("rows", mMissingRows.size()) });
  for (const row_key& key : std::exchange(mMissingRows, {})) {
    RemoveRow(key);
  }
}

bool table_follower::WasRemoved(const stored_row& aRow) const
{
  const auto found = mRemovedRows.find(aRow.mKey);
  return found != mRemovedRows.end() &&
         found->second.mRow.mVersion == aRow.mVersion &&
         found->second.mRow.mValue == aRow.mValue &&
         mTime.Now() <= found->second.mRemovedAt + kMaxStoreCopyAge;
}

void table_follower::RecordRemoval(const stored_row& aRow)
{
  const time_point now = mTime.Now();
  if (mRemovedRows.size() >= kMaxRemovedRows) {
    std::erase_if(mRemovedRows, [now](const auto& aPair) {
      return now > aPair.second.mRemovedAt + kMaxStoreCopyAge;
    });
  }
  if (mRemovedRows.size() < kMaxRemovedRows) {
    mRemovedRows[aRow.mKey] = { aRow, now };
  }
}

stored_row table_follower::LimitValue(const stored_row& aRow) const
{
  return aRow.mValue.size() <= mMaxValueBytes
           ? aRow
           : stored_row{ aRow.mKey, {}, aRow.mVersion, aRow.mRemoved };
}

void table_follower::ApplyRow(const stored_row& aRow)
{
  mMissingRows.erase(aRow.mKey);
  const auto existing = mRows.find(aRow.mKey);
  if (mRestored) {
    if (existing == mRows.end() && WasRemoved(aRow)) {
      return;
    }
  } else {
    const std::uint64_t known =
      existing == mRows.end() ? mPeerVersion : existing->second.mVersion;
    if (known >= aRow.mVersion) {
      return;
    }
  }
  mListener.OnRow(mRows[aRow.mKey] = LimitValue(aRow));
}

void table_follower::RemoveRow(const row_key& aKey)
{
  const auto found = mRows.find(aKey);
  if (found != mRows.end()) {
    RecordRemoval(found->second);
    mRows.erase(found);
    mListener.OnRowRemoved(aKey);
  }
}

void table_follower::RecordContact()
{
  mLastContact = mTime.Now();
  mFailures = 0;
  if (std::exchange(mStoreUnreachable, false)) {
    Log(log_level::Info, "store_regained", { Field("table", mTable) });
  }
}

void table_follower::ScheduleRetry(row_store_error aError)
{
  if (!std::exchange(mStoreUnreachable, true)) {
    Log(log_level::Warning,
        "store_lost",
        { Field("table", mTable),
          Field("error", RowStoreErrorName(aError)),
          Field("version", mVersion) });
  }
  const unsigned doublings = std::min(mFailures++, kMaxDoublings);
  ScheduleNextCall(kInitialRetryDelay * (1U << doublings));
}

void table_follower::ScheduleNextCall(milliseconds aDelay)
{
  mTimer.Once(aDelay, [this] {
    if (mFullReadNeeded) {
      RequestPage({});
    } else {
      FollowChanges();
    }
  });
}
