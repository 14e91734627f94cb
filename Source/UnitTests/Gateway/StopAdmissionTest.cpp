#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

constexpr const char* kPrompt = "Lentilswitch-Token-Counts: 100,50\r\n";
// Before half of the grace period, and with less time left than the time limit
// of 2 s that the streaming routes have.
constexpr milliseconds kLateInStop(950);

/// One node that stops, with a grace period of 2 s.
class stop_admission_test : public gateway_fixture
{
protected:
  stop_admission_test() { mSettings.mGracePeriod = milliseconds(2000); }

  /// Adds an engine that sends the first of two events at once and the last one
  /// after `aTime`.
  scripted_server& AddEngine(const std::string& aId, milliseconds aTime)
  {
    scripted_server& server = AddServer(aId, "engine");
    server.mScript = [this, aTime](http_server_connection& aConnection,
                                   const http_server_request& aRequest) {
      scripted_server::SendEvents(aConnection, aRequest, "id: 1\ndata: a\n\n");
      mLastEvent.Once(aTime, [&aConnection] {
        aConnection.WriteBody("id: 2\ndata: b\n\n");
        aConnection.FinishBody();
      });
    };
    return server;
  }

  /// Adds a server that breaks its first connection off `aTime` after it got
  /// the request, once it has written `aEvents`.
  scripted_server& AddBreakingServer(const std::string& aId,
                                     const std::string& aService,
                                     milliseconds aTime,
                                     const std::string& aEvents = {})
  {
    scripted_server& server = AddServer(aId, aService);
    server.mScript = [=, this](http_server_connection& aConnection,
                               const http_server_request& aRequest) {
      if (!aEvents.empty()) {
        scripted_server::SendEvents(aConnection, aRequest, aEvents);
      }
      mBreak.Once(aTime, [&aConnection] { aConnection.Abort(); });
    };
    return server;
  }

  std::size_t RequestsAtServers() const
  {
    std::size_t count = 0;
    for (const auto& server : mServers) {
      count += server->mRequests.size();
    }
    return count;
  }

  void ExpectRefusedUnsent(client_exchange& aExchange)
  {
    ASSERT_TRUE(RunUntil([&] { return aExchange.Ended(); }));
    EXPECT_EQ(aExchange.mResponse.mStatus, 503U);
    EXPECT_NE(aExchange.mBody.find("node_leaving"), std::string::npos)
      << aExchange.mBody;
  }

  void RunUntilStopped()
  {
    EXPECT_TRUE(RunUntil([this] { return mStopped; }));
  }

  loop_timer mLastEvent;
  loop_timer mBreak;
};

} // namespace

// Guards against streams that a stopping node takes, although they cannot end
// before it, and breaks off.
TEST_F(stop_admission_test, StreamsThatDoNotFitAreRefused)
{
  AddEngine("i-1", milliseconds(1200));
  StartNode();
  mNode->Stop();
  RunFor(kLateInStop);
  const auto exchange = BeginRequest("POST", "/s/x", kPrompt, "b");
  ExpectRefusedUnsent(*exchange);
  EXPECT_EQ(RequestsAtServers(), 0U);
  RunUntilStopped();
}

// Guards against the same with a grace period that is shorter than most
// requests.
TEST_F(stop_admission_test, StreamsThatDoNotFitIntoAShortGracePeriodAreRefused)
{
  mSettings.mGracePeriod = milliseconds(500);
  AddEngine("i-1", milliseconds(1200));
  StartNode();
  mNode->Stop();
  const auto exchange = BeginRequest("POST", "/s/x", kPrompt, "b");
  ExpectRefusedUnsent(*exchange);
  EXPECT_EQ(RequestsAtServers(), 0U);
  RunUntilStopped();
}

// Guards against a node that refuses requests in a stop which it can serve.
TEST_F(stop_admission_test, StreamsThatFitAreServed)
{
  AddEngine("i-1", milliseconds(100));
  StartNode();
  ASSERT_TRUE(Call("POST", "/s/x", kPrompt, "b")->mComplete);
  mNode->Stop();
  RunFor(kLateInStop);
  const auto exchange = Call("POST", "/s/x", kPrompt, "b");
  EXPECT_EQ(exchange->mResponse.mStatus, 200U);
  EXPECT_TRUE(exchange->mComplete);
  RunUntilStopped();
}

// Guards against an estimate that only knows the requests that have ended:
// when servers turn slow, those in progress show it first.
TEST_F(stop_admission_test, RequestsInProgressShowThatServersAreSlow)
{
  AddEngine("i-1", milliseconds(10));
  StartNode();
  ASSERT_TRUE(Call("POST", "/s/x", kPrompt, "b")->mComplete);
  AddEngine("i-1", milliseconds(5000));
  mServers.front()->mScript = mServers.back()->mScript;
  const auto first = BeginRequest("POST", "/s/x", kPrompt, "b");
  RunFor(milliseconds(700));
  ASSERT_FALSE(first->Ended());
  mNode->Stop();
  RunFor(kLateInStop);
  const std::size_t sent = RequestsAtServers();
  const auto second = BeginRequest("POST", "/s/x", kPrompt, "b");
  ExpectRefusedUnsent(*second);
  EXPECT_EQ(RequestsAtServers(), sent);
  RunUntilStopped();
}

