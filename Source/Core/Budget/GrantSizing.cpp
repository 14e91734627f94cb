#include "Budget/GrantSizing.h"

#include <algorithm>
#include <chrono>

namespace {

// Minimum of free tokens, as a multiple of the largest recent request, for
// budgets whose rate is still unknown or very low. The first grant may have to
// cover a burst or an outage of the table service: with 4 requests, all
// requests of a burst of 10 were refused.
constexpr std::int64_t kMinFreeRequests = 64;
constexpr std::int64_t kScarceMinFreeRequests = 1;

// A budget is scarce when less than 1/20 of its total, or less than 16 of the
// largest requests, is unspent. Then grants are small, since the last tokens
// must not be idle at one node while another node refuses requests.
constexpr std::int64_t kScarceTotalDivisor = 20;
constexpr std::int64_t kScarceRequests = 16;

// A holder gets at most 1/2 of the tokens that no request has reserved. With n
// holders at this limit, each has 1/(n+1) of these tokens, and 1/(n+1) stays in
// the row for the next holder that needs tokens.
constexpr std::int64_t kMaxShareDivisor = 2;

std::int64_t DesiredFreeTokens(const grant_demand& aDemand,
                               const budget_settings& aSettings)
{
  if (!aDemand.mInUse) {
    return 0;
  }
  const auto covers = aDemand.mScarce ? aSettings.mScarceGrantCoverTime
                                      : aSettings.mGrantCoverTime;
  const double seconds = std::chrono::duration<double>(covers).count();
  const auto byRate = static_cast<std::int64_t>(aDemand.mRate * seconds);
  const std::int64_t spare =
    aDemand.mScarce ? kScarceMinFreeRequests : kMinFreeRequests;
  return std::max(byRate, spare * aDemand.mLargestRequest);
}

} // namespace

bool IsScarceBudget(std::int64_t aUnspent,
                    std::int64_t aTotal,
                    std::int64_t aLargest)
{
  return aUnspent <
         std::max(kScarceRequests * aLargest, aTotal / kScarceTotalDivisor);
}

std::int64_t ComputeGrant(const grant_demand& aDemand,
                          const budget_settings& aSettings)
{
  const std::int64_t pool = aDemand.mAvailable + aDemand.mGrant;
  const std::int64_t unreserved =
    std::max<std::int64_t>(0, pool - aDemand.mReserved);
  const std::int64_t maxShare = unreserved / kMaxShareDivisor;
  std::int64_t free = std::min(DesiredFreeTokens(aDemand, aSettings), maxShare);
  if (aDemand.mScarce && free < aDemand.mLargestRequest) {
    // A free part smaller than one request is useless here, but added to those
    // of other nodes it may cover a request.
    free = 0;
  }
  if (aDemand.mSmallestWaiting > 0 && aDemand.mSmallestWaiting <= unreserved) {
    free = std::max(free, std::min(aDemand.mWaiting, unreserved));
  }
  return std::min(pool, aDemand.mReserved + std::min(free, unreserved));
}
