#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

class gateway_path_test : public gateway_fixture
{};

constexpr const char* kPrompt =
  "Lentilswitch-Model: m\r\nLentilswitch-Token-Counts: 100,50\r\n"
  "Lentilswitch-Prompt-Prefix: aa:60,bb:40\r\n";

std::string Header(const http_server_request& aRequest, const char* aName)
{
  return std::string(FindHeader(aRequest.mHeaders, aName));
}

} // namespace

// Guards against changes of a request or its answer on the way through the
// gateway.
TEST_F(gateway_path_test, ForwardsRequestAndAnswer)
{
  scripted_server& server = AddServer("i-1", "app");
  StartNode();
  const auto exchange =
    Call("POST", "/o/x?q=1", "Lentilswitch-Deadline-Ms: 500\r\n", "body");
  EXPECT_EQ(exchange->mResponse.mStatus, 200U);
  EXPECT_EQ(exchange->mBody, "done");
  EXPECT_EQ(
    FindHeader(exchange->mResponse.mHeaders, "Lentilswitch-Server-Stamp"),
    "stamp");
  ASSERT_EQ(server.mRequests.size(), 1U);
  const http_server_request& sent = server.mRequests[0];
  EXPECT_EQ(sent.mTarget, "/o/x?q=1");
  EXPECT_EQ(sent.mBody, "body");
  EXPECT_EQ(Header(sent, "Lentilswitch-Expect-Instance"), "i-1");
  EXPECT_EQ(Header(sent, "Lentilswitch-Tenant"), "clinic");
  // The API key must not reach a server, and the forwarded deadline must not
  // grow.
  EXPECT_EQ(Header(sent, "Authorization"), "");
  EXPECT_LE(std::stoi(Header(sent, "Lentilswitch-Deadline-Ms")), 500);
}

// Guards against clients that set headers which only the gateway may set, such
// as the account.
TEST_F(gateway_path_test, DropsClientValuesOfGatewayHeaders)
{
  scripted_server& server = AddServer("i-1", "app");
  StartNode();
  Call("POST",
       "/o/x",
       "Lentilswitch-Tenant: other\r\nKv-From: 1.2.3.4:5/x\r\n"
       "Lentilswitch-Hold: h\r\nConnection: X-Private\r\nX-Private: 1\r\n"
       "X-Public: 2\r\n",
       "b");
  ASSERT_EQ(server.mRequests.size(), 1U);
  EXPECT_EQ(Header(server.mRequests[0], "Lentilswitch-Tenant"), "clinic");
  EXPECT_EQ(Header(server.mRequests[0], "Kv-From"), "");
  EXPECT_EQ(Header(server.mRequests[0], "Lentilswitch-Hold"), "");
  EXPECT_EQ(Header(server.mRequests[0], "X-Private"), "");
  EXPECT_EQ(Header(server.mRequests[0], "X-Public"), "2");
}

// Guards against the wrong route for nested prefixes, and against requests
// accepted with a missing or unknown key.
TEST_F(gateway_path_test, ChoosesLongestPrefixAndChecksKeys)
{
  scripted_server& server = AddServer("i-1", "app");
  StartNode();
  RunFor(milliseconds(50));
  EXPECT_EQ(Call("GET", "/none/x")->mResponse.mStatus, 404U);
  EXPECT_EQ(
    Call("GET", "/l/x", "Authorization: Bearer bad\r\n")->mResponse.mStatus,
    401U);
  EXPECT_TRUE(server.mRequests.empty());
  EXPECT_EQ(Call("GET", "/l/inner/x", "Authorization: Bearer bad\r\n")
              ->mResponse.mStatus,
            200U);
  EXPECT_EQ(Header(server.mRequests.at(0), "Lentilswitch-Tenant"), "");
}

// Guards against a server failure answered with a refusal, which promises that
// the request did not run.
TEST_F(gateway_path_test, BrokenServerIsNotAnsweredAsNotRun)
{
  scripted_server& server = AddServer("i-1", "app");
  server.mScript = [](http_server_connection& aConnection,
                      const http_server_request&) { aConnection.Abort(); };
  StartNode();
  EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 502U);
  EXPECT_EQ(server.mRequests.size(), 1U);
}