// Guards against requests that wait for a place when the stop begins and are
// sent when they no longer fit.
TEST_F(stop_admission_test, WaitingRequestsThatNoLongerFitAreRefused)
{
  // The objective sets how long a request waits.
  const std::string objective = R"("timeoutMs": 2000, "targetLatencyMs": 600)";
  mConfig.replace(mConfig.find(objective),
                  objective.size(),
                  R"("timeoutMs": 2000, "targetLatencyMs": 9000)");
  mSettings.mGracePeriod = milliseconds(1500);
  scripted_server& server = AddServer("i-1", "engine");
  StartNode();
  // All places are taken until the requests are given up.
  server.mScript = [](http_server_connection&, const http_server_request&) {};
  std::vector<std::unique_ptr<client_exchange>> running;
  for (unsigned i = 0; i < 8; ++i) {
    running.push_back(BeginRequest("POST", "/r/x", kPrompt, "b"));
  }
  ASSERT_TRUE(RunUntil([&] { return server.mRequests.size() == 8; }));
  const auto waiting = BeginRequest("POST", "/s/x", kPrompt, "b");
  RunFor(milliseconds(50));
  ASSERT_FALSE(waiting->Ended());
  mNode->Stop();
  RunFor(milliseconds(100));
  running.clear();
  ExpectRefusedUnsent(*waiting);
  EXPECT_EQ(server.mRequests.size(), 8U);
  RunUntilStopped();
}

// Guards against a second attempt that the end of the node breaks off.
TEST_F(stop_admission_test, RequestsAreNotRepeatedWhenTheyNoLongerFit)
{
  mSettings.mGracePeriod = milliseconds(1200);
  AddBreakingServer("i-1", "app", milliseconds(400));
  AddBreakingServer("i-2", "app", milliseconds(400));
  StartNode();
  const auto exchange = BeginRequest("GET", "/l/x");
  ASSERT_TRUE(RunUntil([this] { return RequestsAtServers() == 1; }));
  RunFor(milliseconds(200));
  mSettings.mGracePeriod = milliseconds(300);
  mNode->Reload(mSettings);
  mNode->Stop();
  ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  EXPECT_EQ(exchange->mResponse.mStatus, 502U);
  EXPECT_EQ(RequestsAtServers(), 1U);
}

// Guards against a stream that goes on at another server and is broken off a
// second time, while its client could resume it at another node.
TEST_F(stop_admission_test, StreamsAreNotResumedWhenTheyNoLongerFit)
{
  AddBreakingServer("i-1", "engine", milliseconds(300), "id: 1\ndata: a\n\n");
  AddBreakingServer("i-2", "engine", milliseconds(300), "id: 1\ndata: a\n\n");
  mSettings.mGracePeriod = milliseconds(1000);
  StartNode();
  const auto exchange = BeginRequest("POST", "/r/x", kPrompt, "b");
  ASSERT_TRUE(RunUntil([this] { return RequestsAtServers() == 1; }));
  mNode->Stop();
  ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  EXPECT_FALSE(exchange->mComplete);
  EXPECT_EQ(RequestsAtServers(), 1U);
}

// Guards against a delay after which the client finds the node gone, and
// against one that keeps it from a node that could serve it now.
TEST_F(stop_admission_test, RefusedClientsComeBackWhenTheyCanBeServed)
{
  const auto retryAfter = [](const client_exchange& aExchange) {
    return std::stod(
      std::string(FindHeader(aExchange.mResponse.mHeaders, "Retry-After")));
  };
  AddEngine("i-1", milliseconds(1200));
  StartNode();
  mNode->Stop();
  const auto alone = Call("POST", "/s/x", kPrompt, "b");
  ASSERT_EQ(alone->mResponse.mStatus, 503U);
  EXPECT_GE(retryAfter(*alone), 1.5);
  RunUntilStopped();
  mNode.reset();

  mStopped = false;
  StartTwoNodes(mStore);
  mNode->Stop();
  const auto other = Call("POST", "/s/x", kPrompt, "b");
  ASSERT_EQ(other->mResponse.mStatus, 503U);
  EXPECT_LE(retryAfter(*other), 0.05);
  RunUntilStopped();
}

// Guards against clients that are told that their tokens are used up, by a
// stopping node, while another node has some.
TEST_F(stop_admission_test, ClientsWithoutTokensHereAreSentToAnotherNode)
{
  AddEngine("i-1", milliseconds(10));
  StartTwoNodes(mStore);
  ASSERT_TRUE(Call("POST", "/s/x", kPrompt, "b")->mComplete);
  mNode->Stop();
  mStore.mUnreachable = true;
  const auto exchange =
    Call("POST", "/s/x", "Lentilswitch-Token-Counts: 50000,9000\r\n", "b");
  EXPECT_EQ(exchange->mResponse.mStatus, 503U);
  EXPECT_NE(exchange->mBody.find("node_leaving"), std::string::npos)
    << exchange->mBody;
}
