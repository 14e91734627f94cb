// Parts of `token_allowance` that bind this run by claims and take over the
// tokens of earlier runs.

#include "Gateway/TokenAllowance.h"

#include <algorithm>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

// Requests of mean size that a claim's limit allows for in addition to the
// observed usage. Tokens below the limit are lost when the host loses power, at
// each node and for each account; a request above it waits a few ms for a new
// claim.
constexpr double kSpendLimitRequests = 0.5;
// Largest difference between the clocks of the store and of a node.
constexpr milliseconds kMaxClockSkew(200);
// Time in seconds of the observed usage that a claim's limit allows for at its
// start. In a small fleet an outage of the store is served with it until the
// claim expires.
constexpr double kSmallFleetStartSeconds = 3.6;
constexpr double kStartSeconds = 1.0;
// Requests of mean size of the target that the hard limit does not allow for.
constexpr std::int64_t kSparedRequests = 2;
// Time in seconds of the demand that the hard limit allows for in a large fleet
// while most tokens are not granted: an outage of 9 s and the claim interval.
constexpr double kOutageSeconds = 10.0;
// Requests of mean size that the limits allow for in addition, at the start of
// a claim and in the whole outage, because few requests of an account do not
// come evenly.
constexpr double kStartRequests = 2.0;
constexpr double kOutageRequests = 3.0;
// The limits of all nodes together allow for such requests up to one part in
// this many of the unspent tokens; so much is lost if all nodes are lost.
constexpr std::int64_t kReservedDivisor = 32;
// Interval between claims in large fleets: all nodes together write at most 500
// claims a second, a third of what the store carries.
constexpr milliseconds kClaimIntervalPerNode(2);
// Time over which the returns of tokens that were taken over are spread.
constexpr milliseconds kTakeoverReturnSpread(1500);
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
  // Tokens that others may take over by one of the claims that may be in the
  // store. Tokens that a claim does not name cannot be taken over by it.
  std::int64_t takeable = 0;
  const auto unconfirmed = mExpiredTakeable.find(aAccount.mName);
  if (unconfirmed != mExpiredTakeable.end()) {
    takeable = unconfirmed->second;
  }
  for (const active_claim& claim : mClaims) {
    const auto found = claim.mAccounts.find(aAccount.mName);
    if (found != claim.mAccounts.end()) {
      // A run that takes over sees an age that is not lower, because the start
      // in the row is not later than this one.
      const auto age = std::chrono::duration_cast<milliseconds>(
        aNow - claim.mExpires + mSettings.mClaimTimeToLive);
      const std::int64_t limit =
        LimitAt(found->second, age, mSettings.mClaimTimeToLive);
      takeable = std::max(takeable, found->second.mReceived - limit);
    }
  }
  return aState.Free() - takeable;
}

claim_entry token_allowance::NextClaimEntry(const account_id& aAccount,
                                            const account_state& aState,
                                            time_point aNow) const
{
  claim_entry entry{ aState.mReceived, aState.mReceived, aState.mReceived };
  if (mReturning || !mClaimConfirmed) {
    return entry;
  }
  const std::int64_t needed =
    std::max(aState.mUnmetNeed, aState.mSpendLimitNeed);
  const std::int64_t base = aState.mSpent + needed;
  const double life =
    std::chrono::duration<double>(mSettings.mClaimTimeToLive).count() +
    std::chrono::duration<double>(ClaimInterval()).count();
  const bool holdsForOutage = HoldsForOutage(aState);
  const double usage = holdsForOutage ? DemandPerSecond(aState, aNow)
                                      : UsedPerSecond(aState, aNow);
  // In a large fleet a node gets few requests of an account, and most of them
  // have to wait a few ms for a new claim in any case. In an outage no new
  // claim comes, so the next requests are allowed for while tokens are not
  // short.
  const double reserved =
    holdsForOutage ? ReservedForRequests(aAccount, aState, kStartRequests)
                   : 0.0;
  const double more =
    IsSmallFleet() ? aState.mMeanRequestTokens * kSpendLimitRequests : reserved;
  const double startSeconds =
    IsSmallFleet() ? kSmallFleetStartSeconds : kStartSeconds;
  const std::int64_t spendLimit =
    base + static_cast<std::int64_t>(usage * life + more);
  const std::int64_t startLimit =
    base + static_cast<std::int64_t>(usage * startSeconds + more);
  entry.mHardLimit =
    std::min(aState.mReceived,
             std::max(spendLimit, base + OutageTokens(aAccount, aState, aNow)));
  // Without a claim in force the store was unreachable. The next outage may be
  // near, so only the hard limit applies until the first reply.
  // An empty claim is not renewed, so it may expire while the store replies.
  entry.mSpendLimit = ClaimsExpired(aNow) && !mStoredClaimEmpty
                        ? entry.mHardLimit
                        : std::min(entry.mHardLimit, spendLimit);
  entry.mStartLimit = ClaimsExpired(aNow) && !mStoredClaimEmpty
                        ? entry.mSpendLimit
                        : std::min(entry.mSpendLimit, startLimit);
  return entry;
}

