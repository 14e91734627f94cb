#include <thread>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

class planned_stop_test : public gateway_fixture
{
protected:
  /// Stops the node and ends it as the process does.
  void StopAndEnd()
  {
    mNode->Stop();
    EXPECT_TRUE(RunUntil([this] { return mStopped; }));
    mNode.reset();
  }

  /// Requests may be refused a connection, but not cut off on one.
  void ExpectAnswers(
    const std::vector<std::unique_ptr<client_exchange>>& aExchanges)
  {
    std::size_t cutOff = 0;
    for (const auto& exchange : aExchanges) {
      ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
      if (exchange->mFailure &&
          *exchange->mFailure != exchange_failure::NotSent) {
        ++cutOff;
      }
    }
    EXPECT_EQ(cutOff, 0U) << "of " << aExchanges.size();
  }

  /// Adds a server that sends the start of a response without length.
  void AddServerWithUnframedResponse()
  {
    AddServer("i-1", "engine").mScript =
      [](http_server_connection& aConnection,
         const http_server_request& aRequest) {
        http_server_response head;
        scripted_server::Sign(head, aRequest);
        head.mHeaders.emplace_back("Content-Type", "text/event-stream");
        head.mFraming = body_framing::UntilClose;
        aConnection.StartResponse(head);
        aConnection.WriteBody("id: 1\ndata: a\n\n");
      };
  }
};

constexpr const char* kPrompt = "Lentilswitch-Token-Counts: 100,50\r\n";

} // namespace

// Guards against a process that is killed at the end of the grace period,
// because it waits for a store that is away and then needs some time to exit.
TEST_F(planned_stop_test, LeavesTimeToExit)
{
  constexpr milliseconds kExitTime(500);
  mSettings.mGracePeriod = milliseconds(4000);
  AddServer("i-1", "engine");
  StartNode();
  Call("POST", "/s/x", kPrompt, "b");
  mStore.mUnreachable = true;
  const time_point killedAt = mTime.Now() + mSettings.mGracePeriod;
  mNode->Stop();
  EXPECT_TRUE(RunUntil([this] { return mStopped; }));
  EXPECT_LE(mTime.Now(), killedAt - kExitTime);
  // It did wait.
  EXPECT_GE(mTime.Now(), killedAt - 2 * kExitTime);
}

// Guards against connections that were just accepted when the node ends, and
// that are cut off without an answer.
TEST_F(planned_stop_test, AcceptedRequestsAreAnswered)
{
  AddServer("i-1", "app");
  StartNode();
  mNode->Stop();
  RunFor(milliseconds(470));
  std::vector<std::unique_ptr<client_exchange>> exchanges;
  for (unsigned i = 0; i < 50; ++i) {
    exchanges.push_back(BeginRequest("POST", "/o/x", {}, "b"));
  }
  // The node finds the connections and the time to end in the same iteration.
  std::this_thread::sleep_for(milliseconds(60));
  EXPECT_TRUE(RunUntil([this] { return mStopped; }));
  mNode.reset();
  ExpectAnswers(exchanges);
}

// Guards against kept connections that are closed while a request is on its way
// in.
TEST_F(planned_stop_test, RequestsOnKeptConnectionsAreAnswered)
{
  AddServer("i-1", "app");
  StartNode();
  std::vector<std::unique_ptr<client_exchange>> exchanges;
  for (unsigned i = 0; i < 50; ++i) {
    exchanges.push_back(BeginRequest("POST", "/o/x", {}, "b"));
    ASSERT_TRUE(RunUntil([&] { return exchanges.back()->Ended(); }));
    ASSERT_EQ(exchanges.back()->mResponse.mStatus, 200U);
  }
  mNode->Stop();
  // The node closes idle connections after half of the grace period.
  RunFor(milliseconds(470));
  for (auto& exchange : exchanges) {
    ASSERT_FALSE(exchange->mConnection->Closed());
    exchange->mComplete = false;
    exchange->mConnection->Start("POST /o/x HTTP/1.1\r\nHost: a.example\r\n"
                                 "Lentilswitch-Request-Id: r1\r\n"
                                 "Authorization: Bearer key-1\r\n"
                                 "Content-Length: 1\r\n\r\n",
                                 "b",
                                 false,
                                 *exchange);
  }
  std::this_thread::sleep_for(milliseconds(60));
  EXPECT_TRUE(RunUntil([this] { return mStopped; }));
  mNode.reset();
  ExpectAnswers(exchanges);
}

// Guards against responses that are cut off because the client had not read all
// of them when the node ended.
TEST_F(planned_stop_test, SlowReadersGetTheWholeResponse)
{
  // More than the socket buffers hold.
  constexpr std::size_t kBodyBytes = 48'000'000;
  std::string body;
  body.assign(kBodyBytes, 'x');
  AddServer("i-1", "app").mScript = [&](http_server_connection& aConnection,
                                        const http_server_request& aRequest) {
    http_server_response response;
    scripted_server::Sign(response, aRequest);
    aConnection.Respond(response, body);
  };
  // The sanitizers read the body more slowly than the route's limit allows.
  const std::string limit = "\"timeoutMs\": 800";
  mConfig.replace(mConfig.find(limit), limit.size(), "\"timeoutMs\": 8000");
  // The node refuses requests after 2.5 s and must end after 4.65 s.
  mSettings.mGracePeriod = milliseconds(5000);
  StartNode();
  const auto exchange = BeginRequest("POST", "/o/x", {}, "b");
  exchange->mConnection->SetReading(false);
  RunFor(milliseconds(300));
  mNode->Stop();
  RunFor(milliseconds(2600));
  exchange->mConnection->SetReading(true);
  EXPECT_TRUE(RunUntil([this] { return mStopped; }));
  mNode.reset();
  ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  EXPECT_EQ(exchange->mBody.size(), body.size());
}

// Guards against requests that get no answer because their server is still at
// work when the node has to end.
TEST_F(planned_stop_test, RequestsInProgressAreAnsweredAtTheEnd)
{
  AddServer("i-1", "app").mScript = [](http_server_connection&,
                                       const http_server_request&) {};
  mSettings.mGracePeriod = milliseconds(400);
  StartNode();
  const auto exchange = BeginRequest("POST", "/o/x", {}, "b");
  ASSERT_TRUE(RunUntil([this] { return !mServers[0]->mRequests.empty(); }));
  StopAndEnd();
  ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  // The server may have run the request, so it must not count as not run.
  EXPECT_EQ(exchange->mResponse.mStatus, 504U);
}

// Guards against a response without length that ends with the node and reaches
// the caller as complete.
TEST_F(planned_stop_test, UnframedResponseIsNotCompletedByTheEnd)
{
  AddServerWithUnframedResponse();
  mSettings.mGracePeriod = milliseconds(400);
  StartNode();
  const auto exchange = BeginRequest("POST", "/s/x", kPrompt, "b");
  ASSERT_TRUE(RunUntil([&] { return !exchange->mBody.empty(); }));
  StopAndEnd();
  ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  EXPECT_FALSE(exchange->mComplete);
}

// Guards against the same when the process ends without a stop: its sockets are
// closed by the kernel.
TEST_F(planned_stop_test, UnframedResponseIsNotCompletedByAKill)
{
  AddServerWithUnframedResponse();
  StartNode();
  const auto exchange = BeginRequest("POST", "/s/x", kPrompt, "b");
  ASSERT_TRUE(RunUntil([&] { return !exchange->mBody.empty(); }));
  mNode.reset();
  ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  EXPECT_FALSE(exchange->mComplete);
}
