#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Budget/BudgetTypes.h"

/// The grants, reservations and charges of one holder. It does no I/O: the node
/// sends what `Tick` returns and passes the replies in. Table calls and hold
/// messages always get a reply, at the latest a timeout.
///
/// The first transaction writes the holder row. At most one transaction is in
/// flight; it is sent again with the same id until its outcome is known.
class budget_system
{
public:
  budget_system(incarnation_id aSelf,
                const budget_settings& aSettings,
                std::uint64_t aSeed);

  /// Reserves tokens for a request before it is dispatched.
  result<void, budget_error> Reserve(const request_id& aRequest,
                                     const account_id& aAccount,
                                     const budget_id& aBudget,
                                     std::int64_t aTokens,
                                     time_point aNow);
  /// Replaces the reservation of a finished request by a charge of the smaller
  /// of used and reserved tokens. A negative `aUsedTokens` means that the usage
  /// is unknown; then the whole reservation is charged.
  void Settle(const request_id& aRequest,
              std::int64_t aUsedTokens,
              wall_time aAt,
              time_point aNow);
  /// Cancels the reservation of a request that was not executed.
  void Release(const request_id& aRequest, time_point aNow);
  /// Returns whether a live backup or the table service has the charge of a
  /// settled request, so that the node may send the last byte of the response.
  /// Also true for a request that this node does not know.
  bool IsChargeProtected(const request_id& aRequest) const;
  /// Returns whether the request has a charge that is not written yet.
  bool HasUnwrittenCharge(const request_id& aRequest) const
  {
    return mCharges.count(aRequest) > 0;
  }
  /// Returns whether a backup or the table service is reachable, so that a new
  /// charge would not be lost with this process.
  bool CanProtectCharges() const;
  /// Counts a response that the node finished while `CanProtectCharges()` was
  /// false.
  void CountUnprotectedDelivery() { ++mCounters.mUnprotectedDeliveries; }

  /// Returns the calls and messages that are due.
  budget_output Tick(time_point aNow);
  void OnRead(std::uint64_t aId,
              const result<std::vector<table_row>, table_error>& aReply,
              time_point aNow);
  void OnCommit(const transaction_id& aId,
                const result<commit_reply, table_error>& aReply,
                time_point aNow);
  void OnHoldReply(std::uint64_t aId, hold_outcome aOutcome, time_point aNow);

  /// Sets the reachable peers that can be charge backups, preferred ones first.
  void SetBackups(std::vector<incarnation_id> aCandidates);
  /// Membership considers the peer dead, so it is no longer used as a backup.
  void OnHolderDead(const incarnation_id& aHolder, time_point aNow);

  /// Refuses new reservations. The next ticks write the charges, return the
  /// grants and delete the holder row.
  void BeginShutdown(time_point aNow);
  /// Returns whether shutdown or fencing is complete: no request is open and
  /// nothing is left to write.
  bool IsDrained() const;
  /// Returns whether another node closed this holder. New reservations are
  /// refused; an open response can finish once `IsChargeProtected` is true for
  /// it.
  bool IsFenced() const { return mFenced; }
  /// Returns whether the holder row is closed or deleted. Open responses can no
  /// longer be charged and have to be cancelled.
  bool IsHolderClosed() const { return mHolderClosed; }

  const incarnation_id& Self() const { return mSelf; }
  const budget_counters& Counters() const { return mCounters; }
  std::optional<budget_status> Status(const budget_id& aBudget) const;
  std::vector<budget_status> AllBudgetStatus() const;
  std::size_t KnownBudgetCount() const { return mBudgets.size(); }

private:
  /// The segments of a budget that this node has read, to find duplicates.
  struct charge_log
  {
    struct segment
    {
      std::uint64_t mNumber = 0;
      /// Time of the newest charge in the segment.
      wall_time mNewestCharge;
      std::vector<request_id> mRequests;
    };
    /// Number of the first segment that has not been read.
    std::uint64_t mNextUnread = 0;
    std::deque<segment> mSegments;
    std::unordered_set<request_id> mRequests;
  };

  /// A reservation that was refused with `AwaitingGrant`.
  struct waiting_demand
  {
    request_id mRequest;
    std::int64_t mTokens = 0;
    time_point mExpiresAt;
  };