double token_allowance::ReservedForRequests(const account_id& aAccount,
                                            const account_state& aState,
                                            double aRequests) const
{
  const std::int64_t most = UnspentTokens(aAccount, aState) /
                            (kReservedDivisor * SharingNodes(aAccount));
  return std::min(aState.mMeanRequestTokens * aRequests,
                  static_cast<double>(most));
}

std::int64_t token_allowance::OutageTokens(const account_id& aAccount,
                                           const account_state& aState,
                                           time_point aNow) const
{
  const std::int64_t target = TargetTokens(aAccount, aState, aNow);
  if (IsSmallFleet()) {
    // An outage may cut each node off from all others, so a node may spend all
    // that it holds.
    return aState.mReceived;
  }
  // In a large fleet the other nodes help during an outage.
  const std::int64_t spared =
    static_cast<std::int64_t>(aState.mMeanRequestTokens) * kSparedRequests;
  if (HoldsForOutage(aState)) {
    // The target is higher than what an outage takes.
    const double needed =
      DemandPerSecond(aState, aNow) * kOutageSeconds +
      ReservedForRequests(aAccount, aState, kOutageRequests);
    return static_cast<std::int64_t>(needed);
  }
  return std::max<std::int64_t>(target - spared, 0);
}

void token_allowance::OnStoreTime(milliseconds aStoreTime, time_point aNow)
{
  mStoreTime = aStoreTime;
  mStoreTimeAt = aNow;
}

std::optional<claim_change> token_allowance::TakeClaim(time_point aNow)
{
  const bool due = aNow >= mNextClaimAt || mSpendLimitTooLow;
  if (mClaimPending || !due || mAccounts.empty() || IsStoredClaimEmpty()) {
    return std::nullopt;
  }
  ForgetExpiredClaims(aNow);
  claim_change change;
  change.mExpectedVersion = mClaimVersion;
  change.mRow.mRun = mRun;
  change.mRow.mSequence = ++mSequence;
  change.mRow.mTimeToLive = mSettings.mClaimTimeToLive;
  change.mRow.mEra = mEra;
  if (mStoreTime) {
    // The reply that carried the time was under way for a while, so this is not
    // later than the store's clock.
    change.mRow.mStartsAt =
      *mStoreTime +
      std::chrono::duration_cast<milliseconds>(aNow - mStoreTimeAt);
  }
  for (auto& [account, state] : mAccounts) {
    // Without free tokens there is nothing to take over.
    if (state.Free() > 0) {
      change.mRow.mAccounts[account.mName] =
        NextClaimEntry(account, state, aNow);
    }
    state.mSpendLimitNeed = 0;
  }
  // The limit applies from here on, because the write may be applied without a
  // reply.
  mClaims.push_back({ change.mRow.mSequence,
                      change.mRow.mAccounts,
                      aNow + mSettings.mClaimTimeToLive });
  mClaimPending = true;
  if (!mClaimFailed) {
    mClaimReplyDueAt = aNow + kStoreReplyTimeout;
  }
  mSpendLimitTooLow = false;
  mNextClaimAt = aNow + ClaimInterval();
  return change;
}

milliseconds token_allowance::ClaimInterval() const
{
  return std::max(mSettings.mClaimInterval,
                  kClaimIntervalPerNode * static_cast<int>(mNodes));
}

bool token_allowance::IsStoredClaimEmpty() const
{
  const bool holdsTokens = std::ranges::any_of(
    mAccounts, [](const auto& aPair) { return aPair.second.Free() > 0; });
  return mClaimConfirmed && mStoredClaimEmpty && !holdsTokens;
}

