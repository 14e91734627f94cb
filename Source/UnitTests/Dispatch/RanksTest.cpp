#include <algorithm>

#include "DispatchTestTools.h"

using namespace std::chrono_literals;

/// Ranks and their floors, the free tier, and fair queueing between accounts.
class ranks_test : public dispatch_fixture
{
protected:
  /// Enqueues requests with numbers from `aFrom`.
  void Flood(std::uint64_t aFrom,
             int aCount,
             work_rank aRank,
             const std::string& aAccount,
             bool aFree = false)
  {
    for (int i = 0; i < aCount; ++i) {
      dispatch_request request = Request(aFrom + i, aRank, aAccount);
      request.mFreeTier = aFree;
      Enqueue(request);
    }
  }

  /// Runs `aRounds` ticks and completes every started request at once; returns
  /// the numbers of the started requests.
  std::vector<std::uint64_t> Serve(int aRounds)
  {
    std::vector<std::uint64_t> served;
    for (int i = 0; i < aRounds; ++i) {
      for (const start_decision& start : Tick(1ms).mStarts) {
        served.push_back(start.mRequest.mLow);
        mSystem.OnTokens(start.mRequest, 50, mNow);
        Finish(start.mRequest.mLow);
      }
    }
    return served;
  }

  static auto CountOf(const std::vector<std::uint64_t>& aServed,
                      std::uint64_t aFrom,
                      std::uint64_t aTo)
  {
    return std::count_if(
      aServed.begin(), aServed.end(), [&](std::uint64_t aNumber) {
        return aNumber >= aFrom && aNumber < aTo;
      });
  }
};

// Guards against lower ranks that are served beyond their floors while urgent
// requests wait.
TEST_F(ranks_test, UrgentGoesFirst)
{
  SetUpstreams(1);
  Flood(0, 50, work_rank::Background, "a");
  Flood(1000, 8, work_rank::Urgent, "b");
  EXPECT_GE(CountStarted(Tick(), 1000, 2000), 8);
}

// Guards against starvation of lower ranks while urgent requests always wait.
TEST_F(ranks_test, LowerRanksKeepTheirFloors)
{
  SetUpstreams(1);
  Flood(0, 900, work_rank::Urgent, "a");
  Flood(1000, 300, work_rank::Routine, "a");
  Flood(2000, 300, work_rank::Background, "a");
  const auto served = Serve(80);
  const auto total = static_cast<double>(served.size());
  ASSERT_GT(total, 400);
  EXPECT_GE(CountOf(served, 1000, 2000) / total, 0.15);
  EXPECT_GE(CountOf(served, 2000, 3000) / total, 0.05);
  EXPECT_GE(CountOf(served, 0, 1000) / total, 0.7);
}

// Guards against lower ranks that fill an upstream completely, so that an
// urgent request has to wait until one of their long requests ends.
TEST_F(ranks_test, LowerRanksLeaveCapacityForUrgentWork)
{
  SetUpstreams(1);
  Flood(0, 50, work_rank::Background, "a");
  Flood(100, 50, work_rank::Routine, "b");
  EXPECT_LE(Tick().mStarts.size(), 9U);
  Flood(1000, 1, work_rank::Urgent, "c");
  EXPECT_EQ(CountStarted(Tick(1ms), 1000, 1001), 1);
}

// Guards against a free-tier request that takes capacity that a waiting paid
// request could use.
TEST_F(ranks_test, FreeTierWaitsWhilePaidWorkWaits)
{
  SetUpstreams(1);
  Flood(0, 50, work_rank::Background, "free", true);
  Flood(1000, 50, work_rank::Background, "paid");
  const dispatch_output output = Tick();
  EXPECT_EQ(CountStarted(output, 0, 1000), 0);
  EXPECT_GT(CountStarted(output, 1000, 2000), 0);
}

