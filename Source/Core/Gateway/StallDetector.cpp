#include "Gateway/StallDetector.h"

#include <chrono>
#include <utility>

#include "Common/Log.h"

namespace {

using std::chrono::milliseconds;

// Longest time between two tasks that is no stall; the most frequent one runs
// every 10 ms.
constexpr milliseconds kMinStall(200);
// Time for one iteration of the loop, which reads all connections. It is
// shorter than the interval of the most frequent task.
constexpr milliseconds kReadTime(5);
constexpr milliseconds kMinReadInterval(500);
// Time in which a server that lives sends bytes or renews its entry, and the
// entry is read.
constexpr milliseconds kSilenceTime(2000);

} // namespace

void stall_detector::OnTick(time_point aNow)
{
  const time_point last = std::exchange(mLastTickAt, aNow);
  if (aNow < last + kMinStall) {
    return;
  }
  mStallBeganAt = last;
  mStallEndedAt = aNow;
  mSilenceFrom = aNow + kSilenceTime;
  if (aNow >= mNextReadFrom) {
    mReadUntil = aNow + kReadTime;
    mNextReadFrom = aNow + kMinReadInterval;
  }
  Log(log_level::Warning,
      "loop_stalled",
      { Field("stalled_ms",
              std::chrono::duration_cast<milliseconds>(aNow - last).count()) });
}

time_point stall_detector::EarliestEventAt(time_point aNow) const
{
  return mStallEndedAt != time_point() && aNow < mStallEndedAt + kReadTime
           ? mStallBeganAt
           : mLastTickAt;
}
