#include <algorithm>

#include <fmt/format.h>

#include "FleetFixture.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using callers = std::vector<std::unique_ptr<chat_caller>>;

bool AllDone(const callers& aCallers)
{
  for (const auto& caller : aCallers) {
    if (!caller->Done()) {
      return false;
    }
  }
  return true;
}

class chat_path : public fleet_fixture
{};

} // namespace

// Guards against responses that are cut, mixed between callers, or charged
// with another number than the usage that was reported.
TEST_F(chat_path, StreamsWholeAnswersFromTwoNodesAtOnce)
{
  StartFleet();
  callers open;
  std::vector<chat_call> calls;
  for (int i = 0; i < 200; ++i) {
    calls.push_back(Call(i % 2, fmt::format("question number {}", i)));
    open.push_back(Send(calls.back()));
  }
  ASSERT_TRUE(Wait([&open] { return AllDone(open); }));
  std::int64_t reported = 0;
  for (std::size_t i = 0; i < open.size(); ++i) {
    ASSERT_TRUE(open[i]->Whole()) << open[i]->Code();
    EXPECT_EQ(open[i]->Text(), Expected(calls[i]));
    reported += open[i]->Usage();
  }
  StopFleet();
  EXPECT_EQ(mFleet->Spent("clinic"), reported);
  EXPECT_TRUE(mFleet->Reconciled("clinic"));
}

// Guards against a request that is billed for every node that its caller
// tries.
TEST_F(chat_path, BillsRetriesOfOneRequestOnce)
{
  StartFleet();
  chat_call call = Call(0, "the same question");
  call.mIdempotencyKey = "key-1";
  callers open;
  open.push_back(Send(call));
  call.mNode = mFleet->Node(1).HttpAddress();
  open.push_back(Send(call));
  ASSERT_TRUE(Wait([&open] { return AllDone(open); }));
  open.push_back(Send(call));
  ASSERT_TRUE(Wait([&open] { return AllDone(open); }));
  ASSERT_TRUE(open[0]->Whole());
  EXPECT_EQ(open[2]->Status(), 409U);
  EXPECT_EQ(open[2]->Run(), "ran");
  StopFleet();
  EXPECT_EQ(mFleet->Spent("clinic"), open[0]->Usage());
  EXPECT_TRUE(mFleet->Reconciled("clinic"));
}

// Guards against charges lost or doubled, and grants stranded, when a node
// dies in the middle of responses and callers try another one.
TEST_F(chat_path, SurvivesTheDeathOfANodeWithOpenStreams)
{
  StartFleet();
  callers first;
  std::vector<chat_call> calls;
  for (int i = 0; i < 20; ++i) {
    calls.push_back(Call(0, fmt::format("before the crash {}", i)));
    calls.back().mIdempotencyKey = fmt::format("crash-{}", i);
    calls.back().mMaxTokens = i < 10 ? 5 : 64;
    first.push_back(Send(calls.back()));
  }
  ASSERT_TRUE(Wait([&first] {
    int whole = 0;
    for (const auto& caller : first) {
      whole += caller->Whole() ? 1 : 0;
    }
    return whole >= 5;
  }));
  mFleet->KillNode(0);
  ASSERT_TRUE(Wait([&first] { return AllDone(first); }));
  std::int64_t reported = 0;
  callers second;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    if (first[i]->Whole()) {
      reported += first[i]->Usage();
      continue;
    }
    calls[i].mNode = mFleet->Node(1).HttpAddress();
    second.push_back(Send(calls[i]));
  }
  ASSERT_FALSE(second.empty());
  ASSERT_TRUE(Wait([&second] { return AllDone(second); }));
  for (const auto& caller : second) {
    ASSERT_TRUE(caller->Whole()) << caller->Code();
    reported += caller->Usage();
  }
  // The backup notices the death, writes the charges and returns the grants.
  ASSERT_TRUE(Wait([this] { return mFleet->Granted("clinic", "node-1") == 0; },
                   seconds(40)));
  StopFleet();
  EXPECT_EQ(mFleet->Spent("clinic"), reported);
  EXPECT_TRUE(mFleet->Reconciled("clinic"));
}