void token_allowance::ForgetExpiredClaims(time_point aNow)
{
  // Their hard limits stay, because each of them may still be in the store.
  for (const active_claim& claim : mClaims) {
    if (aNow >= claim.mExpires) {
      for (const auto& [account, entry] : claim.mAccounts) {
        std::int64_t& takeable = mExpiredTakeable[account];
        takeable = std::max(takeable, entry.mReceived - entry.mHardLimit);
      }
    }
  }
  std::erase_if(mClaims, [aNow](const active_claim& aEntry) {
    return aNow >= aEntry.mExpires;
  });
}

void token_allowance::OnClaimCommitted(std::uint64_t aVersion, time_point aNow)
{
  mLastClaimAt = aNow;
  mClaimPending = false;
  mClaimFailed = false;
  mClaimVersion = aVersion;
  if (!mClaims.empty()) {
    mCommittedClaim = mClaims.back().mSequence;
  }
  mStoredClaimEmpty = !mClaims.empty() && mClaims.back().mAccounts.empty();
  ConfirmClaim(aNow);
  // Older claims, and unanswered ones that expected the same version, can no
  // longer be in the store.
  mExpiredTakeable.clear();
  while (mClaims.size() > 1) {
    mClaims.pop_front();
  }
}

void token_allowance::ConfirmClaim(time_point aNow)
{
  mClaimConfirmed = true;
  for (const auto& [account, tokens] : mTakenOver) {
    account_state& state = mAccounts[account];
    state.mReceived += tokens;
    // After the loss of all nodes, all of them return tokens.
    const auto spread =
      StableHash(mRun + account.mName) % kTakeoverReturnSpread.count();
    state.mNextReturnAt = aNow + milliseconds(static_cast<int>(spread));
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
  mClaimFailed = false;
  mNextClaimAt = {};
  mClaimVersion = aVersion;
  mStoredClaimEmpty = false;
  if (aCurrent && aCurrent->mRun == mRun) {
    AdoptStoredClaim(*aCurrent);
    ConfirmClaim(aSentAt);
    return 0;
  }
  mClaims.clear();
  mExpiredTakeable.clear();
  mTakenOver.clear();
  if (!aCurrent || mClaimConfirmed || IsOfCopy(aCurrent->mEra)) {
    return 0;
  }
  const milliseconds age =
    LatestEndOfEarlierRun(aStoreTime, aSentAt) - aCurrent->mStartsAt;
  std::int64_t takenOver = 0;
  for (const auto& [account, entry] : aCurrent->mAccounts) {
    const std::int64_t tokens =
      entry.mReceived - LimitAt(entry, age, aCurrent->mTimeToLive);
    if (tokens > 0) {
      mTakenOver[account_id{ account }] = tokens;
      takenOver += tokens;
    }
  }
  return takenOver;
}

void token_allowance::AdoptStoredClaim(const claim_row& aRow)
{
  // The reply to an earlier write was lost, or another node took tokens over.
  // Only the claim in the row is in the store.
  if (mTakenSequence != aRow.mSequence) {
    mTakenSequence = aRow.mSequence;
    mKnownTaken.clear();
  }
  std::erase_if(mClaims, [&](const active_claim& aEntry) {
    return aEntry.mSequence != aRow.mSequence;
  });
  mExpiredTakeable.clear();
  // The store came back with a claim that a later one had replaced. What was
  // taken by it was known then.
  const bool replaced = aRow.mSequence < mCommittedClaim;
  for (const auto& [account, entry] : aRow.mAccounts) {
    std::int64_t& known = mKnownTaken[account];
    if (replaced) {
      known = entry.mTaken;
    }
    account_state& state = mAccounts[account_id{ account }];
    if (IsLargeFleet() && state.mUnmetNeed <= state.Free()) {
      // Only the limits did not cover it while the store was lost. A request
      // that still waits states its need again.
      state.mUnmetNeed = 0;
    }
    state.mReceived -= entry.mTaken - known;
    known = entry.mTaken;
    if (entry.mReceived > entry.mHardLimit) {
      mExpiredTakeable[account] = entry.mReceived - entry.mHardLimit;
    }
  }
  for (active_claim& claim : mClaims) {
    claim.mAccounts = aRow.mAccounts;
  }
}

void token_allowance::OnTakenOver(const claimed_tokens& aTokens,
                                  time_point aNow)
{
  for (const auto& [account, tokens] : aTokens) {
    account_state& state = mAccounts[account_id{ account }];
    state.mReceived += tokens;
    RecordGrant(state, tokens, true, aNow);
  }
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
  mClaimFailed = true;
  if (!aUnknown && !mClaims.empty()) {
    mClaims.pop_back();
  }
}
