#include "Capacity/OverloadGuard.h"

#include <algorithm>

namespace {

// Use of the limit that the controller keeps to. It is above 1 because the ends
// of requests are known late; with 1.0 the servers had unused room.
constexpr double kTargetUse = 1.09;
// Gains for one report interval of 200 ms. The total is known about two
// intervals late; larger gains make it swing.
constexpr double kIntegralGain = 0.1;
constexpr double kProportionalGain = 0.5;
// Some requests always pass, so that the use of the servers is seen to fall.
constexpr double kMaxShare = 0.95;
constexpr std::uint64_t kSteps = 4096;

} // namespace

void overload_guard::Update(double aRequests, double aLimit)
{
  const double use = aLimit > 0.0 ? aRequests / aLimit : 0.0;
  mShare += kIntegralGain * (use - kTargetUse) +
            kProportionalGain * (use - mLastUse) * (mShare > 0.0 ? 1.0 : 0.0);
  mShare = std::clamp(mShare, 0.0, kMaxShare);
  mLastUse = use;
}

bool overload_guard::TurnsAway(std::uint64_t aPoint) const
{
  return static_cast<double>(aPoint % kSteps) <
         mShare * static_cast<double>(kSteps);
}
