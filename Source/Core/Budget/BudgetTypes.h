#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Budget/BudgetRows.h"
#include "Remote/TableService.h"

/// Values that `budget_system` and `charge_backup` take and return.

/// Reason why a reservation was refused.
enum class budget_error : std::uint8_t
{
  /// The budget row does not exist.
  UnknownBudget,
  /// The request needs more tokens than the budget can still grant.
  Exhausted,
  /// The node is requesting a larger grant; reserve again when the budget is
  /// in `budget_output::mChanged`.
  AwaitingGrant,
  /// This node already has an open reservation for the request.
  DuplicateOpen,
  /// The request has finished and was charged.
  AlreadyCharged,
  /// Another node closed this holder; the process needs a new incarnation.
  Fenced,
  /// Neither the table service nor a backup is reachable, so a charge could be
  /// lost.
  Unprotected,
  ShuttingDown,
  /// The budget's rows cannot be read by this version of the program.
  UnreadableRow,
  /// The number of tokens is not positive.
  BadAmount,
};

std::string_view BudgetErrorName(budget_error aError);

/// Reply of a charge backup to a hold message.
enum class hold_outcome : std::uint8_t
{
  /// The backup has stored the charges.
  Held,
  /// The backup considers the sender dead and accepts no more charges from it.
  Closed,
  /// The backup is full, draining, or could not be reached.
  Failed,
};

/// Rows to read in one call; the reply goes to `OnRead` with the same `mId`.
struct budget_read
{
  std::uint64_t mId = 0;
  std::vector<std::string> mKeys;
};

/// A scan to run; the reply goes to `OnRead` with the same `mId`.
struct budget_scan
{
  std::uint64_t mId = 0;
  table_scan mScan;
};

/// Charges that a backup is to store until they are in the table service. The
/// reply goes to `OnHoldReply` with the same `mId`.
struct hold_message
{
  std::uint64_t mId = 0;
  incarnation_id mTo;
  std::vector<charge> mCharges;
};

/// Charges that a backup can delete. There is no reply.
struct drop_message
{
  incarnation_id mTo;
  std::vector<request_id> mRequests;
};

/// Calls and messages that the node has to send after a tick.
struct budget_output
{
  std::vector<budget_read> mReads;
  std::vector<budget_scan> mScans;
  std::vector<table_transaction> mCommits;
  std::vector<hold_message> mHolds;
  std::vector<drop_message> mDrops;
  /// Budgets whose refused reservations (`AwaitingGrant`) can be tried again.
  std::vector<budget_id> mChanged;
};

