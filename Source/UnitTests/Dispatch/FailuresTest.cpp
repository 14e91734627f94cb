#include <set>

#include "DispatchTestTools.h"

using namespace std::chrono_literals;

/// Retries and quarantine.
class failures_test : public dispatch_fixture
{
protected:
  /// Upstream of the only start of a tick, empty when there is none.
  std::string StartedOn(std::chrono::milliseconds aStep = 1ms)
  {
    const dispatch_output output = Tick(aStep);
    mNotices = output.mNotices;
    mRejects = output.mRejects;
    return output.mStarts.empty() ? "" : output.mStarts[0].mUpstream.mName;
  }

  /// Starts a request and reports that its upstream crashed. Returns the
  /// upstream.
  std::string CrashOnce(std::uint64_t aNumber)
  {
    Enqueue(Request(aNumber));
    std::string upstream = StartedOn();
    Finish(aNumber, attempt_outcome::UpstreamCrashed);
    return upstream;
  }

  std::vector<quarantine_notice> mNotices;
  std::vector<reject_decision> mRejects;
};

// Guards against a retry on an upstream where the request already failed.
TEST_F(failures_test, RetriesOnAnotherUpstream)
{
  SetUpstreams(3);
  Enqueue(Request(1));
  std::set<std::string> used{ StartedOn() };
  Finish(1, attempt_outcome::RefusedBeforeRunning);
  used.insert(StartedOn());
  Finish(1, attempt_outcome::BrokeBeforeFirstToken);
  used.insert(StartedOn());
  EXPECT_EQ(used.size(), 3U);
  EXPECT_FALSE(used.contains(""));
}

// Guards against a second attempt after the caller has received part of the
// response, also when the outcome wrongly says that no token had arrived.
TEST_F(failures_test, NeverRetriesAfterTheFirstToken)
{
  SetUpstreams(3);
  Enqueue(Request(1));
  StartedOn();
  mSystem.OnFirstToken({ 1, 1 }, mNow);
  Finish(1, attempt_outcome::BrokeBeforeFirstToken);
  EXPECT_EQ(StartedOn(), "");
  ASSERT_EQ(mRejects.size(), 1U);
  EXPECT_EQ(mRejects[0].mReason, reject_reason::BrokeMidStream);
  EXPECT_EQ(mRejects[0].mRun, run_state::Ran);
}

// Guards against reporting `not_run` when an earlier attempt of the request may
// have run.
TEST_F(failures_test, RunStateCoversEveryAttempt)
{
  SetUpstreams(3);
  Enqueue(Request(1));
  StartedOn();
  Finish(1, attempt_outcome::BrokeBeforeFirstToken);
  StartedOn();
  Finish(1, attempt_outcome::RefusedBeforeRunning);
  StartedOn();
  Finish(1, attempt_outcome::RefusedBeforeRunning);
  EXPECT_EQ(StartedOn(), "");
  ASSERT_EQ(mRejects.size(), 1U);
  EXPECT_EQ(mRejects[0].mReason, reject_reason::RetriesExhausted);
  EXPECT_EQ(mRejects[0].mRun, run_state::Unknown);
}

// Guards against retries that multiply the load when every upstream fails.
TEST_F(failures_test, RetriesStayWithinTheBudget)
{
  SetUpstreams(24);
  for (std::uint64_t i = 0; i < 1000; ++i) {
    Enqueue(Request(i));
    for (int tick = 0; tick < 4; ++tick) {
      for (const start_decision& start : Tick(100ms).mStarts) {
        mSystem.OnFinished(
          start.mRequest, attempt_outcome::RefusedBeforeRunning, mNow);
      }
    }
  }
  const dispatch_counters& counters = mSystem.Counters();
  const auto started = static_cast<double>(counters.mClasses[0].mStarted);
  ASSERT_GT(started, 200.0);
  EXPECT_GT(counters.mRetriesDenied, 100U);
  EXPECT_LE(static_cast<double>(counters.mRetries), 0.1 * started + 20.0);
}

// Guards against a request that crashes further upstreams whenever it is sent
// again.
TEST_F(failures_test, QuarantinesAfterTwoCrashes)
{
  SetUpstreams(5);
  const std::string first = CrashOnce(1);
  const std::string second = StartedOn(600ms);
  ASSERT_NE(second, "");
  EXPECT_NE(first, second);
  Finish(1, attempt_outcome::UpstreamCrashed);
  EXPECT_EQ(StartedOn(), "");
  ASSERT_EQ(mRejects.size(), 1U);
  EXPECT_EQ(mRejects[0].mReason, reject_reason::Quarantined);
  ASSERT_EQ(mNotices.size(), 1U);
  EXPECT_EQ(mNotices[0].mState, quarantine_state::Quarantined);
  // The same content with another request identity.
  dispatch_request again = Request(2);
  again.mContent = Request(1).mContent;
  Enqueue(again);
  EXPECT_EQ(StartedOn(), "");
  ASSERT_EQ(mRejects.size(), 1U);
  EXPECT_EQ(mRejects[0].mReason, reject_reason::Quarantined);
  EXPECT_EQ(mRejects[0].mRun, run_state::NotRun);
  EXPECT_EQ(mRejects[0].mRetryAfter, 0ms);
}

// Guards against rejecting requests that merely share a prompt prefix with a
// quarantined one.
TEST_F(failures_test, AcceptsRequestsThatOnlyShareAPrefix)
{
  SetUpstreams(5);
  CrashOnce(1);
  StartedOn(600ms);
  Finish(1, attempt_outcome::UpstreamCrashed);
  Tick();
  dispatch_request alike = Request(2);
  alike.mPrefixBlocks = Request(1).mPrefixBlocks;
  Enqueue(alike);
  EXPECT_NE(StartedOn(), "");
}

