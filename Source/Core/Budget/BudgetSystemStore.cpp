#include <algorithm>

#include "Budget/BudgetSystem.h"
#include "Budget/ChargeWriting.h"
#include "Common/Log.h"

namespace {

// Rows that a transaction writes for a budget at most: budget row, segment and
// grant index row.
constexpr std::size_t kRowsPerBudget = 3;

// Limit of the agenda entries that are examined for one round, as a multiple of
// the budgets that fit into it.
constexpr std::size_t kLookAhead = 4;

// Time after which a budget with an unreadable row is read again.
constexpr std::chrono::seconds kUnreadablePause(30);

// Longest interval between two transactions while the token bucket is not
// empty.
constexpr std::chrono::microseconds kLongestGap = std::chrono::seconds(1);

// Doublings of the backoff after which it no longer grows.
constexpr std::uint32_t kMaxBackoffSteps = 10;

// Longest backoff after a conflict while requests wait for the grant.
constexpr std::chrono::microseconds kContentionMost =
  std::chrono::milliseconds(100);

} // namespace

void budget_system::StepRound(time_point aNow)
{
  if (mRound.mPhase == round_phase::Commit) {
    if (mRound.mToSend && mRound.mSendAt <= aNow) {
      mRound.mToSend = false;
      mOut.mCommits.push_back(mRound.mTransaction);
    }
    return;
  }
  if (mRound.mPhase != round_phase::Idle || !MayStartRound(aNow)) {
    return;
  }
  PickItems(aNow);
  if (!mStoreUp) {
    mHolderSuspect = true;
  }
  if (!mRound.mItems.empty() || NeedsHolderRound()) {
    AskRows(aNow);
  }
}

bool budget_system::MayStartRound(time_point aNow)
{
  const double passed =
    std::chrono::duration<double>(aNow - mAllowanceAt).count();
  mAllowanceAt = aNow;
  mAllowance = std::min(mSettings.mTransactionBurst,
                        mAllowance + passed * mSettings.mTransactionRate);
  if (mOver || aNow < mTableRetryAt) {
    return false;
  }
  if (IsEnding() || !HasBackup()) {
    return true;
  }
  // The emptier the token bucket, the longer the interval between transactions,
  // so that a burst of new budgets is collected into few transactions.
  const double used = 1 - mAllowance / mSettings.mTransactionBurst;
  const auto gap = std::chrono::duration_cast<std::chrono::microseconds>(
    kLongestGap * std::clamp(used, 0.0, 1.0));
  return mAllowance >= 1 && aNow >= mLastSubmit + gap;
}

bool budget_system::NeedsHolderRound() const
{
  if (mHolderSuspect) {
    return true;
  }
  if (IsEnding()) {
    return mHolderVersion > 0 && mGranted == 0 && mCharges.empty() &&
           mOpen.empty();
  }
  return mHolderVersion == 0 || NewBackupList().has_value();
}

bool budget_system::Forget(budget_entry& aEntry, time_point aNow)
{
  const bool used = aEntry.mGrant > 0 || aEntry.mReserved > 0 ||
                    !aEntry.mPending.empty() || !aEntry.mWaiting.empty();
  return !used && aEntry.mLastUse + mSettings.mForgetAfter <= aNow;
}

void budget_system::PickItems(time_point aNow)
{
  const std::size_t most =
    std::max<std::size_t>(1, mSettings.mMaxRows / kRowsPerBudget);
  const time_point join = aNow + mSettings.mFlushAfter - mSettings.mJoinAfter;
  std::vector<budget_entry*> picked;
  std::vector<budget_entry*> forgotten;
  std::size_t looked = 0;
  for (const auto& [key, entry] : mAgenda) {
    const bool due = key.first <= aNow;
    if (picked.size() == most || ++looked > kLookAhead * most ||
        (!due && (picked.empty() || key.first > join))) {
      break;
    }
    if (due && Forget(*entry, aNow)) {
      forgotten.push_back(entry);
    } else if (due && entry->mConflicts > 0 && picked.empty()) {
      // A budget with conflicts gets its own round, so that it does not delay
      // other budgets.
      picked.push_back(entry);
      break;
    } else if (entry->mConflicts == 0 && (due || !entry->mPending.empty())) {
      picked.push_back(entry);
    }
  }
  for (budget_entry* entry : picked) {
    Unschedule(*entry);
    entry->mInRound = true;
    mRound.mItems.emplace_back().mBudget = entry;
  }
  for (budget_entry* entry : forgotten) {
    Unschedule(*entry);
    mBudgets.erase(budget_id(entry->mId));
  }
}

