#include "Budget/GrantSizing.h"

#include <algorithm>
#include <chrono>

namespace {

// Free tokens for a few more of the largest recent requests, for budgets whose
// rate is still unknown or very low.
constexpr std::int64_t kSpareRequests = 4;

// A holder keeps at most this part of what no request has reserved. With n
// holders that all do, each ends up with 1/(n+2) of the rest, and two parts
// stay in the row for whoever runs out.
constexpr std::int64_t kShareOfRest = 3;

std::int64_t Wanted(const grant_demand& aDemand,
                    const budget_settings& aSettings)
{
  if (!aDemand.mInUse) {
    return 0;
  }
  const double seconds =
    std::chrono::duration<double>(aSettings.mGrantCovers).count();
  const auto byRate = static_cast<std::int64_t>(aDemand.mRate * seconds);
  return std::max(byRate, kSpareRequests * aDemand.mLargest);
}

} // namespace

std::int64_t SizeGrant(const grant_demand& aDemand,
                       const budget_settings& aSettings)
{
  const std::int64_t pool = aDemand.mAvailable + aDemand.mGrant;
  const std::int64_t rest = std::max<std::int64_t>(0, pool - aDemand.mReserved);
  const std::int64_t fair = rest / kShareOfRest;
  std::int64_t free = std::min(Wanted(aDemand, aSettings), fair);
  if (aDemand.mSmallestWaiting > 0 && aDemand.mSmallestWaiting <= rest) {
    free = std::max(free, std::min(aDemand.mWaiting, rest));
  }
  return std::min(pool, aDemand.mReserved + std::min(free, rest));
}
