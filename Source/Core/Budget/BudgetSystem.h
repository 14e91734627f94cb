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

/// The grants, reservations and charges of one holder. It decides; the node
/// carries out what `Tick` returns and passes the replies in. Table calls and
/// hold messages always get a reply, at the latest a timeout.
///
/// The first transaction writes the holder row; grants follow. At most one
/// transaction is under way, and it is repeated with the same identity until
/// the outcome is known.
class budget_system
{
public:
  budget_system(holder_id aSelf,
                const budget_settings& aSettings,
                std::uint64_t aSeed);

  /// Sets tokens aside for a request before it is dispatched.
  result<void, budget_error> Reserve(const request_id& aRequest,
                                     const account_id& aAccount,
                                     const budget_id& aBudget,
                                     std::int64_t aTokens,
                                     time_point aNow);
  /// Ends a request that ran: the charge is the smaller of used and reserved
  /// tokens. A negative number means that nobody knows the usage; then the
  /// whole reservation is charged.
  void Settle(const request_id& aRequest,
              std::int64_t aUsedTokens,
              wall_time aAt,
              time_point aNow);
  /// Ends a request that did not run.
  void Release(const request_id& aRequest, time_point aNow);
  /// Whether a listed backup or the store has the charge of a settled request,
  /// so that the last byte may go out. Also true for a request that this node
  /// does not know, which has nothing to protect.
  bool IsProtected(const request_id& aRequest) const;
  /// Whether the request's charge waits here to be written.
  bool Keeps(const request_id& aRequest) const
  {
    return mCharges.count(aRequest) > 0;
  }
  /// Whether a new charge could be protected now.
  bool CanProtect() const;
  /// Counts a response that the node finished while `CanProtect` was false.
  void CountUnprotectedDelivery() { ++mCounters.mUnprotectedDeliveries; }

  budget_output Tick(time_point aNow);
  void OnRead(std::uint64_t aId,
              const result<std::vector<table_row>, table_error>& aReply,
              time_point aNow);
  void OnCommit(const transaction_id& aId,
                const result<commit_reply, table_error>& aReply,
                time_point aNow);
  void OnHoldReply(std::uint64_t aId, hold_outcome aOutcome, time_point aNow);

  /// Reachable peers that can be charge backups, best first.
  void SetBackups(std::vector<holder_id> aPeers);
  /// Membership takes a peer for dead: it is no backup any more.
  void OnHolderDead(const holder_id& aHolder, time_point aNow);

  /// Stops new work; ticks then write the charges, return the grants and
  /// delete the holder row.
  void BeginShutdown(time_point aNow);
  /// Nothing is left to write. After a fence the process goes on with a new
  /// incarnation.
  bool IsDrained() const;
  /// No new work; open streams can finish, each under `IsProtected` as ever.
  bool IsFenced() const { return mFenced; }
  /// The grants are gone as well: open streams can no longer be charged, so
  /// they have to be cancelled.
  bool IsClosed() const { return mOver; }

  const holder_id& Self() const { return mSelf; }
  const budget_counters& Counters() const { return mCounters; }
  std::optional<budget_status> Status(const budget_id& aBudget) const;
  std::vector<budget_status> AllStatus() const;
  std::size_t KnownBudgets() const { return mBudgets.size(); }

private:
  /// Part of a budget's charge log that this node has read.
  struct charge_log
  {
    struct segment
    {
      std::uint64_t mNumber = 0;
      wall_time mNewest;
      std::vector<request_id> mRequests;
    };
    std::uint64_t mNext = 0;
    std::deque<segment> mSegments;
    std::unordered_set<request_id> mRequests;
  };

  /// A reservation that was refused with `AwaitingGrant`.
  struct waiting_demand
  {
    request_id mRequest;
    std::int64_t mTokens = 0;
    time_point mUntil;
  };

