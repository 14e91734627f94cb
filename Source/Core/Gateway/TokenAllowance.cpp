#include "Gateway/TokenAllowance.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

// With more nodes than this no tokens are drawn before the first usage.
constexpr std::size_t kMaxInitialDrawNodes = 16;
// Period over which the usage of an account is measured.
constexpr std::chrono::seconds kUsagePeriod(4);
// Shortest part of a period that is used to compute a rate.
constexpr std::chrono::duration<double> kMinUsagePeriod(2.0);
// Delay after a conflict, doubled up to the limit; spread by node.
constexpr milliseconds kInitialBackoff(8);
constexpr unsigned kMaxBackoffDoublings = 6;
// Delay after the store refused a write or did not answer.
constexpr milliseconds kStoreRetryDelay(300);
// Smaller draws are not worth a transaction.
constexpr std::int64_t kMinDrawTokens = 256;
// A draw that no request needs now must bring at least the target divided by
// this.
constexpr std::int64_t kMinDrawDivisor = 8;
// Weight of the newest request in the moving average of the size.
constexpr double kRequestSizeGain = 0.1;
// Requests of mean size that are held in addition to the observed usage.
constexpr std::int64_t kReserveRequests = 3;
// Tokens are drawn when less than three quarters of the target are left.
constexpr std::int64_t kRefillDenominator = 4;
constexpr std::int64_t kRefillNumerator = 3;

} // namespace

token_allowance::token_allowance(std::string aRun,
                                 const allowance_settings& aSettings)
  : mRun(std::move(aRun))
  , mSettings(aSettings)
{
}

void token_allowance::SetTotal(const account_id& aAccount, std::int64_t aTokens)
{
  mAccounts[aAccount].mTotal = aTokens;
}

reserve_verdict token_allowance::Reserve(const account_id& aAccount,
                                         std::int64_t aTokens,
                                         time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  RotateUsagePeriod(state, aNow);
  state.mMeanRequestTokens += kRequestSizeGain * (static_cast<double>(aTokens) -
                                                  state.mMeanRequestTokens);
  if (Available(aAccount, state, aNow) >= aTokens) {
    state.mSpent += aTokens;
    return reserve_verdict::Granted;
  }
  if (state.Free() >= aTokens) {
    // Only the claim's limit is too low; the next claim allows for the request.
    state.mSpendLimitNeed = std::max(state.mSpendLimitNeed, aTokens);
    mSpendLimitTooLow = true;
    return reserve_verdict::Awaiting;
  }
  state.mUnmetNeed = std::max(state.mUnmetNeed, aTokens);
  const std::int64_t remaining =
    std::max<std::int64_t>(state.mTotal - state.mGranted, 0);
  const bool exhausted =
    state.mRowKnown &&
    remaining + state.Free() + FreeTokensOnPeers(aAccount) < aTokens;
  return exhausted ? reserve_verdict::Exhausted : reserve_verdict::Awaiting;
}

std::int64_t token_allowance::FreeTokensOnPeers(
  const account_id& aAccount) const
{
  const auto found = mHolders.find(AccountKey(aAccount));
  std::int64_t sum = 0;
  if (found != mHolders.end()) {
    for (const token_holder& holder : found->second) {
      sum += holder.mTokens;
    }
  }
  return sum;
}

void token_allowance::FinishReservation(const account_id& aAccount,
                                        std::int64_t aReserved,
                                        std::int64_t aUsed,
                                        time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  RotateUsagePeriod(state, aNow);
  state.mSpent -= aReserved - std::min(aUsed, aReserved);
  state.mUsedInPeriod += static_cast<double>(aUsed);
}

void token_allowance::OnUnmetDemand(const account_id& aAccount,
                                    std::int64_t aTokens,
                                    time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  RotateUsagePeriod(state, aNow);
  state.mUsedInPeriod += static_cast<double>(aTokens);
}