// Guards against service that stops, and charges that get lost, while the
// table service is down or loses replies.
TEST_F(chat_path, ServesFromGrantsWhileTheStoreIsDown)
{
  StartFleet();
  callers open;
  open.push_back(Send(Call(0, "draws a grant")));
  ASSERT_TRUE(Wait([&open] { return AllDone(open); }));
  mFleet->Cluster().Table().Faults().mDown = true;
  for (int i = 0; i < 10; ++i) {
    open.push_back(Send(Call(0, fmt::format("while down {}", i))));
  }
  ASSERT_TRUE(Wait([&open] { return AllDone(open); }));
  mFleet->Cluster().Table().Faults().mDown = false;
  mFleet->Cluster().Table().Faults().mLoseReplies = 3;
  open.push_back(Send(Call(1, "while replies get lost")));
  ASSERT_TRUE(Wait([&open] { return AllDone(open); }));
  std::int64_t reported = 0;
  for (const auto& caller : open) {
    EXPECT_TRUE(caller->Whole()) << caller->Code();
    reported += caller->Usage();
  }
  StopFleet();
  EXPECT_EQ(mFleet->Spent("clinic"), reported);
  EXPECT_TRUE(mFleet->Reconciled("clinic"));
}

// Guards against overspend: together the nodes accept no more than is prepaid.
TEST_F(chat_path, RefusesWhatTheBudgetDoesNotCover)
{
  embedded_fleet_options options;
  options.mAccounts.front().mPrepaid = 2000;
  StartFleet(options);
  callers open;
  for (int i = 0; i < 60; ++i) {
    open.push_back(Send(Call(i % 3, fmt::format("question {}", i))));
  }
  ASSERT_TRUE(Wait([&open] { return AllDone(open); }));
  std::int64_t reported = 0;
  int refused = 0;
  for (const auto& caller : open) {
    if (caller->Whole()) {
      reported += caller->Usage();
      continue;
    }
    ++refused;
    EXPECT_EQ(caller->Run(), "not_run") << caller->Code();
  }
  EXPECT_GT(refused, 0);
  StopFleet();
  EXPECT_EQ(mFleet->Spent("clinic"), reported);
  EXPECT_LE(mFleet->Spent("clinic"), 2000);
}

// Guards against upstream work for callers who are gone.
TEST_F(chat_path, CancelsTheUpstreamWhenTheCallerGoesAway)
{
  embedded_fleet_options options;
  options.mCluster.mEngines = 1;
  StartFleet(options);
  chat_call call = Call(0, "a long answer");
  call.mMaxTokens = 500;
  auto caller = Send(call);
  ASSERT_TRUE(Wait([&caller] { return caller->Tokens() > 3; }));
  caller->HangUp();
  ASSERT_TRUE(Wait(
    [this] { return mFleet->Cluster().Engine(0).Counters().mCancelled == 1; }));
  EXPECT_EQ(mFleet->Node(0).Chat().Open(), 0U);
}

// Guards against a broken stream that is cut or spliced wrongly although the
// engines can resume it.
TEST_F(chat_path, ResumesAStreamWhoseEngineStops)
{
  embedded_fleet_options options;
  options.mCluster.mEngines = 2;
  options.mCluster.mEngine.mLongestAnswer = 300;
  options.mCluster.mEngine.mShortestAnswer = 300;
  StartFleet(options);
  chat_call call = Call(0, "a long answer to resume");
  call.mMaxTokens = 200;
  auto caller = Send(call);
  ASSERT_TRUE(Wait([&caller] { return caller->Tokens() > 20; }));
  for (std::size_t i = 0; i < mFleet->Cluster().Engines(); ++i) {
    engine_stand_in& engine = mFleet->Cluster().Engine(i);
    if (engine.Batch().Running() > 0) {
      engine.Stop();
    }
  }
  ASSERT_TRUE(Wait([&caller] { return caller->Done(); }));
  ASSERT_TRUE(caller->Whole()) << caller->Code();
  EXPECT_EQ(caller->Text(), Expected(call));
  StopFleet();
  EXPECT_EQ(mFleet->Spent("clinic"), caller->Usage());
}

