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
constexpr double kSpendLimitRequests = 0.75;
// Outages in which an account that was not used at a node can use all that the
// node holds of it.
constexpr double kIdleHorizons = 2.0;
// Largest difference between the clocks of the store and of a node.
constexpr milliseconds kMaxClockSkew(200);
// Time in seconds of the observed usage that a claim's limit allows for at its
// start in a large fleet.
constexpr double kStartSeconds = 1.0;
// Time after the start in which a takeover waits for the reports of witnesses,
// and the interval in which the claim is read again meanwhile.
constexpr milliseconds kProofTimeout(1500);
constexpr milliseconds kProofInterval(100);
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
  return std::ranges::all_of(mClaims, [aNow](const active_claim& aEntry) {
    return aEntry.IsExpired(aNow);
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
      const std::int64_t limit =
        LimitAt(found->second, LimitAge(claim, aNow), claim.mTerms);
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
  const bool holdsForOutage = HoldsForOutage(aState);
  double usage = holdsForOutage ? DemandPerSecond(aState, aNow)
                                : UsedPerSecond(aState, aNow);
  if (IsSmallFleet()) {
    // Clients of an account that was idle here may come to this node in an
    // outage.
    usage = std::max(usage,
                     static_cast<double>(aState.mReceived - base) /
                       (kIdleHorizons * mSettings.mHorizonSeconds));
  }
  // In a large fleet a node gets few requests of an account, and most of them
  // have to wait a few ms for a new claim in any case. In an outage no new
  // claim comes, so the next requests are allowed for while tokens are not
  // short.
  const double reserved =
    holdsForOutage ? ReservedForRequests(aAccount, aState, kStartRequests)
                   : 0.0;
  const double more =
    IsSmallFleet() ? aState.mMeanRequestTokens * kSpendLimitRequests : reserved;
  const double startSeconds = IsSmallFleet() ? 0.0 : kStartSeconds;
  const auto interval = IsSmallFleet() ? milliseconds(0) : ClaimInterval();
  const double life =
    std::chrono::duration<double>(mSettings.mClaimTimeToLive + interval)
      .count();
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
  const bool wasLost =
    !IsSmallFleet() && ClaimsExpired(aNow) && !mStoredClaimEmpty;
  entry.mSpendLimit =
    wasLost ? entry.mHardLimit : std::min(entry.mHardLimit, spendLimit);
  entry.mStartLimit =
    wasLost ? entry.mSpendLimit : std::min(entry.mSpendLimit, startLimit);
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
  const bool repeats = IsSmallFleet() && mClaimFailed;
  const bool due = aNow >= mNextClaimAt || (mSpendLimitTooLow && !repeats);
  if (mClaimPending || !due || mAccounts.empty() || IsStoredClaimEmpty()) {
    return std::nullopt;
  }
  ForgetExpiredClaims(aNow);
  mClaimPending = true;
  if (!mClaimFailed) {
    mClaimReplyDueAt = aNow + kStoreReplyTimeout;
  }
  mSpendLimitTooLow = false;
  mNextClaimAt = aNow + ClaimInterval();
  if (mUnansweredClaim) {
    return mUnansweredClaim;
  }
  claim_change change;
  change.mExpectedVersion = mClaimVersion;
  change.mRow.mRun = mRun;
  change.mRow.mSequence = ++mSequence;
  change.mRow.mTerms = NextTerms();
  change.mRow.mEra = mEra;
  // The reply that carried the time was under way for a while, so this is not
  // later than the store's clock.
  change.mRow.mStartsAt = StoreTimeAt(aNow);
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
                      change.mRow.mTerms,
                      change.mRow.mStartsAt,
                      aNow });
  mSentClaim = change;
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
  const auto expired = [aNow](const active_claim& aEntry) {
    return aEntry.IsExpired(aNow) && !aEntry.mTerms.mKeepsRising;
  };
  for (const active_claim& claim : mClaims) {
    if (expired(claim)) {
      for (const auto& [account, entry] : claim.mAccounts) {
        std::int64_t& takeable = mExpiredTakeable[account];
        takeable = std::max(takeable, entry.mReceived - entry.mHardLimit);
      }
    }
  }
  std::erase_if(mClaims, expired);
}

void token_allowance::OnClaimCommitted(std::uint64_t aVersion, time_point aNow)
{
  mLastClaimAt = aNow;
  mClaimPending = false;
  mClaimFailed = false;
  mUnansweredClaim.reset();
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

claim_takeover token_allowance::OnClaimConflict(
  const std::optional<claim_row>& aCurrent,
  std::uint64_t aVersion,
  milliseconds aStoreTime,
  time_point aSentAt)
{
  mClaimPending = false;
  mClaimFailed = false;
  mUnansweredClaim.reset();
  mNextClaimAt = {};
  mClaimVersion = aVersion;
  mStoredClaimEmpty = false;
  if (aCurrent && aCurrent->mRun == mRun) {
    AdoptStoredClaim(*aCurrent);
    ConfirmClaim(aSentAt);
    return {};
  }
  mClaims.clear();
  mExpiredTakeable.clear();
  mTakenOver.clear();
  if (!aCurrent || mClaimConfirmed || IsOfCopy(aCurrent->mEra)) {
    return {};
  }
  const claim_terms& terms = aCurrent->mTerms;
  const milliseconds end = LatestEndOfEarlierRun(aStoreTime, aSentAt);
  const milliseconds age = end - aCurrent->mStartsAt;
  claim_takeover takeover;
  takeover.mProofs = CountProofs(*aCurrent, end);
  takeover.mProofsNeeded = terms.mWitnesses.empty() ? 0 : terms.ProofCount();
  const bool proven = takeover.mProofs >= takeover.mProofsNeeded;
  if (!proven && age > terms.mRisesAloneFor && mStartedAt &&
      aSentAt < *mStartedAt + kProofTimeout) {
    takeover.mWaits = true;
    // The next write conflicts again and brings the row.
    mClaimVersion = 0;
    mNextClaimAt = aSentAt + kProofInterval;
    return takeover;
  }
  const milliseconds limitAge = terms.EffectiveAge(age, !proven);
  for (const auto& [account, entry] : aCurrent->mAccounts) {
    const std::int64_t limit = LimitAt(entry, limitAge, terms);
    const std::int64_t tokens = entry.mReceived - limit;
    if (tokens > 0) {
      mTakenOver[account_id{ account }] = tokens;
      takeover.mTakenOver += tokens;
    }
    const std::int64_t stated = LimitAt(entry, milliseconds(0), terms);
    takeover.mLost += std::max<std::int64_t>(limit - stated, 0);
  }
  return takeover;
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
  if (mClaims.empty() && aRow.mTerms.mKeepsRising) {
    // A run that takes over must not see a lower age.
    mClaims.push_back(
      { aRow.mSequence,
        aRow.mAccounts,
        aRow.mTerms,
        aRow.mStartsAt,
        mStoreTimeAt - (mStoreTime.value_or(aRow.mStartsAt) - aRow.mStartsAt) +
          kMaxClockSkew });
  }
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
    if (entry.mReceived > entry.mHardLimit && !aRow.mTerms.mKeepsRising) {
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
  if (mUnansweredClaim) {
    return;
  }
  if (!aUnknown && !mClaims.empty()) {
    mClaims.pop_back();
  } else if (mSentClaim && mSentClaim->mRow.mTerms.mKeepsRising) {
    mUnansweredClaim = mSentClaim;
  }
}
