#include <gtest/gtest.h>

#include "Gateway/RequestDurations.h"
#include "Gateway/StopSchedule.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAddressHold(3000);
const time_point kNow{ std::chrono::seconds(100) };

stop_schedule Schedule(milliseconds aGracePeriod)
{
  return ScheduleStop(kNow, aGracePeriod, kAddressHold);
}

} // namespace

// Guards against requests that are taken in a stop and broken off at its end,
// whatever the grace period, the time limit and the time since the signal.
TEST(stop_schedule_test, WhatIsTakenEndsBeforeTheNode)
{
  for (const int grace : { 400, 1000, 4000, 8000, 60000 }) {
    const stop_schedule stop = Schedule(milliseconds(grace));
    EXPECT_LT(stop.mEndsAt, kNow + milliseconds(grace));
    EXPECT_LT(stop.mRefusesFrom, stop.mEndsAt);
    for (int since = 0; kNow + milliseconds(since) < stop.mRefusesFrom;
         since += 50) {
      const time_point now = kNow + milliseconds(since);
      for (const int needed : { 5, 200, 1500, 3700, 6000, 20000 }) {
        const time_point end = now + milliseconds(needed);
        // The time that a request needs is known by its limit, or by others.
        if (FitsBeforeEnd(stop, { end, std::nullopt }, now) ||
            FitsBeforeEnd(stop,
                          { now + std::chrono::hours(1), milliseconds(needed) },
                          now)) {
          EXPECT_LE(end, stop.mEndsAt) << grace << " " << since;
        }
      }
    }
  }
}

// Guards against requests of unknown length that are taken on trust.
TEST(stop_schedule_test, OnlyTheLimitCountsWithoutRecentRequests)
{
  const stop_schedule stop = Schedule(milliseconds(8000));
  EXPECT_TRUE(FitsBeforeEnd(stop, { stop.mEndsAt, std::nullopt }, kNow));
  EXPECT_FALSE(FitsBeforeEnd(
    stop, { stop.mEndsAt + milliseconds(1), std::nullopt }, kNow));
}

// Guards against clients that are refused while they still hold the address, or
// taken long after.
TEST(stop_schedule_test, TakesRequestsWhileClientsHoldTheAddress)
{
  EXPECT_EQ(Schedule(milliseconds(8000)).mRefusesFrom, kNow + kAddressHold);
  EXPECT_EQ(Schedule(milliseconds(4000)).mRefusesFrom,
            kNow + milliseconds(2000));
}

// Guards against a maximum that one slow request sets for good, and against a
// table that grows with every route that ever was.
TEST(request_durations_test, ForgetsOldRequests)
{
  request_durations durations;
  EXPECT_EQ(durations.Longest("r", kNow), std::nullopt);
  durations.RecordElapsed("r", milliseconds(4000), kNow);
  EXPECT_EQ(durations.Longest("r", kNow), std::nullopt);
  durations.RecordComplete("r", milliseconds(100), kNow + milliseconds(100));
  EXPECT_EQ(durations.Longest("r", kNow), milliseconds(4000));
  const time_point later = kNow + milliseconds(11000);
  durations.RecordComplete("r", milliseconds(200), later);
  EXPECT_EQ(durations.Longest("r", later), milliseconds(4000));
  const time_point latest = later + milliseconds(11000);
  durations.RecordComplete("r", milliseconds(50), latest);
  EXPECT_EQ(durations.Longest("r", latest), milliseconds(200));
  EXPECT_EQ(durations.Longest("r", latest + milliseconds(21000)), std::nullopt);
  durations.Expire(latest + milliseconds(21000));
  EXPECT_EQ(durations.Size(), 0U);
}
