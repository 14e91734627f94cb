#include <set>

#include "Dispatch/PrefixIndex.h"
#include "DispatchTestTools.h"

using namespace std::chrono_literals;

/// Choice of upstreams by subset, zone, load report, prefix cache and
/// concurrency limit.
class upstreams_test : public dispatch_fixture
{
protected:
  void Report(const std::string& aUpstream,
              std::uint32_t aRunning,
              std::chrono::milliseconds aLag = {},
              std::uint32_t aSlots = 0)
  {
    load_report report;
    report.mMeasuredAt = mNow - aLag;
    report.mRunning = aRunning;
    report.mSlots = aSlots;
    mSystem.OnLoadReport({ aUpstream }, report, mNow);
  }

  std::string StartOne(const dispatch_request& aRequest)
  {
    Enqueue(aRequest);
    const dispatch_output output = Tick(1ms);
    return output.mStarts.empty() ? "" : output.mStarts[0].mUpstream.mName;
  }

  static listed_upstream Entry(const std::string& aName,
                               const std::string& aZone)
  {
    listed_upstream entry;
    entry.mUpstream = { aName };
    entry.mZone = { aZone };
    entry.mRegion = { "region" };
    return entry;
  }
};

// Guards against a node that uses every upstream of a large fleet.
TEST_F(upstreams_test, UsesABoundedSubset)
{
  SetUpstreams(200);
  std::set<std::string> used;
  for (std::uint64_t i = 0; i < 200; ++i) {
    Enqueue(Request(i));
  }
  for (const start_decision& start : Tick().mStarts) {
    used.insert(start.mUpstream.mName);
  }
  EXPECT_GT(used.size(), 12U);
  EXPECT_LE(used.size(), 24U);
}

// Guards against traffic to other zones while the own zone has capacity, and
// against rejecting requests instead of using other zones when it has none.
TEST_F(upstreams_test, PrefersTheOwnZoneAndSpillsOver)
{
  mSystem.SetUpstreams({ Entry("near", "zone-a"), Entry("far", "zone-b") },
                       mNow);
  EXPECT_EQ(StartOne(Request(1)), "near");
  for (std::uint64_t i = 10; i < 25; ++i) {
    Enqueue(Request(i));
  }
  EXPECT_EQ(Tick().mStarts.size(), 15U);
}

// Guards against counting this node's requests twice when a delayed load report
// includes them, and against ignoring those of other nodes.
TEST_F(upstreams_test, CorrectsLateReportsByOwnRequests)
{
  SetUpstreams(1);
  for (std::uint64_t i = 0; i < 4; ++i) {
    Enqueue(Request(i));
  }
  Tick();
  mNow += 500ms;
  // The report was taken after the starts above: 4 requests of this node and 3
  // of others.
  Report("engine-0", 7, 200ms);
  Finish(0);
  Finish(1);
  const dispatch_status status = mSystem.Status(mNow);
  EXPECT_EQ(status.mUpstreams[0].mOwnInFlight, 2U);
  EXPECT_EQ(status.mUpstreams[0].mOthersInFlight, 3U);
}

// Guards against several nodes that each take the whole free capacity of an
// upstream.
TEST_F(upstreams_test, TakesItsShareOfTheFreeCapacity)
{
  dispatch_settings settings = Settings();
  settings.mNodesPerUpstream = 5;
  mSystem.ApplySettings(settings);
  SetUpstreams(1);
  Report("engine-0", 0, 0ms, 20);
  for (std::uint64_t i = 0; i < 20; ++i) {
    Enqueue(Request(i));
  }
  const auto started = Tick().mStarts.size();
  EXPECT_GE(started, 3U);
  EXPECT_LE(started, 5U);
}