  struct budget_entry
  {
    budget_id mId;
    /// Breaks ties in the agenda, so that runs are repeatable.
    std::uint64_t mSerial = 0;
    /// Outstanding grant of this holder when the row was last seen or written.
    std::int64_t mGrant = 0;
    std::int64_t mReserved = 0;
    std::int64_t mUnflushed = 0;
    /// Leaves the grant with the transaction that is under way.
    std::int64_t mReturning = 0;
    std::int64_t mTotal = 0;
    std::int64_t mSpent = 0;
    std::int64_t mAvailable = 0;
    /// Free tokens below which a refill is due.
    std::int64_t mRefillBelow = 0;
    std::int64_t mLargest = 0;
    double mRate = 0;
    std::int64_t mRateTokens = 0;
    time_point mRateSince;
    time_point mLastUse;
    time_point mLastRound;
    time_point mOldestCharge;
    std::optional<time_point> mDueAt;
    std::uint32_t mConflicts = 0;
    bool mKnown = false;
    bool mAbsent = false;
    bool mUnreadable = false;
    bool mInRound = false;
    /// Version with which the last transaction met a conflict.
    std::optional<std::uint64_t> mConflictVersion;
    std::vector<waiting_demand> mWaiting;
    std::vector<request_id> mPending;
    std::unique_ptr<charge_log> mLog;

    std::int64_t Free() const
    {
      return mGrant - mReserved - mUnflushed - mReturning;
    }
  };

  struct open_reservation
  {
    budget_entry* mBudget = nullptr;
    account_id mAccount;
    std::int64_t mTokens = 0;
    std::uint64_t mFromSegment = 0;
  };

  struct kept_charge
  {
    charge mCharge;
    budget_entry* mBudget = nullptr;
    time_point mSince;
    /// Backups that acknowledged it, and all that may have received it.
    std::set<holder_id> mHeldBy;
    std::set<holder_id> mSentTo;
    bool mHoldSent = false;
  };

  struct sent_hold
  {
    holder_id mTo;
    std::vector<request_id> mRequests;
    time_point mDeadline;
  };

  enum class round_phase : std::uint8_t
  {
    Idle,
    Rows,
    Segments,
    Commit,
  };

  struct round_item
  {
    budget_entry* mBudget = nullptr;
    budget_row mRow;
    std::uint64_t mVersion = 0;
    std::vector<charge> mCharges;
    std::int64_t mNewGrant = 0;
    std::uint64_t mSegment = 0;
    std::uint64_t mUngranted = 0;
    std::uint64_t mUnfunded = 0;
    bool mWritten = false;
  };

  /// Read rows, read unseen segments, commit: one at a time.
  struct round
  {
    round_phase mPhase = round_phase::Idle;
    std::vector<round_item> mItems;
    bool mReadHolder = false;
    std::uint64_t mReadId = 0;
    std::vector<std::pair<std::size_t, std::uint64_t>> mSegmentsToRead;
    std::size_t mSegmentsRead = 0;
    std::size_t mSegmentsAsked = 0;
    table_transaction mTransaction;
    std::optional<holder_row> mNewHolder;
    bool mDeletesHolder = false;
    bool mToSend = false;
    time_point mSendAt;
  };

  // BudgetSystem.cpp: reservations and the agenda.
  budget_entry& Entry(const budget_id& aBudget, time_point aNow);
  budget_error RefuseForNow(budget_entry& aEntry,
                            const request_id& aRequest,
                            std::int64_t aTokens,
                            time_point aNow);
  std::optional<budget_error> CheckNew(const request_id& aRequest) const;
  void ObserveUse(budget_entry& aEntry, std::int64_t aTokens, time_point aNow);
  void Schedule(budget_entry& aEntry, time_point aAt);
  void Unschedule(budget_entry& aEntry);
  void Reschedule(budget_entry& aEntry, time_point aNow);
  bool IsScarce(const budget_entry& aEntry) const;
  bool IsEnding() const { return mShuttingDown || mFenced; }
  void ScheduleEverything(time_point aNow);

