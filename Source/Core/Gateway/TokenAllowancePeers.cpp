// Parts of `token_allowance` that transfer tokens between nodes.

#include "Gateway/TokenAllowance.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

// Multiple of the need that is requested, so that a burst does not cause one
// transfer per request.
constexpr std::int64_t kNeedFactor = 4;
// Resend interval and timeout of a request to another node; one way takes up to
// 3 ms.
constexpr milliseconds kTokenRequestResendInterval(25);
constexpr milliseconds kTokenRequestTimeout(120);
// Limit of the identities of accepted transfers, which are kept so that a
// repeated answer counts once. They rise, so the oldest are dropped first.
constexpr std::size_t kMaxAcceptedTransfers = 1000;
// Time without a committed claim after which the limits cannot be raised.
// Claims are written at least twice in this time while the store replies.
constexpr milliseconds kClaimStaleTimeout(1200);
// Time after a claim that could not be written for which the store counts as
// unreachable. A node that holds tokens writes claims more often.
constexpr milliseconds kStoreLostTime(1500);
// Time from the loss of the store until the other nodes state theirs.
constexpr milliseconds kQuorumTime(500);
// Time for which tokens are drawn for another node that asked.
constexpr milliseconds kPeerNeedTimeout(150);
// Delay before nodes are asked again, after none could help: the interval in
// which each node reports.
constexpr milliseconds kNoHolderDelay(200);
// Time for which transfers are kept for repeated requests.
constexpr milliseconds kTransferTimeToLive(2000);

} // namespace

std::uint32_t AccountKey(const account_id& aAccount)
{
  return static_cast<std::uint32_t>(StableHash(aAccount.mName));
}

std::vector<addressed_request> token_allowance::TakeTokenRequests(
  std::uint64_t aRun,
  time_point aNow)
{
  std::vector<addressed_request> requests;
  mRunNumber = aRun;
  for (auto& [account, state] : mAccounts) {
    if (state.mOpenRequest && aNow >= state.mRequestExpiresAt) {
      mUnhelpfulHolders.insert(state.mOpenRequest->mTo);
      state.mOpenRequest.reset();
    }
    if (state.mOpenRequest) {
      if (aNow >= state.mResendAt) {
        state.mResendAt = aNow + kTokenRequestResendInterval;
        requests.push_back(*state.mOpenRequest);
      }
      continue;
    }
    // The store is tried first; it replies within a few ms unless it is
    // unreachable or has nothing left.
    const bool storeMayHelp = aNow >= state.mNextChangeAt &&
                              !state.mUnanswered &&
                              Drawable(state) >= state.mUnmetNeed &&
                              !state.mPending && !IsSettling(state, aNow);
    const std::int64_t spendable = SpendableTokens(account, state, aNow);
    const bool needed = state.mUnmetNeed > spendable &&
                        UnspentTokens(account, state) >= state.mUnmetNeed;
    const bool limited = spendable < state.Free();
    if (mReturning || !needed || (storeMayHelp && !limited)) {
      state.mTriedHolders.clear();
      continue;
    }
    if (aNow < state.mNextRequestAt) {
      // None of the nodes could help a moment ago.
      continue;
    }
    const token_holder* holder = NextHolder(account, state);
    if (holder == nullptr) {
      if (IsLargeFleet() && !state.mTriedHolders.empty()) {
        state.mNextRequestAt = aNow + kNoHolderDelay;
      }
      state.mTriedHolders.clear();
      continue;
    }
    state.mTriedHolders.push_back(holder->mAddress);
    token_request request;
    request.mId = ++mSequence;
    request.mRun = aRun;
    request.mAccount = account;
    request.mNeeded = state.mUnmetNeed - spendable;
    // Of a scarce account only the tokens that are needed are requested.
    const std::int64_t factor = IsScarce(account, state) ? 1 : kNeedFactor;
    request.mWanted = std::max(request.mNeeded * factor,
                               TargetTokens(account, state, aNow) - spendable);
    state.mOpenRequest = addressed_request{ holder->mAddress, request };
    state.mResendAt = aNow + kTokenRequestResendInterval;
    state.mRequestExpiresAt = aNow + kTokenRequestTimeout;
    requests.push_back(*state.mOpenRequest);
  }
  return requests;
}

