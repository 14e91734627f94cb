// Parts of `token_allowance` that decide how many tokens this node holds.

#include "Gateway/TokenAllowance.h"

#include <algorithm>

namespace {

// Period over which the usage of an account is measured.
constexpr std::chrono::seconds kUsagePeriod(4);
// Shortest part of a period that is used to compute a rate.
constexpr std::chrono::duration<double> kMinUsagePeriod(2.0);
// Length of the intervals in which the newest demand is counted; those that are
// kept cover a second.
constexpr std::chrono::milliseconds kRecentInterval(250);
constexpr double kRecentSeconds = 1.0;
// Time in seconds of the demand that a node of a large fleet holds while most
// tokens are not granted. Tokens are drawn when half of it is left, which still
// covers an outage of the store of 9 s.
constexpr double kOutageHorizonSeconds = 18.0;
// Time after the last request of an account after which the node is idle for
// it.
constexpr std::chrono::seconds kDemandTimeout(8);
// Smaller draws and returns are not worth a transaction.
constexpr std::int64_t kMinDrawTokens = 256;
// A draw that no request needs now must bring at least the target divided by
// this.
constexpr std::int64_t kMinDrawDivisor = 8;
// Requests of mean size that are held in addition to the observed usage.
constexpr std::int64_t kReserveRequests = 3;
// Tokens are drawn when less than three quarters of the target are left, in a
// large fleet less than half, because its store carries less for each node.
constexpr std::int64_t kRefillDenominator = 4;
constexpr std::int64_t kSmallFleetRefillNumerator = 3;
constexpr std::int64_t kRefillNumerator = 2;
// A node holds at most one part in this many of its equal share of the tokens
// that are left, so that the others stay where any node can draw them.
constexpr std::int64_t kShareDivisor = 2;
// An account with less than its total divided by this is scarce.
constexpr std::int64_t kScarceDivisor = 10;

// Time after the start in which other hosts start as well and the tokens of
// lost ones are taken over: 5 s until they count as lost, and the calls to the
// store.
constexpr std::chrono::seconds kRecoveryTime(8);
// Time in which a draw, a return or a transfer ends while the store replies.
constexpr std::chrono::milliseconds kMoveTime(500);
// Time after which tokens of requests in progress are expected, about the
// length of a stream.
constexpr std::chrono::seconds kReservationTime(2);

} // namespace

bool token_allowance::HasDemand(const account_state& aState,
                                time_point aNow) const
{
  return aState.mLastRequestAt &&
         aNow < *aState.mLastRequestAt + kDemandTimeout;
}

std::int64_t token_allowance::UnspentTokens(const account_id& aAccount,
                                            const account_state& aState) const
{
  return std::max<std::int64_t>(Drawable(aState), 0) + aState.Free() +
         FreeTokensOnPeers(aAccount);
}

