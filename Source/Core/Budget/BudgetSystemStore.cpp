#include <algorithm>

#include "Budget/BudgetSystem.h"
#include "Budget/ChargeWriting.h"
#include "Common/Log.h"

namespace {

// Rows that a transaction writes for a budget at most: budget row, segment and
// grant index row.
constexpr std::size_t kMaxRowsPerBudget = 3;

// Limit of the schedule entries that are examined for one update, as a multiple
// of the budgets that fit into it.
constexpr std::size_t kMaxExaminedFactor = 4;

// Time after which a budget with an unreadable row is read again.
constexpr std::chrono::seconds kUnreadableRetryInterval(30);

// Longest interval between two transactions while the token bucket is not
// empty.
constexpr std::chrono::microseconds kMaxTransactionInterval =
  std::chrono::seconds(1);

// Doublings of the backoff after which it no longer grows.
constexpr std::uint32_t kMaxBackoffSteps = 10;

// Longest backoff after a conflict while requests wait for the grant.
constexpr std::chrono::microseconds kMaxConflictBackoff =
  std::chrono::milliseconds(100);

} // namespace

void budget_system::AdvanceUpdate(time_point aNow)
{
  if (mUpdate.mPhase == update_phase::Commit) {
    if (mUpdate.mCommitDue && mUpdate.mCommitAt <= aNow) {
      mUpdate.mCommitDue = false;
      mOutput.mCommits.push_back(mUpdate.mTransaction);
    }
    return;
  }
  if (mUpdate.mPhase != update_phase::Idle || !CanStartUpdate(aNow)) {
    return;
  }
  SelectBudgets(aNow);
  if (!mStoreReachable) {
    mHolderRowStale = true;
  }
  if (!mUpdate.mItems.empty() || NeedsHolderUpdate()) {
    RequestRows(aNow);
  }
}

bool budget_system::CanStartUpdate(time_point aNow)
{
  const double passed =
    std::chrono::duration<double>(aNow - mBucketFilledAt).count();
  mBucketFilledAt = aNow;
  mTransactionBucket =
    std::min(mSettings.mTransactionBurst,
             mTransactionBucket + passed * mSettings.mTransactionRate);
  if (mHolderClosed || aNow < mTableRetryAt) {
    return false;
  }
  if (IsEnding() || !HasBackup()) {
    return true;
  }
  // The emptier the token bucket, the longer the interval between transactions,
  // so that a burst of new budgets is collected into few transactions.
  const double used = 1 - mTransactionBucket / mSettings.mTransactionBurst;
  const auto gap = std::chrono::duration_cast<std::chrono::microseconds>(
    kMaxTransactionInterval * std::clamp(used, 0.0, 1.0));
  return mTransactionBucket >= 1 && aNow >= mLastSubmit + gap;
}

bool budget_system::NeedsHolderUpdate() const
{
  if (mHolderRowStale) {
    return true;
  }
  if (IsEnding()) {
    return mHolderVersion > 0 && mBudgetsWithGrant == 0 && mCharges.empty() &&
           mOpenReservations.empty();
  }
  return mHolderVersion == 0 || NewBackupList().has_value();
}

bool budget_system::CanForget(budget_entry& aEntry, time_point aNow)
{
  const bool used = aEntry.mGrant > 0 || aEntry.mReserved > 0 ||
                    !aEntry.mPending.empty() || !aEntry.mWaiting.empty();
  return !used && aEntry.mLastUse + mSettings.mForgetDelay <= aNow;
}

void budget_system::SelectBudgets(time_point aNow)
{
  const std::size_t maxBudgets = std::max<std::size_t>(
    1, mSettings.mMaxRowsPerTransaction / kMaxRowsPerBudget);
  const time_point join =
    aNow + mSettings.mMaxFlushDelay - mSettings.mMinJoinAge;
  std::vector<budget_entry*> picked;
  std::vector<budget_entry*> forgotten;
  std::size_t examined = 0;
  for (const auto& [key, entry] : mSchedule) {
    const bool due = key.first <= aNow;
    if (picked.size() == maxBudgets ||
        ++examined > kMaxExaminedFactor * maxBudgets ||
        (!due && (picked.empty() || key.first > join))) {
      break;
    }
    if (due && CanForget(*entry, aNow)) {
      forgotten.push_back(entry);
    } else if (due && entry->mConflicts > 0 && picked.empty()) {
      // A budget with conflicts gets its own update, so that it does not delay
      // other budgets.
      picked.push_back(entry);
      break;
    } else if (entry->mConflicts == 0 && (due || !entry->mPending.empty())) {
      picked.push_back(entry);
    }
  }
  for (budget_entry* entry : picked) {
    Unschedule(*entry);
    entry->mInUpdate = true;
    mUpdate.mItems.emplace_back().mBudget = entry;
  }
  for (budget_entry* entry : forgotten) {
    Unschedule(*entry);
    mBudgets.erase(budget_id(entry->mId));
  }
}