void token_allowance::RotateUsagePeriod(account_state& aState,
                                        time_point aNow) const
{
  if (aNow < aState.mPeriodEndsAt) {
    return;
  }
  const bool adjacent = aNow < aState.mPeriodEndsAt + kUsagePeriod;
  aState.mUsedInLastPeriod = adjacent ? aState.mUsedInPeriod : 0.0;
  aState.mUsedInPeriod = 0.0;
  aState.mPeriodEndsAt = aNow + kUsagePeriod;
}

double token_allowance::UsedPerSecond(const account_state& aState,
                                      time_point aNow) const
{
  const std::chrono::duration<double> period = kUsagePeriod;
  const std::chrono::duration<double> left = aState.mPeriodEndsAt - aNow;
  const double elapsed =
    std::clamp(period - left, kMinUsagePeriod, period).count();
  return std::max(aState.mUsedInLastPeriod / period.count(),
                  aState.mUsedInPeriod / elapsed);
}

std::int64_t token_allowance::TargetTokens(const account_state& aState,
                                           time_point aNow) const
{
  const double use = UsedPerSecond(aState, aNow) * mSettings.mHorizonSeconds;
  const double first = static_cast<double>(aState.mTotal) *
                       mSettings.mInitialShare / static_cast<double>(mNodes);
  // In a large fleet the initial share of a node would be smaller than a
  // request.
  const bool spread = mNodes <= kMaxInitialDrawNodes;
  const double start = aState.mUsedInLastPeriod > 0.0 || !spread ? 0.0 : first;
  return static_cast<std::int64_t>(std::max(use, start)) +
         static_cast<std::int64_t>(aState.mMeanRequestTokens) *
           kReserveRequests;
}

std::int64_t token_allowance::SharingNodes(const account_id& aAccount) const
{
  const auto found = mHolders.find(AccountKey(aAccount));
  const std::size_t others = found == mHolders.end() ? 0 : found->second.size();
  return static_cast<std::int64_t>(std::min(others + 1, mNodes));
}

std::int64_t token_allowance::DrawAmount(const account_id& aAccount,
                                         const account_state& aState,
                                         time_point aNow) const
{
  const std::int64_t remaining = aState.mTotal - aState.mGranted;
  const std::int64_t target = TargetTokens(aState, aNow);
  const bool needed = aState.mUnmetNeed > aState.Free();
  if (remaining <= 0 || (!needed && aState.Free() * kRefillDenominator >=
                                      target * kRefillNumerator)) {
    return 0;
  }
  // Other nodes need tokens as well, so one draw leaves most of the remaining
  // tokens.
  const std::int64_t fairShare = remaining / (SharingNodes(aAccount) + 1);
  std::int64_t amount = std::min(target - aState.Free(), fairShare);
  if (needed) {
    amount = std::max(amount, aState.mUnmetNeed - aState.Free());
  }
  amount = std::min(amount, remaining);
  const bool small =
    amount < std::max(kMinDrawTokens, target / kMinDrawDivisor) && !needed;
  return small ? 0 : std::max<std::int64_t>(amount, 0);
}

std::int64_t token_allowance::ReturnAmount(const account_id& aAccount,
                                           const account_state& aState,
                                           time_point aNow) const
{
  const std::int64_t available = Available(aAccount, aState, aNow);
  if (mReturning) {
    return std::max<std::int64_t>(available, 0);
  }
  const auto retained = static_cast<std::int64_t>(
    static_cast<double>(TargetTokens(aState, aNow)) * mSettings.mReturnFactor);
  const std::int64_t surplus = std::min(aState.Free() - retained, available);
  // Small amounts are not returned; they are likely to be used.
  return surplus > retained / 2 ? surplus : 0;
}

