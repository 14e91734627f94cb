#include "Budget/BudgetSystem.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "Budget/GrantSizing.h"

namespace {

using std::chrono::duration;
using std::chrono::seconds;

// Time constant of the average rate of use. A shorter one would request a grant
// for a quarter of an hour at the rate of a short burst.
constexpr double kRateAveragingSeconds = 60;
constexpr seconds kRateSampleInterval(1);

// Minimum time between two updates of a budget when a larger grant is due but
// no reservation waits for it.
constexpr seconds kMinRefillInterval(5);

// Time after which a budget with an unreadable row or segment is read again.
constexpr seconds kUnreadableRetryInterval(30);

// A grant above 1/16 of the unspent tokens is compared with the row every
// `mLargeGrantCheckInterval`, since other holders may have used the rest
// meanwhile.
constexpr std::int64_t kLargeGrantDivisor = 16;

// With every reservation, the largest recent reservation decays by 1/8 of its
// difference to the new one.
constexpr std::int64_t kLargestRequestDecayDivisor = 8;

} // namespace

budget_system::budget_system(incarnation_id aSelf,
                             const budget_settings& aSettings,
                             std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mRandom(aSeed)
  , mTransactionBucket(aSettings.mTransactionBurst)
{
}

result<void, budget_error> budget_system::Reserve(const request_id& aRequest,
                                                  const account_id& aAccount,
                                                  const budget_id& aBudget,
                                                  std::int64_t aTokens,
                                                  time_point aNow)
{
  if (const auto refused = CheckNewRequest(aRequest)) {
    ++mCounters.mRefusedOther;
    return *refused;
  }
  if (aTokens <= 0) {
    ++mCounters.mRefusedOther;
    return budget_error::BadAmount;
  }
  budget_entry& entry = FindOrCreateEntry(aBudget, aNow);
  entry.mLastUse = aNow;
  if (entry.mChargeLog && entry.mChargeLog->mRequests.count(aRequest) > 0) {
    ++mCounters.mRefusedOther;
    return budget_error::AlreadyCharged;
  }
  entry.mLargestRequest =
    std::max(aTokens,
             entry.mLargestRequest -
               (entry.mLargestRequest - aTokens) / kLargestRequestDecayDivisor);
  if (entry.FreeTokens() < aTokens) {
    return RefuseReservation(entry, aRequest, aTokens, aNow);
  }
  std::erase_if(entry.mWaiting, [&](const waiting_demand& aDemand) {
    return aDemand.mRequest == aRequest;
  });
  entry.mReserved += aTokens;
  mOpenReservations.emplace(
    aRequest,
    open_reservation{
      &entry, aAccount, aTokens, entry.mChargeLog->mNextUnread });
  ++mCounters.mReservations;
  if (entry.FreeTokens() < entry.mRefillThreshold) {
    Schedule(entry, std::max(aNow, entry.mLastUpdate + kMinRefillInterval));
  }
  return success();
}

std::optional<budget_error> budget_system::CheckNewRequest(
  const request_id& aRequest) const
{
  if (mOpenReservations.count(aRequest) > 0) {
    return budget_error::DuplicateOpen;
  }
  if (mCharges.count(aRequest) > 0) {
    return budget_error::AlreadyCharged;
  }
  if (mFenced) {
    return budget_error::Fenced;
  }
  if (mShuttingDown) {
    return budget_error::ShuttingDown;
  }
  if (!CanProtectCharges()) {
    return budget_error::Unprotected;
  }
  return std::nullopt;
}

budget_error budget_system::RefuseReservation(budget_entry& aEntry,
                                              const request_id& aRequest,
                                              std::int64_t aTokens,
                                              time_point aNow)
{
  const bool stale =
    !aEntry.mRowRead || aNow - aEntry.mLastUpdate >= mSettings.mRecheckInterval;
  if (aEntry.mRowRead && !stale) {
    if (aEntry.mRowMissing || aEntry.mRowUnreadable) {
      ++mCounters.mRefusedOther;
      return aEntry.mRowMissing ? budget_error::UnknownBudget
                                : budget_error::UnreadableRow;
    }
    if (aEntry.mAvailable + aEntry.FreeTokens() < aTokens &&
        !aEntry.mInUpdate) {
      Schedule(aEntry, aEntry.mLastUpdate + mSettings.mRecheckInterval);
      ++mCounters.mRefusedExhausted;
      return budget_error::Exhausted;
    }
  }
  const auto same = [&](const waiting_demand& aDemand) {
    return aDemand.mRequest == aRequest;
  };
  std::erase_if(aEntry.mWaiting, same);
  aEntry.mWaiting.push_back(
    { aRequest, aTokens, aNow + mSettings.mDemandLifetime });
  if (aEntry.mConflicts == 0) {
    Schedule(aEntry, aNow);
  }
  ++mCounters.mRefusedAwaiting;
  return budget_error::AwaitingGrant;
}

void budget_system::Settle(const request_id& aRequest,
                           std::int64_t aUsedTokens,
                           wall_time aAt,
                           time_point aNow)
{
  const auto found = mOpenReservations.find(aRequest);
  if (found == mOpenReservations.end()) {
    return;
  }
  const open_reservation open = std::move(found->second);
  mOpenReservations.erase(found);
  if (aUsedTokens < 0) {
    ++mCounters.mMissingUsage;
    aUsedTokens = open.mTokens;
  }
  if (aUsedTokens > open.mTokens) {
    ++mCounters.mExcessUsage;
    mCounters.mExcessTokens += aUsedTokens - open.mTokens;
  }
  const std::int64_t tokens = std::min(aUsedTokens, open.mTokens);
  budget_entry& entry = *open.mBudget;
  entry.mReserved -= open.mTokens;
  entry.mLastUse = aNow;
  RecordUsage(entry, tokens, aNow);
  if (entry.mChargeLog->mRequests.count(aRequest) > 0) {
    // Another node charged the same request meanwhile.
    ++mCounters.mDuplicateCharges;
    Schedule(entry, IsEnding() ? aNow : aNow + mSettings.mMaxFlushDelay);
    return;
  }
  if (entry.mPending.empty()) {
    entry.mOldestCharge = aNow;
  }
  entry.mUnflushed += tokens;
  entry.mPending.push_back(aRequest);
  ++mCounters.mCharges;
  unflushed_charge unflushed;
  unflushed.mCharge = { aRequest, open.mAccount, entry.mId,        mSelf,
                        tokens,   aAt,           open.mFromSegment };
  unflushed.mBudget = &entry;
  unflushed.mChargedAt = aNow;
  mCharges.emplace(aRequest, std::move(unflushed));
  mChargesToHold.push_back(aRequest);
  const bool immediately =
    IsEnding() || !HasBackup() ||
    entry.mPending.size() >= mSettings.mMaxChargesPerMessage / 2;
  Schedule(entry, immediately ? aNow : aNow + mSettings.mMaxFlushDelay);
}

void budget_system::Release(const request_id& aRequest, time_point aNow)
{
  const auto found = mOpenReservations.find(aRequest);
  if (found == mOpenReservations.end()) {
    return;
  }
  budget_entry& entry = *found->second.mBudget;
  entry.mReserved -= found->second.mTokens;
  mOpenReservations.erase(found);
  Schedule(entry, IsEnding() ? aNow : aNow + mSettings.mIdleReturnDelay);
}

bool budget_system::IsChargeProtected(const request_id& aRequest) const
{
  if (mOpenReservations.count(aRequest) > 0) {
    return false;
  }
  const auto found = mCharges.find(aRequest);
  if (found == mCharges.end()) {
    return true;
  }
  const auto& held = found->second.mHeldBy;
  return std::any_of(
    held.begin(), held.end(), [this](const incarnation_id& aPeer) {
      return mDeadPeers.count(aPeer) == 0;
    });
}

budget_output budget_system::Tick(time_point aNow)
{
  ExpireHolds(aNow);
  UpdateBackupState(aNow);
  SendHolds(aNow);
  AdvanceUpdate(aNow);
  for (auto& [holder, requests] : mDrops) {
    mOutput.mDrops.push_back({ holder, std::move(requests) });
  }
  mDrops.clear();
  return std::exchange(mOutput, {});
}

void budget_system::BeginShutdown(time_point aNow)
{
  if (!mShuttingDown) {
    mShuttingDown = true;
    ScheduleAll(aNow);
  }
}

bool budget_system::IsDrained() const
{
  if (!IsEnding() || !mOpenReservations.empty()) {
    return false;
  }
  return mHolderClosed ||
         (mHolderVersion == 0 && mUpdate.mPhase == update_phase::Idle);
}

budget_system::budget_entry& budget_system::FindOrCreateEntry(
  const budget_id& aBudget,
  time_point aNow)
{
  const auto [place, added] = mBudgets.try_emplace(aBudget);
  budget_entry& entry = place->second;
  if (added) {
    entry.mId = aBudget;
    entry.mSerial = ++mNextSerial;
    entry.mRateSince = aNow;
    entry.mLastUpdate = aNow;
  }
  return entry;
}

void budget_system::RecordUsage(budget_entry& aEntry,
                                std::int64_t aTokens,
                                time_point aNow)
{
  aEntry.mRateTokens += aTokens;
  const auto passed = aNow - aEntry.mRateSince;
  if (passed < kRateSampleInterval) {
    return;
  }
  const double length = duration<double>(passed).count();
  const double rate = static_cast<double>(aEntry.mRateTokens) / length;
  const double weight = 1 - std::exp(-length / kRateAveragingSeconds);
  aEntry.mRate += weight * (rate - aEntry.mRate);
  aEntry.mRateTokens = 0;
  aEntry.mRateSince = aNow;
}

void budget_system::Schedule(budget_entry& aEntry, time_point aAt)
{
  if (aEntry.mDueAt && *aEntry.mDueAt <= aAt) {
    return;
  }
  Unschedule(aEntry);
  aEntry.mDueAt = aAt;
  mSchedule.emplace(std::make_pair(aAt, aEntry.mSerial), &aEntry);
}

void budget_system::Unschedule(budget_entry& aEntry)
{
  if (aEntry.mDueAt) {
    mSchedule.erase({ *aEntry.mDueAt, aEntry.mSerial });
    aEntry.mDueAt.reset();
  }
}

bool budget_system::IsScarce(const budget_entry& aEntry) const
{
  return IsScarceBudget(
    aEntry.mTotal - aEntry.mSpent, aEntry.mTotal, aEntry.mLargestRequest);
}

void budget_system::Reschedule(budget_entry& aEntry, time_point aNow)
{
  std::erase_if(aEntry.mWaiting, [&](const waiting_demand& aDemand) {
    return aDemand.mExpiresAt <= aNow;
  });
  if (aEntry.mRowUnreadable) {
    Schedule(aEntry, aNow + kUnreadableRetryInterval);
    return;
  }
  if (!aEntry.mWaiting.empty()) {
    Schedule(aEntry, aNow + mSettings.mRecheckInterval);
  }
  const bool scarce = IsScarce(aEntry);
  if (!aEntry.mPending.empty()) {
    const auto delay =
      scarce ? mSettings.mScarceReturnDelay : mSettings.mMaxFlushDelay;
    const bool immediately = IsEnding() || !HasBackup();
    Schedule(aEntry,
             immediately ? aNow : std::max(aNow, aEntry.mOldestCharge + delay));
  }
  if (aEntry.mGrant > 0) {
    const auto idle =
      scarce ? mSettings.mScarceReturnDelay : mSettings.mIdleReturnDelay;
    // While requests are open, an ending holder cannot return the grant.
    if (!IsEnding() || aEntry.mReserved == 0) {
      Schedule(aEntry,
               IsEnding() ? aNow
                          : std::max(aNow + mSettings.mScarceReturnDelay,
                                     aEntry.mLastUse + idle));
    }
    if (aEntry.mGrant > (aEntry.mTotal - aEntry.mSpent) / kLargeGrantDivisor) {
      Schedule(aEntry, aNow + mSettings.mLargeGrantCheckInterval);
    }
  } else if (aEntry.mPending.empty() && aEntry.mReserved == 0) {
    Schedule(aEntry, std::max(aNow, aEntry.mLastUse + mSettings.mForgetDelay));
  }
}

void budget_system::ScheduleAll(time_point aNow)
{
  std::map<std::uint64_t, budget_entry*> ordered;
  for (auto& [id, entry] : mBudgets) {
    if (entry.mGrant > 0 || !entry.mPending.empty()) {
      ordered.emplace(entry.mSerial, &entry);
    }
  }
  for (const auto& [serial, entry] : ordered) {
    Schedule(*entry, aNow);
  }
}

std::optional<budget_status> budget_system::Status(
  const budget_id& aBudget) const
{
  const auto found = mBudgets.find(aBudget);
  if (found == mBudgets.end()) {
    return std::nullopt;
  }
  const budget_entry& entry = found->second;
  return budget_status{ entry.mId,        entry.FreeTokens(), entry.mReserved,
                        entry.mUnflushed, entry.mTotal,       entry.mSpent,
                        entry.mAvailable, entry.mRate,        entry.mRowRead };
}

std::vector<budget_status> budget_system::AllBudgetStatus() const
{
  std::map<budget_id, budget_status> ordered;
  for (const auto& [id, entry] : mBudgets) {
    ordered.emplace(id, *Status(id));
  }
  std::vector<budget_status> all;
  all.reserve(ordered.size());
  for (auto& [id, status] : ordered) {
    all.push_back(std::move(status));
  }
  return all;
}
