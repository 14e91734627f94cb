#include <algorithm>

#include "Budget/BudgetSystem.h"
#include "Budget/ChargeWriting.h"
#include "Budget/GrantSizing.h"

namespace {

// A larger grant is requested when less than 1/3 of the tokens that were free
// after the last round is left.
constexpr std::int64_t kRefillPart = 3;

// A grant change of at most 1/4 does not cause a transaction by itself.
constexpr std::int64_t kWorthPart = 4;

} // namespace

void budget_system::Compose(time_point aNow)
{
  mRound.mTransaction = {};
  mRound.mTransaction.mId = { mRandom(), mRandom() };
  std::size_t charges = 0;
  const bool writable = !mOver && (mHolderVersion > 0 || !IsEnding());
  for (round_item& item : mRound.mItems) {
    if (writable && !item.mBudget->mUnreadable) {
      ComposeItem(item, charges, aNow);
    }
  }
  if (writable) {
    ComposeHolder();
  }
  // Budgets that the transaction does not write are finished; the others wait
  // for its reply.
  for (const round_item& item : mRound.mItems) {
    if (!item.mWritten) {
      Notify(*item.mBudget);
      Reschedule(*item.mBudget, aNow);
    }
  }
  const bool holderOnly = mRound.mNewHolder || mRound.mDeletesHolder;
  if (mRound.mTransaction.mWrites.empty() && !holderOnly) {
    mRound.mPhase = round_phase::Commit;
    EndRound(aNow);
    return;
  }
  mRound.mTransaction.mConditions.push_back(
    { HolderKey(mSelf), mHolderVersion });
  Submit(aNow);
}

void budget_system::TakeCharges(round_item& aItem, std::size_t aMost) const
{
  for (const request_id& request : aItem.mBudget->mPending) {
    if (aItem.mCharges.size() == aMost) {
      return;
    }
    aItem.mCharges.push_back(mCharges.at(request).mCharge);
  }
}

std::int64_t budget_system::SizeItem(const round_item& aItem,
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
    if (waiting.mUntil <= aNow) {
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
    demand.mScarce ? mSettings.mScarceReturn : mSettings.mIdleReturn;
  demand.mInUse = entry.mLastUse + idle > aNow;
  demand.mLargest = entry.mLargest;
  demand.mRate = entry.mRate;
  const std::int64_t size = SizeGrant(demand, mSettings);
  const std::int64_t change = std::abs(size - demand.mGrant);
  const bool worth = !aItem.mCharges.empty() || demand.mWaiting > 0 ||
                     size <= demand.mReserved ||
                     change > demand.mGrant / kWorthPart;
  return worth ? size : demand.mGrant;
}

void budget_system::ComposeItem(round_item& aItem,
                                std::size_t& aCharges,
                                time_point aNow)
{
  budget_entry& entry = *aItem.mBudget;
  const std::int64_t before = GrantOf(aItem.mRow, mSelf);
  SetEntryGrant(entry, before);
  entry.mTotal = aItem.mRow.mTotal;
  entry.mSpent = aItem.mRow.mSpent;
  entry.mAvailable = aItem.mRow.Available();
  TakeCharges(aItem, mSettings.mMaxCharges - aCharges);
  aCharges += aItem.mCharges.size();
  const written_charges written = PayCharges(aItem.mRow, aItem.mCharges);
  const std::int64_t paid = GrantOf(aItem.mRow, mSelf);
  aItem.mNewGrant = SizeItem(aItem, aNow);
  if (aItem.mCharges.empty() && aItem.mNewGrant == before) {
    return;
  }
  aItem.mUngranted = written.mUngranted;
  aItem.mUnfunded = written.mUnfunded;
  SetGrant(aItem.mRow, mSelf, aItem.mNewGrant);
  entry.mReturning = std::max<std::int64_t>(0, paid - aItem.mNewGrant);
  table_transaction& transaction = mRound.mTransaction;
  aItem.mSegment = aItem.mRow.mNextSegment;
  if (!written.mCharges.empty()) {
    AppendSegment(transaction, entry.mId, aItem.mRow, written.mCharges);
    AdvanceWindow(aItem);
  }
  WriteBudget(transaction, entry.mId, aItem.mVersion, aItem.mRow);
  WriteGrantIndex(transaction, mSelf, entry.mId, before, aItem.mNewGrant);
  aItem.mWritten = true;
}

void budget_system::AdvanceWindow(round_item& aItem) const
{
  wall_time newest;
  for (const charge& item : aItem.mCharges) {
    newest = std::max(newest, item.mAt);
  }
  for (const auto& segment : aItem.mBudget->mLog->mSegments) {
    if (segment.mNewest + mSettings.mRetryWindow >= newest) {
      return;
    }
    aItem.mRow.mWindowSegment =
      std::max(aItem.mRow.mWindowSegment, segment.mNumber + 1);
  }
}

void budget_system::ComposeHolder()
{
  if (IsEnding()) {
    if (mRound.mItems.empty() && NeedsHolderRound() && mHolderVersion > 0) {
      mRound.mDeletesHolder = true;
      mRound.mTransaction.mWrites.push_back({ HolderKey(mSelf), std::nullopt });
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
  mRound.mTransaction.mWrites.push_back(
    { HolderKey(mSelf), FormatHolderRow(row) });
  mRound.mNewHolder = std::move(row);
}

void budget_system::OnCommitted(std::uint64_t aVersion, time_point aNow)
{
  for (round_item& item : mRound.mItems) {
    if (item.mWritten) {
      ApplyItem(item, aNow);
    }
  }
  if (mRound.mDeletesHolder) {
    mHolderVersion = 0;
    mOver = true;
  }
  if (mRound.mNewHolder) {
    mHolder = *mRound.mNewHolder;
    mHolderVersion = aVersion;
    mRound.mNewHolder.reset();
    RequeueUnheld();
  }
}

void budget_system::ApplyItem(round_item& aItem, time_point aNow)
{
  budget_entry& entry = *aItem.mBudget;
  const auto was = entry.mPending.size();
  if (!aItem.mCharges.empty()) {
    AddToLog(entry, aItem.mSegment, aItem.mCharges);
  }
  charge_log& log = *entry.mLog;
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
  entry.mReturning = 0;
  entry.mConflicts = 0;
  entry.mConflictVersion.reset();
  entry.mSpent = aItem.mRow.mSpent;
  entry.mAvailable = aItem.mRow.Available();
  entry.mLastRound = aNow;
  entry.mRefillBelow = entry.Free() / kRefillPart;
  if (was > 0 && !entry.mPending.empty()) {
    entry.mOldestCharge = mCharges.at(entry.mPending.front()).mSince;
  }
  Notify(entry);
  Reschedule(entry, aNow);
}

void budget_system::SetEntryGrant(budget_entry& aEntry, std::int64_t aGrant)
{
  if ((aEntry.mGrant > 0) != (aGrant > 0)) {
    mGranted += aGrant > 0 ? 1 : -1;
  }
  aEntry.mGrant = aGrant;
}

void budget_system::Notify(const budget_entry& aEntry)
{
  if (!aEntry.mWaiting.empty()) {
    mOut.mChanged.push_back(aEntry.mId);
  }
}