  // BudgetSystemStore.cpp: rounds.
  void StepRound(time_point aNow);
  bool MayStartRound(time_point aNow);
  void PickItems(time_point aNow);
  bool Forget(budget_entry& aEntry, time_point aNow);
  bool NeedsHolderRound() const;
  void SetEntryGrant(budget_entry& aEntry, std::int64_t aGrant);
  void Notify(const budget_entry& aEntry);
  void AskRows(time_point aNow);
  void OnRows(const std::vector<table_row>& aRows, time_point aNow);
  void OnHolderRow(const table_row& aRow, time_point aNow);
  bool TakeRow(round_item& aItem, const table_row& aRow, time_point aNow);
  void AbandonCharges(budget_entry& aEntry);
  void AskSegments();
  void OnSegments(const std::vector<table_row>& aRows, time_point aNow);
  void AddToLog(budget_entry& aEntry,
                std::uint64_t aNumber,
                const std::vector<charge>& aCharges);
  bool ResolveCharge(const request_id& aRequest, bool aDuplicate);
  void Compose(time_point aNow);
  void TakeCharges(round_item& aItem, std::size_t aMost) const;
  std::int64_t SizeItem(const round_item& aItem, time_point aNow) const;
  void ComposeItem(round_item& aItem, std::size_t& aCharges, time_point aNow);
  void AdvanceWindow(round_item& aItem) const;
  void ApplyItem(round_item& aItem, time_point aNow);
  void ComposeHolder();
  void Submit(time_point aNow);
  void OnCommitted(std::uint64_t aVersion, time_point aNow);
  void OnConflict(time_point aNow);
  void EndRound(time_point aNow);
  void FailTable(time_point aNow);
  time_point BackoffEnd(std::uint32_t aFailures, time_point aNow);
  time_point ContentionEnd(const budget_entry& aEntry, time_point aNow);
  void Fence(time_point aNow);

  // BudgetSystemBackup.cpp: copies of charges at peers.
  bool IsUsable(const holder_id& aPeer) const;
  bool IsHeld(const kept_charge& aCharge) const;
  std::optional<holder_id> PickBackup() const;
  bool HasBackup() const;
  void SendHolds(time_point aNow);
  void ExpireHolds(time_point aNow);
  void Requeue(const std::vector<request_id>& aRequests);
  void RequeueUnheld();
  void DropCopies(const kept_charge& aCharge);
  std::optional<std::vector<holder_id>> NewBackupList() const;
  bool DependsOn(const holder_id& aBackup) const;
  void CheckBackupMode(time_point aNow);

  holder_id mSelf;
  budget_settings mSettings;
  std::mt19937_64 mRandom;
  budget_counters mCounters;

  std::unordered_map<budget_id, budget_entry> mBudgets;
  std::unordered_map<request_id, open_reservation> mOpen;
  std::unordered_map<request_id, kept_charge> mCharges;
  /// Budgets by the time at which something is due.
  std::map<std::pair<time_point, std::uint64_t>, budget_entry*> mAgenda;
  std::uint64_t mNextSerial = 0;
  std::size_t mGranted = 0;

  round mRound;
  std::uint64_t mNextCall = 1;
  std::uint32_t mTableFailures = 0;
  time_point mTableRetryAt;
  bool mStoreUp = true;
  double mAllowance = 0;
  time_point mAllowanceAt;
  time_point mLastSubmit;

  std::uint64_t mHolderVersion = 0;
  holder_row mHolder;
  bool mHolderSuspect = false;
  bool mFenced = false;
  /// The holder row is closed or gone: nothing more can be written.
  bool mOver = false;
  bool mShuttingDown = false;

  std::vector<holder_id> mPeers;
  std::set<holder_id> mDeadPeers;
  std::map<holder_id, time_point> mPeerFailedUntil;
  std::map<std::uint64_t, sent_hold> mHolds;
  std::deque<request_id> mUnheld;
  bool mHadBackup = false;
  std::map<holder_id, std::vector<request_id>> mDrops;
  budget_output mOut;
};