bool token_allowance::IsScarce(const account_id& aAccount,
                               const account_state& aState) const
{
  return !IsSmallFleet() && aState.mRowKnown &&
         UnspentTokens(aAccount, aState) <= aState.mTotal / kScarceDivisor;
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
  aState.mBegunInLastPeriod = adjacent ? aState.mBegunInPeriod : 0.0;
  aState.mBegunInPeriod = 0.0;
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

void token_allowance::CountDemand(account_state& aState,
                                  double aTokens,
                                  time_point aNow)
{
  aState.mBegunInPeriod += aTokens;
  auto& intervals = aState.mBegunRecently;
  if (aNow >= aState.mIntervalEndsAt + kRecentInterval * kRecentIntervals) {
    intervals.fill(0.0);
    aState.mIntervalEndsAt = aNow + kRecentInterval;
  }
  while (aNow >= aState.mIntervalEndsAt) {
    std::shift_right(intervals.begin(), intervals.end(), 1);
    intervals[0] = 0.0;
    aState.mIntervalEndsAt += kRecentInterval;
  }
  intervals[0] += aTokens;
}

double token_allowance::DemandPerSecond(const account_state& aState,
                                        time_point aNow) const
{
  const std::chrono::duration<double> period = kUsagePeriod;
  const std::chrono::duration<double> left = aState.mPeriodEndsAt - aNow;
  const double elapsed =
    std::clamp(period - left, kMinUsagePeriod, period).count();
  double recent = 0.0;
  time_point intervalEndsAt = aState.mIntervalEndsAt;
  for (const double tokens : aState.mBegunRecently) {
    // The interval ended less than a second ago.
    if (aNow < intervalEndsAt + kRecentInterval * (kRecentIntervals - 1)) {
      recent += tokens;
    }
    intervalEndsAt -= kRecentInterval;
  }
  // A single request within the last second tells nothing of a rate.
  recent -= aState.mMeanRequestTokens * aState.mUsedShare;
  return std::max({ UsedPerSecond(aState, aNow),
                    aState.mBegunInLastPeriod / period.count(),
                    aState.mBegunInPeriod / elapsed,
                    recent / kRecentSeconds });
}

std::int64_t token_allowance::TargetTokens(const account_id& aAccount,
                                           const account_state& aState,
                                           time_point aNow) const
{
  double use = UsedPerSecond(aState, aNow) * mSettings.mHorizonSeconds;
  if (HoldsForOutage(aState)) {
    // A single request tells nothing of a rate. With hundreds of hosts, the
    // tokens that each would draw for one are those of the whole account.
    const double one = aState.mMeanRequestTokens * aState.mUsedShare;
    use =
      std::max(DemandPerSecond(aState, aNow) - one / kMinUsagePeriod.count(),
               0.0) *
      kOutageHorizonSeconds;
  }
  // In a large fleet the initial share of a node would be smaller than a
  // request.
  const double first = IsSmallFleet() ? static_cast<double>(aState.mTotal) *
                                          mSettings.mInitialShare /
                                          static_cast<double>(mNodes)
                                      : 0.0;
  const double start = aState.mUsedInLastPeriod > 0.0 ? 0.0 : first;
  const bool keepsReserve = IsSmallFleet() || HasDemand(aState, aNow);
  const auto meanRequest = static_cast<std::int64_t>(aState.mMeanRequestTokens);
  const std::int64_t reserve =
    keepsReserve ? meanRequest * kReserveRequests : 0;
  const std::int64_t target =
    static_cast<std::int64_t>(std::max(use, start)) + reserve;
  if (!aState.mRowKnown || IsSmallFleet()) {
    return target;
  }
  const std::int64_t share =
    UnspentTokens(aAccount, aState) / (kShareDivisor * SharingNodes(aAccount));
  if (target <= share) {
    return target;
  }
  // Tokens that cover no request are better left to other nodes; each request
  // then draws what it needs.
  return share < meanRequest ? 0 : share;
}

std::int64_t token_allowance::SharingNodes(const account_id& aAccount) const
{
  const auto found = mHolders.find(AccountKey(aAccount));
  std::size_t nodes = found == mHolders.end() ? 1 : found->second.size() + 1;
  const auto state = mAccounts.find(aAccount);
  if (!IsSmallFleet() && state != mAccounts.end() && state->second.mRowKnown) {
    // Reports of the other nodes come too late for the first draws.
    nodes = std::max(nodes, CountDrawers(state->second.mRow));
  }
  return static_cast<std::int64_t>(mNodes == 0 ? nodes
                                               : std::min(nodes, mNodes));
}

std::int64_t token_allowance::DrawAmount(const account_id& aAccount,
                                         const account_state& aState,
                                         time_point aNow) const
{
  const std::int64_t remaining = Drawable(aState);
  const std::int64_t target = TargetTokens(aAccount, aState, aNow);
  const std::int64_t peerNeed =
    aNow < aState.mPeerNeedExpiresAt ? aState.mPeerNeed : 0;
  const std::int64_t need = std::max(aState.mUnmetNeed, peerNeed);
  const bool needed = need > aState.Free();
  const std::int64_t refill =
    IsSmallFleet() ? kSmallFleetRefillNumerator : kRefillNumerator;
  const bool enough = aState.Free() * kRefillDenominator >= target * refill;
  if (remaining <= 0 || (!needed && enough)) {
    return 0;
  }
  // Other nodes need tokens as well, so one draw leaves most of the remaining
  // tokens.
  const std::int64_t fairShare = remaining / (SharingNodes(aAccount) + 1);
  std::int64_t amount = std::min(target - aState.Free(), fairShare);
  if (needed) {
    amount = std::max(amount, need - aState.Free());
  }
  amount = std::min(amount, remaining);
  const bool small =
    amount < std::max(kMinDrawTokens, target / kMinDrawDivisor) && !needed;
  return small ? 0 : std::max<std::int64_t>(amount, 0);
}

std::int64_t token_allowance::ReturnAmount(const account_id& aAccount,
                                           account_state& aState,
                                           time_point aNow)
{
  const std::int64_t available = Available(aAccount, aState, aNow);
  if (mReturning) {
    return std::max<std::int64_t>(available, 0);
  }
  if (aState.mUnmetNeed > 0 || aNow < aState.mNextReturnAt) {
    return 0;
  }
  const bool idle = !HasDemand(aState, aNow);
  if (!idle && HoldsForOutage(aState)) {
    // The tokens are not short, and the next outage may need them.
    return 0;
  }
  const std::int64_t target = TargetTokens(aAccount, aState, aNow);
  // Tokens that are needed elsewhere are returned down to the target.
  const bool exact = (idle && !IsSmallFleet()) || IsScarce(aAccount, aState);
  const auto retained =
    exact ? target
          : static_cast<std::int64_t>(static_cast<double>(target) *
                                      mSettings.mReturnFactor);
  const std::int64_t surplus = aState.Free() - retained;
  // Small amounts are not returned by a node that is likely to use them.
  const std::int64_t smallest =
    idle && exact ? 0 : std::max(kMinDrawTokens, retained / (exact ? 4 : 2));
  if (surplus <= smallest) {
    return 0;
  }
  if (available < surplus) {
    // The next claim allows for the return, so that no other run can take the
    // tokens over as well.
    aState.mSpendLimitNeed = std::max(aState.mSpendLimitNeed, surplus);
    return 0;
  }
  return surplus;
}

std::optional<time_point> token_allowance::TokensExpectedAt(
  const account_id& aAccount,
  std::int64_t aTokens,
  time_point aNow) const
{
  const auto found = mAccounts.find(aAccount);
  if (found == mAccounts.end() || aTokens > found->second.mTotal) {
    return std::nullopt;
  }
  const account_state& state = found->second;
  const std::int64_t unspent = UnspentTokens(aAccount, state);
  if (const auto settles = SettlesAt(state, aNow); settles && aNow < *settles) {
    return *settles + kMoveTime;
  }
  if (unspent >= aTokens || !state.mRowKnown) {
    if (!AreLimitsFixed(aNow)) {
      return std::max(aNow, state.mNextChangeAt) + kMoveTime;
    }
    // Without the store the node has more only when requests end or its claims
    // expire; by then the client may also meet another node.
    return aNow + kReservationTime;
  }
  if (unspent + state.mReserved >= aTokens) {
    return aNow + kReservationTime;
  }
  if (mStartedAt && aNow < *mStartedAt + kRecoveryTime) {
    return std::max(*mStartedAt + kRecoveryTime, aNow + kMoveTime);
  }
  return std::nullopt;
}