std::vector<grant_change> token_allowance::TakeGrantChanges(time_point aNow)
{
  std::vector<grant_change> changes;
  for (auto& [account, state] : mAccounts) {
    if (state.mPending || aNow < state.mNextChangeAt) {
      continue;
    }
    RotateUsagePeriod(state, aNow);
    std::int64_t amount = mReturning ? 0 : DrawAmount(account, state, aNow);
    if (amount == 0 && state.mRowKnown) {
      const std::int64_t returned = ReturnAmount(account, state, aNow);
      // Tokens that are being returned can no longer be spent here.
      state.mSpent += returned;
      amount = -returned;
    }
    // The row of an account is first read when a write to it conflicts.
    if (amount == 0) {
      continue;
    }
    const pending_change pending{ ++mSequence, amount };
    state.mPending = pending;
    changes.push_back({ account,
                        state.mVersion,
                        { state.mGranted + amount, mRun, pending.mSequence } });
  }
  return changes;
}

bool token_allowance::HasPendingChanges() const
{
  return std::ranges::any_of(mAccounts, [this](const auto& aPair) {
    return aPair.second.mPending.has_value() ||
           (mReturning && aPair.second.Free() > 0);
  });
}

void token_allowance::OnCommit(const account_id& aAccount,
                               std::uint64_t aVersion,
                               time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (!state.mPending) {
    return;
  }
  state.mVersion = aVersion;
  state.mGranted += state.mPending->mAmount;
  state.mRowKnown = true;
  state.mConflicts = 0;
  if (state.mPending->mAmount > 0) {
    state.mReceived += state.mPending->mAmount;
    state.mUnmetNeed = 0;
  }
  state.mPending.reset();
  // A committed write of another sequence proves that the unanswered one, with
  // the same condition, can no longer be applied.
  state.mUnanswered.reset();
  state.mNextChangeAt = aNow;
}

void token_allowance::OnConflict(const account_id& aAccount,
                                 const std::optional<grant_row>& aCurrent,
                                 std::uint64_t aVersion,
                                 time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (!state.mPending) {
    return;
  }
  const pending_change pending = *state.mPending;
  state.mPending.reset();
  if (pending.mAmount < 0) {
    state.mSpent += pending.mAmount;
  }
  state.mVersion = aVersion;
  state.mGranted = aCurrent ? aCurrent->mGranted : 0;
  state.mRowKnown = true;
  if (state.mUnanswered && aCurrent && aCurrent->mWriter == mRun &&
      aCurrent->mSequence == state.mUnanswered->mSequence) {
    // The unanswered change was applied after all. If it was a return, nothing
    // is left to do, because its tokens were deducted when it was sent.
    state.mReceived += std::max<std::int64_t>(state.mUnanswered->mAmount, 0);
    state.mConflicts = 0;
  }
  state.mUnanswered.reset();
  ++state.mConflicts;
  state.mNextChangeAt = aNow + Backoff(aAccount, state);
}

std::chrono::milliseconds token_allowance::Backoff(
  const account_id& aAccount,
  const account_state& aState) const
{
  const unsigned doublings = std::min(aState.mConflicts, kMaxBackoffDoublings);
  const auto longest = kInitialBackoff * (1U << doublings);
  const auto spread =
    StableHash(mRun + aAccount.mName, mSequence) % longest.count();
  return milliseconds(static_cast<std::int64_t>(spread));
}

void token_allowance::OnRefused(const account_id& aAccount, time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (state.mPending && state.mPending->mAmount < 0) {
    state.mSpent += state.mPending->mAmount;
  }
  state.mPending.reset();
  state.mNextChangeAt = aNow + kStoreRetryDelay;
}

void token_allowance::OnUnknown(const account_id& aAccount, time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (!state.mPending) {
    return;
  }
  // After a second unanswered change the tokens of the first one are given up,
  // because only the newest can be recognized in the row.
  state.mUnanswered = std::exchange(state.mPending, std::nullopt);
  state.mNextChangeAt = aNow + kStoreRetryDelay;
}

std::int64_t token_allowance::FreeTokens(const account_id& aAccount) const
{
  const auto found = mAccounts.find(aAccount);
  return found == mAccounts.end() ? 0 : found->second.Free();
}

std::int64_t token_allowance::UngrantedTokens(const account_id& aAccount) const
{
  const auto found = mAccounts.find(aAccount);
  return found == mAccounts.end()
           ? 0
           : found->second.mTotal - found->second.mGranted;
}
