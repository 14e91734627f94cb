#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "Common/Identity.h"
#include "Common/Time.h"

/// A request in a fair queue.
struct queued_request
{
  request_id mRequest;
  /// Number of the client account at this node.
  std::uint32_t mAccount = 0;
  /// Estimated cost in tokens.
  double mCost = 0.0;
};

/// Requests of one class and model, served fairly between client accounts in
/// weighted tokens (start-time fair queueing). Inside an account the order is
/// that of arrival.
class fair_queue
{
public:
  /// `aBurst`: tokens that an account may be served ahead of its share after it
  /// used less.
  void SetBurst(double aBurst) { mBurst = aBurst; }

  void Push(const queued_request& aRequest, double aWeight, time_point aNow);

  /// The request that is served next, nothing when empty.
  std::optional<queued_request> Front() const;
  void PopFront(time_point aNow);

  /// The request that would be served last.
  std::optional<queued_request> Last() const;

  /// Takes a request out without charging its account.
  bool Remove(const request_id& aRequest, std::uint32_t aAccount);

  /// Corrects what an account was charged, by the difference between real and
  /// estimated cost.
  void Charge(std::uint32_t aAccount, double aTokens);

  /// How long the last waiting request of the account will wait at the present
  /// rate of service; nothing while the rate is not known, 0 for an account
  /// with few requests waiting.
  std::optional<std::chrono::microseconds> ExpectedWait(
    std::uint32_t aAccount) const;

  bool Empty() const { return mSize == 0; }
  std::uint32_t Size() const { return mSize; }

private:
  struct account_queue
  {
    std::deque<queued_request> mWaiting;
    double mWeight = 1.0;
    /// Virtual time at which the first waiting request is served.
    double mHeadTag = 0.0;
    double mWaitingCost = 0.0;
    /// Keys under which the account stands in the two orders.
    double mHeadKey = 0.0;
    double mTailKey = 0.0;

    double TailTag() const { return mHeadTag + mWaitingCost / mWeight; }
  };
  using order = std::set<std::pair<double, std::uint32_t>>;

  void Unlink(std::uint32_t aAccount, const account_queue& aQueue);
  void Link(std::uint32_t aAccount, account_queue& aQueue);
  /// Cost of the waiting requests that are served before a virtual time.
  double CostBefore(double aTag) const;
  void MeasureRate(time_point aNow);
  void ForgetIdle();

  std::unordered_map<std::uint32_t, account_queue> mAccounts;
  order mHeads;
  order mTails;
  std::uint32_t mSize = 0;
  /// The queue became empty by service, not by rejections.
  bool mEmptiedByService = true;
  double mVirtualTime = 0.0;
  double mBurst = 0.0;
  /// Accounts kept at the last clean-up.
  std::size_t mKept = 0;
  time_point mRateFrom;
  double mServedCost = 0.0;
  std::uint32_t mServed = 0;
  /// Cost served per second while requests wait; 0 when not known.
  double mRate = 0.0;
};
