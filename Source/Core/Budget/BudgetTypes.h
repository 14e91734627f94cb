#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Budget/BudgetRows.h"
#include "Remote/TableService.h"

/// Values that the budget systems take and return.

/// Why a reservation was refused.
enum class budget_error : std::uint8_t
{
  /// No such budget row.
  UnknownBudget,
  /// The tokens that can be granted do not cover the request.
  Exhausted,
  /// The grant is being fetched; ask again when the budget is in
  /// `budget_output::mChanged`.
  AwaitingGrant,
  /// The same request is open at this node.
  DuplicateOpen,
  /// The request is finished and billed.
  AlreadyCharged,
  /// Another process closed this holder; start a new incarnation.
  Fenced,
  /// Neither the store nor a backup is reachable: no new work.
  Unprotected,
  ShuttingDown,
  /// The budget's rows cannot be read by this version of the program.
  UnreadableRow,
  /// The number of tokens is not positive.
  BadAmount,
};

std::string_view BudgetErrorName(budget_error aError);

/// Answer of a charge backup to a hold message.
enum class hold_outcome : std::uint8_t
{
  Held,
  /// The backup takes this holder for dead and accepts nothing more.
  Closed,
  /// The backup is full, draining, or could not be reached.
  Failed,
};

/// Rows to read in one call; the reply goes to `OnRead` with the same number.
struct budget_read
{
  std::uint64_t mId = 0;
  std::vector<std::string> mKeys;
};

/// A scan; the reply goes to `OnRead` with the same number.
struct budget_scan
{
  std::uint64_t mId = 0;
  table_scan mScan;
};

/// Charges for a backup to keep; its answer goes to `OnHoldReply`.
struct hold_message
{
  std::uint64_t mId = 0;
  holder_id mTo;
  std::vector<charge> mCharges;
};

/// Charges that a backup need not keep any longer; no answer.
struct drop_message
{
  holder_id mTo;
  std::vector<request_id> mRequests;
};

/// Requests that a tick asks the node to carry out.
struct budget_output
{
  std::vector<budget_read> mReads;
  std::vector<budget_scan> mScans;
  std::vector<table_transaction> mCommits;
  std::vector<hold_message> mHolds;
  std::vector<drop_message> mDrops;
  /// Budgets for which a waiting reservation is worth another try.
  std::vector<budget_id> mChanged;
};

/// Periods and bounds. The defaults are for the target size of the fleet.
struct budget_settings
{
  /// A charge is in the store at the latest after this time.
  std::chrono::microseconds mFlushAfter = std::chrono::seconds(45);
  /// Charges older than this join a transaction that is made anyway.
  std::chrono::microseconds mJoinAfter = std::chrono::seconds(10);
  /// Use that a full grant covers; longer than the partitions to outlast.
  std::chrono::microseconds mGrantCovers = std::chrono::minutes(15);
  /// The same when little of the budget can still be granted.
  std::chrono::microseconds mScarceCovers = std::chrono::seconds(15);
  /// An unused grant is returned after this time.
  std::chrono::microseconds mIdleReturn = std::chrono::minutes(10);
  /// The same when little of the budget can still be granted.
  std::chrono::microseconds mScarceReturn = std::chrono::seconds(10);
  /// A grant that is a large part of what is left is checked this often.
  std::chrono::microseconds mLargeGrantCheck = std::chrono::seconds(30);
  /// A budget without grant, charges or use is forgotten after this time.
  std::chrono::microseconds mForgetAfter = std::chrono::minutes(20);
  /// An exhausted budget with demand is read again after this time.
  std::chrono::microseconds mRecheck = std::chrono::seconds(2);
  /// Charges older than this leave the log that new nodes read.
  std::chrono::microseconds mRetryWindow = std::chrono::minutes(15);
  /// First and largest pause before a failed table call is repeated.
  std::chrono::microseconds mBackoffFirst = std::chrono::milliseconds(50);
  std::chrono::microseconds mBackoffMost = std::chrono::seconds(5);
  /// A hold message without an answer counts as failed after this time.
  std::chrono::microseconds mHoldTimeout = std::chrono::milliseconds(500);
  /// A backup checks the row of a holder whose charges are older than this.
  std::chrono::microseconds mBackupCheck = std::chrono::minutes(2);
  /// Transactions per second and the burst above it while backups answer.
  /// 340 nodes at 0.85 stay under the fleet's 300 writes per second.
  double mTransactionRate = 0.85;
  double mTransactionBurst = 20;
  /// A refused reservation counts as demand for this time.
  std::chrono::microseconds mDemandLasts = std::chrono::seconds(5);
  /// Rows written by one transaction at most.
  std::uint32_t mMaxRows = 300;
  /// Charges in one transaction or one hold message at most.
  std::uint32_t mMaxCharges = 1000;
  /// Keys in one read at most.
  std::uint32_t mMaxKeys = 300;
  /// Backups listed in a holder row. One more makes it likelier that one is
  /// reachable during a partition, and likelier that one dies with the holder,
  /// which strands the grants until an operator writes them off.
  std::uint32_t mBackups = 3;
  /// Charges that one backup keeps at most.
  std::uint32_t mMaxHeld = 200'000;
};

/// Counts since the start of the process.
struct budget_counters
{
  std::uint64_t mReservations = 0;
  std::uint64_t mRefusedExhausted = 0;
  std::uint64_t mRefusedAwaiting = 0;
  std::uint64_t mRefusedOther = 0;
  std::uint64_t mCharges = 0;
  std::uint64_t mDuplicateCharges = 0;
  /// Settlements whose usage was above the reservation.
  std::uint64_t mExcessUsage = 0;
  std::int64_t mExcessTokens = 0;
  /// Settlements without reported usage.
  std::uint64_t mMissingUsage = 0;
  /// Responses finished with the charge in this process only.
  std::uint64_t mUnprotectedDeliveries = 0;
  /// Charges that their holder's grant did not cover, so that the rest of the
  /// budget paid. Above zero only after a write-off.
  std::uint64_t mUngrantedCharges = 0;
  /// Charges that no grant or remaining budget could pay.
  std::uint64_t mUnfundedCharges = 0;
  std::uint64_t mTransactions = 0;
  std::uint64_t mRowsWritten = 0;
  std::uint64_t mConflicts = 0;
  std::uint64_t mTableErrors = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mRowsRead = 0;
  std::uint64_t mHolds = 0;
  std::uint64_t mHoldFailures = 0;
  std::uint64_t mUnreadableRows = 0;
};

/// One budget as this node sees it, for operators.
struct budget_status
{
  budget_id mBudget;
  /// Tokens of this holder's grant: free, reserved, and charged but not
  /// written.
  std::int64_t mFree = 0;
  std::int64_t mReserved = 0;
  std::int64_t mUnflushed = 0;
  /// Total, spent and grantable tokens when the row was last read.
  std::int64_t mTotal = 0;
  std::int64_t mSpent = 0;
  std::int64_t mAvailable = 0;
  /// Tokens used per second at this node.
  double mRate = 0;
  bool mKnown = false;
};