  struct budget_entry
  {
    budget_id mId;
    /// Orders budgets that are due at the same time, so that a run with the
    /// same seed is repeatable.
    std::uint64_t mSerial = 0;
    /// Outstanding grant of this holder when the row was last read or written.
    std::int64_t mGrant = 0;
    std::int64_t mReserved = 0;
    /// Tokens of charges that are not written yet.
    std::int64_t mUnflushed = 0;
    /// Tokens that the transaction in flight returns to the budget.
    std::int64_t mReturningTokens = 0;
    std::int64_t mTotal = 0;
    std::int64_t mSpent = 0;
    std::int64_t mAvailable = 0;
    /// A larger grant is requested when fewer tokens than this are free.
    std::int64_t mRefillThreshold = 0;
    /// Largest recent reservation in tokens, with a slow decay.
    std::int64_t mLargestRequest = 0;
    /// Average use in tokens per second; the tokens used since `mRateSince` are
    /// not included yet.
    double mRate = 0;
    std::int64_t mRateTokens = 0;
    time_point mRateSince;
    time_point mLastUse;
    time_point mLastUpdate;
    time_point mOldestCharge;
    /// Time of the budget's entry in the schedule.
    std::optional<time_point> mDueAt;
    /// Conflicts since the last committed transaction.
    std::uint32_t mConflicts = 0;
    /// The row has been read at least once.
    bool mRowRead = false;
    /// The row does not exist.
    bool mRowMissing = false;
    /// The row or one of its segments could not be read.
    bool mRowUnreadable = false;
    bool mInUpdate = false;
    /// Row version with which the last transaction met a conflict.
    std::optional<std::uint64_t> mConflictVersion;
    std::vector<waiting_demand> mWaiting;
    /// Requests with a charge that is not written yet, oldest first.
    std::vector<request_id> mPending;
    std::unique_ptr<charge_log> mChargeLog;

    /// Tokens of the grant that a new request can reserve.
    std::int64_t FreeTokens() const
    {
      return mGrant - mReserved - mUnflushed - mReturningTokens;
    }
  };

  struct open_reservation
  {
    budget_entry* mBudget = nullptr;
    account_id mAccount;
    std::int64_t mTokens = 0;
    std::uint64_t mFromSegment = 0;
  };

  /// A charge that is not written to the table service yet.
  struct unflushed_charge
  {
    charge mCharge;
    budget_entry* mBudget = nullptr;
    time_point mChargedAt;
    /// Backups that acknowledged the charge, and all that it was sent to.
    std::set<incarnation_id> mHeldBy;
    std::set<incarnation_id> mSentTo;
    bool mHoldInFlight = false;
  };

  /// A hold message without a reply yet.
  struct sent_hold
  {
    incarnation_id mTo;
    std::vector<request_id> mRequests;
    time_point mDeadline;
  };

  enum class update_phase : std::uint8_t
  {
    Idle,
    Rows,
    Segments,
    Commit,
  };

  /// One budget in an update.
  struct update_item
  {
    budget_entry* mBudget = nullptr;
    budget_row mRow;
    std::uint64_t mVersion = 0;
    std::vector<charge> mCharges;
    std::int64_t mNewGrant = 0;
    /// Number of the segment that the transaction writes.
    std::uint64_t mSegment = 0;
    std::uint64_t mUngranted = 0;
    std::uint64_t mUnfunded = 0;
    /// The transaction contains a write of this budget.
    bool mWritten = false;
  };

  /// A read-modify-write cycle over several budgets: reads their rows, then the
  /// segments that this node has not read yet, then commits one transaction.
  /// One update runs at a time.
  struct table_update
  {
    update_phase mPhase = update_phase::Idle;
    std::vector<update_item> mItems;
    bool mReadHolder = false;
    std::uint64_t mReadId = 0;
    std::vector<std::pair<std::size_t, std::uint64_t>> mSegmentsToRead;
    std::size_t mSegmentsRead = 0;
    std::size_t mSegmentsRequested = 0;
    table_transaction mTransaction;
    std::optional<holder_row> mNewHolder;
    bool mDeletesHolder = false;
    bool mCommitDue = false;
    time_point mCommitAt;
  };

  // BudgetSystem.cpp: reservations and the schedule of budgets.
  budget_entry& FindOrCreateEntry(const budget_id& aBudget, time_point aNow);
  budget_error RefuseReservation(budget_entry& aEntry,
                                 const request_id& aRequest,
                                 std::int64_t aTokens,
                                 time_point aNow);
  std::optional<budget_error> CheckNewRequest(const request_id& aRequest) const;
  void RecordUsage(budget_entry& aEntry, std::int64_t aTokens, time_point aNow);
  void Schedule(budget_entry& aEntry, time_point aAt);
  void Unschedule(budget_entry& aEntry);
  void Reschedule(budget_entry& aEntry, time_point aNow);
  bool IsScarce(const budget_entry& aEntry) const;
  bool IsEnding() const { return mShuttingDown || mFenced; }
  void ScheduleAll(time_point aNow);