void budget_system::RequestRows(time_point aNow)
{
  std::vector<std::string> keys;
  mUpdate.mReadHolder = mHolderRowStale;
  if (mUpdate.mReadHolder) {
    keys.push_back(HolderKey(mSelf));
  }
  for (const update_item& item : mUpdate.mItems) {
    keys.push_back(BudgetKey(item.mBudget->mId));
  }
  if (keys.empty()) {
    ComposeTransaction(aNow);
    return;
  }
  mUpdate.mPhase = update_phase::Rows;
  mUpdate.mReadId = mNextCallId++;
  ++mCounters.mReads;
  mCounters.mRowsRead += keys.size();
  mOutput.mReads.push_back({ mUpdate.mReadId, std::move(keys) });
}

void budget_system::OnRead(
  std::uint64_t aId,
  const result<std::vector<table_row>, table_error>& aReply,
  time_point aNow)
{
  if (aId != mUpdate.mReadId || (mUpdate.mPhase != update_phase::Rows &&
                                 mUpdate.mPhase != update_phase::Segments)) {
    return;
  }
  if (!aReply.has_value()) {
    mStoreReachable =
      mStoreReachable && aReply.error() == table_error::RateLimited;
    OnTableFailure(aNow);
    FinishUpdate(aNow);
    return;
  }
  mStoreReachable = true;
  mTableFailures = 0;
  if (mUpdate.mPhase == update_phase::Rows) {
    OnRows(aReply.value(), aNow);
  } else {
    OnSegments(aReply.value(), aNow);
  }
}

void budget_system::OnRows(const std::vector<table_row>& aRows, time_point aNow)
{
  const std::size_t first = mUpdate.mReadHolder ? 1 : 0;
  if (aRows.size() != first + mUpdate.mItems.size()) {
    OnTableFailure(aNow);
    FinishUpdate(aNow);
    return;
  }
  if (mUpdate.mReadHolder) {
    OnHolderRow(aRows[0], aNow);
  }
  std::vector<update_item> usable;
  for (std::size_t i = 0; i < mUpdate.mItems.size(); ++i) {
    update_item& item = mUpdate.mItems[i];
    if (LoadRow(item, aRows[first + i], aNow)) {
      usable.push_back(std::move(item));
    } else {
      item.mBudget->mInUpdate = false;
      NotifyWaiting(*item.mBudget);
    }
  }
  mUpdate.mItems = std::move(usable);
  for (std::size_t i = 0; i < mUpdate.mItems.size(); ++i) {
    const update_item& item = mUpdate.mItems[i];
    for (std::uint64_t segment = item.mBudget->mChargeLog->mNextUnread;
         segment < item.mRow.mNextSegment;
         ++segment) {
      mUpdate.mSegmentsToRead.emplace_back(i, segment);
    }
  }
  RequestSegments();
  if (mUpdate.mPhase != update_phase::Segments) {
    ComposeTransaction(aNow);
  }
}

void budget_system::OnHolderRow(const table_row& aRow, time_point aNow)
{
  mHolderRowStale = false;
  if (aRow.mVersion == mHolderVersion) {
    return;
  }
  const auto parsed = ParseHolderRow(aRow.mValue);
  if (mHolderVersion == 0 || aRow.mVersion == 0 || !parsed.has_value()) {
    mHolderClosed = true;
    Fence(aNow);
    return;
  }
  mHolder = parsed.value();
  mHolderVersion = aRow.mVersion;
  if (mHolder.mState != holder_state::Open) {
    // In state `Closing`, charges can still be written and grants returned.
    mHolderClosed = mHolder.mState != holder_state::Closing;
    Fence(aNow);
  }
}

