#include "StandIn/EngineBatch.h"

#include <gtest/gtest.h>

#include "StandIn/PrefixCache.h"

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr time_point kStart{ std::chrono::seconds(1) };

engine_speed Speed()
{
  return { 2, 4, microseconds(10000), microseconds(10), microseconds(1000) };
}

/// Time until all of `aStreams` streams of ten tokens have ended.
microseconds Duration(std::uint32_t aStreams)
{
  engine_batch batch(Speed());
  for (std::uint32_t id = 1; id <= aStreams; ++id) {
    batch.Add({ id, 0, 0, 0, 10 }, kStart);
  }
  time_point now = kStart;
  while (batch.Running() + batch.Waiting() > 0) {
    now += microseconds(100);
    batch.Tick(now);
  }
  return now - kStart;
}

} // namespace

// Guards against an engine that never slows down under load.
TEST(EngineBatch, TimesGrowBeyondTheCapacity)
{
  EXPECT_EQ(Duration(1), Duration(2));
  EXPECT_GT(Duration(4), Duration(2) * 3 / 2);
}

TEST(EngineBatch, UncachedPromptDelaysTheFirstToken)
{
  engine_batch batch(Speed());
  batch.Add({ 1, 0, 500, 0, 1 }, kStart);
  EXPECT_TRUE(batch.Tick(kStart + milliseconds(14)).empty());
  EXPECT_EQ(batch.Tick(kStart + milliseconds(15)),
            (std::vector<batch_step>{ { 1, 0, 1, true } }));
}

// Guards against priorities that are ignored in the waiting queue.
TEST(EngineBatch, LowerPriorityValueIsAdmittedFirst)
{
  engine_batch batch(Speed());
  for (std::uint64_t id = 1; id <= 4; ++id) {
    batch.Add({ id, 0, 0, 0, 1000 }, kStart);
  }
  batch.Add({ 5, 9, 0, 0, 1 }, kStart);
  batch.Add({ 6, 1, 0, 0, 1 }, kStart);
  EXPECT_EQ(batch.Waiting(), 2U);
  batch.Remove(1, kStart);
  const auto steps = batch.Tick(kStart + milliseconds(30));
  EXPECT_EQ(steps.back().mId, 6U);
}

// Guards against a burst that makes up for the time a reader was slow.
TEST(EngineBatch, HeldStreamGeneratesNothing)
{
  engine_batch batch(Speed());
  batch.Add({ 1, 0, 0, 0, 100 }, kStart);
  batch.Hold(1, true, kStart);
  EXPECT_TRUE(batch.Tick(kStart + milliseconds(80)).empty());
  batch.Hold(1, false, kStart + milliseconds(80));
  const auto steps = batch.Tick(kStart + milliseconds(82));
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].mTo, 2U);
}

// Guards against a burst without limit after a stall of the loop, which filled
// a reader's buffer.
TEST(EngineBatch, StallIsNotMadeUpFor)
{
  engine_batch batch(Speed());
  batch.Add({ 1, 0, 0, 0, 100000 }, kStart);
  const time_point late = kStart + std::chrono::seconds(60);
  EXPECT_EQ(batch.Tick(late)[0].mTo, 512U);
  EXPECT_EQ(batch.Tick(late + milliseconds(5))[0].mTo, 518U);
}

// Guards against events that are complete or immediate, which real engines'
// are not, and against evictions without an event.
TEST(PrefixCache, EventsAreLateAndHaveGaps)
{
  prefix_cache cache({ 3, milliseconds(100), 4 });
  EXPECT_EQ(cache.Use("m", { 1, 2, 3 }, kStart), 0U);
  EXPECT_EQ(cache.Use("m", { 1, 2, 4 }, kStart), 2U);
  EXPECT_TRUE(cache.Events(0, kStart + milliseconds(99)).empty());
  const auto events = cache.Events(0, kStart + milliseconds(100));
  ASSERT_EQ(events.size(), 4U);
  EXPECT_EQ(events[3].mSequence, 5U);
  EXPECT_EQ(events[3].mKind, cache_event_kind::Evicted);
  EXPECT_EQ(events[3].mBlock, 3U);
  EXPECT_EQ(cache.Size(), 3U);
}
