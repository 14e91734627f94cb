#include "Dispatch/DispatchSystem.h"

#include <deque>
#include <set>

#include "DispatchTestTools.h"

using namespace std::chrono_literals;

using dispatch_system_test = dispatch_fixture;

// Guards against a request that is not started, or whose tokens are not counted
// when it completes.
TEST_F(dispatch_system_test, StartsAndFinishes)
{
  SetUpstreams(2);
  Enqueue(Request(1));
  const dispatch_output output = Tick();
  ASSERT_EQ(output.mStarts.size(), 1U);
  EXPECT_EQ(output.mStarts[0].mAttempt, 1U);
  mSystem.OnFirstToken({ 1, 1 }, mNow);
  mSystem.OnTokens({ 1, 1 }, 50, mNow);
  Finish(1);
  EXPECT_EQ(mSystem.Counters().mClasses[0].mTokens, 150U);
  EXPECT_EQ(Tick(), dispatch_output());
}

// Guards against requests sent to an upstream after it announced that it
// leaves, also when a delayed host list that does not show it arrives
// afterwards.
TEST_F(dispatch_system_test, LeavingUpstreamGetsNoNewWork)
{
  SetUpstreams(1);
  mSystem.OnUpstreamLeaving({ "engine-0" }, mNow);
  SetUpstreams(1);
  Enqueue(Request(1));
  const dispatch_output output = Tick();
  EXPECT_TRUE(output.mStarts.empty());
  ASSERT_EQ(output.mRejects.size(), 1U);
  EXPECT_EQ(output.mRejects[0].mReason, reject_reason::NoUpstream);
  EXPECT_EQ(output.mRejects[0].mRun, run_state::NotRun);
}

// Guards against requests that start after their first-token target has passed,
// and against rejected callers that all retry at the same moment.
TEST_F(dispatch_system_test, RejectsOverdueRequestsWithSpreadRetryAfter)
{
  SetUpstreams(1);
  for (std::uint64_t i = 0; i < 60; ++i) {
    Enqueue(Request(i));
  }
  EXPECT_EQ(Tick().mStarts.size(), 10U);
  const dispatch_output late = Tick(1200ms);
  EXPECT_EQ(late.mRejects.size(), 50U);
  std::set<std::chrono::milliseconds> waits;
  for (const reject_decision& reject : late.mRejects) {
    EXPECT_EQ(reject.mReason, reject_reason::TooLate);
    EXPECT_EQ(reject.mRun, run_state::NotRun);
    waits.insert(reject.mRetryAfter);
  }
  EXPECT_GT(waits.size(), 40U);
}

// Guards against a caller that waits until its target has passed although the
// backlog ahead of it cannot be served in time.
TEST_F(dispatch_system_test, RejectsOnArrivalWhenTheExpectedWaitIsTooLong)
{
  SetUpstreams(1);
  std::uint64_t next = 0;
  std::deque<std::uint64_t> running;
  // 10 requests a second are served and 100 arrive.
  for (int step = 0; step < 20; ++step) {
    for (int i = 0; i < 10; ++i) {
      Enqueue(Request(next++));
    }
    for (const start_decision& start : Tick(100ms).mStarts) {
      running.push_back(start.mRequest.mLow);
    }
    mSystem.OnTokens({ 1, running.front() }, 50, mNow);
    Finish(running.front());
    running.pop_front();
  }
  for (int i = 0; i < 10; ++i) {
    Enqueue(Request(next++));
  }
  const dispatch_output output = mSystem.Tick(mNow);
  EXPECT_GE(output.mRejects.size(), 8U);
  EXPECT_LE(mSystem.QueuedCount(), 10U);
  EXPECT_EQ(output.mRejects.back().mReason, reject_reason::TooLate);
}

// Guards against an unbounded queue, and against one account whose flood
// displaces the waiting requests of other accounts.
TEST_F(dispatch_system_test, FullQueueRejectsTheAccountThatFilledIt)
{
  dispatch_settings settings = Settings();
  settings.mRanks[0].mMaxQueued = 20;
  mSystem.ApplySettings(settings);
  SetUpstreams(1);
  for (std::uint64_t i = 0; i < 40; ++i) {
    Enqueue(Request(i, work_rank::Urgent, "large"));
  }
  Enqueue(Request(100, work_rank::Urgent, "small"));
  EXPECT_EQ(mSystem.QueuedCount(), 20U);
  const dispatch_output output = Tick();
  EXPECT_EQ(output.mRejects.size(), 21U);
  EXPECT_EQ(CountStarted(output, 100, 101), 1);
}

// Guards against an attempt that keeps running after its caller disconnected,
// and against its late outcome being counted.
TEST_F(dispatch_system_test, AbandonCancelsTheRunningAttempt)
{
  SetUpstreams(1);
  Enqueue(Request(1));
  Tick();
  mSystem.Abandon({ 1, 1 }, mNow);
  const dispatch_output output = Tick();
  ASSERT_EQ(output.mCancels.size(), 1U);
  EXPECT_EQ(output.mCancels[0].mReason, cancel_reason::Abandoned);
  EXPECT_TRUE(output.mRejects.empty());
  Finish(1);
  EXPECT_EQ(mSystem.Counters().mClasses[0].mCompleted, 0U);
  EXPECT_EQ(mSystem.Status(mNow).mRunning[0], 0U);
}

// Guards against running one request twice at the same node.
TEST_F(dispatch_system_test, RejectsADuplicate)
{
  SetUpstreams(1);
  Enqueue(Request(1));
  Enqueue(Request(1));
  const dispatch_output output = Tick();
  EXPECT_EQ(output.mStarts.size(), 1U);
  ASSERT_EQ(output.mRejects.size(), 1U);
  EXPECT_EQ(output.mRejects[0].mReason, reject_reason::Duplicate);
}