// Guards against failures passed to the client although an idempotent request
// may be retried.
TEST_F(gateway_path_test, RetriesIdempotentRequests)
{
  scripted_server& first = AddServer("i-1", "app");
  scripted_server& second = AddServer("i-2", "app");
  unsigned calls = 0;
  const auto script = [&calls](http_server_connection& aConnection,
                               const http_server_request& aRequest) {
    http_server_response response;
    scripted_server::Sign(response, aRequest);
    response.mStatus = ++calls == 1 ? 500 : 200;
    aConnection.Respond(response, "answer");
  };
  first.mScript = script;
  second.mScript = script;
  StartNode();
  EXPECT_EQ(Call("GET", "/l/x")->mResponse.mStatus, 200U);
  EXPECT_EQ(first.mRequests.size(), 1U);
  EXPECT_EQ(second.mRequests.size(), 1U);
}

// Guards against a server's refusal that reaches the client as a failure,
// though the server states that it did not run the request.
TEST_F(gateway_path_test, RefusalOfServerIsNotRun)
{
  scripted_server& server = AddServer("i-1", "app");
  server.mScript = [](http_server_connection& aConnection,
                      const http_server_request&) {
    http_server_response response;
    response.mStatus = 503;
    response.mHeaders.emplace_back("Lentilswitch-Not-Executed", "1");
    aConnection.Respond(response, {});
  };
  StartNode();
  const auto exchange = Call("POST", "/o/x", {}, "b");
  EXPECT_EQ(exchange->mResponse.mStatus, 503U);
  EXPECT_FALSE(FindHeader(exchange->mResponse.mHeaders, "Retry-After").empty());
  EXPECT_EQ(server.mRequests.size(), 1U);
}

// Guards against delivery of a response without the server's stamp, such as
// that of a process that took over the address.
TEST_F(gateway_path_test, UnsignedSuccessIsNotDelivered)
{
  scripted_server& server = AddServer("i-1", "app");
  server.mScript = [](http_server_connection& aConnection,
                      const http_server_request&) {
    aConnection.Respond({}, "stray");
  };
  StartNode();
  EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 502U);
}

// Guards against requests that stay open after the timeout of their route.
TEST_F(gateway_path_test, AnswersAtTheRouteLimit)
{
  scripted_server& server = AddServer("i-1", "app");
  server.mScript = [](http_server_connection&, const http_server_request&) {};
  StartNode();
  const auto began = mTime.Now();
  EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 504U);
  EXPECT_LT(mTime.Now() - began, milliseconds(1200));
  // The request to the server must end together with the client's request.
  EXPECT_TRUE(RunUntil([&] { return server.mClientsGone == 1; }));
}

// Guards against servers that go on with a request whose client has left.
TEST_F(gateway_path_test, StopsWorkOfAClientThatLeft)
{
  scripted_server& server = AddServer("i-1", "app");
  server.mScript = [](http_server_connection&, const http_server_request&) {};
  StartNode();
  auto exchange = BeginRequest("POST", "/o/x", {}, "b");
  ASSERT_TRUE(RunUntil([&] { return !server.mRequests.empty(); }));
  exchange->mConnection->Cancel();
  EXPECT_TRUE(RunUntil([&] { return server.mClientsGone == 1; }));
}

// Guards against streams that break within an event.
TEST_F(gateway_path_test, ForwardsWholeEventsOnly)
{
  scripted_server& server = AddServer("i-1", "engine");
  http_server_connection* open = nullptr;
  server.mScript = [&open](http_server_connection& aConnection,
                           const http_server_request& aRequest) {
    scripted_server::SendEvents(
      aConnection, aRequest, "id: 1\ndata: a\n\nid: 2\nda");
    open = &aConnection;
  };
  StartNode();
  auto exchange = BeginRequest("POST", "/s/x", kPrompt, "b");
  ASSERT_TRUE(
    RunUntil([&] { return exchange->mBody == "id: 1\ndata: a\n\n"; }));
  open->Abort();
  ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  EXPECT_EQ(exchange->mBody, "id: 1\ndata: a\n\n");
  EXPECT_FALSE(exchange->mComplete);
}