/// Delays, intervals and limits. The defaults are for a fleet of 340 nodes.
struct budget_settings
{
  /// Longest time from a charge to the transaction that writes it.
  std::chrono::microseconds mMaxFlushDelay = std::chrono::seconds(45);
  /// A charge that has waited for this time is also written by a transaction
  /// that is due for another budget.
  std::chrono::microseconds mMinJoinAge = std::chrono::seconds(10);
  /// A grant covers the node's use of the budget for this time. It must exceed
  /// the longest partition during which the node has to keep working.
  std::chrono::microseconds mGrantCoverTime = std::chrono::minutes(15);
  /// Replaces `mGrantCoverTime` for a scarce budget, see `IsScarceBudget`.
  std::chrono::microseconds mScarceGrantCoverTime = std::chrono::seconds(15);
  /// A grant is returned when the budget has not been used for this time.
  std::chrono::microseconds mIdleReturnDelay = std::chrono::minutes(10);
  /// Replaces `mIdleReturnDelay` and `mMaxFlushDelay` for a scarce budget.
  std::chrono::microseconds mScarceReturnDelay = std::chrono::seconds(10);
  /// The row of a budget is read this often while this node's grant is a large
  /// part of the unspent tokens.
  std::chrono::microseconds mLargeGrantCheckInterval = std::chrono::seconds(30);
  /// A budget without grant or charges is removed from memory when it has not
  /// been used for this time.
  std::chrono::microseconds mForgetDelay = std::chrono::minutes(20);
  /// While reservations are refused, the budget row is read this often.
  std::chrono::microseconds mRecheckInterval = std::chrono::seconds(2);
  /// Client retries are recognized as duplicates for this time. Nodes that
  /// first use a budget do not read older charges.
  std::chrono::microseconds mRetryWindow = std::chrono::minutes(15);
  /// Bounds of the backoff after a failed table call or a conflict.
  std::chrono::microseconds mInitialBackoff = std::chrono::milliseconds(50);
  std::chrono::microseconds mMaxBackoff = std::chrono::seconds(5);
  /// A hold message without a reply counts as failed after this time.
  std::chrono::microseconds mHoldTimeout = std::chrono::milliseconds(500);
  /// A backup reads the holder row when it has had a charge for this time, and
  /// repeats unfinished work on a holder at this interval.
  std::chrono::microseconds mBackupCheckInterval = std::chrono::minutes(2);
  /// Token bucket for transactions while a backup is reachable: rate per second
  /// and burst. 340 nodes at 0.85 stay below the table service's limit of 300
  /// writes per second.
  double mTransactionRate = 0.85;
  double mTransactionBurst = 20;
  /// A refused reservation counts as demand for a grant for this time.
  std::chrono::microseconds mDemandLifetime = std::chrono::seconds(5);
  /// Limit of the rows that one transaction writes.
  std::uint32_t mMaxRowsPerTransaction = 300;
  /// Limit of the charges in one transaction or hold message.
  std::uint32_t mMaxChargesPerMessage = 1000;
  /// Limit of the keys in one read.
  std::uint32_t mMaxKeysPerRead = 300;
  /// Number of backups listed in a holder row. More backups make it more likely
  /// that one is reachable during a partition, but also that one dies together
  /// with the holder. In that case the grants are blocked until an operator
  /// writes the holder off.
  std::uint32_t mMaxBackups = 3;
  /// Limit of the charges that one backup stores for all holders together.
  std::uint32_t mMaxHeldCharges = 200'000;
};

/// Counts since the start of the process.
struct budget_counters
{
  std::uint64_t mReservations = 0;
  /// Refused reservations by reason: `Exhausted`, `AwaitingGrant`, all others.
  std::uint64_t mRefusedExhausted = 0;
  std::uint64_t mRefusedAwaiting = 0;
  std::uint64_t mRefusedOther = 0;
  std::uint64_t mCharges = 0;
  std::uint64_t mDuplicateCharges = 0;
  /// Settled requests that used more than their reservation, and the tokens
  /// above it, which are not charged.
  std::uint64_t mExcessUsage = 0;
  std::int64_t mExcessTokens = 0;
  /// Settled requests without reported usage.
  std::uint64_t mMissingUsage = 0;
  /// Responses that were finished while only this process had the charge.
  std::uint64_t mUnprotectedDeliveries = 0;
  /// Charges that exceeded their holder's grant, so that tokens outside of any
  /// grant were used. Above zero only after a write-off.
  std::uint64_t mUngrantedCharges = 0;
  /// Charges that neither the grant nor the rest of the budget covered in full.
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

/// Status of one budget at this node, for operators.
struct budget_status
{
  budget_id mBudget;
  /// Tokens of this holder's grant: free, reserved, and charged but not yet
  /// written to the table service.
  std::int64_t mFree = 0;
  std::int64_t mReserved = 0;
  std::int64_t mUnflushed = 0;
  /// Total, spent and grantable tokens in the row as last read or written.
  std::int64_t mTotal = 0;
  std::int64_t mSpent = 0;
  std::int64_t mAvailable = 0;
  /// Tokens used per second at this node.
  double mRate = 0;
  /// The row has been read at least once.
  bool mKnown = false;
};
