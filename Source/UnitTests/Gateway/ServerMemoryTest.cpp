#include <gtest/gtest.h>

#include "Gateway/UpstreamRegistry.h"
#include "GatewayFixture.h"

namespace {

constexpr std::int64_t kKvTokens = 100000;
constexpr std::int64_t kUsableTokens = 92000;

/// Nodes that place requests at the same engines.
class server_memory_test : public testing::Test
{
protected:
  server_memory_test()
  {
    gateway_service engine;
    engine.mName = service_id{ "engine" };
    engine.mEngine = engine_limits{ 64, kKvTokens, 5 };
    for (upstream_registry* node : { &mNode, &mPeer }) {
      node->SetService(engine);
      AddServer(*node, "i-1");
    }
  }

  void AddServer(upstream_registry& aNode, const std::string& aId) const
  {
    server_entry entry;
    entry.mId = upstream_id{ aId };
    entry.mService = service_id{ "engine" };
    entry.mAddress = { "10.0.0.1", 80 };
    entry.mSlots = 64;
    entry.mIncarnation = 1;
    entry.mSequence = 1;
    aNode.Apply(entry, mNow);
  }

  static placement_query Query(std::int64_t aTokens)
  {
    placement_query query;
    query.mService = service_id{ "engine" };
    query.mOutputTokens = 100;
    query.mPromptTokens = aTokens - query.mOutputTokens;
    return query;
  }

  /// Sends requests until no server takes one; returns their tokens.
  std::int64_t Fill(upstream_registry& aNode, std::int64_t aTokens) const
  {
    std::int64_t sent = 0;
    while (const auto chosen = aNode.Choose(Query(aTokens), mNow)) {
      aNode.BeginRequest(*chosen, Query(aTokens), mNow);
      sent += aTokens;
    }
    return sent;
  }

  static void Report(const upstream_registry& aFrom, upstream_registry& aTo)
  {
    std::unordered_map<std::uint32_t, upstream_work> work;
    for (const auto& [key, value] : aFrom.LocalWork()) {
      work[key] += value;
    }
    aTo.SetPeerWork(work);
  }

  time_point mNow{ std::chrono::seconds(100) };
  upstream_registry mNode{ placement_settings{} };
  upstream_registry mPeer{ placement_settings{} };
};

class large_request_test : public gateway_fixture
{};

} // namespace

// Guards against an idle server that gets a request larger than its memory and
// crashes.
TEST_F(server_memory_test, HoldsForTheFirstRequest)
{
  EXPECT_FALSE(mNode.Choose(Query(kUsableTokens + 1), mNow));
  EXPECT_TRUE(mNode.ExceedsMemory(Query(kUsableTokens + 1)));
  EXPECT_TRUE(mNode.Choose(Query(kUsableTokens), mNow));
  EXPECT_FALSE(mNode.ExceedsMemory(Query(kUsableTokens)));
}

// Guards against requests that are refused because an engine states no memory.
TEST_F(server_memory_test, IsUnlimitedIfNotStated)
{
  gateway_service engine;
  engine.mName = service_id{ "engine" };
  engine.mEngine = engine_limits{ 64, 0, 5 };
  mNode.SetService(engine);
  EXPECT_FALSE(mNode.ExceedsMemory(Query(kUsableTokens + 1)));
  EXPECT_TRUE(mNode.Choose(Query(kUsableTokens + 1), mNow));
}

// Guards against the sum of own and peers' requests above a server's memory.
TEST_F(server_memory_test, CountsTheWorkOfAllNodes)
{
  for (unsigned i = 0; i < 3; ++i) {
    const auto chosen = mNode.Choose(Query(10000), mNow);
    ASSERT_TRUE(chosen);
    mNode.BeginRequest(*chosen, Query(10000), mNow);
  }
  Report(mNode, mPeer);
  EXPECT_EQ(Fill(mPeer, 7000), 56000);
  Report(mPeer, mNode);
  EXPECT_FALSE(mNode.Choose(Query(7000), mNow));
}

// Guards against a repeated or resumed request that does not count: it goes to
// a server that was tried before, or to the software that began the stream.
TEST_F(server_memory_test, HoldsForRepeatedAndResumedRequests)
{
  const std::int64_t sent = Fill(mNode, 20000);
  EXPECT_EQ(sent, 80000);
  placement_query repeated = Query(20000);
  repeated.mExcluded = { upstream_id{ "i-1" } };
  EXPECT_FALSE(mNode.Choose(repeated, mNow));
  placement_query resumed = Query(20000);
  resumed.mSoftware = SoftwareKey(service_id{ "engine" }, software_version());
  EXPECT_FALSE(mNode.Choose(resumed, mNow));
  // The first event ends the reading of the prompt, not its place in memory.
  mNode.OnFirstEvent(
    upstream_id{ "i-1" }, { 1, 19900, 20000 }, mNow, 1.0, mNow);
  EXPECT_FALSE(mNode.Choose(Query(20000), mNow));
  mNode.EndRequest(upstream_id{ "i-1" }, { 1, 0, 20000 });
  EXPECT_TRUE(mNode.Choose(Query(20000), mNow));
}

// Guards against nodes that overfill a server while they get no reports of each
// other.
TEST_F(server_memory_test, HoldsWithoutReports)
{
  EXPECT_LE(Fill(mNode, 7000) + Fill(mPeer, 7000), kKvTokens);
}

// Guards against a request larger than a server's memory that waits until its
// deadline, or that is told to come back.
TEST_F(large_request_test, IsRefusedAtOnce)
{
  mConfig.replace(mConfig.find("100000,"), 7, "1000,");
  scripted_server& server = AddServer("i-1", "engine");
  StartNode();
  const time_point begun = mTime.Now();
  const auto refused =
    Call("POST", "/s/x", "Lentilswitch-Token-Counts: 900,50\r\n", "b");
  EXPECT_LE(mTime.Now() - begun, std::chrono::milliseconds(100));
  EXPECT_EQ(refused->mResponse.mStatus, 503U);
  EXPECT_NE(refused->mBody.find("larger_than_server"), std::string::npos);
  EXPECT_TRUE(FindHeader(refused->mResponse.mHeaders, "Retry-After").empty());
  EXPECT_TRUE(server.mRequests.empty());
}