// Guards against gaps and duplicate events in a stream that is resumed at
// another server.
TEST_F(gateway_path_test, ResumesAtAnotherServer)
{
  const auto script = [](http_server_connection& aConnection,
                         const http_server_request& aRequest) {
    if (Header(aRequest, "Last-Event-Id") == "2") {
      scripted_server::SendEvents(aConnection, aRequest, "id: 3\ndata: c\n\n");
      aConnection.FinishBody();
      return;
    }
    scripted_server::SendEvents(
      aConnection, aRequest, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nd");
    static loop_timer sBreak;
    sBreak.Once(milliseconds(50), [&aConnection] { aConnection.Abort(); });
  };
  AddServer("i-1", "engine").mScript = script;
  AddServer("i-2", "engine").mScript = script;
  StartNode();
  const auto exchange = Call("POST", "/r/x", kPrompt, "b");
  EXPECT_TRUE(exchange->mComplete);
  EXPECT_EQ(exchange->mBody,
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

// Guards against overspending: a request that the prepaid tokens do not cover
// must not reach a server.
TEST_F(gateway_path_test, RefusesWhatThePrepaidTokensDoNotCover)
{
  scripted_server& server = AddServer("i-1", "engine");
  StartNode();
  const auto exchange =
    Call("POST",
         "/s/x",
         "Authorization: Bearer key-2\r\nLentilswitch-Token-Counts: 900,200\r\n"
         "Lentilswitch-Prompt-Prefix: aa:900\r\n",
         "b");
  EXPECT_EQ(exchange->mResponse.mStatus, 402U);
  EXPECT_TRUE(server.mRequests.empty());
}

// Guards against requests sent to a server that announced that it leaves.
TEST_F(gateway_path_test, UsesNoServerThatLeaves)
{
  scripted_server& first = AddServer("i-1", "app");
  scripted_server& second = AddServer("i-2", "app");
  StartNode();
  mStore.Put({ "servers", "", "i-1" },
             R"({"service":"app","address":")" + first.Address() +
               R"(","zone":"z1","version":"v1","slots":8,"state":"draining",)"
               R"("seq":2,"born":1})");
  RunFor(milliseconds(1000));
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(Call("GET", "/l/x")->mResponse.mStatus, 200U);
  }
  EXPECT_TRUE(first.mRequests.empty());
  EXPECT_EQ(second.mRequests.size(), 6U);
}

// Guards against a crash or a bad route caused by a row that is no server
// entry.
TEST_F(gateway_path_test, IgnoresForeignEntries)
{
  AddServer("i-1", "app");
  mStore.Put({ "servers", "", "x-1" }, "\xff\xfe");
  mStore.Put({ "servers", "", "x-2" }, R"({"service":5,"address":"x"})");
  mStore.Put({ "servers", "", "x-3" }, "[]");
  StartNode();
  EXPECT_EQ(Call("GET", "/l/x")->mResponse.mStatus, 200U);
}

// Guards against an older configuration that replaces a newer one.
TEST_F(gateway_path_test, ConfigurationNeverGoesBack)
{
  AddServer("i-1", "app");
  StartNode();
  std::string newer = mConfig;
  newer.replace(newer.find("\"version\": 7"), 12, "\"version\": 9");
  newer.replace(newer.find("/o/"), 3, "/n/");
  mStore.Put({ "op", "", "config" }, newer);
  ASSERT_TRUE(RunUntil(
    [&] { return Call("POST", "/n/x", {}, "b")->mResponse.mStatus == 200; }));
  mStore.Put({ "op", "", "config" }, mConfig);
  RunFor(milliseconds(300));
  EXPECT_EQ(Call("POST", "/n/x", {}, "b")->mResponse.mStatus, 200U);
}

// Guards against a graceful stop that cuts a request in progress.
TEST_F(gateway_path_test, FinishesRequestsBeforeItStops)
{
  scripted_server& server = AddServer("i-1", "app");
  http_server_connection* open = nullptr;
  server.mScript = [&open](http_server_connection& aConnection,
                           const http_server_request&) { open = &aConnection; };
  StartNode();
  auto exchange = BeginRequest("POST", "/o/x", {}, "b");
  ASSERT_TRUE(RunUntil([&] { return open != nullptr; }));
  mNode->Stop();
  EXPECT_FALSE(mNode->Ready());
  RunFor(milliseconds(600));
  EXPECT_FALSE(mStopped);
  http_server_response response;
  scripted_server::Sign(response, server.mRequests[0]);
  open->Respond(response, "late");
  ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  EXPECT_EQ(exchange->mBody, "late");
  EXPECT_TRUE(RunUntil([this] { return mStopped; }));
}

