#include "Gateway/TableFollower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Common/Log.h"

namespace {

using std::chrono::milliseconds;

// Delay after a failed call, doubled with each further one up to four times
// this. It is short because rows that expired during an outage are restored
// within two seconds after it.
constexpr milliseconds kFirstPause(100);
constexpr unsigned kMostDoublings = 2;
// For this long after a failed call the removal of a row may be an effect of
// the outage; the platform restores such rows within two seconds.
constexpr milliseconds kDoubtAfterOutage(3500);

} // namespace

table_follower::table_follower(row_store& aStore,
                               const time_source& aTime,
                               std::string aTable,
                               milliseconds aWait,
                               milliseconds aPause,
                               listener& aListener)
  : mStore(aStore)
  , mTime(aTime)
  , mTable(std::move(aTable))
  , mWait(aWait)
  , mPause(aPause)
  , mListener(aListener)
{
}

table_follower::~table_follower()
{
  *mAlive = false;
}

void table_follower::Start()
{
  ReadFrom({});
}

void table_follower::Seed(const stored_row& aRow)
{
  const auto known = mRows.find(aRow.mKey);
  if ((!mRead || mLost) &&
      (known == mRows.end() || known->second.mVersion < aRow.mVersion)) {
    mRows[aRow.mKey] = aRow;
    mListener.OnRow(aRow);
  }
}

void table_follower::ReadFrom(const std::string& aFrom)
{
  if (aFrom.empty()) {
    mReading.clear();
    mReadVersion = 0;
  }
  mStore.Read(mTable, {}, aFrom, [this, alive = mAlive](auto aPage) {
    if (*alive) {
      OnPage(std::move(aPage));
    }
  });
}

void table_follower::OnPage(result<row_page, row_store_error> aPage)
{
  if (!aPage.has_value()) {
    Retry(aPage.error());
    return;
  }
  NoteContact();
  const row_page& page = aPage.value();
  // Changes between the pages are found because polling starts at the version
  // of the first page.
  if (mReadVersion == 0) {
    mReadVersion = page.mVersion;
  }
  for (const stored_row& row : page.mRows) {
    mReading[row.mKey] = row;
  }
  if (page.mMore && !page.mRows.empty()) {
    // The smallest key after the last one of the page.
    ReadFrom(page.mRows.back().mKey.mKey + '\0');
    return;
  }
  FinishRead();
}

void table_follower::FinishRead()
{
  std::vector<row_key> gone;
  for (const auto& [key, row] : mRows) {
    if (!mReading.contains(key)) {
      gone.push_back(key);
    }
  }
  for (const row_key& key : gone) {
    Drop(key);
  }
  for (const auto& [key, row] : mReading) {
    Take(row);
  }
  mReading.clear();
  mVersion = std::max(mVersion, mReadVersion);
  mReadAgain = false;
  if (!std::exchange(mRead, true)) {
    mListener.OnTableRead();
  }
  Continue(mPause);
}

void table_follower::FollowChanges()
{
  mStore.Follow(mTable, mVersion, mWait, [this, alive = mAlive](auto aPage) {
    if (*alive) {
      OnChanges(std::move(aPage));
    }
  });
}

void table_follower::OnChanges(result<row_page, row_store_error> aPage)
{
  if (!aPage.has_value()) {
    if (aPage.error() == row_store_error::HistoryLost) {
      mReadAgain = true;
      Log(log_level::Info, "store_history_lost", { Field("table", mTable) });
      Continue(milliseconds(0));
      return;
    }
    Retry(aPage.error());
    return;
  }
  NoteContact();
  for (const stored_row& row : aPage.value().mRows) {
    if (row.mRemoved) {
      Drop(row.mKey);
    } else {
      Take(row);
    }
  }
  mVersion = std::max(mVersion, aPage.value().mVersion);
  Continue(mPause);
}

void table_follower::Take(const stored_row& aRow)
{
  const auto known = mRows.find(aRow.mKey);
  if (known != mRows.end() && known->second.mVersion >= aRow.mVersion) {
    return;
  }
  mRows[aRow.mKey] = aRow;
  mListener.OnRow(aRow);
}

void table_follower::Drop(const row_key& aKey)
{
  if (mRows.erase(aKey) > 0) {
    mListener.OnRowRemoved(aKey, Doubtful());
  }
}

bool table_follower::Doubtful() const
{
  return mLastFailure != time_point() &&
         mTime.Now() < mLastFailure + kDoubtAfterOutage;
}

void table_follower::NoteContact()
{
  mLastContact = mTime.Now();
  mFailures = 0;
  if (std::exchange(mLost, false)) {
    Log(log_level::Info, "store_regained", { Field("table", mTable) });
  }
}

void table_follower::Retry(row_store_error aError)
{
  mLastFailure = mTime.Now();
  if (!std::exchange(mLost, true)) {
    Log(log_level::Warning,
        "store_lost",
        { Field("table", mTable),
          Field("error", RowStoreErrorName(aError)),
          Field("version", mVersion) });
  }
  const unsigned doublings = std::min(mFailures++, kMostDoublings);
  Continue(kFirstPause * (1U << doublings));
}

void table_follower::Continue(milliseconds aDelay)
{
  mTimer.Once(aDelay, [this] {
    if (mReadAgain) {
      ReadFrom({});
    } else {
      FollowChanges();
    }
  });
}
