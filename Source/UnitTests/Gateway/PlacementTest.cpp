#include <gtest/gtest.h>

#include <map>
#include <random>

#include "Gateway/Admission.h"
#include "Gateway/UpstreamRegistry.h"

namespace {

using std::chrono::milliseconds;

constexpr unsigned kServers = 9;
constexpr std::int64_t kKvTokens = 400000;

class placement_test : public testing::Test
{
protected:
  placement_test()
  {
    gateway_service engine;
    engine.mName = service_id{ "engine" };
    engine.mEngine = engine_limits{ 64, kKvTokens, 5 };
    mUpstreamRegistry.SetService(engine);
    for (unsigned i = 0; i < kServers; ++i) {
      mUpstreamRegistry.Apply(Entry("i-" + std::to_string(i)), mNow);
    }
  }

  static server_entry Entry(const std::string& aId)
  {
    server_entry entry;
    entry.mId = upstream_id{ aId };
    entry.mService = service_id{ "engine" };
    entry.mAddress = { "10.0.0.1", 80 };
    entry.mSlots = 64;
    entry.mIncarnation = 1;
    entry.mSequence = 1;
    return entry;
  }

  placement_query Query(const std::vector<prompt_segment>& aPrompt) const
  {
    placement_query query;
    query.mService = service_id{ "engine" };
    for (const prompt_segment& part : aPrompt) {
      query.mPromptTokens += part.mTokens;
    }
    query.mOutputTokens = 120;
    query.mPrompt = &aPrompt;
    return query;
  }

  /// Prompt with a shared first segment and a segment of its own.
  static std::vector<prompt_segment> Prompt(unsigned aShared, unsigned aOwn)
  {
    return { { "s" + std::to_string(aShared), 13300 },
             { "o" + std::to_string(aOwn), 3700 } };
  }

  time_point mNow{ std::chrono::seconds(100) };
  upstream_registry mUpstreamRegistry{ placement_settings{} };
};

} // namespace

// Guards against nodes that send the same shared prompt to different servers,
// each of which then reads it again.
TEST_F(placement_test, AllNodesChooseTheSameServerForASharedPrompt)
{
  upstream_registry other{ placement_settings{} };
  gateway_service engine;
  engine.mName = service_id{ "engine" };
  engine.mEngine = engine_limits{ 64, kKvTokens, 5 };
  other.SetService(engine);
  for (unsigned i = kServers; i-- > 0;) {
    other.Apply(Entry("i-" + std::to_string(i)), mNow);
  }
  for (unsigned shared = 0; shared < 80; ++shared) {
    const auto first = Prompt(shared, 1);
    const auto second = Prompt(shared, 2);
    const auto here = mUpstreamRegistry.Choose(Query(first), mNow);
    const auto there = other.Choose(Query(second), mNow);
    ASSERT_TRUE(here && there);
    EXPECT_EQ(here->mUpstream, there->mUpstream);
    EXPECT_EQ(here->mWork.mPrefillTokens, 3700);
  }
}

// Guards against a preferred server that gets all requests of a popular prompt
// while others are idle.
TEST_F(placement_test, AvoidsALoadedPreferredServer)
{
  const auto prompt = Prompt(1, 1);
  std::map<std::string, unsigned> chosen;
  for (unsigned i = 0; i < 60; ++i) {
    const auto placement = mUpstreamRegistry.Choose(Query(prompt), mNow);
    if (!placement) {
      break;
    }
    mUpstreamRegistry.BeginRequest(*placement, Query(prompt), mNow);
    ++chosen[placement->mUpstream.mName];
  }
  EXPECT_GE(chosen.size(), 2U);
}