bool budget_system::LoadRow(update_item& aItem,
                            const table_row& aRow,
                            time_point aNow)
{
  budget_entry& entry = *aItem.mBudget;
  entry.mLastUpdate = aNow;
  entry.mRowRead = true;
  entry.mRowMissing = aRow.mVersion == 0;
  if (entry.mRowMissing) {
    AbandonCharges(entry);
    Schedule(entry,
             aNow +
               std::max(mSettings.mForgetDelay, mSettings.mRecheckInterval));
    return false;
  }
  const auto parsed = ParseBudgetRow(aRow.mValue);
  const bool backwards =
    parsed.has_value() && entry.mChargeLog &&
    parsed.value().mNextSegment < entry.mChargeLog->mNextUnread;
  if (!parsed.has_value() || backwards) {
    const row_error error =
      backwards ? row_error::Inconsistent : parsed.error();
    if (!entry.mRowUnreadable) {
      Log(log_level::Error,
          "budget_row_unreadable",
          { { "budget", entry.mId.mName },
            { "error", std::string(RowErrorName(error)) } });
    }
    entry.mRowUnreadable = true;
    ++mCounters.mUnreadableRows;
    Schedule(entry, aNow + kUnreadableRetryInterval);
    return false;
  }
  entry.mRowUnreadable = false;
  const bool contended =
    entry.mConflictVersion && *entry.mConflictVersion != aRow.mVersion;
  entry.mConflictVersion.reset();
  if (contended) {
    ++entry.mConflicts;
    if (mUpdate.mItems.size() > 1 || entry.mConflicts > 1) {
      Schedule(entry, ConflictBackoffEnd(entry, aNow));
      return false;
    }
  }
  aItem.mRow = parsed.value();
  aItem.mVersion = aRow.mVersion;
  if (!entry.mChargeLog) {
    entry.mChargeLog = std::make_unique<charge_log>();
    entry.mChargeLog->mNextUnread = aItem.mRow.mWindowSegment;
  }
  return true;
}

void budget_system::AbandonCharges(budget_entry& aEntry)
{
  const std::vector<request_id> pending = aEntry.mPending;
  for (const request_id& request : pending) {
    ++mCounters.mUnfundedCharges;
    ResolveCharge(request, false);
  }
  SetEntryGrant(aEntry, 0);
}

void budget_system::RequestSegments()
{
  mUpdate.mPhase = update_phase::Rows;
  if (mUpdate.mSegmentsRead == mUpdate.mSegmentsToRead.size()) {
    return;
  }
  std::vector<std::string> keys;
  mUpdate.mSegmentsRequested = mUpdate.mSegmentsRead;
  while (mUpdate.mSegmentsRequested < mUpdate.mSegmentsToRead.size() &&
         keys.size() < mSettings.mMaxKeysPerRead) {
    const auto& [item, segment] =
      mUpdate.mSegmentsToRead[mUpdate.mSegmentsRequested++];
    keys.push_back(SegmentKey(mUpdate.mItems[item].mBudget->mId, segment));
  }
  mUpdate.mPhase = update_phase::Segments;
  mUpdate.mReadId = mNextCallId++;
  ++mCounters.mReads;
  mCounters.mRowsRead += keys.size();
  mOutput.mReads.push_back({ mUpdate.mReadId, std::move(keys) });
}

void budget_system::OnSegments(const std::vector<table_row>& aRows,
                               time_point aNow)
{
  if (aRows.size() != mUpdate.mSegmentsRequested - mUpdate.mSegmentsRead) {
    OnTableFailure(aNow);
    FinishUpdate(aNow);
    return;
  }
  for (const table_row& row : aRows) {
    const auto& [item, number] =
      mUpdate.mSegmentsToRead[mUpdate.mSegmentsRead++];
    budget_entry& entry = *mUpdate.mItems[item].mBudget;
    const auto parsed = ParseSegment(row.mValue, entry.mId);
    if (entry.mChargeLog->mNextUnread != number) {
      continue;
    }
    if (parsed.has_value()) {
      AddToLog(entry, number, parsed.value().mCharges);
    } else {
      entry.mRowUnreadable = true;
      ++mCounters.mUnreadableRows;
    }
  }
  RequestSegments();
  if (mUpdate.mPhase != update_phase::Segments) {
    ComposeTransaction(aNow);
  }
}

void budget_system::AddToLog(budget_entry& aEntry,
                             std::uint64_t aNumber,
                             const std::vector<charge>& aCharges)
{
  charge_log& log = *aEntry.mChargeLog;
  charge_log::segment& segment = log.mSegments.emplace_back();
  segment.mNumber = aNumber;
  log.mNextUnread = aNumber + 1;
  for (const charge& item : aCharges) {
    segment.mNewestCharge = std::max(segment.mNewestCharge, item.mAt);
    segment.mRequests.push_back(item.mRequest);
    log.mRequests.insert(item.mRequest);
    const bool own = item.mHolder == mSelf;
    if (ResolveCharge(item.mRequest, !own) && own) {
      // The transaction that wrote the charge took its tokens from this grant.
      // Without this they would count as free until the next read of the row.
      SetEntryGrant(aEntry, aEntry.mGrant - item.mTokens);
    }
  }
}

