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
  /// Estimated cost in output tokens.
  double mCost = 0.0;
};

/// Queue of the requests of one class and model. Accounts are served in
/// proportion to their weights, measured in tokens (start-time fair queueing).
/// Requests of one account are served in the order of arrival.
class fair_queue
{
public:
  /// Sets the number of tokens that an account of weight 1 may be served ahead
  /// of its share after it used less.
  void SetBurst(double aBurst) { mBurst = aBurst; }

  void Push(const queued_request& aRequest, double aWeight, time_point aNow);

  /// The request that is served next, or nothing when the queue is empty.
  std::optional<queued_request> Front() const;
  void PopFront(time_point aNow);

  /// The request that would be served last, or nothing when the queue is empty.
  std::optional<queued_request> Back() const;

  /// Removes a request without charging its account; false when it is not in
  /// the queue.
  bool Remove(const request_id& aRequest, std::uint32_t aAccount);

  /// Corrects the charge of an account by `aTokens`, the actual minus the
  /// estimated cost of a request.
  void Charge(std::uint32_t aAccount, double aTokens);

  /// Expected time until the account's last waiting request is served, at the
  /// present service rate. Nothing while the rate is unknown, and 0 for an
  /// account with few waiting requests.
  std::optional<std::chrono::microseconds> ExpectedWait(
    std::uint32_t aAccount) const;

  bool Empty() const { return mSize == 0; }
  std::uint32_t Size() const { return mSize; }

private:
  struct account_queue
  {
    std::deque<queued_request> mWaiting;
    double mWeight = 1.0;
    /// Virtual time at which the first waiting request is due.
    double mHeadTag = 0.0;
    double mWaitingCost = 0.0;
    /// Keys of the account in `mByHeadTag` and `mByTailTag`.
    double mHeadKey = 0.0;
    double mTailKey = 0.0;

    double TailTag() const { return mHeadTag + mWaitingCost / mWeight; }
  };
  using account_order = std::set<std::pair<double, std::uint32_t>>;

  void RemoveFromOrders(std::uint32_t aAccount, const account_queue& aQueue);
  void AddToOrders(std::uint32_t aAccount, account_queue& aQueue);
  /// Total cost of the waiting requests that are due before a virtual time.
  double CostBefore(double aTag) const;
  void UpdateServiceRate(time_point aNow);
  void EvictIdleAccounts();

  std::unordered_map<std::uint32_t, account_queue> mAccounts;
  account_order mByHeadTag;
  account_order mByTailTag;
  std::uint32_t mSize = 0;
  /// The queue last became empty because its last request was started, not
  /// because it was rejected.
  bool mEmptiedByService = true;
  double mVirtualTime = 0.0;
  double mBurst = 0.0;
  /// Number of accounts left by the last removal of idle accounts.
  std::size_t mAccountsAfterEviction = 0;
  time_point mRateWindowStart;
  double mServedCost = 0.0;
  std::uint32_t mServedRequests = 0;
  /// Cost served per second while requests wait; 0 when unknown.
  double mServiceRate = 0.0;
};