std::vector<std::string> token_allowance::TakeUnhelpfulHolders()
{
  const auto holders = std::exchange(mUnhelpfulHolders, {});
  return { holders.begin(), holders.end() };
}

std::int64_t token_allowance::SpendableTokens(const account_id& aAccount,
                                              const account_state& aState,
                                              time_point aNow) const
{
  return IsStoreLost(aNow)
           ? std::max<std::int64_t>(Available(aAccount, aState, aNow), 0)
           : aState.Free();
}

bool token_allowance::MayCoverWithin(const account_id& aAccount,
                                     std::int64_t aTokens,
                                     std::chrono::milliseconds aWait,
                                     time_point aNow) const
{
  const auto found = mAccounts.find(aAccount);
  if (found == mAccounts.end()) {
    return true;
  }
  const account_state& state = found->second;
  const auto settles = SettlesAt(state, aNow);
  if (settles && aNow + aWait < *settles && state.Free() < aTokens &&
      !state.mOpenRequest) {
    // Until then only other nodes can help.
    return aNow + aWait >= state.mNextRequestAt &&
           NextHolder(aAccount, state) != nullptr;
  }
  if (mNodes == 0) {
    return true;
  }
  const bool drawOverdue =
    state.mPending && aNow >= state.mPending->mReplyDueAt;
  if (!IsStoreLost(aNow) && !drawOverdue) {
    return true;
  }
  if (IsSmallFleet() && aNow < mClaimReplyDueAt + kQuorumTime) {
    return true;
  }
  if (state.mOpenRequest ||
      Available(aAccount, state, aNow + aWait) >= aTokens) {
    return true;
  }
  return aNow + aWait >= state.mNextRequestAt &&
         NextHolder(aAccount, state) != nullptr;
}

const token_holder* token_allowance::NextHolder(
  const account_id& aAccount,
  const account_state& aState) const
{
  const auto found = mHolders.find(AccountKey(aAccount));
  if (found == mHolders.end()) {
    return nullptr;
  }
  for (const token_holder& holder : found->second) {
    const auto tried = std::ranges::find(aState.mTriedHolders, holder.mAddress);
    if (tried == aState.mTriedHolders.end()) {
      return &holder;
    }
  }
  return nullptr;
}

