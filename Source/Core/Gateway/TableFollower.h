#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/EventLoop.h"
#include "Common/Time.h"
#include "Remote/RowStore.h"

/// Copy of a table that another node holds.
struct table_copy
{
  /// Era of the store that gave the version; 0 if not known.
  std::uint64_t mEra = 0;
  /// Version of the store up to which the copy holds all changes.
  std::uint64_t mVersion = 0;
  /// Local time at which the copy was current, at the earliest.
  time_point mCurrentAt;
  std::vector<stored_row> mRows;
};

/// Copies of tables by their names.
using state_snapshot = std::map<std::string, table_copy>;

/// Keeps a copy of the rows with an empty part of one table of the store: reads
/// it whole once, then polls its changes, and reads it again if the store has
/// dropped its change history, or came back from an older copy of its rows.
///
/// The owners of rows write again what such a copy lacks. Until then known rows
/// that are missing are kept, and rows that had been removed stay so. The
/// listener is told of rows as the copy has them, which may be older than what
/// it was told before; it goes by what the rows themselves say of their order.
class table_follower
{
public:
  class listener
  {
  public:
    virtual ~listener() = default;
    virtual void OnRow(const stored_row& aRow) = 0;
    /// The row was removed, after the time that `CurrentAt` tells.
    virtual void OnRowRemoved(const row_key& aKey) = 0;
    /// The whole table was read for the first time.
    virtual void OnTableLoaded() {}
  };

  /// Rows with a larger value than `aMaxValueBytes` are kept without it.
  /// `aLongPollTime` is the time for which the store may hold a call for
  /// changes (long poll), `aPollInterval` the delay between calls.
  table_follower(
    row_store& aStore,
    const time_source& aTime,
    std::string aTable,
    std::chrono::milliseconds aLongPollTime,
    std::chrono::milliseconds aPollInterval,
    listener& aListener,
    std::size_t aMaxValueBytes = std::numeric_limits<std::size_t>::max());
  ~table_follower();
  table_follower(const table_follower&) = delete;
  table_follower& operator=(const table_follower&) = delete;

  void Start();
  /// Whether the whole table was read from the store.
  bool IsLoaded() const { return mLoaded; }
  /// Whether the last call failed.
  bool StoreUnreachable() const { return mStoreUnreachable; }
  /// Time of the last successful call.
  time_point LastContact() const { return mLastContact; }
  /// Known rows, including those from the snapshot of another node.
  const std::map<row_key, stored_row>& Rows() const { return mRows; }
  /// Local time at which the copy was current, at the earliest; it says nothing
  /// about changes after it.
  time_point CurrentAt() const { return mCurrentAt; }
  /// Version of the store up to which the copy holds all changes.
  std::uint64_t Version() const { return std::max(mVersion, mPeerVersion); }
  /// Replaces the copy by one of another node, also with what was removed,
  /// unless the own one is newer.
  void ApplyPeerCopy(const table_copy& aCopy);
  /// The copy, for another node.
  table_copy Copy() const;
  /// Applies a newer row from another node; ignored while the store can be
  /// read, and if the other node read it in another era than the own rows.
  void AddPeerRow(const stored_row& aRow, std::uint64_t aEra);

private:
  /// A row that was removed, as it was.
  struct removed_row
  {
    stored_row mRow;
    time_point mRemovedAt;
  };

  /// Drops what the versions of an earlier era tell; the next call reads the
  /// table again.
  void ForgetVersions();
  /// Era in which the rows were read: an earlier one than that of the store
  /// until the table has been read again.
  std::uint64_t RowEra() const { return mRestored ? mEraOfRows : mEra; }
  /// Reads the table again and returns true if the store has entered a new era.
  bool StartsOver();
  /// Whether a row of the copy was removed after the copy was taken.
  bool WasRemoved(const stored_row& aRow) const;
  void RecordRemoval(const stored_row& aRow);
  /// Removes the rows that their owners did not write again.
  void RemoveMissing();
  void RequestPage(const std::string& aFrom);
  void OnPage(result<row_page, row_store_error> aPage);
  void FinishRead();
  void FollowChanges();
  void OnChanges(result<row_page, row_store_error> aPage);
  void ScheduleRetry(row_store_error aError);
  stored_row LimitValue(const stored_row& aRow) const;
  void ApplyRow(const stored_row& aRow);
  void RemoveRow(const row_key& aKey);
  void ScheduleNextCall(std::chrono::milliseconds aDelay);
  void RecordContact();

  row_store& mStore;
  const time_source& mTime;
  std::string mTable;
  std::chrono::milliseconds mLongPollTime;
  std::chrono::milliseconds mPollInterval;
  listener& mListener;
  std::size_t mMaxValueBytes;
  loop_timer mTimer;
  std::map<row_key, stored_row> mRows;
  std::map<row_key, stored_row> mIncomingRows;
  /// Rows that the copy of a restored store lacks, and until when they are
  /// kept.
  std::set<row_key> mMissingRows;
  time_point mMissingKeptUntil;
  std::map<row_key, removed_row> mRemovedRows;
  /// Era of the store to which the versions belong.
  std::uint64_t mEra = 0;
  /// See `RowEra`; valid while `mRestored`.
  std::uint64_t mEraOfRows = 0;
  /// The rows of the next full read replace newer ones of an earlier era.
  bool mRestored = false;
  std::uint64_t mReadStartVersion = 0;
  std::uint64_t mVersion = 0;
  /// Version of the newest copy of another node; rows up to it that are not in
  /// `mRows` were removed.
  std::uint64_t mPeerVersion = 0;
  time_point mCallStartedAt;
  time_point mReadStartedAt;
  time_point mCurrentAt;
  bool mLoaded = false;
  bool mFullReadNeeded = true;
  bool mStoreUnreachable = false;
  unsigned mFailures = 0;
  time_point mLastContact;
  /// Set to false by the destructor; replies that arrive later are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};