// Guards against sending requests to an upstream that has not loaded the model,
// or whose role does not accept requests.
TEST_F(upstreams_test, ChoosesByModelAndRole)
{
  SetUpstreams(3);
  load_report report;
  report.mMeasuredAt = mNow;
  report.mModels = { { "other" } };
  mSystem.OnLoadReport({ "engine-0" }, report, mNow);
  report.mModels = { { "model" } };
  report.mRole = upstream_role::Reserved;
  mSystem.OnLoadReport({ "engine-1" }, report, mNow);
  for (std::uint64_t i = 0; i < 5; ++i) {
    EXPECT_EQ(StartOne(Request(i)), "engine-2");
  }
}

// Guards against processing a prompt again although an upstream has its prefix
// cached.
TEST_F(upstreams_test, FollowsThePrefixCache)
{
  SetUpstreams(4);
  dispatch_request request = Request(1);
  request.mPrefixBlocks = { 11, 12, 13, 14 };
  const std::string first = StartOne(request);
  Finish(1);
  // Longer prompts of the same conversation.
  for (std::uint64_t i = 2; i < 20; ++i) {
    dispatch_request next = Request(i);
    next.mPrefixBlocks = { 11, 12, 13, 14, 100 + i };
    EXPECT_EQ(StartOne(next), first);
    Finish(i);
  }
}

// Guards against a concurrency limit that stays high while requests queue
// inside the upstream, or that never recovers.
TEST_F(upstreams_test, LimitFollowsTheObservedLatency)
{
  SetUpstreams(1);
  for (std::uint64_t i = 0; i < 10; ++i) {
    Enqueue(Request(i));
  }
  Tick();
  mNow += 900ms;
  mSystem.OnFirstToken({ 1, 0 }, mNow);
  const double shrunk = mSystem.Status(mNow).mUpstreams[0].mLimit;
  EXPECT_LT(shrunk, 9.0);
  for (std::uint64_t i = 0; i < 10; ++i) {
    Finish(i);
  }
  for (std::uint64_t i = 100; i < 140; ++i) {
    Enqueue(Request(i));
    Tick(1ms);
    mSystem.OnFirstToken({ 1, i }, mNow + 50ms);
    if (i >= 107) {
      Finish(i - 7);
    }
  }
  EXPECT_GT(mSystem.Status(mNow).mUpstreams[0].mLimit, shrunk + 1.0);
}

// Guards against trusting cache entries fully after cache events were lost.
TEST(PrefixIndex, EntriesBeforeAGapCountLess)
{
  prefix_index index(100);
  EXPECT_FALSE(index.Apply(0, { 1, { { cache_action::Stored, 7 } } }));
  EXPECT_EQ(index.CachedShare(0, { 7, 8 }), 0.5);
  EXPECT_TRUE(index.Apply(0, { 5, {} }));
  EXPECT_EQ(index.CachedShare(0, { 7, 8 }), 0.25);
  // A delayed batch from before the gap changes nothing.
  EXPECT_FALSE(index.Apply(0, { 3, { { cache_action::Removed, 7 } } }));
  EXPECT_FALSE(index.Apply(0, { 6, { { cache_action::Stored, 7 } } }));
  EXPECT_EQ(index.CachedShare(0, { 7, 8 }), 0.5);
  EXPECT_FALSE(index.Apply(0, { 7, { { cache_action::Removed, 7 } } }));
  EXPECT_EQ(index.CachedShare(0, { 7, 8 }), 0.0);
}

// Guards against a prefix index that grows without bound.
TEST(PrefixIndex, ForgetsTheOldestEntries)
{
  prefix_index index(10);
  for (std::uint64_t block = 1; block <= 100; ++block) {
    index.RecordPrompt(0, { block });
  }
  EXPECT_LE(index.Size(), 10U);
  EXPECT_EQ(index.CachedShare(0, { 1 }), 0.0);
  EXPECT_EQ(index.CachedShare(0, { 100 }), 1.0);
  index.RemoveUpstream(0);
  EXPECT_EQ(index.CachedShare(0, { 100 }), 0.0);
}
