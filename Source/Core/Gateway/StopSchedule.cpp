#include "Gateway/StopSchedule.h"

#include <algorithm>

namespace {

using std::chrono::milliseconds;

// Share of the grace period in which the node takes new requests, while clients
// still hold its address.
constexpr double kAcceptShare = 0.5;
// Time that the process has to exit, at most, and as a share of the grace
// period. On a busy host an exit takes a few hundred ms.
constexpr milliseconds kMaxExitTime(600);
constexpr double kExitShare = 0.15;

milliseconds Share(milliseconds aTime, double aShare)
{
  return std::chrono::duration_cast<milliseconds>(aTime * aShare);
}

} // namespace

stop_schedule ScheduleStop(time_point aBeganAt, milliseconds aGracePeriod)
{
  const milliseconds exitTime =
    std::min(Share(aGracePeriod, kExitShare), kMaxExitTime);
  return { aBeganAt,
           aBeganAt + Share(aGracePeriod, kAcceptShare),
           aBeganAt + aGracePeriod - exitTime };
}

std::int64_t MsBetween(time_point aFrom, time_point aTo)
{
  return std::chrono::duration_cast<milliseconds>(aTo - aFrom).count();
}
