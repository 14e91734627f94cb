#include "Dispatch/FairQueue.h"

#include <algorithm>

namespace {

// Minimum duration and number of requests of a rate sample. With smaller
// samples, single long requests made the estimated wait fluctuate.
constexpr std::chrono::milliseconds kRateWindow{ 500 };
constexpr std::uint32_t kRateRequests = 4;
constexpr double kRateMemory = 0.5;
constexpr std::size_t kMinKeptAccounts = 64;
// Maximum number of waiting requests of an account for which no wait is
// estimated. For such short queues the estimate is too coarse: it rejected
// small callers that would have been served in time.
constexpr std::size_t kFewWaiting = 3;
// Maximum number of accounts that are examined for one wait estimate.
constexpr std::uint32_t kMaxLookedAt = 64;

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
      mRate = 0.0;
    }
    mRateFrom = aNow;
    mServedCost = 0.0;
    mServed = 0;
  }
  const auto [found, isNew] = mAccounts.try_emplace(aRequest.mAccount);
  account_queue& queue = found->second;
  Unlink(aRequest.mAccount, queue);
  if (queue.mWaiting.empty()) {
    // An account that used less than its share, and a new account, may be ahead
    // by at most the burst.
    const double earliest = mVirtualTime - mBurst / aWeight;
    queue.mHeadTag = isNew ? earliest : std::max(queue.mHeadTag, earliest);
  }
  queue.mWeight = aWeight;
  queue.mWaiting.push_back(aRequest);
  queue.mWaitingCost += aRequest.mCost;
  Link(aRequest.mAccount, queue);
  ++mSize;
}

std::optional<queued_request> fair_queue::Front() const
{
  if (mHeads.empty()) {
    return std::nullopt;
  }
  return mAccounts.at(mHeads.begin()->second).mWaiting.front();
}

void fair_queue::PopFront(time_point aNow)
{
  const std::uint32_t account = mHeads.begin()->second;
  account_queue& queue = mAccounts.at(account);
  Unlink(account, queue);
  const double cost = queue.mWaiting.front().mCost;
  mVirtualTime = std::max(mVirtualTime, queue.mHeadTag);
  queue.mHeadTag += cost / queue.mWeight;
  queue.mWaitingCost -= cost;
  queue.mWaiting.pop_front();
  Link(account, queue);
  --mSize;
  mEmptiedByService = mSize == 0;
  mServedCost += cost;
  ++mServed;
  MeasureRate(aNow);
  ForgetIdle();
}

std::optional<queued_request> fair_queue::Last() const
{
  if (mTails.empty()) {
    return std::nullopt;
  }
  return mAccounts.at(mTails.rbegin()->second).mWaiting.back();
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
  Unlink(aAccount, queue);
  queue.mWaitingCost -= position->mCost;
  queue.mWaiting.erase(position);
  Link(aAccount, queue);
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
  Unlink(aAccount, queue);
  queue.mHeadTag = std::max(mVirtualTime - mBurst / queue.mWeight,
                            queue.mHeadTag + aTokens / queue.mWeight);
  Link(aAccount, queue);
}

std::optional<std::chrono::microseconds> fair_queue::ExpectedWait(
  std::uint32_t aAccount) const
{
  if (mSize == 0) {
    return std::chrono::microseconds(0);
  }
  const auto found = mAccounts.find(aAccount);
  if (mRate <= 0.0 || found == mAccounts.end()) {
    return std::nullopt;
  }
  const account_queue& queue = found->second;
  if (queue.mWaiting.size() <= kFewWaiting) {
    return std::chrono::microseconds(0);
  }
  const double start =
    queue.TailTag() - queue.mWaiting.back().mCost / queue.mWeight;
  const double wait = CostBefore(start) / mRate;
  return std::chrono::microseconds(static_cast<std::int64_t>(wait * 1e6));
}

double fair_queue::CostBefore(double aTag) const
{
  double cost = 0.0;
  std::uint32_t looked = 0;
  for (const auto& [head, account] : mHeads) {
    if (head >= aTag) {
      return cost;
    }
    if (looked++ == kMaxLookedAt) {
      // Extrapolates to the remaining accounts.
      return cost * static_cast<double>(mHeads.size()) / kMaxLookedAt;
    }
    const account_queue& queue = mAccounts.at(account);
    cost += std::min(queue.mWaitingCost, (aTag - head) * queue.mWeight);
  }
  return cost;
}

void fair_queue::Unlink(std::uint32_t aAccount, const account_queue& aQueue)
{
  if (!aQueue.mWaiting.empty()) {
    mHeads.erase({ aQueue.mHeadKey, aAccount });
    mTails.erase({ aQueue.mTailKey, aAccount });
  }
}

void fair_queue::Link(std::uint32_t aAccount, account_queue& aQueue)
{
  if (aQueue.mWaiting.empty()) {
    aQueue.mWaitingCost = 0.0;
    return;
  }
  aQueue.mHeadKey = aQueue.mHeadTag;
  aQueue.mTailKey = aQueue.TailTag();
  mHeads.insert({ aQueue.mHeadKey, aAccount });
  mTails.insert({ aQueue.mTailKey, aAccount });
}

void fair_queue::MeasureRate(time_point aNow)
{
  const auto elapsed = aNow - mRateFrom;
  if (elapsed < kRateWindow || mServed < kRateRequests) {
    return;
  }
  const double rate = mServedCost / Seconds(elapsed);
  mRate = mRate > 0.0 ? kRateMemory * mRate + (1.0 - kRateMemory) * rate : rate;
  mRateFrom = aNow;
  mServedCost = 0.0;
  mServed = 0;
}

void fair_queue::ForgetIdle()
{
  if (mAccounts.size() < std::max(kMinKeptAccounts, 2 * mKept)) {
    return;
  }
  std::erase_if(mAccounts, [&](const auto& aEntry) {
    return aEntry.second.mWaiting.empty() &&
           aEntry.second.mHeadTag <=
             mVirtualTime - mBurst / aEntry.second.mWeight;
  });
  mKept = mAccounts.size();
}