std::optional<token_transfer> token_allowance::AnswerRequest(
  const token_request& aRequest,
  time_point aNow)
{
  std::erase_if(mSentTransfers, [aNow](const auto& aPair) {
    return aNow >= aPair.second.mForgetAt;
  });
  const auto key = std::pair(aRequest.mRun, aRequest.mId);
  const auto sent = mSentTransfers.find(key);
  if (sent != mSentTransfers.end()) {
    return sent->second.mTransfer;
  }
  const auto found = mAccounts.find(aRequest.mAccount);
  if (found == mAccounts.end() || aRequest.mNeeded <= 0) {
    return std::nullopt;
  }
  account_state& state = found->second;
  if (state.mUnmetNeed > 0 && aNow < state.mNeedExpiresAt &&
      aRequest.mRun > mRunNumber) {
    // Of two nodes that lack tokens one collects them, so that they are not
    // passed to and fro.
    return std::nullopt;
  }
  const std::int64_t available = Available(aRequest.mAccount, state, aNow);
  const std::int64_t tokens =
    std::min(state.Free(), TransferAmount(aRequest, state, aNow));
  if (HoldsForOutage(state) && !IsStoreLost(aNow) &&
      state.Free() < aRequest.mNeeded) {
    // The tokens are drawn before the request is repeated.
    const std::int64_t share =
      Drawable(state) / (SharingNodes(aRequest.mAccount) + 1);
    const std::int64_t earlier =
      aNow < state.mPeerNeedExpiresAt ? state.mPeerNeed : 0;
    state.mPeerNeed = std::max(
      { earlier, aRequest.mNeeded, std::min(aRequest.mWanted, share) });
    state.mPeerNeedExpiresAt = aNow + kPeerNeedTimeout;
    return std::nullopt;
  }
  const bool enough = IsLargeFleet() && available >= aRequest.mNeeded;
  if (available < tokens && !AreLimitsFixed(aNow) && !enough) {
    // A claim with a higher limit is written before the request is repeated.
    state.mSpendLimitNeed = std::max(state.mSpendLimitNeed, tokens);
    mSpendLimitTooLow = true;
    return std::nullopt;
  }
  // The last tokens of an account are spread over nodes, so less than the need
  // is transferred if there is no more.
  const std::int64_t given = std::min(available, tokens);
  if (given <= 0) {
    return std::nullopt;
  }
  state.mSpent += given;
  state.mPeerNeed = 0;
  state.mMovedAt = aNow;
  const token_transfer transfer{
    aRequest.mId, aRequest.mRun, aRequest.mAccount, given
  };
  mSentTransfers[key] = { transfer, aNow + kTransferTimeToLive };
  return transfer;
}

std::int64_t token_allowance::TransferAmount(const token_request& aRequest,
                                             const account_state& aState,
                                             time_point aNow) const
{
  if (HasDemand(aState, aNow)) {
    return std::max(aRequest.mNeeded,
                    std::min(aRequest.mWanted, aState.Free() / 2));
  }
  // The last tokens of an account move to the node with the demand in one
  // message.
  return IsScarce(aRequest.mAccount, aState)
           ? aState.Free()
           : std::max(aRequest.mNeeded, aRequest.mWanted);
}

bool token_allowance::IsStoreLost(time_point aNow) const
{
  if (mNodes == 0 || aNow < mClaimReplyDueAt) {
    return false;
  }
  return mClaimPending ||
         (mClaimFailed && aNow < mNextClaimAt + kStoreLostTime);
}

bool token_allowance::AreLimitsFixed(time_point aNow) const
{
  return IsStoreLost(aNow) ||
         aNow >=
           mLastClaimAt + std::max(kClaimStaleTimeout, 3 * ClaimInterval());
}

bool token_allowance::WasAnswered(const token_request& aRequest) const
{
  return mSentTransfers.contains({ aRequest.mRun, aRequest.mId });
}

void token_allowance::OnTransfer(const token_transfer& aTransfer,
                                 std::uint64_t aRun)
{
  const auto found = mAccounts.find(aTransfer.mAccount);
  if (found == mAccounts.end() || aTransfer.mRun != aRun ||
      !mAcceptedTransferIds.insert(aTransfer.mId).second) {
    return;
  }
  while (mAcceptedTransferIds.size() > kMaxAcceptedTransfers) {
    mAcceptedTransferIds.erase(mAcceptedTransferIds.begin());
  }
  account_state& state = found->second;
  state.mOpenRequest.reset();
  state.mReceived += aTransfer.mTokens;
  if (state.Free() >= state.mUnmetNeed) {
    state.mUnmetNeed = 0;
  }
}

std::vector<std::pair<std::uint32_t, std::int64_t>>
token_allowance::AllFreeTokens(time_point aNow) const
{
  // While the store is unreachable the limits cannot be raised.
  const bool limitsFixed = AreLimitsFixed(aNow);
  std::vector<std::pair<std::uint32_t, std::int64_t>> held;
  for (const auto& [account, state] : mAccounts) {
    const std::int64_t tokens =
      limitsFixed ? Available(account, state, aNow) : state.Free();
    if (tokens > 0 && !mReturning) {
      held.emplace_back(AccountKey(account), tokens);
    }
  }
  return held;
}