// Guards against refusals while servers are idle: one host with a slow link
// held more requests open than a service has slots, and all other hosts refused
// theirs.
TEST_F(placement_test, OtherNodesOpenRequestsDoNotFillAPlainServer)
{
  constexpr std::int64_t kSlots = 6;
  server_entry plain = Entry("p-1");
  plain.mService = service_id{ "orders" };
  plain.mSlots = kSlots;
  mUpstreamRegistry.Apply(plain, mNow);
  placement_query query;
  query.mService = plain.mService;
  const std::uint32_t key = upstream_registry::KeyOf(plain.mId);
  mUpstreamRegistry.SetPeerWork({ { key, upstream_work{ kSlots, 0, 0 } } });
  EXPECT_TRUE(mUpstreamRegistry.Choose(query, mNow));
  mUpstreamRegistry.SetPeerWork({ { key, upstream_work{ 2 * kSlots, 0, 0 } } });
  EXPECT_FALSE(mUpstreamRegistry.Choose(query, mNow));
  mUpstreamRegistry.SetPeerWork({});
  for (std::int64_t i = 0; i < kSlots; ++i) {
    const auto placement = mUpstreamRegistry.Choose(query, mNow);
    ASSERT_TRUE(placement);
    mUpstreamRegistry.BeginRequest(*placement, query, mNow);
  }
  EXPECT_FALSE(mUpstreamRegistry.Choose(query, mNow));
}

// Guards against more KV cache tokens than an engine has: it then preempts
// requests and reads their prompts again.
TEST_F(placement_test, KeepsWithinTheMemoryOfAnEngine)
{
  std::map<std::string, std::int64_t> tokens;
  for (unsigned i = 0; i < 400; ++i) {
    const auto prompt = Prompt(i % 80, i);
    const auto placement = mUpstreamRegistry.Choose(Query(prompt), mNow);
    if (!placement) {
      continue;
    }
    mUpstreamRegistry.BeginRequest(*placement, Query(prompt), mNow);
    tokens[placement->mUpstream.mName] += placement->mWork.mKvTokens;
  }
  for (const auto& [server, sum] : tokens) {
    EXPECT_LE(sum, kKvTokens) << server;
  }
}

// Guards against requests sent to a server that just failed or stopped sending.
TEST_F(placement_test, AvoidsFailedAndSilentServers)
{
  const auto prompt = Prompt(1, 1);
  const auto preferred = mUpstreamRegistry.Choose(Query(prompt), mNow);
  ASSERT_TRUE(preferred);
  mUpstreamRegistry.OnFailure(preferred->mUpstream, mNow);
  const auto second = mUpstreamRegistry.Choose(Query(prompt), mNow);
  ASSERT_TRUE(second);
  EXPECT_NE(second->mUpstream, preferred->mUpstream);
  EXPECT_EQ(mUpstreamRegistry.Choose(Query(prompt), mNow + milliseconds(400))
              ->mUpstream,
            preferred->mUpstream);
  mUpstreamRegistry.BeginRequest(*second, Query(prompt), mNow);
  EXPECT_NE(mUpstreamRegistry.Choose(Query(prompt), mNow + milliseconds(200))
              ->mUpstream,
            preferred->mUpstream);
  mUpstreamRegistry.EndRequest(second->mUpstream, second->mWork);
  mUpstreamRegistry.BeginRequest(
    *preferred, Query(prompt), mNow + milliseconds(400));
  EXPECT_NE(mUpstreamRegistry.Choose(Query(prompt), mNow + milliseconds(2500))
              ->mUpstream,
            preferred->mUpstream);
}

// Guards against requests sent to removed servers while others are usable, or
// after their time.
TEST_F(placement_test, LeavingServersServeOnlyAsALastResort)
{
  for (unsigned i = 1; i < kServers; ++i) {
    mUpstreamRegistry.Remove(upstream_id{ "i-" + std::to_string(i) },
                             mNow + milliseconds(1000));
  }
  const auto prompt = Prompt(5, 1);
  EXPECT_EQ(mUpstreamRegistry.Choose(Query(prompt), mNow)->mUpstream.mName,
            "i-0");
  mUpstreamRegistry.Remove(upstream_id{ "i-0" }, mNow + milliseconds(1000));
  EXPECT_TRUE(mUpstreamRegistry.Choose(Query(prompt), mNow));
  EXPECT_FALSE(
    mUpstreamRegistry.Choose(Query(prompt), mNow + milliseconds(1100)));
}