// Guards against every node allowing the same content to crash two upstreams:
// crashes count over all nodes.
TEST_F(failures_test, CountsCrashesOfOtherNodes)
{
  SetUpstreams(5);
  quarantine_notice notice;
  notice.mContent = Request(1).mContent;
  notice.mUpstream = { "engine-3" };
  notice.mNode = { "node-2" };
  notice.mCrashes = 1;
  notice.mRetrying = true;
  mSystem.OnQuarantineNotice(notice, mNow);
  // The other node is retrying the content, so this one rejects it.
  Enqueue(Request(1));
  EXPECT_EQ(StartedOn(), "");
  ASSERT_EQ(mRejects.size(), 1U);
  EXPECT_EQ(mRejects[0].mReason, reject_reason::Suspect);
  // The other node never reports a result, so this node may retry after the
  // timeout.
  mNow += 11s;
  Enqueue(Request(1));
  EXPECT_EQ(StartedOn(1ms), "");
  EXPECT_NE(StartedOn(600ms), "");
  Finish(1, attempt_outcome::UpstreamCrashed);
  StartedOn();
  ASSERT_EQ(mNotices.size(), 1U);
  EXPECT_EQ(mNotices[0].mState, quarantine_state::Quarantined);
}

// Guards against counting one crash twice because two nodes report it.
TEST_F(failures_test, OneCrashSeenByTwoNodesCountsOnce)
{
  SetUpstreams(5);
  const std::string upstream = CrashOnce(1);
  quarantine_notice notice;
  notice.mContent = Request(1).mContent;
  notice.mUpstream = { upstream };
  notice.mNode = { "node-2" };
  notice.mCrashes = 1;
  mSystem.OnQuarantineNotice(notice, mNow + 20ms);
  EXPECT_EQ(mSystem.Status(mNow).mQuarantined, 0U);
  EXPECT_EQ(mSystem.Status(mNow).mSuspects, 1U);
}

// Guards against quarantining requests that were only in flight beside the one
// that caused a crash: each is retried in isolation and completes.
TEST_F(failures_test, ClearsUninvolvedRequestsOfACrashInIsolation)
{
  SetUpstreams(1);
  for (std::uint64_t i = 1; i <= 6; ++i) {
    Enqueue(Request(i));
  }
  ASSERT_EQ(Tick().mStarts.size(), 6U);
  SetUpstreams(8);
  for (std::uint64_t i = 1; i <= 6; ++i) {
    Finish(i, attempt_outcome::UpstreamCrashed);
  }
  EXPECT_EQ(mSystem.Status(mNow).mSuspects, 6U);
  std::set<std::uint64_t> completed;
  std::set<std::uint64_t> quarantined;
  for (int step = 0; step < 40; ++step) {
    const dispatch_output output = Tick(100ms);
    std::set<std::string> used;
    for (const start_decision& start : output.mStarts) {
      EXPECT_TRUE(used.insert(start.mUpstream.mName).second);
      const bool bad = start.mRequest.mLow == 3;
      completed.insert(bad ? 0 : start.mRequest.mLow);
      mSystem.OnFinished(start.mRequest,
                         bad ? attempt_outcome::UpstreamCrashed
                             : attempt_outcome::Completed,
                         mNow);
    }
    for (const reject_decision& reject : output.mRejects) {
      if (reject.mReason == reject_reason::Quarantined) {
        quarantined.insert(reject.mRequest.mLow);
      }
    }
  }
  EXPECT_EQ(quarantined, std::set<std::uint64_t>{ 3 });
  EXPECT_EQ(completed, (std::set<std::uint64_t>{ 0, 1, 2, 4, 5, 6 }));
}

// Guards against suspecting requests that ran beside a known suspect when it
// crashed a second upstream.
TEST_F(failures_test, AttributesACrashToAKnownSuspect)
{
  SetUpstreams(2);
  CrashOnce(1);
  Enqueue(Request(2));
  Enqueue(Request(3));
  // All three run on the remaining upstream.
  EXPECT_EQ(Tick(600ms).mStarts.size(), 3U);
  Finish(1, attempt_outcome::UpstreamCrashed);
  Finish(2, attempt_outcome::UpstreamCrashed);
  Finish(3, attempt_outcome::UpstreamCrashed);
  EXPECT_EQ(mSystem.Status(mNow).mQuarantined, 1U);
  EXPECT_EQ(mSystem.Status(mNow).mSuspects, 0U);
}

// Guards against another request with the same content that keeps running after
// the first crash.
TEST_F(failures_test, CancelsOtherRequestsOfASuspect)
{
  SetUpstreams(5);
  Enqueue(Request(1));
  StartedOn();
  quarantine_notice notice;
  notice.mContent = Request(1).mContent;
  notice.mUpstream = { "engine-9" };
  notice.mNode = { "node-2" };
  notice.mCrashes = 1;
  mSystem.OnQuarantineNotice(notice, mNow);
  const dispatch_output output = Tick();
  ASSERT_EQ(output.mCancels.size(), 1U);
  EXPECT_EQ(output.mCancels[0].mReason, cancel_reason::Quarantined);
  ASSERT_EQ(output.mRejects.size(), 1U);
  EXPECT_EQ(output.mRejects[0].mRun, run_state::Ran);
}
