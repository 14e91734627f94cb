// Parts of `token_escrow` that transfer tokens between nodes.

#include "Gateway/TokenEscrow.h"

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
constexpr milliseconds kAskAgain(25);
constexpr milliseconds kAskLimit(120);
// Limit of the identities of accepted transfers, which are kept so that a
// repeated answer counts once. They rise, so the oldest are dropped first.
constexpr std::size_t kMostAccepted = 1000;
// Time without a committed claim after which the limits cannot be raised.
// Claims are written at least twice in this time while the store replies.
constexpr milliseconds kBoundRaiseLimit(1200);
// Time for which transfers are kept for repeated requests.
constexpr milliseconds kAnswerMemory(2000);

} // namespace

std::uint32_t AccountKey(const account_id& aAccount)
{
  return static_cast<std::uint32_t>(StableHash(aAccount.mName));
}

std::vector<addressed_request> token_escrow::TakeRequests(std::uint64_t aRun,
                                                          time_point aNow)
{
  std::vector<addressed_request> requests;
  for (auto& [account, state] : mAccounts) {
    if (state.mAsked && aNow >= state.mAskEnds) {
      state.mAsked.reset();
    }
    if (state.mAsked) {
      if (aNow >= state.mAskAgain) {
        state.mAskAgain = aNow + kAskAgain;
        requests.push_back(*state.mAsked);
      }
      continue;
    }
    // The store is tried first; it replies within a few ms unless it is
    // unreachable or has nothing left.
    const bool storeMayHelp = aNow >= state.mNotBefore && !state.mUnsettled &&
                              state.mTotal - state.mGranted >= state.mShort &&
                              !state.mPending;
    if (mReturning || state.mShort <= state.Free() || storeMayHelp) {
      state.mTriedHolders.clear();
      continue;
    }
    const token_holder* holder = NextHolder(account, state);
    if (holder == nullptr) {
      state.mTriedHolders.clear();
      continue;
    }
    state.mTriedHolders.push_back(holder->mAddress);
    token_request request;
    request.mId = ++mSequence;
    request.mRun = aRun;
    request.mAccount = account;
    request.mNeeded = state.mShort - state.Free();
    request.mWanted = std::max(request.mNeeded * kNeedFactor,
                               Target(state, aNow) - state.Free());
    state.mAsked = addressed_request{ holder->mAddress, request };
    state.mAskAgain = aNow + kAskAgain;
    state.mAskEnds = aNow + kAskLimit;
    requests.push_back(*state.mAsked);
  }
  return requests;
}

const token_holder* token_escrow::NextHolder(const account_id& aAccount,
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

std::optional<token_transfer> token_escrow::Give(const token_request& aRequest,
                                                 time_point aNow)
{
  std::erase_if(mGiven, [aNow](const auto& aPair) {
    return aNow >= aPair.second.mForgetAt;
  });
  const auto key = std::pair(aRequest.mRun, aRequest.mId);
  const auto known = mGiven.find(key);
  if (known != mGiven.end()) {
    return known->second.mTransfer;
  }
  const auto found = mAccounts.find(aRequest.mAccount);
  if (found == mAccounts.end() || aRequest.mNeeded <= 0) {
    return std::nullopt;
  }
  account_state& state = found->second;
  const std::int64_t available = Available(aRequest.mAccount, state, aNow);
  if (available < aRequest.mNeeded && state.Free() > available) {
    // A claim with a higher limit is written before the request is repeated.
    state.mBoundNeed =
      std::max(state.mBoundNeed, std::min(aRequest.mNeeded, state.Free()));
    mBoundShort = true;
  }
  // The last tokens of an account are spread over nodes, so less than the need
  // is transferred if there is no more.
  const std::int64_t tokens = std::min(
    available,
    std::max(aRequest.mNeeded, std::min(aRequest.mWanted, state.Free() / 2)));
  if (tokens <= 0) {
    return std::nullopt;
  }
  state.mOut += tokens;
  const token_transfer transfer{
    aRequest.mId, aRequest.mRun, aRequest.mAccount, tokens
  };
  mGiven[key] = { transfer, aNow + kAnswerMemory };
  return transfer;
}

bool token_escrow::Answered(const token_request& aRequest) const
{
  return mGiven.contains({ aRequest.mRun, aRequest.mId });
}

void token_escrow::OnTransfer(const token_transfer& aTransfer,
                              std::uint64_t aRun)
{
  const auto found = mAccounts.find(aTransfer.mAccount);
  if (found == mAccounts.end() || aTransfer.mRun != aRun ||
      !mAccepted.insert(aTransfer.mId).second) {
    return;
  }
  while (mAccepted.size() > kMostAccepted) {
    mAccepted.erase(mAccepted.begin());
  }
  account_state& state = found->second;
  state.mAsked.reset();
  state.mReceived += aTransfer.mTokens;
  if (state.Free() >= state.mShort) {
    state.mShort = 0;
  }
}

std::vector<std::pair<std::uint32_t, std::int64_t>> token_escrow::AllHeld(
  time_point aNow) const
{
  // While the store is unreachable the limits cannot be raised.
  const bool bound = aNow >= mLastStated + kBoundRaiseLimit;
  std::vector<std::pair<std::uint32_t, std::int64_t>> held;
  for (const auto& [account, state] : mAccounts) {
    const std::int64_t tokens =
      bound ? Available(account, state, aNow) : state.Free();
    if (tokens > 0 && !mReturning) {
      held.emplace_back(AccountKey(account), tokens);
    }
  }
  return held;
}
