#pragma once

#include <functional>
#include <map>
#include <string>

#include "Common/EventLoop.h"
#include "Common/Time.h"
#include "Remote/RowStore.h"

/// Follows one table of the store: reads it whole once, then its changes, and
/// reads it again when the store lost the changes.
class table_follower
{
public:
  class listener
  {
  public:
    virtual ~listener() = default;
    virtual void OnRow(const stored_row& aRow) = 0;
    /// The row is gone. `aDoubtful` when the store was out of reach shortly
    /// before, so that the removal may be taken back.
    virtual void OnRowRemoved(const row_key& aKey, bool aDoubtful) = 0;
    /// The table was read whole for the first time since the start.
    virtual void OnTableRead() {}
  };

  /// `aWait` is how long the store may hold a call for changes, `aPause` the
  /// time between calls.
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
  /// Whether the table was read whole from the store.
  bool Read() const { return mRead; }
  /// Last successful call.
  time_point LastContact() const { return mLastContact; }
  /// Rows as known, also from a snapshot of another node.
  const std::map<row_key, stored_row>& Rows() const { return mRows; }
  /// A row from another node, used while the store cannot be read.
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
  /// Guards replies that come after the destruction.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};
