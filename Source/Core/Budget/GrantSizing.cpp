#include "Budget/GrantSizing.h"

#include <algorithm>
#include <chrono>

namespace {

// Free tokens for more of the largest recent requests, for budgets whose rate
// is still unknown or very low. The first grant may have to serve a burst or an
// outage of the store: with room for 4 requests, all of 10 were refused.
constexpr std::int64_t kSpareRequests = 64;
constexpr std::int64_t kScarceSpareRequests = 1;

// Below one twentieth of the total, few refusals count more than outlasting a
// partition: the last tokens must not lie at one node while another needs them.
constexpr std::int64_t kScarcePart = 20;
constexpr std::int64_t kScarceRequests = 16;

// A holder keeps at most this part of what no request has reserved. With n
// holders that all do, each ends up with 1/(n+1) of the rest, and one part
// stays in the row for whoever runs out.
constexpr std::int64_t kShareOfRest = 2;

std::int64_t Wanted(const grant_demand& aDemand,
                    const budget_settings& aSettings)
{
  if (!aDemand.mInUse) {
    return 0;
  }
  const auto covers =
    aDemand.mScarce ? aSettings.mScarceCovers : aSettings.mGrantCovers;
  const double seconds = std::chrono::duration<double>(covers).count();
  const auto byRate = static_cast<std::int64_t>(aDemand.mRate * seconds);
  const std::int64_t spare =
    aDemand.mScarce ? kScarceSpareRequests : kSpareRequests;
  return std::max(byRate, spare * aDemand.mLargest);
}

} // namespace

bool IsScarceBudget(std::int64_t aLeft,
                    std::int64_t aTotal,
                    std::int64_t aLargest)
{
  return aLeft < std::max(kScarceRequests * aLargest, aTotal / kScarcePart);
}

std::int64_t SizeGrant(const grant_demand& aDemand,
                       const budget_settings& aSettings)
{
  const std::int64_t pool = aDemand.mAvailable + aDemand.mGrant;
  const std::int64_t rest = std::max<std::int64_t>(0, pool - aDemand.mReserved);
  const std::int64_t fair = rest / kShareOfRest;
  std::int64_t free = std::min(Wanted(aDemand, aSettings), fair);
  if (aDemand.mScarce && free < aDemand.mLargest) {
    // Crumbs at several nodes could pay for a request that none of them can.
    free = 0;
  }
  if (aDemand.mSmallestWaiting > 0 && aDemand.mSmallestWaiting <= rest) {
    free = std::max(free, std::min(aDemand.mWaiting, rest));
  }
  return std::min(pool, aDemand.mReserved + std::min(free, rest));
}