void budget_system::AskRows(time_point aNow)
{
  std::vector<std::string> keys;
  mRound.mReadHolder = mHolderSuspect;
  if (mRound.mReadHolder) {
    keys.push_back(HolderKey(mSelf));
  }
  for (const round_item& item : mRound.mItems) {
    keys.push_back(BudgetKey(item.mBudget->mId));
  }
  if (keys.empty()) {
    Compose(aNow);
    return;
  }
  mRound.mPhase = round_phase::Rows;
  mRound.mReadId = mNextCall++;
  ++mCounters.mReads;
  mCounters.mRowsRead += keys.size();
  mOut.mReads.push_back({ mRound.mReadId, std::move(keys) });
}

void budget_system::OnRead(
  std::uint64_t aId,
  const result<std::vector<table_row>, table_error>& aReply,
  time_point aNow)
{
  if (aId != mRound.mReadId || (mRound.mPhase != round_phase::Rows &&
                                mRound.mPhase != round_phase::Segments)) {
    return;
  }
  if (!aReply.has_value()) {
    mStoreUp = mStoreUp && aReply.error() == table_error::RateLimited;
    FailTable(aNow);
    EndRound(aNow);
    return;
  }
  mStoreUp = true;
  mTableFailures = 0;
  if (mRound.mPhase == round_phase::Rows) {
    OnRows(aReply.value(), aNow);
  } else {
    OnSegments(aReply.value(), aNow);
  }
}

void budget_system::OnRows(const std::vector<table_row>& aRows, time_point aNow)
{
  const std::size_t first = mRound.mReadHolder ? 1 : 0;
  if (aRows.size() != first + mRound.mItems.size()) {
    FailTable(aNow);
    EndRound(aNow);
    return;
  }
  if (mRound.mReadHolder) {
    OnHolderRow(aRows[0], aNow);
  }
  std::vector<round_item> usable;
  for (std::size_t i = 0; i < mRound.mItems.size(); ++i) {
    round_item& item = mRound.mItems[i];
    if (TakeRow(item, aRows[first + i], aNow)) {
      usable.push_back(std::move(item));
    } else {
      item.mBudget->mInRound = false;
      Notify(*item.mBudget);
    }
  }
  mRound.mItems = std::move(usable);
  for (std::size_t i = 0; i < mRound.mItems.size(); ++i) {
    const round_item& item = mRound.mItems[i];
    for (std::uint64_t segment = item.mBudget->mLog->mNext;
         segment < item.mRow.mNextSegment;
         ++segment) {
      mRound.mSegmentsToRead.emplace_back(i, segment);
    }
  }
  AskSegments();
  if (mRound.mPhase != round_phase::Segments) {
    Compose(aNow);
  }
}

void budget_system::OnHolderRow(const table_row& aRow, time_point aNow)
{
  mHolderSuspect = false;
  if (aRow.mVersion == mHolderVersion) {
    return;
  }
  const auto parsed = ParseHolderRow(aRow.mValue);
  if (mHolderVersion == 0 || aRow.mVersion == 0 || !parsed.has_value()) {
    mOver = true;
    Fence(aNow);
    return;
  }
  mHolder = parsed.value();
  mHolderVersion = aRow.mVersion;
  if (mHolder.mState != holder_state::Open) {
    // In state `Closing`, charges can still be written and grants returned.
    mOver = mHolder.mState != holder_state::Closing;
    Fence(aNow);
  }
}

