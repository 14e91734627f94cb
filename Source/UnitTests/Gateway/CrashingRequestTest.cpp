#include "Common/Hash.h"
#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

constexpr const char* kCrashingBody = "crash";
constexpr const char* kPrompt = "Lentilswitch-Token-Counts: 100,50\r\n";
constexpr const char* kRefusal = R"({"error":"request_crashes_servers"})";

/// Servers that answer every request but those with the crashing body.
class crashing_request_test : public gateway_fixture
{
protected:
  /// Adds servers that do `aCrash` when they get a crashing request, and end if
  /// it returns true.
  void AddServers(const std::string& aService,
                  const std::function<bool(http_server_connection&,
                                           const http_server_request&)>& aCrash)
  {
    for (const char* id : { "i-1", "i-2", "i-3", "i-4", "i-5" }) {
      scripted_server& server = AddServer(id, aService);
      server.mScript =
        [this, &server, aCrash](http_server_connection& aConnection,
                                const http_server_request& aRequest) {
          if (aRequest.mBody != kCrashingBody) {
            mHeld.emplace_back(&aConnection, aRequest);
            return;
          }
          ++mCrashes;
          if (aCrash(aConnection, aRequest)) {
            server.End();
          }
        };
    }
  }

  /// Sends requests to each server and answers all of them, so that the node
  /// keeps as many connections to each.
  void OpenConnections(const std::string& aPath, std::size_t aPerServer = 1)
  {
    std::vector<std::unique_ptr<client_exchange>> open;
    for (std::size_t i = 0; i < mServers.size() * aPerServer; ++i) {
      open.push_back(BeginRequest("POST", aPath, {}, "harmless"));
      ASSERT_TRUE(RunUntil([&] { return mHeld.size() == i + 1; }));
    }
    for (auto& [connection, request] : mHeld) {
      http_server_response response;
      scripted_server::Sign(response, request);
      connection->Respond(response, "done");
    }
    for (const auto& exchange : open) {
      ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
    }
    for (const auto& server : mServers) {
      ASSERT_EQ(server->mRequests.size(), aPerServer);
    }
  }

  /// Repeats the crashing request; after three servers it must be refused.
  void ExpectRefusalAfterThreeCrashes(const std::string& aPath)
  {
    for (unsigned sent = 1; sent <= 3; ++sent) {
      Call("POST", aPath, {}, kCrashingBody);
      ASSERT_EQ(mCrashes, sent);
    }
    const auto exchange = Call("POST", aPath, {}, kCrashingBody);
    EXPECT_EQ(exchange->mResponse.mStatus, 503U);
    EXPECT_EQ(exchange->mBody, kRefusal);
    EXPECT_EQ(mCrashes, 3U);
  }

  unsigned mCrashes = 0;
  std::vector<std::pair<http_server_connection*, http_server_request>> mHeld;
};

} // namespace

TEST_F(crashing_request_test, IsRefusedAfterCrashesOnNewConnections)
{
  AddServers("app", [](auto&, const auto&) { return true; });
  StartNode();
  ExpectRefusalAfterThreeCrashes("/o/x");
}

// Guards against crashes that are taken for idle timeouts of kept connections.
TEST_F(crashing_request_test, IsRefusedAfterCrashesOnKeptConnections)
{
  AddServers("app", [](auto&, const auto&) { return true; });
  StartNode();
  OpenConnections("/o/x");
  ExpectRefusalAfterThreeCrashes("/o/x");
}

// Guards against crashes after the response head that are taken for truncated
// responses.
TEST_F(crashing_request_test, IsRefusedAfterCrashesWithinResponses)
{
  AddServers("app", [](auto& aConnection, const auto& aRequest) {
    http_server_response head;
    scripted_server::Sign(head, aRequest);
    head.mFraming = body_framing::Chunked;
    aConnection.StartResponse(head);
    aConnection.WriteBody("part");
    return true;
  });
  StartNode();
  ExpectRefusalAfterThreeCrashes("/o/x");
}

// Guards against crashes that look like the end of a response without length.
TEST_F(crashing_request_test, IsRefusedAfterCrashesWithinUnframedResponses)
{
  AddServers("app", [](auto& aConnection, const auto& aRequest) {
    http_server_response head;
    scripted_server::Sign(head, aRequest);
    head.mFraming = body_framing::UntilClose;
    aConnection.StartResponse(head);
    aConnection.WriteBody("part");
    aConnection.FinishBody();
    return true;
  });
  StartNode();
  ExpectRefusalAfterThreeCrashes("/o/x");
}

// Guards against a stream whose servers end within it, at which the request is
// resumed at further servers.
TEST_F(crashing_request_test, IsRefusedAfterCrashesWithinStreams)
{
  AddServers("engine", [](auto& aConnection, const auto& aRequest) {
    scripted_server::SendEvents(
      aConnection, aRequest, "id: 1\ndata: a\n\nid: 2\n");
    return true;
  });
  StartNode();
  // The route allows two servers for one request.
  Call("POST", "/r/x", kPrompt, kCrashingBody);
  ASSERT_EQ(mCrashes, 2U);
  Call("POST", "/r/x", kPrompt, kCrashingBody);
  EXPECT_EQ(mCrashes, 3U);
  EXPECT_EQ(Call("POST", "/r/x", kPrompt, kCrashingBody)->mBody, kRefusal);
  EXPECT_EQ(mCrashes, 3U);
}

