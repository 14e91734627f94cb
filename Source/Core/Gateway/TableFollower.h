#pragma once

#include <functional>
#include <map>
#include <string>

#include "Common/EventLoop.h"
#include "Common/Time.h"
#include "Remote/RowStore.h"

/// Keeps a copy of one table of the store: reads it whole once, then polls its
/// changes, and reads it again if the store has dropped its change history.
class table_follower
{
public:
  class listener
  {
  public:
    virtual ~listener() = default;
    virtual void OnRow(const stored_row& aRow) = 0;
    /// The row was removed. `aDoubtful` is true shortly after the store was
    /// unreachable; the row may then come back.
    virtual void OnRowRemoved(const row_key& aKey, bool aDoubtful) = 0;
    /// The whole table was read for the first time.
    virtual void OnTableRead() {}
  };

  /// `aWait` is the time for which the store may hold a call for changes (long
  /// poll), `aPause` the delay between calls.
  table_follower(row_store& aStore,
                 const time_source& aTime,
                 std::string aTable,
                 std::chrono::milliseconds aWait,
                 std::chrono::milliseconds aPause,
                 listener& aListener);
  ~table_follower();
  table_follower(const table_follower&) = delete;
  table_follower& operator=(const table_follower&) = delete;

  void Start();
  /// Whether the whole table was read from the store.
  bool Read() const { return mRead; }
  /// Time of the last successful call.
  time_point LastContact() const { return mLastContact; }
  /// Known rows, including those from the snapshot of another node.
  const std::map<row_key, stored_row>& Rows() const { return mRows; }
  /// Applies a newer row from another node; ignored while the store can be
  /// read.
  void Seed(const stored_row& aRow);

private:
  void ReadFrom(const std::string& aFrom);
  void OnPage(result<row_page, row_store_error> aPage);
  void FinishRead();
  void FollowChanges();
  void OnChanges(result<row_page, row_store_error> aPage);
  void Retry(row_store_error aError);
  void Take(const stored_row& aRow);
  void Drop(const row_key& aKey);
  void Continue(std::chrono::milliseconds aDelay);
  bool Doubtful() const;
  void NoteContact();

  row_store& mStore;
  const time_source& mTime;
  std::string mTable;
  std::chrono::milliseconds mWait;
  std::chrono::milliseconds mPause;
  listener& mListener;
  loop_timer mTimer;
  std::map<row_key, stored_row> mRows;
  std::map<row_key, stored_row> mReading;
  std::uint64_t mReadVersion = 0;
  std::uint64_t mVersion = 0;
  bool mRead = false;
  bool mReadAgain = true;
  bool mLost = false;
  unsigned mFailures = 0;
  time_point mLastContact;
  time_point mLastFailure;
  /// Set to false by the destructor; replies that arrive later are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};