// Guards against a truncated response that looks complete: a response without
// length ends with its connection, and a broken server's response ends in the
// same way.
TEST_F(gateway_path_test, PassesUnframedAnswersOnUnframed)
{
  scripted_server& server = AddServer("i-1", "app");
  server.mScript = [](http_server_connection& aConnection,
                      const http_server_request& aRequest) {
    http_server_response head;
    scripted_server::Sign(head, aRequest);
    head.mFraming = body_framing::UntilClose;
    aConnection.StartResponse(head);
    aConnection.WriteBody("part");
    aConnection.FinishBody();
  };
  StartNode();
  const auto exchange = Call("GET", "/l/x");
  EXPECT_EQ(exchange->mBody, "part");
  EXPECT_EQ(exchange->mResponse.mFraming, body_framing::UntilClose);
}

// Guards against an empty stream that looks complete.
TEST_F(gateway_path_test, StreamWithoutEventsIsNotComplete)
{
  scripted_server& server = AddServer("i-1", "engine");
  server.mScript = [](http_server_connection& aConnection,
                      const http_server_request& aRequest) {
    http_server_response head;
    scripted_server::Sign(head, aRequest);
    head.mHeaders.emplace_back("Content-Type", "text/event-stream");
    head.mFraming = body_framing::UntilClose;
    aConnection.StartResponse(head);
    aConnection.FinishBody();
  };
  StartNode();
  EXPECT_EQ(Call("POST", "/s/x", kPrompt, "b")->mResponse.mStatus, 502U);
}

