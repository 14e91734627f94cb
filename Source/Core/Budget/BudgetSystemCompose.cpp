#include <algorithm>

#include "Budget/BudgetSystem.h"
#include "Budget/ChargeWriting.h"
#include "Budget/GrantSizing.h"

namespace {

// A larger grant is requested when less than 1/3 of the tokens that were free
// after the last update is left.
constexpr std::int64_t kRefillDivisor = 3;

// A grant change of at most 1/4 does not cause a transaction by itself.
constexpr std::int64_t kMinGrantChangeDivisor = 4;

} // namespace

void budget_system::ComposeTransaction(time_point aNow)
{
  mUpdate.mTransaction = {};
  mUpdate.mTransaction.mId = { mRandom(), mRandom() };
  std::size_t charges = 0;
  const bool writable = !mHolderClosed && (mHolderVersion > 0 || !IsEnding());
  for (update_item& item : mUpdate.mItems) {
    if (writable && !item.mBudget->mRowUnreadable) {
      ComposeBudget(item, charges, aNow);
    }
  }
  if (writable) {
    ComposeHolder();
  }
  // Budgets that the transaction does not write are finished; the others wait
  // for its reply.
  for (const update_item& item : mUpdate.mItems) {
    if (!item.mWritten) {
      NotifyWaiting(*item.mBudget);
      Reschedule(*item.mBudget, aNow);
    }
  }
  const bool holderOnly = mUpdate.mNewHolder || mUpdate.mDeletesHolder;
  if (mUpdate.mTransaction.mWrites.empty() && !holderOnly) {
    mUpdate.mPhase = update_phase::Commit;
    FinishUpdate(aNow);
    return;
  }
  mUpdate.mTransaction.mConditions.push_back(
    { HolderKey(mSelf), mHolderVersion });
  Submit(aNow);
}

void budget_system::AddPendingCharges(update_item& aItem,
                                      std::size_t aLimit) const
{
  for (const request_id& request : aItem.mBudget->mPending) {
    if (aItem.mCharges.size() == aLimit) {
      return;
    }
    aItem.mCharges.push_back(mCharges.at(request).mCharge);
  }
}

std::int64_t budget_system::ComputeItemGrant(const update_item& aItem,
                                             time_point aNow) const
{
  const budget_entry& entry = *aItem.mBudget;
  grant_demand demand;
  demand.mAvailable = aItem.mRow.Available();
  demand.mGrant = GrantOf(aItem.mRow, mSelf);
  demand.mReserved = entry.mReserved + entry.mUnflushed;
  for (const charge& item : aItem.mCharges) {
    demand.mReserved -= item.mTokens;
  }
  if (IsEnding()) {
    return std::min(demand.mGrant, demand.mReserved);
  }
  for (const waiting_demand& waiting : entry.mWaiting) {
    if (waiting.mExpiresAt <= aNow) {
      continue;
    }
    demand.mWaiting += waiting.mTokens;
    demand.mSmallestWaiting =
      demand.mSmallestWaiting == 0
        ? waiting.mTokens
        : std::min(demand.mSmallestWaiting, waiting.mTokens);
  }
  demand.mScarce = IsScarce(entry);
  const auto idle =
    demand.mScarce ? mSettings.mScarceReturnDelay : mSettings.mIdleReturnDelay;
  demand.mInUse = entry.mLastUse + idle > aNow;
  demand.mLargestRequest = entry.mLargestRequest;
  demand.mRate = entry.mRate;
  const std::int64_t size = ComputeGrant(demand, mSettings);
  const std::int64_t change = std::abs(size - demand.mGrant);
  const bool isWorthwhile = !aItem.mCharges.empty() || demand.mWaiting > 0 ||
                            size <= demand.mReserved ||
                            change > demand.mGrant / kMinGrantChangeDivisor;
  return isWorthwhile ? size : demand.mGrant;
}