// Guards against a harmless request that follows a crashing one to each server
// and is refused with it: both prefer the server with their shared prompt.
TEST_F(crashing_request_test, RunsApartFromOtherSuspects)
{
  const std::string prompt = "Lentilswitch-Token-Counts: 100,50\r\n"
                             "Lentilswitch-Prompt-Prefix: aa:60,bb:40\r\n";
  AddServers("engine", [](auto&, const auto&) { return true; });
  StartNode();
  // The route allows two servers for one request.
  auto harmless = BeginRequest("POST", "/r/x", prompt, "harmless");
  ASSERT_TRUE(RunUntil([&] { return mHeld.size() == 1; }));
  Call("POST", "/r/x", prompt, kCrashingBody);
  EXPECT_EQ(mCrashes, 2U);
  EXPECT_EQ(mHeld.size(), 2U);
  EXPECT_FALSE(harmless->Ended());
}

// Guards against several copies that are sent before the crash under the first
// is noticed.
TEST_F(crashing_request_test, HasOneCopyInProgressAfterTwoCrashes)
{
  AddServers("app", [this](auto&, const auto&) { return mCrashes <= 2; });
  StartNode();
  Call("POST", "/o/x", {}, kCrashingBody);
  Call("POST", "/o/x", {}, kCrashingBody);
  auto third = BeginRequest("POST", "/o/x", {}, kCrashingBody);
  ASSERT_TRUE(RunUntil([&] { return mCrashes == 3; }));
  const auto exchange = Call("POST", "/o/x", {}, kCrashingBody);
  EXPECT_EQ(exchange->mResponse.mStatus, 503U);
  EXPECT_EQ(exchange->mBody, R"({"error":"suspect_in_progress"})");
  EXPECT_EQ(mCrashes, 3U);
}

// Guards against harmless requests that are refused as crashing because servers
// that go on break single connections.
TEST_F(crashing_request_test, BreaksOfServersThatGoOnDoNotCount)
{
  std::vector<http_server_connection*> running;
  AddServers("app", [&running](auto& aConnection, const auto&) {
    running.push_back(&aConnection);
    return false;
  });
  StartNode();
  OpenConnections("/o/x", 2);
  std::vector<std::unique_ptr<client_exchange>> broken;
  for (unsigned i = 0; i < 3; ++i) {
    broken.push_back(BeginRequest("POST", "/o/x", {}, kCrashingBody));
  }
  ASSERT_TRUE(RunUntil([&] { return running.size() == broken.size(); }));
  for (http_server_connection* connection : running) {
    connection->Abort();
  }
  for (const auto& exchange : broken) {
    ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  }
  for (const auto& server : mServers) {
    server->mScript = {};
  }
  Call("POST", "/o/x", {}, "harmless");
  RunFor(milliseconds(500));
  EXPECT_EQ(Call("POST", "/o/x", {}, kCrashingBody)->mBody, "done");
}

// Guards against a crash that counts against the next run of the server, whose
// entries then refute it: the connection may break after the restart.
TEST_F(crashing_request_test, CountsAgainstTheServerRunThatGotIt)
{
  http_server_connection* open = nullptr;
  AddServers("app", [&open](auto& aConnection, const auto&) {
    open = &aConnection;
    return false;
  });
  StartNode();
  auto exchange = BeginRequest("POST", "/o/x", {}, kCrashingBody);
  ASSERT_TRUE(RunUntil([&] { return open != nullptr; }));
  mStore.Put({ "servers", "", "i-1" },
             R"({"service":"app","address":")" + mServers[0]->Address() +
               R"(","zone":"z1","version":"v1","slots":8,"state":"ready",)"
               R"("seq":1,"born":2})");
  RunFor(milliseconds(500));
  open->Abort();
  ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  const std::string row =
    "crash/" +
    FormatWide(MakeContentId(account_id{ "clinic/o/x" }, kCrashingBody));
  // Crashes must be known within 3 s.
  RunFor(milliseconds(2000));
  EXPECT_TRUE(mStore.Value({ "lentilswitch", "", row + "/i-1.1" }));
  EXPECT_FALSE(mStore.Value({ "lentilswitch", "", row + "/i-1.2" }));
}

// Guards against servers that end without closing their connections: the
// request reaches its timeout and nothing breaks.
TEST_F(crashing_request_test, IsRefusedAfterServersFellSilent)
{
  AddServers("app", [](auto&, const auto&) { return false; });
  StartNode();
  std::vector<std::unique_ptr<client_exchange>> open;
  for (std::size_t sent = 1; sent <= 3; ++sent) {
    open.push_back(BeginRequest("POST", "/o/x", {}, kCrashingBody));
    ASSERT_TRUE(RunUntil([&] { return mCrashes == sent; }));
  }
  for (const auto& exchange : open) {
    ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  }
  // Crashes must be known within 3 s.
  RunFor(milliseconds(2000));
  EXPECT_EQ(Call("POST", "/o/x", {}, kCrashingBody)->mBody, kRefusal);
  EXPECT_EQ(mCrashes, 3U);
}

// Guards against a repeat at a further server after the third crash is known:
// the history must be checked before each send, not only on arrival.
TEST_F(crashing_request_test, IsNotRepeatedAfterTheThirdCrash)
{
  AddServers("app", [](auto&, const auto&) { return true; });
  StartNode();
  // The route allows two servers for one request.
  Call("POST", "/l/x", {}, kCrashingBody);
  ASSERT_EQ(mCrashes, 2U);
  // It may have run, so a refusal would not be true.
  EXPECT_EQ(Call("POST", "/l/x", {}, kCrashingBody)->mResponse.mStatus, 502U);
  EXPECT_EQ(mCrashes, 3U);
}