// Guards against a truncated resumed stream that looks complete: the last
// response has no length, so the stream is complete only if all its events
// arrived.
TEST_F(gateway_path_test, ResumedStreamWithUnframedEndIsNotComplete)
{
  const auto script = [](http_server_connection& aConnection,
                         const http_server_request& aRequest) {
    if (Header(aRequest, "Last-Event-Id") == "1") {
      http_server_response head;
      scripted_server::Sign(head, aRequest);
      head.mHeaders.emplace_back("Content-Type", "text/event-stream");
      head.mFraming = body_framing::UntilClose;
      aConnection.StartResponse(head);
      aConnection.WriteBody("id: 2\ndata: b\n\n");
      aConnection.FinishBody();
      return;
    }
    scripted_server::SendEvents(
      aConnection, aRequest, "id: 1\ndata: a\n\nid: 2\nd");
    static loop_timer sBreak;
    sBreak.Once(milliseconds(50), [&aConnection] { aConnection.Abort(); });
  };
  AddServer("i-1", "engine").mScript = script;
  AddServer("i-2", "engine").mScript = script;
  StartNode();
  const auto exchange = Call("POST", "/r/x", kPrompt, "b");
  EXPECT_FALSE(exchange->mComplete);
  EXPECT_EQ(exchange->mBody, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against bodies of waiting requests that exhaust the memory of the
// process.
TEST_F(gateway_path_test, RefusesWhenBodiesFillTheMemory)
{
  scripted_server& server = AddServer("i-1", "app");
  server.mScript = [](http_server_connection&, const http_server_request&) {};
  StartNode();
  const std::string body(200000, 'x');
  auto first = BeginRequest("POST", "/o/x", {}, body);
  ASSERT_TRUE(RunUntil([&] { return server.mRequests.size() == 1; }));
  EXPECT_EQ(Call("POST", "/o/x", {}, body)->mResponse.mStatus, 503U);
  EXPECT_EQ(server.mRequests.size(), 1U);
}

// Guards against a body that is counted twice when it is complete, because its
// first part was counted while it arrived.
TEST_F(gateway_path_test, BodiesThatArriveInPartsAreCountedOnce)
{
  struct silent_observer final : public tcp_observer
  {
    void OnData(std::string_view) override {}
    void OnEnd(tcp_end_reason) override {}
  } observer;
  scripted_server& server = AddServer("i-1", "app");
  StartNode();
  const auto client = tcp_stream::Connect(mNode->ClientAddress(), {}, observer);
  client->Write("POST /o/x HTTP/1.1\r\nHost: a.example\r\n"
                "Lentilswitch-Request-Id: r1\r\n"
                "Authorization: Bearer key-1\r\n"
                "Content-Length: 200000\r\n\r\n");
  client->Write(std::string(150000, 'x'));
  RunFor(milliseconds(50));
  client->Write(std::string(50000, 'x'));
  EXPECT_TRUE(RunUntil([&] { return server.mRequests.size() == 1; }));
}

// Guards against a late second copy of an earlier response that the next caller
// on the same connection gets as its own.
TEST_F(gateway_path_test, LateSecondCopyIsNotTheNextResponse)
{
  for (const bool signsCopy : { true, false }) {
    SCOPED_TRACE(signsCopy ? "with request identity" : "without");
    http_server_request first;
    scripted_server& server = AddServer("i-1", "app");
    server.mScript = [&](http_server_connection& aConnection,
                         const http_server_request& aRequest) {
      http_server_response response;
      scripted_server::Sign(response, aRequest);
      if (first.mTarget.empty()) {
        first = aRequest;
        aConnection.Respond(response, "first");
        return;
      }
      http_server_response copy;
      scripted_server::Sign(copy, first);
      if (!signsCopy) {
        std::erase_if(copy.mHeaders, [](const auto& aHeader) {
          return aHeader.first == "Lentilswitch-Request-Id";
        });
      }
      aConnection.Respond(copy, "first");
      aConnection.Respond(response, "second");
    };
    StartNode();
    EXPECT_EQ(
      Call("POST", "/o/x", "Lentilswitch-Request-Id: r1\r\n", "b")->mBody,
      "first");
    EXPECT_EQ(
      Call("POST", "/o/y", "Lentilswitch-Request-Id: r2\r\n", "b")->mBody,
      "second");
    mNode.reset();
    mStore.Remove({ "servers", "", "i-1" });
  }
}

// Guards against a second response head within a stream: the stream has broken,
// and no server may take the rest of it.
TEST_F(gateway_path_test, BrokenStreamWithoutAnotherServerIsReset)
{
  const auto script = [](http_server_connection& aConnection,
                         const http_server_request& aRequest) {
    http_server_response head;
    scripted_server::Sign(head, aRequest);
    head.mHeaders.emplace_back("Content-Type", "text/event-stream");
    head.mHeaders.emplace_back("Server-Limit", "0");
    head.mFraming = body_framing::Chunked;
    aConnection.StartResponse(head);
    aConnection.WriteBody("id: 1\ndata: a\n\n");
    static loop_timer sBreak;
    sBreak.Once(milliseconds(50), [&aConnection] { aConnection.Abort(); });
  };
  AddServer("i-1", "engine").mScript = script;
  StartNode();
  const auto exchange = Call("POST", "/r/x", kPrompt, "b");
  EXPECT_EQ(exchange->mFailure, exchange_failure::Truncated);
  EXPECT_EQ(exchange->mBody, "id: 1\ndata: a\n\n");
}

// Guards against the body of a server error that is passed on within a stream,
// which then looks complete: the server at which the stream is resumed fails.
TEST_F(gateway_path_test, ServerErrorIsNoPartOfAResumedStream)
{
  const auto script = [](http_server_connection& aConnection,
                         const http_server_request& aRequest) {
    if (!Header(aRequest, "Last-Event-Id").empty()) {
      http_server_response failure;
      scripted_server::Sign(failure, aRequest);
      failure.mStatus = 500;
      aConnection.Respond(failure, "error");
      return;
    }
    scripted_server::SendEvents(aConnection, aRequest, "id: 1\ndata: a\n\n");
    static loop_timer sBreak;
    sBreak.Once(milliseconds(50), [&aConnection] { aConnection.Abort(); });
  };
  AddServer("i-1", "engine").mScript = script;
  AddServer("i-2", "engine").mScript = script;
  StartNode();
  const auto exchange = Call("POST", "/r/x", kPrompt, "b");
  EXPECT_FALSE(exchange->mComplete);
  EXPECT_EQ(exchange->mBody, "id: 1\ndata: a\n\n");
}
