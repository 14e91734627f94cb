#include <gtest/gtest.h>

#include "Gateway/LinkQueue.h"

namespace {

using std::chrono::milliseconds;

const time_point kNow{ std::chrono::seconds(100) };
// A fifth is for what is not part of requests.
constexpr double kBytesPerSecond = 1e6;

} // namespace

// Guards against requests that are taken to reach their server at once while
// others wait at the link, and against a queue that is remembered after it was
// sent.
TEST(link_queue_test, BytesLeaveAfterThoseBeforeThem)
{
  link_queue queue(kBytesPerSecond);
  EXPECT_EQ(queue.LeavesAt(0, kNow), kNow);
  EXPECT_EQ(queue.LeavesAt(80000, kNow), kNow + milliseconds(100));
  queue.Add(800000, kNow);
  EXPECT_EQ(queue.LeavesAt(80000, kNow), kNow + milliseconds(1100));
  queue.Add(400000, kNow + milliseconds(500));
  EXPECT_EQ(queue.LeavesAt(0, kNow + milliseconds(500)),
            kNow + milliseconds(1500));
  const time_point later = kNow + milliseconds(1600);
  EXPECT_EQ(queue.LeavesAt(0, later), later);
}

// Guards against requests that wait where the settings name no capacity.
TEST(link_queue_test, NothingWaitsAtALinkOfUnknownCapacity)
{
  link_queue queue(0.0);
  queue.Add(800000, kNow);
  EXPECT_EQ(queue.LeavesAt(800000, kNow), kNow);
}