// Guards against free-tier requests that keep their capacity while urgent paid
// requests wait, and against reporting a cancelled one as not run.
TEST_F(ranks_test, UrgentWorkDisplacesFreeStreams)
{
  SetUpstreams(1);
  Flood(0, 50, work_rank::Urgent, "free", true);
  const auto free = Tick().mStarts.size();
  ASSERT_GT(free, 4U);
  mSystem.OnFirstToken({ 1, 0 }, mNow);
  Flood(1000, 10, work_rank::Urgent, "paid");
  dispatch_output output = Tick(1ms);
  // Cancelling the requests beyond the limit frees no capacity in the first
  // tick; the second tick cancels the others.
  const dispatch_output second = Tick(1ms);
  EXPECT_EQ(CountStarted(output, 1000, 2000) + CountStarted(second, 1000, 2000),
            10);
  output.mCancels.insert(
    output.mCancels.end(), second.mCancels.begin(), second.mCancels.end());
  output.mRejects.insert(
    output.mRejects.end(), second.mRejects.begin(), second.mRejects.end());
  ASSERT_FALSE(output.mCancels.empty());
  EXPECT_LE(output.mCancels.size(), free);
  for (const cancel_decision& cancel : output.mCancels) {
    EXPECT_EQ(cancel.mReason, cancel_reason::Displaced);
    EXPECT_LT(cancel.mRequest.mLow, 1000U);
  }
  EXPECT_EQ(output.mRejects.size(), output.mCancels.size());
  for (const reject_decision& reject : output.mRejects) {
    EXPECT_NE(reject.mRun, run_state::NotRun);
  }
}

// Guards against an account that gets a larger share by sending more requests.
TEST_F(ranks_test, AccountsShareByWeight)
{
  dispatch_settings settings = Settings();
  settings.mAccountBurst = 0.0;
  mSystem.ApplySettings(settings);
  SetUpstreams(1);
  Flood(0, 600, work_rank::Urgent, "large");
  Flood(1000, 100, work_rank::Urgent, "small");
  for (std::uint64_t i = 2000; i < 2200; ++i) {
    dispatch_request request = Request(i, work_rank::Urgent, "double");
    request.mWeight = 2.0;
    Enqueue(request);
  }
  const auto served = Serve(16);
  const double large = static_cast<double>(CountOf(served, 0, 1000));
  const double small = static_cast<double>(CountOf(served, 1000, 2000));
  const double twice = static_cast<double>(CountOf(served, 2000, 3000));
  ASSERT_GT(small, 20.0);
  EXPECT_NEAR(large / small, 1.0, 0.15);
  EXPECT_NEAR(twice / small, 2.0, 0.3);
}

// Guards against fair shares counted in requests instead of tokens.
TEST_F(ranks_test, AccountsShareInTokens)
{
  dispatch_settings settings = Settings();
  settings.mAccountBurst = 0.0;
  mSystem.ApplySettings(settings);
  SetUpstreams(1);
  Flood(0, 200, work_rank::Urgent, "short");
  for (std::uint64_t i = 1000; i < 1200; ++i) {
    dispatch_request request = Request(i, work_rank::Urgent, "long");
    request.mMaxOutputTokens = 380;
    Enqueue(request);
  }
  // The estimated cost of a long request is 200 tokens, that of a short one 60.
  const dispatch_output first = Tick();
  const int longs = CountStarted(first, 1000, 2000);
  EXPECT_GE(CountStarted(first, 0, 1000), 2 * longs);
}

// Guards against an account whose first request waits behind the backlog of
// another account.
TEST_F(ranks_test, NewAccountGoesBeforeABacklog)
{
  SetUpstreams(1);
  Flood(0, 500, work_rank::Urgent, "large");
  Serve(5);
  Flood(1000, 1, work_rank::Urgent, "small");
  EXPECT_EQ(CountOf(Serve(1), 1000, 1001), 1);
}

// Guards against an account that fills an upstream with long requests, so that
// the others wait until one of them ends.
TEST_F(ranks_test, HeavyAccountLeavesCapacityForOthers)
{
  dispatch_settings settings = Settings();
  settings.mHeavyAccountShare = 0.8;
  mSystem.ApplySettings(settings);
  SetUpstreams(1);
  Flood(0, 50, work_rank::Urgent, "large");
  EXPECT_LE(Tick().mStarts.size(), 8U);
  Flood(1000, 2, work_rank::Urgent, "small");
  EXPECT_GE(CountStarted(Tick(1ms), 1000, 1002), 1);
}
