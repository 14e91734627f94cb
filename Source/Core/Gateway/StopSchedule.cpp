#include "Gateway/StopSchedule.h"

#include <algorithm>

namespace {

using std::chrono::milliseconds;

// Share of the grace period in which the node takes new requests at most; the
// rest is for requests in progress and for tokens that are returned.
constexpr double kAcceptShare = 0.5;
// Time that the process has to exit, at most, and as a share of the grace
// period. On a busy host an exit takes a few hundred ms.
constexpr milliseconds kMaxExitTime(600);
constexpr double kExitShare = 0.15;
// Requests may take longer than the longest recent one by this share of it.
constexpr double kDurationMargin = 0.25;
// About the time in which a client connects to another node.
constexpr milliseconds kElsewhereRetryDelay(10);

milliseconds Share(milliseconds aTime, double aShare)
{
  return std::chrono::duration_cast<milliseconds>(aTime * aShare);
}

} // namespace

stop_schedule ScheduleStop(time_point aBeganAt,
                           milliseconds aGracePeriod,
                           milliseconds aAddressHoldTime)
{
  const milliseconds exitTime =
    std::min(Share(aGracePeriod, kExitShare), kMaxExitTime);
  const milliseconds acceptTime =
    std::min(Share(aGracePeriod, kAcceptShare), aAddressHoldTime);
  return { aBeganAt,
           aBeganAt + acceptTime,
           aBeganAt + aGracePeriod - exitTime };
}

bool FitsBeforeEnd(const stop_schedule& aSchedule,
                   const request_needs& aNeeds,
                   time_point aNow)
{
  if (aNeeds.mLimit <= aSchedule.mEndsAt) {
    return true;
  }
  if (!aNeeds.mLongestRecent) {
    return false;
  }
  const milliseconds longest =
    *aNeeds.mLongestRecent + Share(*aNeeds.mLongestRecent, kDurationMargin);
  return aNow + longest <= aSchedule.mEndsAt;
}

milliseconds RetryAfterInStop(const stop_schedule& aSchedule,
                              bool aOtherNodeReady,
                              time_point aNow)
{
  if (aOtherNodeReady) {
    return kElsewhereRetryDelay;
  }
  return std::max(std::chrono::ceil<milliseconds>(aSchedule.mEndsAt - aNow),
                  kElsewhereRetryDelay);
}

std::int64_t MsBetween(time_point aFrom, time_point aTo)
{
  return std::chrono::duration_cast<milliseconds>(aTo - aFrom).count();
}