void budget_system::ComposeBudget(update_item& aItem,
                                  std::size_t& aCharges,
                                  time_point aNow)
{
  budget_entry& entry = *aItem.mBudget;
  const std::int64_t oldGrant = GrantOf(aItem.mRow, mSelf);
  SetEntryGrant(entry, oldGrant);
  entry.mTotal = aItem.mRow.mTotal;
  entry.mSpent = aItem.mRow.mSpent;
  entry.mAvailable = aItem.mRow.Available();
  AddPendingCharges(aItem, mSettings.mMaxChargesPerMessage - aCharges);
  aCharges += aItem.mCharges.size();
  const applied_charges written = ApplyCharges(aItem.mRow, aItem.mCharges);
  const std::int64_t grantAfterCharges = GrantOf(aItem.mRow, mSelf);
  aItem.mNewGrant = ComputeItemGrant(aItem, aNow);
  if (aItem.mCharges.empty() && aItem.mNewGrant == oldGrant) {
    return;
  }
  aItem.mUngranted = written.mUngranted;
  aItem.mUnfunded = written.mUnfunded;
  SetGrant(aItem.mRow, mSelf, aItem.mNewGrant);
  entry.mReturningTokens =
    std::max<std::int64_t>(0, grantAfterCharges - aItem.mNewGrant);
  table_transaction& transaction = mUpdate.mTransaction;
  aItem.mSegment = aItem.mRow.mNextSegment;
  if (!written.mCharges.empty()) {
    AddSegmentWrite(transaction, entry.mId, aItem.mRow, written.mCharges);
    AdvanceWindow(aItem);
  }
  AddBudgetWrite(transaction, entry.mId, aItem.mVersion, aItem.mRow);
  AddGrantIndexWrite(transaction, mSelf, entry.mId, oldGrant, aItem.mNewGrant);
  aItem.mWritten = true;
}

void budget_system::AdvanceWindow(update_item& aItem) const
{
  wall_time newest;
  for (const charge& item : aItem.mCharges) {
    newest = std::max(newest, item.mAt);
  }
  for (const auto& segment : aItem.mBudget->mChargeLog->mSegments) {
    if (segment.mNewestCharge + mSettings.mRetryWindow >= newest) {
      return;
    }
    aItem.mRow.mWindowSegment =
      std::max(aItem.mRow.mWindowSegment, segment.mNumber + 1);
  }
}

void budget_system::ComposeHolder()
{
  if (IsEnding()) {
    if (mUpdate.mItems.empty() && NeedsHolderUpdate() && mHolderVersion > 0) {
      mUpdate.mDeletesHolder = true;
      mUpdate.mTransaction.mWrites.push_back(
        { HolderKey(mSelf), std::nullopt });
    }
    return;
  }
  const auto backups = NewBackupList();
  if (mHolderVersion > 0 && !backups) {
    return;
  }
  holder_row row = mHolder;
  if (backups) {
    row.mBackups = *backups;
  }
  mUpdate.mTransaction.mWrites.push_back(
    { HolderKey(mSelf), FormatHolderRow(row) });
  mUpdate.mNewHolder = std::move(row);
}

void budget_system::OnCommitted(std::uint64_t aVersion, time_point aNow)
{
  for (update_item& item : mUpdate.mItems) {
    if (item.mWritten) {
      ApplyCommittedItem(item, aNow);
    }
  }
  if (mUpdate.mDeletesHolder) {
    mHolderVersion = 0;
    mHolderClosed = true;
  }
  if (mUpdate.mNewHolder) {
    mHolder = *mUpdate.mNewHolder;
    mHolderVersion = aVersion;
    mUpdate.mNewHolder.reset();
    RequeueChargesToHold();
  }
}

void budget_system::ApplyCommittedItem(update_item& aItem, time_point aNow)
{
  budget_entry& entry = *aItem.mBudget;
  const auto pendingBefore = entry.mPending.size();
  if (!aItem.mCharges.empty()) {
    AddToLog(entry, aItem.mSegment, aItem.mCharges);
  }
  charge_log& log = *entry.mChargeLog;
  while (!log.mSegments.empty() &&
         log.mSegments.front().mNumber < aItem.mRow.mWindowSegment) {
    for (const request_id& request : log.mSegments.front().mRequests) {
      log.mRequests.erase(request);
    }
    log.mSegments.pop_front();
  }
  mCounters.mUngrantedCharges += aItem.mUngranted;
  mCounters.mUnfundedCharges += aItem.mUnfunded;
  SetEntryGrant(entry, aItem.mNewGrant);
  entry.mReturningTokens = 0;
  entry.mConflicts = 0;
  entry.mConflictVersion.reset();
  entry.mSpent = aItem.mRow.mSpent;
  entry.mAvailable = aItem.mRow.Available();
  entry.mLastUpdate = aNow;
  entry.mRefillThreshold = entry.FreeTokens() / kRefillDivisor;
  if (pendingBefore > 0 && !entry.mPending.empty()) {
    entry.mOldestCharge = mCharges.at(entry.mPending.front()).mChargedAt;
  }
  NotifyWaiting(entry);
  Reschedule(entry, aNow);
}

void budget_system::SetEntryGrant(budget_entry& aEntry, std::int64_t aGrant)
{
  if ((aEntry.mGrant > 0) != (aGrant > 0)) {
    mBudgetsWithGrant += aGrant > 0 ? 1 : -1;
  }
  aEntry.mGrant = aGrant;
}

void budget_system::NotifyWaiting(const budget_entry& aEntry)
{
  if (!aEntry.mWaiting.empty()) {
    mOutput.mChanged.push_back(aEntry.mId);
  }
}