  // BudgetSystemStore.cpp: updates. BudgetSystemCompose.cpp: their
  // transactions.
  void AdvanceUpdate(time_point aNow);
  bool CanStartUpdate(time_point aNow);
  void SelectBudgets(time_point aNow);
  bool CanForget(budget_entry& aEntry, time_point aNow);
  bool NeedsHolderUpdate() const;
  void SetEntryGrant(budget_entry& aEntry, std::int64_t aGrant);
  void NotifyWaiting(const budget_entry& aEntry);
  void RequestRows(time_point aNow);
  void OnRows(const std::vector<table_row>& aRows, time_point aNow);
  void OnHolderRow(const table_row& aRow, time_point aNow);
  bool LoadRow(update_item& aItem, const table_row& aRow, time_point aNow);
  void AbandonCharges(budget_entry& aEntry);
  void RequestSegments();
  void OnSegments(const std::vector<table_row>& aRows, time_point aNow);
  void AddToLog(budget_entry& aEntry,
                std::uint64_t aNumber,
                const std::vector<charge>& aCharges);
  bool ResolveCharge(const request_id& aRequest, bool aDuplicate);
  void ComposeTransaction(time_point aNow);
  void AddPendingCharges(update_item& aItem, std::size_t aLimit) const;
  std::int64_t ComputeItemGrant(const update_item& aItem,
                                time_point aNow) const;
  void ComposeBudget(update_item& aItem,
                     std::size_t& aCharges,
                     time_point aNow);
  void AdvanceWindow(update_item& aItem) const;
  void ApplyCommittedItem(update_item& aItem, time_point aNow);
  void ComposeHolder();
  void Submit(time_point aNow);
  void OnCommitted(std::uint64_t aVersion, time_point aNow);
  void OnConflict(time_point aNow);
  void FinishUpdate(time_point aNow);
  void OnTableFailure(time_point aNow);
  time_point BackoffEnd(std::uint32_t aFailures, time_point aNow);
  time_point ConflictBackoffEnd(const budget_entry& aEntry, time_point aNow);
  void Fence(time_point aNow);

  // BudgetSystemBackup.cpp: copies of charges at backups.
  bool IsUsableBackup(const incarnation_id& aPeer) const;
  bool HasUsableCopy(const unflushed_charge& aCharge) const;
  std::optional<incarnation_id> PickBackup() const;
  bool HasBackup() const;
  void SendHolds(time_point aNow);
  void ExpireHolds(time_point aNow);
  void Requeue(const std::vector<request_id>& aRequests);
  void RequeueChargesToHold();
  void DropCopies(const unflushed_charge& aCharge);
  std::optional<std::vector<incarnation_id>> NewBackupList() const;
  bool HasChargeOnlyAt(const incarnation_id& aBackup) const;
  void UpdateBackupState(time_point aNow);

  incarnation_id mSelf;
  budget_settings mSettings;
  std::mt19937_64 mRandom;
  budget_counters mCounters;

  std::unordered_map<budget_id, budget_entry> mBudgets;
  std::unordered_map<request_id, open_reservation> mOpenReservations;
  std::unordered_map<request_id, unflushed_charge> mCharges;
  /// Budgets by the time at which their next update is due.
  std::map<std::pair<time_point, std::uint64_t>, budget_entry*> mSchedule;
  std::uint64_t mNextSerial = 0;
  /// Number of budgets with an outstanding grant.
  std::size_t mBudgetsWithGrant = 0;

  table_update mUpdate;
  std::uint64_t mNextCallId = 1;
  std::uint32_t mTableFailures = 0;
  time_point mTableRetryAt;
  /// Whether the table service is reachable: false after a failed call, except
  /// for a rate-limited one, and true after a successful call.
  bool mStoreReachable = true;
  /// Token bucket for transactions, and when it was last filled.
  double mTransactionBucket = 0;
  time_point mBucketFilledAt;
  time_point mLastSubmit;

  /// Version and value of the holder row as last read or written; version 0
  /// before it is written.
  std::uint64_t mHolderVersion = 0;
  holder_row mHolder;
  /// Another node may have changed the holder row, so the next update reads it.
  bool mHolderRowStale = false;
  bool mFenced = false;
  /// The holder row is closed or deleted: nothing more can be written.
  bool mHolderClosed = false;
  bool mShuttingDown = false;

  /// Reachable peers that can be backups, preferred ones first.
  std::vector<incarnation_id> mBackupCandidates;
  std::set<incarnation_id> mDeadPeers;
  std::map<incarnation_id, time_point> mPeerFailedUntil;
  std::map<std::uint64_t, sent_hold> mHolds;
  /// Requests whose charges have to be sent to a backup.
  std::deque<request_id> mChargesToHold;
  bool mHadBackup = false;
  std::map<incarnation_id, std::vector<request_id>> mDrops;
  budget_output mOutput;
};