// Guards against one bad request taking the engines down one after another.
TEST_F(chat_path, QuarantinesARequestThatCrashesEngines)
{
  embedded_fleet_options options;
  options.mCluster.mEngines = 6;
  options.mCluster.mEngine.mCrashMarker = "crash-marker";
  StartFleet(options);
  for (int i = 0; i < 12; ++i) {
    auto caller = Send(Call(i % 3, "has the crash-marker in it"));
    ASSERT_TRUE(Wait([&caller] { return caller->Done(); }));
    EXPECT_FALSE(caller->Whole());
    Pass(milliseconds(150));
  }
  std::uint64_t crashes = 0;
  for (std::size_t i = 0; i < mFleet->Cluster().Engines(); ++i) {
    crashes += mFleet->Cluster().Engine(i).Counters().mCrashes;
  }
  EXPECT_GE(crashes, 1U);
  EXPECT_LE(crashes, 2U);
  auto innocent = Send(Call(0, "has the crash marker not in it"));
  ASSERT_TRUE(Wait([&innocent] { return innocent->Done(); }));
  EXPECT_TRUE(innocent->Whole()) << innocent->Code();
}

// Guards against new work for an engine that is leaving, 3 s after the first
// sign.
TEST_F(chat_path, SendsNoWorkToALeavingEngine)
{
  StartFleet();
  mFleet->Cluster().Hosts().SetState("engine-1", host_state::Leaving);
  Pass(seconds(3));
  const std::uint64_t before = mFleet->Cluster().Engine(0).Counters().mStarted;
  callers open;
  for (int i = 0; i < 60; ++i) {
    open.push_back(Send(Call(i % 3, fmt::format("question {}", i))));
  }
  ASSERT_TRUE(Wait([&open] { return AllDone(open); }));
  for (const auto& caller : open) {
    EXPECT_TRUE(caller->Whole()) << caller->Code();
  }
  EXPECT_EQ(mFleet->Cluster().Engine(0).Counters().mStarted, before);
}

// Guards against requests cut off by a planned stop.
TEST_F(chat_path, StopsWithoutCuttingRequests)
{
  StartFleet();
  callers open;
  for (int i = 0; i < 30; ++i) {
    chat_call call = Call(i % 3, fmt::format("long question {}", i));
    call.mMaxTokens = 150;
    open.push_back(Send(call));
  }
  Pass(milliseconds(100));
  mFleet->Node(0).Stop();
  ASSERT_TRUE(
    Wait([this] { return mFleet->Node(0).Phase() == node_phase::Stopped; }));
  ASSERT_TRUE(Wait([&open] { return AllDone(open); }));
  for (const auto& caller : open) {
    EXPECT_TRUE(caller->Whole()) << caller->Code();
  }
}

// Guards against prefix identities that differ between router and engine, which
// would silently turn cache affinity off.
TEST_F(chat_path, SendsACommonPrefixToTheEngineThatHasIt)
{
  embedded_fleet_options options;
  options.mCluster.mEngines = 4;
  options.mCluster.mEngine.mCache.mEventGap = 0;
  StartFleet(options);
  const std::string prefix(2000, 'p');
  auto first = Send(Call(0, prefix + " first"));
  ASSERT_TRUE(Wait([&first] { return first->Done(); }));
  // Long enough for the events to be published and every engine to be asked.
  Pass(seconds(3));
  for (int i = 0; i < 10; ++i) {
    auto caller = Send(Call(0, fmt::format("{} question {}", prefix, i)));
    ASSERT_TRUE(Wait([&caller] { return caller->Done(); }));
    EXPECT_TRUE(caller->Whole()) << caller->Code();
  }
  std::uint64_t most = 0;
  for (std::size_t i = 0; i < mFleet->Cluster().Engines(); ++i) {
    most = std::max(most, mFleet->Cluster().Engine(i).Counters().mStarted);
  }
  EXPECT_EQ(most, 11U);
}
