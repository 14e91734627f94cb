// Parts of `token_allowance` that bind this run by claims and take over the
// tokens of earlier runs.

#include "Gateway/TokenAllowance.h"

#include <algorithm>

namespace {

using std::chrono::milliseconds;

// Requests of mean size that a claim's limit allows for in addition to the
// observed usage. Tokens below the limit are lost when the host loses power, at
// each node and for each account; a request above it waits a few ms for a new
// claim.
constexpr double kSpendLimitRequests = 0.5;
// Largest difference between the clocks of the store and of a node.
constexpr milliseconds kMaxClockSkew(200);
// Divisor of an elapsed time that gives the largest drift between the clocks of
// the store and of a node: both may be slewed by 500 ppm.
constexpr int kClockDriftDivisor = 1000;

} // namespace

bool token_allowance::ClaimsExpired(time_point aNow) const
{
  return std::ranges::none_of(mClaims, [aNow](const active_claim& aEntry) {
    return aNow < aEntry.mExpires;
  });
}

std::int64_t token_allowance::Available(const account_id& aAccount,
                                        const account_state& aState,
                                        time_point aNow) const
{
  std::int64_t limit = aState.mReceived;
  for (const active_claim& entry : mClaims) {
    const auto found = entry.mAccounts.find(aAccount.mName);
    // Tokens that a claim does not name cannot be taken over.
    if (aNow < entry.mExpires && found != entry.mAccounts.end()) {
      const std::int64_t unnamed = aState.mReceived - found->second.mReceived;
      limit = std::min(limit, found->second.mSpendLimit + unnamed);
    }
  }
  return limit - aState.mSpent;
}

std::int64_t token_allowance::NextSpendLimit(const account_state& aState,
                                             time_point aNow) const
{
  // Without a claim in force the store was unreachable. The next outage may be
  // near, so the limit is everything until the first reply.
  if (mReturning || !mClaimConfirmed || ClaimsExpired(aNow)) {
    return aState.mReceived;
  }
  const double life =
    std::chrono::duration<double>(mSettings.mClaimTimeToLive).count() +
    std::chrono::duration<double>(mSettings.mClaimInterval).count();
  const double ahead = UsedPerSecond(aState, aNow) * life +
                       aState.mMeanRequestTokens * kSpendLimitRequests;
  const std::int64_t needed =
    std::max(aState.mUnmetNeed, aState.mSpendLimitNeed);
  return std::min(aState.mReceived,
                  aState.mSpent + needed + static_cast<std::int64_t>(ahead));
}

void token_allowance::OnStoreTime(milliseconds aStoreTime, time_point aNow)
{
  mStoreTime = aStoreTime;
  mStoreTimeAt = aNow;
}

std::optional<claim_change> token_allowance::TakeClaim(time_point aNow)
{
  const bool due = aNow >= mNextClaimAt || mSpendLimitTooLow;
  if (mClaimPending || !due || mAccounts.empty()) {
    return std::nullopt;
  }
  std::erase_if(mClaims, [aNow](const active_claim& aEntry) {
    return aNow >= aEntry.mExpires;
  });
  claim_change change;
  change.mExpectedVersion = mClaimVersion;
  change.mRow.mRun = mRun;
  change.mRow.mSequence = ++mSequence;
  if (mStoreTime) {
    // The reply that carried the time was under way for a while, so this is not
    // later than the store's clock.
    change.mRow.mStartsAt =
      *mStoreTime +
      std::chrono::duration_cast<milliseconds>(aNow - mStoreTimeAt);
  }
  for (auto& [account, state] : mAccounts) {
    if (state.mReceived > 0) {
      change.mRow.mAccounts[account.mName] = { state.mReceived,
                                               NextSpendLimit(state, aNow) };
    }
    state.mSpendLimitNeed = 0;
  }
  // The limit applies from here on, because the write may be applied without a
  // reply.
  mClaims.push_back({ change.mRow.mSequence,
                      change.mRow.mAccounts,
                      aNow + mSettings.mClaimTimeToLive });
  mClaimPending = true;
  mSpendLimitTooLow = false;
  mNextClaimAt = aNow + mSettings.mClaimInterval;
  return change;
}

void token_allowance::OnClaimCommitted(std::uint64_t aVersion, time_point aNow)
{
  mLastClaimAt = aNow;
  mClaimPending = false;
  mClaimVersion = aVersion;
  ConfirmClaim();
  // Older claims, and unanswered ones that expected the same version, can no
  // longer be in the store.
  while (mClaims.size() > 1) {
    mClaims.pop_front();
  }
}

void token_allowance::ConfirmClaim()
{
  mClaimConfirmed = true;
  for (const auto& [account, tokens] : mTakenOver) {
    mAccounts[account].mReceived += tokens;
  }
  mTakenOver.clear();
}

std::int64_t token_allowance::OnClaimConflict(
  const std::optional<claim_row>& aCurrent,
  std::uint64_t aVersion,
  milliseconds aStoreTime,
  time_point aSentAt)
{
  mClaimPending = false;
  mNextClaimAt = {};
  mClaimVersion = aVersion;
  if (aCurrent && aCurrent->mRun == mRun) {
    // The reply to an earlier write was lost; only that claim is in the store.
    std::erase_if(mClaims, [&](const active_claim& aEntry) {
      return aEntry.mSequence != aCurrent->mSequence;
    });
    ConfirmClaim();
    return 0;
  }
  mClaims.clear();
  if (!aCurrent || LatestEndOfEarlierRun(aStoreTime, aSentAt) >=
                     aCurrent->mStartsAt + mSettings.mClaimTimeToLive) {
    return 0;
  }
  mTakenOver.clear();
  std::int64_t takenOver = 0;
  for (const auto& [account, entry] : aCurrent->mAccounts) {
    const std::int64_t tokens = entry.mReceived - entry.mSpendLimit;
    if (tokens > 0 && !mClaimConfirmed) {
      mTakenOver[account_id{ account }] = tokens;
      takenOver += tokens;
    }
  }
  return takenOver;
}

milliseconds token_allowance::LatestEndOfEarlierRun(milliseconds aStoreTime,
                                                    time_point aSentAt) const
{
  if (!mStartedAt || aSentAt < *mStartedAt) {
    return aStoreTime + kMaxClockSkew;
  }
  // The store read its clock after the write was sent, so this is not earlier
  // than the start of this run by the store's clock.
  const auto sinceStart =
    std::chrono::duration_cast<milliseconds>(aSentAt - *mStartedAt);
  return aStoreTime - sinceStart + sinceStart / kClockDriftDivisor +
         kMaxClockSkew;
}

void token_allowance::OnClaimFailed(bool aUnknown)
{
  mClaimPending = false;
  if (!aUnknown && !mClaims.empty()) {
    mClaims.pop_back();
  }
}