bool budget_system::TakeRow(round_item& aItem,
                            const table_row& aRow,
                            time_point aNow)
{
  budget_entry& entry = *aItem.mBudget;
  entry.mLastRound = aNow;
  entry.mKnown = true;
  entry.mAbsent = aRow.mVersion == 0;
  if (entry.mAbsent) {
    AbandonCharges(entry);
    Schedule(entry,
             aNow + std::max(mSettings.mForgetAfter, mSettings.mRecheck));
    return false;
  }
  const auto parsed = ParseBudgetRow(aRow.mValue);
  const bool backwards = parsed.has_value() && entry.mLog &&
                         parsed.value().mNextSegment < entry.mLog->mNext;
  if (!parsed.has_value() || backwards) {
    const row_error error =
      backwards ? row_error::Inconsistent : parsed.error();
    if (!entry.mUnreadable) {
      Log(log_level::Error,
          "budget_row_unreadable",
          { { "budget", entry.mId.mName },
            { "error", std::string(RowErrorName(error)) } });
    }
    entry.mUnreadable = true;
    ++mCounters.mUnreadableRows;
    Schedule(entry, aNow + kUnreadablePause);
    return false;
  }
  entry.mUnreadable = false;
  const bool contended =
    entry.mConflictVersion && *entry.mConflictVersion != aRow.mVersion;
  entry.mConflictVersion.reset();
  if (contended) {
    ++entry.mConflicts;
    if (mRound.mItems.size() > 1 || entry.mConflicts > 1) {
      Schedule(entry, ContentionEnd(entry, aNow));
      return false;
    }
  }
  aItem.mRow = parsed.value();
  aItem.mVersion = aRow.mVersion;
  if (!entry.mLog) {
    entry.mLog = std::make_unique<charge_log>();
    entry.mLog->mNext = aItem.mRow.mWindowSegment;
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

void budget_system::AskSegments()
{
  mRound.mPhase = round_phase::Rows;
  if (mRound.mSegmentsRead == mRound.mSegmentsToRead.size()) {
    return;
  }
  std::vector<std::string> keys;
  mRound.mSegmentsAsked = mRound.mSegmentsRead;
  while (mRound.mSegmentsAsked < mRound.mSegmentsToRead.size() &&
         keys.size() < mSettings.mMaxKeys) {
    const auto& [item, segment] =
      mRound.mSegmentsToRead[mRound.mSegmentsAsked++];
    keys.push_back(SegmentKey(mRound.mItems[item].mBudget->mId, segment));
  }
  mRound.mPhase = round_phase::Segments;
  mRound.mReadId = mNextCall++;
  ++mCounters.mReads;
  mCounters.mRowsRead += keys.size();
  mOut.mReads.push_back({ mRound.mReadId, std::move(keys) });
}

void budget_system::OnSegments(const std::vector<table_row>& aRows,
                               time_point aNow)
{
  if (aRows.size() != mRound.mSegmentsAsked - mRound.mSegmentsRead) {
    FailTable(aNow);
    EndRound(aNow);
    return;
  }
  for (const table_row& row : aRows) {
    const auto& [item, number] = mRound.mSegmentsToRead[mRound.mSegmentsRead++];
    budget_entry& entry = *mRound.mItems[item].mBudget;
    const auto parsed = ParseSegment(row.mValue, entry.mId);
    if (entry.mLog->mNext != number) {
      continue;
    }
    if (parsed.has_value()) {
      AddToLog(entry, number, parsed.value().mCharges);
    } else {
      entry.mUnreadable = true;
      ++mCounters.mUnreadableRows;
    }
  }
  AskSegments();
  if (mRound.mPhase != round_phase::Segments) {
    Compose(aNow);
  }
}

void budget_system::AddToLog(budget_entry& aEntry,
                             std::uint64_t aNumber,
                             const std::vector<charge>& aCharges)
{
  charge_log& log = *aEntry.mLog;
  charge_log::segment& segment = log.mSegments.emplace_back();
  segment.mNumber = aNumber;
  log.mNext = aNumber + 1;
  for (const charge& item : aCharges) {
    segment.mNewest = std::max(segment.mNewest, item.mAt);
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
  mRound.mPhase = round_phase::Commit;
  mRound.mToSend = true;
  mRound.mSendAt = aNow;
  mLastSubmit = aNow;
  mAllowance = std::max(0.0, mAllowance - 1);
  ++mCounters.mTransactions;
  mCounters.mRowsWritten += mRound.mTransaction.mWrites.size();
}

void budget_system::OnCommit(const transaction_id& aId,
                             const result<commit_reply, table_error>& aReply,
                             time_point aNow)
{
  if (mRound.mPhase != round_phase::Commit || aId != mRound.mTransaction.mId) {
    return;
  }
  if (!aReply.has_value()) {
    // An error may mean that this attempt was not applied, but an earlier one
    // may have been. The same transaction is sent again until there is a reply.
    mStoreUp = mStoreUp && aReply.error() == table_error::RateLimited;
    FailTable(aNow);
    mRound.mToSend = true;
    mRound.mSendAt = mTableRetryAt;
    return;
  }
  mStoreUp = true;
  mTableFailures = 0;
  if (aReply.value().mCommitted) {
    OnCommitted(aReply.value().mVersion, aNow);
  } else {
    OnConflict(aNow);
  }
  EndRound(aNow);
}

void budget_system::OnConflict(time_point aNow)
{
  ++mCounters.mConflicts;
  mHolderSuspect = true;
  for (round_item& item : mRound.mItems) {
    if (item.mWritten) {
      item.mBudget->mReturning = 0;
      item.mBudget->mConflictVersion = item.mVersion;
      Schedule(*item.mBudget, aNow);
    }
  }
}

void budget_system::EndRound(time_point aNow)
{
  for (const round_item& item : mRound.mItems) {
    item.mBudget->mInRound = false;
    if (mRound.mPhase != round_phase::Commit) {
      Schedule(*item.mBudget, std::max(aNow, mTableRetryAt));
    }
  }
  mRound = round();
}

void budget_system::FailTable(time_point aNow)
{
  ++mCounters.mTableErrors;
  ++mTableFailures;
  mTableRetryAt = BackoffEnd(mTableFailures, aNow);
}

/// Requests that wait for a grant time out after about a second, so the backoff
/// is limited to `kContentionMost` while there are any. With doubling backoffs,
/// one of two competing nodes got no grant for 2 s.
time_point budget_system::ContentionEnd(const budget_entry& aEntry,
                                        time_point aNow)
{
  const time_point end = BackoffEnd(aEntry.mConflicts, aNow);
  if (aEntry.mWaiting.empty()) {
    return end;
  }
  std::uniform_int_distribution<std::int64_t> pause(kContentionMost.count() / 4,
                                                    kContentionMost.count());
  return std::min(end, aNow + std::chrono::microseconds(pause(mRandom)));
}

time_point budget_system::BackoffEnd(std::uint32_t aFailures, time_point aNow)
{
  const std::uint32_t steps = std::min(aFailures, kMaxBackoffSteps);
  const std::chrono::microseconds grown(mSettings.mBackoffFirst.count()
                                        << steps);
  const auto most = std::min(mSettings.mBackoffMost, grown);
  std::uniform_int_distribution<std::int64_t> pause(most.count() / 4,
                                                    most.count());
  return aNow + std::chrono::microseconds(pause(mRandom));
}

void budget_system::Fence(time_point aNow)
{
  if (!mFenced) {
    mFenced = true;
    Log(log_level::Warning,
        "budget_holder_fenced",
        { { "holder", FormatHolder(mSelf) } });
    ScheduleEverything(aNow);
  }
}