// Guards against an older entry that is applied late and replaces a newer one;
// a restarted server starts its sequence anew.
TEST_F(placement_test, OrdersEntriesByIncarnationAndSequence)
{
  server_entry entry = Entry("i-0");
  entry.mSequence = 5;
  entry.mState = server_state::Leaving;
  mUpstreamRegistry.Apply(entry, mNow);
  mUpstreamRegistry.Apply(Entry("i-0"), mNow);
  EXPECT_EQ(mUpstreamRegistry.Find(upstream_id{ "i-0" })->mState,
            server_state::Leaving);
  entry = Entry("i-0");
  entry.mIncarnation = 2;
  mUpstreamRegistry.Apply(entry, mNow);
  EXPECT_EQ(mUpstreamRegistry.Find(upstream_id{ "i-0" })->mState,
            server_state::Ready);
}

// Guards against requests that wait for a server until their objective has
// passed.
TEST(AdmissionTest, WaitsForAPartOfTheObjectiveOnly)
{
  const time_point now{ std::chrono::seconds(10) };
  admission_query query;
  query.mArrived = now;
  query.mDeadline = now + milliseconds(8000);
  query.mObjective = milliseconds(800);
  EXPECT_EQ(Admit(query, now), admission_verdict::Wait);
  EXPECT_EQ(Admit(query, now + milliseconds(100)), admission_verdict::Refuse);
  query.mHasPlacement = true;
  query.mExpectedMs = 300;
  query.mWaitMs = 300;
  EXPECT_EQ(Admit(query, now), admission_verdict::Send);
}

// Guards against streams that cannot end before their deadline and take the
// engines from requests that could; a burst of long prompts with lost servers
// causes them.
TEST(AdmissionTest, RefusesStreamsThatCannotEndInTime)
{
  const time_point now{ std::chrono::seconds(10) };
  admission_query query;
  query.mArrived = now;
  query.mDeadline = now + milliseconds(8000);
  query.mObjective = milliseconds(800);
  query.mHasPlacement = true;
  query.mExpectedMs = 500;
  query.mOutputMs = 7000;
  EXPECT_EQ(Admit(query, now + milliseconds(200)), admission_verdict::Refuse);
  query.mOutputMs = 2000;
  EXPECT_EQ(Admit(query, now + milliseconds(200)), admission_verdict::Send);
  query.mWaitMs = 700;
  query.mExpectedMs = 900;
  EXPECT_EQ(Admit(query, now + milliseconds(200)), admission_verdict::Refuse);
}

// Guards against retry delays beyond the time that the client has left.
TEST(AdmissionTest, RetryDelayFitsTheTimeLeft)
{
  const time_point now{ std::chrono::seconds(10) };
  admission_query query;
  query.mDeadline = now + milliseconds(900);
  query.mObjective = milliseconds(1500);
  for (std::uint64_t spread = 0; spread < 100; ++spread) {
    EXPECT_LE(RetryAfter(query, now, spread), milliseconds(300));
    EXPECT_GE(RetryAfter(query, now, spread), milliseconds(50));
  }
}

// Guards against requests that are refused because of rate limits while there
// is no server, or one without a limit.
TEST_F(placement_test, OnlyRateLimitsOfAllServersHoldRequestsBack)
{
  const auto prompt = Prompt(1, 1);
  upstream_registry empty{ placement_settings{} };
  EXPECT_LE(empty.LimitedUntil(Query(prompt), mNow), mNow);
  for (unsigned i = 0; i < kServers; ++i) {
    EXPECT_LE(mUpstreamRegistry.LimitedUntil(Query(prompt), mNow), mNow);
    mUpstreamRegistry.RateLimits().OnResponse(
      { upstream_registry::KeyOf(upstream_id{ "i-" + std::to_string(i) }),
        1,
        0.5,
        mNow },
      mNow);
  }
  EXPECT_GT(mUpstreamRegistry.LimitedUntil(Query(prompt), mNow), mNow);
}