bool budget_system::ResolveCharge(const request_id& aRequest, bool aDuplicate)
{
  const auto found = mCharges.find(aRequest);
  if (found == mCharges.end()) {
    return false;
  }
  if (aDuplicate) {
    ++mCounters.mDuplicateCharges;
  }
  budget_entry& entry = *found->second.mBudget;
  entry.mUnflushed -= found->second.mCharge.mTokens;
  std::erase(entry.mPending, aRequest);
  DropCopies(found->second);
  mCharges.erase(found);
  return true;
}

void budget_system::Submit(time_point aNow)
{
  mUpdate.mPhase = update_phase::Commit;
  mUpdate.mCommitDue = true;
  mUpdate.mCommitAt = aNow;
  mLastSubmit = aNow;
  mTransactionBucket = std::max(0.0, mTransactionBucket - 1);
  ++mCounters.mTransactions;
  mCounters.mRowsWritten += mUpdate.mTransaction.mWrites.size();
}

void budget_system::OnCommit(const transaction_id& aId,
                             const result<commit_reply, table_error>& aReply,
                             time_point aNow)
{
  if (mUpdate.mPhase != update_phase::Commit ||
      aId != mUpdate.mTransaction.mId) {
    return;
  }
  if (!aReply.has_value()) {
    // An error may mean that this attempt was not applied, but an earlier one
    // may have been. The same transaction is sent again until there is a reply.
    mStoreReachable =
      mStoreReachable && aReply.error() == table_error::RateLimited;
    OnTableFailure(aNow);
    mUpdate.mCommitDue = true;
    mUpdate.mCommitAt = mTableRetryAt;
    return;
  }
  mStoreReachable = true;
  mTableFailures = 0;
  if (aReply.value().mCommitted) {
    OnCommitted(aReply.value().mVersion, aNow);
  } else {
    OnConflict(aNow);
  }
  FinishUpdate(aNow);
}

void budget_system::OnConflict(time_point aNow)
{
  ++mCounters.mConflicts;
  mHolderRowStale = true;
  for (update_item& item : mUpdate.mItems) {
    if (item.mWritten) {
      item.mBudget->mReturningTokens = 0;
      item.mBudget->mConflictVersion = item.mVersion;
      Schedule(*item.mBudget, aNow);
    }
  }
}

void budget_system::FinishUpdate(time_point aNow)
{
  for (const update_item& item : mUpdate.mItems) {
    item.mBudget->mInUpdate = false;
    if (mUpdate.mPhase != update_phase::Commit) {
      Schedule(*item.mBudget, std::max(aNow, mTableRetryAt));
    }
  }
  mUpdate = table_update();
}

void budget_system::OnTableFailure(time_point aNow)
{
  ++mCounters.mTableErrors;
  ++mTableFailures;
  mTableRetryAt = BackoffEnd(mTableFailures, aNow);
}

/// Requests that wait for a grant time out after about a second, so the backoff
/// is limited to `kMaxConflictBackoff` while there are any. With doubling
/// backoffs, one of two competing nodes got no grant for 2 s.
time_point budget_system::ConflictBackoffEnd(const budget_entry& aEntry,
                                             time_point aNow)
{
  const time_point end = BackoffEnd(aEntry.mConflicts, aNow);
  if (aEntry.mWaiting.empty()) {
    return end;
  }
  std::uniform_int_distribution<std::int64_t> backoff(
    kMaxConflictBackoff.count() / 4, kMaxConflictBackoff.count());
  return std::min(end, aNow + std::chrono::microseconds(backoff(mRandom)));
}

time_point budget_system::BackoffEnd(std::uint32_t aFailures, time_point aNow)
{
  const std::uint32_t steps = std::min(aFailures, kMaxBackoffSteps);
  const std::chrono::microseconds doubled(mSettings.mInitialBackoff.count()
                                          << steps);
  const auto longest = std::min(mSettings.mMaxBackoff, doubled);
  std::uniform_int_distribution<std::int64_t> backoff(longest.count() / 4,
                                                      longest.count());
  return aNow + std::chrono::microseconds(backoff(mRandom));
}

void budget_system::Fence(time_point aNow)
{
  if (!mFenced) {
    mFenced = true;
    Log(log_level::Warning,
        "budget_holder_fenced",
        { { "holder", FormatIncarnation(mSelf) } });
    ScheduleAll(aNow);
  }
}
