#include "Dispatch/FairQueue.h"

#include <algorithm>

namespace {

// Minimum duration and number of requests of a rate sample. With smaller
// samples, single long requests made the estimated wait fluctuate.
constexpr std::chrono::milliseconds kMinRateWindow{ 500 };
constexpr std::uint32_t kMinRateRequests = 4;
// Weight of the former rate in the moving average of the service rate.
constexpr double kRateDecay = 0.5;
constexpr std::size_t kMinAccountsToEvict = 64;
// Maximum number of waiting requests of an account for which no wait is
// estimated. For such short queues the estimate is too coarse: it rejected
// small callers that would have been served in time.
constexpr std::size_t kMaxWaitingWithoutEstimate = 3;
// Maximum number of accounts that are examined for one wait estimate.
constexpr std::uint32_t kMaxScannedAccounts = 64;

double Seconds(std::chrono::microseconds aPeriod)
{
  return std::chrono::duration<double>(aPeriod).count();
}

} // namespace

void fair_queue::Push(const queued_request& aRequest,
                      double aWeight,
                      time_point aNow)
{
  if (mSize == 0) {
    if (mEmptiedByService) {
      // The queue was served as fast as requests arrived, so the rate does not
      // show how much could be served.
      mServiceRate = 0.0;
    }
    mRateWindowStart = aNow;
    mServedCost = 0.0;
    mServedRequests = 0;
  }
  const auto [found, isNew] = mAccounts.try_emplace(aRequest.mAccount);
  account_queue& queue = found->second;
  RemoveFromOrders(aRequest.mAccount, queue);
  if (queue.mWaiting.empty()) {
    // An account that used less than its share, and a new account, may be ahead
    // by at most the burst.
    const double earliest = mVirtualTime - mBurst / aWeight;
    queue.mHeadTag = isNew ? earliest : std::max(queue.mHeadTag, earliest);
  }
  queue.mWeight = aWeight;
  queue.mWaiting.push_back(aRequest);
  queue.mWaitingCost += aRequest.mCost;
  AddToOrders(aRequest.mAccount, queue);
  ++mSize;
}

std::optional<queued_request> fair_queue::Front() const
{
  if (mByHeadTag.empty()) {
    return std::nullopt;
  }
  return mAccounts.at(mByHeadTag.begin()->second).mWaiting.front();
}

void fair_queue::PopFront(time_point aNow)
{
  const std::uint32_t account = mByHeadTag.begin()->second;
  account_queue& queue = mAccounts.at(account);
  RemoveFromOrders(account, queue);
  const double cost = queue.mWaiting.front().mCost;
  mVirtualTime = std::max(mVirtualTime, queue.mHeadTag);
  queue.mHeadTag += cost / queue.mWeight;
  queue.mWaitingCost -= cost;
  queue.mWaiting.pop_front();
  AddToOrders(account, queue);
  --mSize;
  mEmptiedByService = mSize == 0;
  mServedCost += cost;
  ++mServedRequests;
  UpdateServiceRate(aNow);
  EvictIdleAccounts();
}

std::optional<queued_request> fair_queue::Back() const
{
  if (mByTailTag.empty()) {
    return std::nullopt;
  }
  return mAccounts.at(mByTailTag.rbegin()->second).mWaiting.back();
}

bool fair_queue::Remove(const request_id& aRequest, std::uint32_t aAccount)
{
  const auto found = mAccounts.find(aAccount);
  if (found == mAccounts.end()) {
    return false;
  }
  account_queue& queue = found->second;
  const auto same = [&](const queued_request& aWaiting) {
    return aWaiting.mRequest == aRequest;
  };
  // The last request is removed when the queue is full, and the first ones when
  // they miss their latest start, so both ends are checked before the others.
  auto position = queue.mWaiting.end();
  if (!queue.mWaiting.empty() && same(queue.mWaiting.back())) {
    position = std::prev(queue.mWaiting.end());
  } else {
    position = std::find_if(queue.mWaiting.begin(), queue.mWaiting.end(), same);
  }
  if (position == queue.mWaiting.end()) {
    return false;
  }
  RemoveFromOrders(aAccount, queue);
  queue.mWaitingCost -= position->mCost;
  queue.mWaiting.erase(position);
  AddToOrders(aAccount, queue);
  --mSize;
  return true;
}

void fair_queue::Charge(std::uint32_t aAccount, double aTokens)
{
  const auto found = mAccounts.find(aAccount);
  if (found == mAccounts.end()) {
    return;
  }
  account_queue& queue = found->second;
  RemoveFromOrders(aAccount, queue);
  queue.mHeadTag = std::max(mVirtualTime - mBurst / queue.mWeight,
                            queue.mHeadTag + aTokens / queue.mWeight);
  AddToOrders(aAccount, queue);
}

std::optional<std::chrono::microseconds> fair_queue::ExpectedWait(
  std::uint32_t aAccount) const
{
  if (mSize == 0) {
    return std::chrono::microseconds(0);
  }
  const auto found = mAccounts.find(aAccount);
  if (mServiceRate <= 0.0 || found == mAccounts.end()) {
    return std::nullopt;
  }
  const account_queue& queue = found->second;
  if (queue.mWaiting.size() <= kMaxWaitingWithoutEstimate) {
    return std::chrono::microseconds(0);
  }
  const double start =
    queue.TailTag() - queue.mWaiting.back().mCost / queue.mWeight;
  const double wait = CostBefore(start) / mServiceRate;
  return std::chrono::microseconds(static_cast<std::int64_t>(wait * 1e6));
}

double fair_queue::CostBefore(double aTag) const
{
  double cost = 0.0;
  std::uint32_t scanned = 0;
  for (const auto& [head, account] : mByHeadTag) {
    if (head >= aTag) {
      return cost;
    }
    if (scanned++ == kMaxScannedAccounts) {
      // Extrapolates to the remaining accounts.
      return cost * static_cast<double>(mByHeadTag.size()) /
             kMaxScannedAccounts;
    }
    const account_queue& queue = mAccounts.at(account);
    cost += std::min(queue.mWaitingCost, (aTag - head) * queue.mWeight);
  }
  return cost;
}

void fair_queue::RemoveFromOrders(std::uint32_t aAccount,
                                  const account_queue& aQueue)
{
  if (!aQueue.mWaiting.empty()) {
    mByHeadTag.erase({ aQueue.mHeadKey, aAccount });
    mByTailTag.erase({ aQueue.mTailKey, aAccount });
  }
}

void fair_queue::AddToOrders(std::uint32_t aAccount, account_queue& aQueue)
{
  if (aQueue.mWaiting.empty()) {
    aQueue.mWaitingCost = 0.0;
    return;
  }
  aQueue.mHeadKey = aQueue.mHeadTag;
  aQueue.mTailKey = aQueue.TailTag();
  mByHeadTag.insert({ aQueue.mHeadKey, aAccount });
  mByTailTag.insert({ aQueue.mTailKey, aAccount });
}

void fair_queue::UpdateServiceRate(time_point aNow)
{
  const auto elapsed = aNow - mRateWindowStart;
  if (elapsed < kMinRateWindow || mServedRequests < kMinRateRequests) {
    return;
  }
  const double rate = mServedCost / Seconds(elapsed);
  mServiceRate = mServiceRate > 0.0
                   ? kRateDecay * mServiceRate + (1.0 - kRateDecay) * rate
                   : rate;
  mRateWindowStart = aNow;
  mServedCost = 0.0;
  mServedRequests = 0;
}

void fair_queue::EvictIdleAccounts()
{
  if (mAccounts.size() <
      std::max(kMinAccountsToEvict, 2 * mAccountsAfterEviction)) {
    return;
  }
  std::erase_if(mAccounts, [&](const auto& aEntry) {
    return aEntry.second.mWaiting.empty() &&
           aEntry.second.mHeadTag <=
             mVirtualTime - mBurst / aEntry.second.mWeight;
  });
  mAccountsAfterEviction = mAccounts.size();
}
