#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "Common/EventLoop.h"
#include "Net/TcpStream.h"
#include "Remote/HttpClient.h"
#include "Remote/HttpServer.h"
#include "Remote/HttpStream.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout{ 5000 };
using reply_result = result<http_reply, http_failure>;

/// A server that answers each request with fixed bytes and closes.
class closing_server final
  : private tcp_listener::acceptor
  , private tcp_observer
{
public:
  explicit closing_server(std::string aBytes)
    : mBytes(std::move(aBytes))
  {
    std::string error;
    mListener = tcp_listener::Listen({ "127.0.0.1", 0 }, *this, error);
  }
  std::string Address() const { return FormatTcpAddress(mListener->Address()); }

private:
  void OnAccept(int aDescriptor) override
  {
    mStream = tcp_stream::Adopt(aDescriptor, {}, *this);
  }
  void OnData(std::string_view) override
  {
    mStream->Write(mBytes);
    mStream->CloseAfterDrain();
  }
  void OnEnd(tcp_end_reason) override {}

  std::string mBytes;
  std::shared_ptr<tcp_stream> mStream;
  std::unique_ptr<tcp_listener> mListener;
};

class http_test : public testing::Test
{
protected:
  void Start() { ASSERT_TRUE(mServer.Listen("127.0.0.1:0").has_value()); }

  http_request Request(const std::string& aPath, std::string aBody = {})
  {
    http_request request;
    request.mMethod = "POST";
    request.mUrl = "http://" + mServer.Address() + aPath;
    request.mBody = std::move(aBody);
    return request;
  }

  std::optional<reply_result> Send(const http_request& aRequest)
  {
    std::optional<reply_result> reply;
    mClient.Send(aRequest, mOwner, [&](reply_result aReply) {
      reply = std::move(aReply);
    });
    mLoop.RunUntil([&] { return reply.has_value(); }, kWaitTimeout);
    return reply;
  }

  /// Expects that a reply with this begin of its head is no reply, whether it
  /// is read whole or as a stream.
  void ExpectBroken(const std::string& aHead)
  {
    SCOPED_TRACE(aHead);
    const closing_server server(aHead + "Content-Length: 4\r\n\r\ndone");
    http_request request = Request("/");
    request.mUrl = "http://" + server.Address() + "/";
    const auto reply = Send(request);
    ASSERT_TRUE(reply);
    EXPECT_TRUE(reply->has_error() && reply->error() == http_failure::Broken);
    std::optional<std::optional<http_failure>> end;
    bool headSeen = false;
    const http_stream stream(
      mClient,
      request,
      { [&](const http_response_head&) { headSeen = true; },
        [](std::string_view) {},
        [&](std::optional<http_failure> aFailure) { end = aFailure; } });
    ASSERT_TRUE(mLoop.RunUntil([&] { return end.has_value(); }, kWaitTimeout));
    EXPECT_EQ(*end, http_failure::Broken);
    EXPECT_FALSE(headSeen);
  }

  event_loop mLoop;
  http_client mClient;
  http_server mServer;
  http_request_owner mOwner;
};

} // namespace

// Guards against requests that reach the handler of another path.
TEST_F(http_test, RoutesByLongestPrefixAndEchoesTheBody)
{
  mServer.Route("/", [](const http_server_exchange_ptr& aExchange) {
    aExchange->ReplyError(404, "not_found", "no such path");
  });
  mServer.Route("/v1/echo", [](const http_server_exchange_ptr& aExchange) {
    aExchange->AddHeader("X-Query", aExchange->Query("q"));
    aExchange->Reply(200, "text/plain", aExchange->Body());
  });
  Start();
  const auto reply = Send(Request("/v1/echo/more?q=a%20b", "body"));
  ASSERT_TRUE(reply && reply->has_value());
  EXPECT_EQ(reply->value().mBody, "body");
  EXPECT_EQ(FindHeader(reply->value().mHeaders, "x-query"), "a b");
  EXPECT_EQ(Send(Request("/v1/other"))->value().mStatus, 404U);
}

// Guards against a refused connection reported as a timeout, so that callers
// would have to assume that the request may have run.
TEST_F(http_test, RefusedConnectionIsUnavailable)
{
  Start();
  const http_request request = Request("/");
  mServer.Close();
  EXPECT_EQ(Send(request)->error(), http_failure::Unavailable);
}

// Guards against a request that reached the server reported as never sent, so
// that callers would send it again.
TEST_F(http_test, NoReplyIsTimeoutAndBrokenConnectionIsBroken)
{
  http_server_exchange_ptr openExchange;
  mServer.Route("/slow", [&](const http_server_exchange_ptr& aExchange) {
    openExchange = aExchange;
  });
  mServer.Route("/break", [](const http_server_exchange_ptr& aExchange) {
    aExchange->Abort();
  });
  Start();
  http_request request = Request("/slow", "x");
  request.mTimeout = milliseconds(500);
  EXPECT_EQ(Send(request)->error(), http_failure::Timeout);
  EXPECT_EQ(Send(Request("/break", "x"))->error(), http_failure::Broken);
}

// Guards against libsoup sending a request again when a reused connection
// breaks.
TEST_F(http_test, BrokenRequestsAreNotSentAgain)
{
  std::vector<std::string> bodies;
  mServer.Route("/", [&](const http_server_exchange_ptr& aExchange) {
    if (aExchange->Body() == "warm up") {
      aExchange->Reply(200, "text/plain", "");
      return;
    }
    bodies.emplace_back(aExchange->Body());
    aExchange->Abort();
  });
  Start();
  const std::vector<std::string> methods{ "PUT", "POST", "DELETE", "PATCH" };
  for (const std::string& method : methods) {
    EXPECT_TRUE(Send(Request("/", "warm up"))->has_value());
    http_request request = Request("/", method);
    request.mMethod = method;
    EXPECT_EQ(Send(request)->error(), http_failure::Broken);
  }
  EXPECT_EQ(bodies, methods);
}

// Guards against a callback into a destroyed owner.
TEST_F(http_test, NoCallbackAfterTheOwnerIsDestroyed)
{
  http_server_exchange_ptr openExchange;
  bool closed = false;
  mServer.Route("/", [&](const http_server_exchange_ptr& aExchange) {
    openExchange = aExchange;
    openExchange->OnClosed([&] { closed = true; });
  });
  Start();
  bool called = false;
  auto owner = std::make_unique<http_request_owner>();
  mClient.Send(
    Request("/", "x"), *owner, [&](const reply_result&) { called = true; });
  ASSERT_TRUE(
    mLoop.RunUntil([&] { return openExchange != nullptr; }, kWaitTimeout));
  owner.reset();
  EXPECT_TRUE(mLoop.RunUntil([&] { return closed; }, kWaitTimeout));
  EXPECT_FALSE(called);
  openExchange->ReplyError(500, "late", "reply to a caller that has gone");
}

// Guards against a request body that exhausts memory.
TEST_F(http_test, RefusesLongBodies)
{
  http_server small({ .mMaxBodyBytes = 1000 });
  bool handled = false;
  small.Route("/", [&](const http_server_exchange_ptr& aExchange) {
    handled = true;
    aExchange->Reply(200, "text/plain", "");
  });
  ASSERT_TRUE(small.Listen("127.0.0.1:0").has_value());
  http_request request = Request("/", std::string(1500, 'x'));
  request.mUrl = "http://" + small.Address() + "/";
  const auto reply = Send(request);
  ASSERT_TRUE(reply && reply->has_value());
  EXPECT_EQ(reply->value().mStatus, 413U);
  EXPECT_FALSE(handled);
  request.mBody.resize(900);
  EXPECT_EQ(Send(request)->value().mStatus, 200U);
}

// Guards against a chunked body without a declared length that exhausts memory.
TEST_F(http_test, RefusesLongChunkedBodies)
{
  http_server small({ .mMaxBodyBytes = 1000 });
  bool handled = false;
  small.Route("/", [&](const http_server_exchange_ptr&) { handled = true; });
  ASSERT_TRUE(small.Listen("127.0.0.1:0").has_value());
  http_request request;
  request.mMethod = "POST";
  request.mUrl = "http://" + small.Address() + "/";
  for (const gssize size : { 1500, 1 << 24 }) {
    SoupMessage* message = MakeSoupMessage(request);
    GInputStream* body =
      g_memory_input_stream_new_from_data(g_malloc0(size), size, g_free);
    soup_message_set_request_body(message, "text/plain", body, -1);
    bool ended = false;
    soup_session_send_and_read_async(
      mClient.Session(),
      message,
      G_PRIORITY_DEFAULT,
      nullptr,
      [](GObject* aSession, GAsyncResult* aResult, gpointer aEnded) {
        GBytes* bytes = soup_session_send_and_read_finish(
          SOUP_SESSION(aSession), aResult, nullptr);
        g_clear_pointer(&bytes, g_bytes_unref);
        *static_cast<bool*>(aEnded) = true;
      },
      &ended);
    EXPECT_TRUE(mLoop.RunUntil([&] { return ended; }, kWaitTimeout));
    // The connection of the longer body is closed without a status.
    EXPECT_EQ(soup_message_get_status(message), size < 2000 ? 413U : 0U);
    g_object_unref(body);
    g_object_unref(message);
  }
  EXPECT_FALSE(handled);
}

// Guards against a server that seems to listen although its address is
// malformed or in use.
TEST_F(http_test, ReportsAddressesThatCannotBeUsed)
{
  EXPECT_FALSE(mServer.Listen("nonsense").has_value());
  EXPECT_FALSE(mServer.Listen("127.0.0.1:99999").has_value());
  Start();
  http_server second;
  EXPECT_FALSE(second.Listen(mServer.Address()).has_value());
}

// Guards against chunks that are lost or reordered when they are queued faster
// than they are written, and against an end before the last chunk.
TEST_F(http_test, StreamsEveryByteInOrder)
{
  mServer.Route("/", [](const http_server_exchange_ptr& aExchange) {
    aExchange->BeginStream(200, "text/event-stream");
    for (int i = 0; i < 1000; ++i) {
      aExchange->Write(std::to_string(i) + "\n");
    }
    aExchange->End();
  });
  Start();
  std::string expected;
  for (int i = 0; i < 1000; ++i) {
    expected += std::to_string(i) + "\n";
  }
  std::string received;
  std::optional<std::optional<http_failure>> end;
  http_stream stream(
    mClient,
    Request("/"),
    { [](const http_response_head& aHead) { EXPECT_EQ(aHead.mStatus, 200U); },
      [&](std::string_view aPiece) { received += aPiece; },
      [&](std::optional<http_failure> aFailure) { end = aFailure; } });
  ASSERT_TRUE(mLoop.RunUntil([&] { return end.has_value(); }, kWaitTimeout));
  EXPECT_FALSE(end->has_value());
  EXPECT_EQ(received, expected);
}

// Guards against memory growth while a reader does not read: the writer must
// see that its bytes remain buffered.
TEST_F(http_test, PausedReaderStopsWriter)
{
  constexpr std::size_t kPiece = 64U << 10U;
  constexpr std::size_t kTotal = 64U << 20U;
  std::size_t written = 0;
  http_server_exchange_ptr writer;
  const auto fill = [&] {
    while (writer->Buffered() == 0 && written < kTotal) {
      writer->Write(std::string(kPiece, 'x'));
      written += kPiece;
    }
    if (written >= kTotal) {
      writer->End();
    }
  };
  mServer.Route("/", [&](const http_server_exchange_ptr& aExchange) {
    writer = aExchange;
    writer->BeginStream(200, "text/plain");
    writer->OnDrained(fill);
    fill();
  });
  Start();
  std::size_t received = 0;
  bool ended = false;
  http_stream stream(
    mClient,
    Request("/"),
    { [](const http_response_head&) {},
      [&](std::string_view aPiece) { received += aPiece.size(); },
      [&](std::optional<http_failure>) { ended = true; } });
  stream.Pause();
  mLoop.RunUntil([] { return false; }, milliseconds(300));
  // The kernel's socket buffers take some megabytes at most.
  EXPECT_LT(written, kTotal / 4);
  EXPECT_EQ(received, 0U);
  stream.Resume();
  ASSERT_TRUE(mLoop.RunUntil([&] { return ended; }, kWaitTimeout));
  EXPECT_EQ(received, kTotal);
}

// Guards against a new connection for every stream, which costs a round trip
// and a port.
TEST_F(http_test, EndedStreamsReuseTheirConnection)
{
  std::set<std::uint16_t> ports;
  mServer.Route("/", [&](const http_server_exchange_ptr& aExchange) {
    GSocketAddress* caller =
      soup_server_message_get_remote_address(aExchange->Message());
    ports.insert(g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(caller)));
    aExchange->BeginStream(200, "text/plain");
    aExchange->Write("text");
    aExchange->End();
  });
  Start();
  for (int i = 0; i < 3; ++i) {
    bool ended = false;
    http_stream stream(mClient,
                       Request("/"),
                       { [](const http_response_head&) {},
                         [](std::string_view) {},
                         [&](std::optional<http_failure>) { ended = true; } });
    ASSERT_TRUE(mLoop.RunUntil([&] { return ended; }, kWaitTimeout));
  }
  EXPECT_EQ(ports.size(), 1U);
}

// Guards against a server that goes on working for a disconnected client.
TEST_F(http_test, ServerNoticesCancelledStream)
{
  bool closed = false;
  http_server_exchange_ptr writer;
  mServer.Route("/", [&](const http_server_exchange_ptr& aExchange) {
    writer = aExchange;
    writer->OnClosed([&] { closed = true; });
    writer->BeginStream(200, "text/plain");
    writer->Write("first");
  });
  Start();
  bool called = false;
  bool received = false;
  auto stream = std::make_unique<http_stream>(
    mClient,
    Request("/"),
    http_stream_handlers{
      [](const http_response_head&) {},
      [&](std::string_view) { received = true; },
      [&](std::optional<http_failure>) { called = true; } });
  ASSERT_TRUE(mLoop.RunUntil([&] { return received; }, kWaitTimeout));
  stream.reset();
  EXPECT_TRUE(mLoop.RunUntil([&] { return closed; }, kWaitTimeout));
  EXPECT_FALSE(called);
  EXPECT_FALSE(writer->Open());
}

// Guards against a truncated response taken for a complete one.
TEST_F(http_test, AbortedReplyIsBroken)
{
  constexpr std::size_t kTotal = 64U << 20U;
  mServer.Route("/", [&](const http_server_exchange_ptr& aExchange) {
    aExchange->Reply(200, "text/plain", std::string(kTotal, 'x'));
  });
  Start();
  std::size_t received = 0;
  std::optional<std::optional<http_failure>> end;
  http_stream stream(
    mClient,
    Request("/"),
    { [](const http_response_head&) {},
      [&](std::string_view aPiece) { received += aPiece.size(); },
      [&](std::optional<http_failure> aEnd) { end = aEnd; } });
  ASSERT_TRUE(mLoop.RunUntil([&] { return received > 0; }, kWaitTimeout));
  mServer.Close();
  ASSERT_TRUE(mLoop.RunUntil([&] { return end.has_value(); }, kWaitTimeout));
  EXPECT_EQ(*end, http_failure::Broken);
  EXPECT_LT(received, kTotal);
}

// Guards against connections that stay open after the server was closed.
TEST_F(http_test, CloseEndsOpenStreamsAndRefusesNewConnections)
{
  mServer.Route("/", [&](const http_server_exchange_ptr& aExchange) {
    aExchange->BeginStream(200, "text/plain");
    aExchange->Write("first");
  });
  Start();
  const http_request request = Request("/");
  bool received = false;
  std::optional<std::optional<http_failure>> end;
  http_stream stream(mClient,
                     request,
                     { [](const http_response_head&) {},
                       [&](std::string_view) { received = true; },
                       [&](std::optional<http_failure> aEnd) { end = aEnd; } });
  ASSERT_TRUE(mLoop.RunUntil([&] { return received; }, kWaitTimeout));
  mServer.Close();
  EXPECT_TRUE(mLoop.RunUntil([&] { return end.has_value(); }, kWaitTimeout));
  EXPECT_EQ(Send(request)->error(), http_failure::Unavailable);
  ASSERT_TRUE(mServer.Listen(mServer.Address()).has_value());
}

// Guards against a reply that broke off halfway and looks complete to callers
// of a service.
TEST_F(http_test, TruncatedRepliesAreBroken)
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> truncated = {
    head + "Content-Length: 9\r\n\r\npart",
    chunked,
    chunked + "4\r\npart\r\n",
    chunked + "4\r\npa",
  };
  for (const std::string& bytes : truncated) {
    SCOPED_TRACE(bytes);
    const closing_server server(bytes);
    http_request request = Request("/");
    request.mUrl = "http://" + server.Address() + "/";
    const auto reply = Send(request);
    ASSERT_TRUE(reply);
    EXPECT_TRUE(reply->has_error() && reply->error() == http_failure::Broken);
  }
  const closing_server server(chunked + "4\r\npart\r\n0\r\n\r\n");
  http_request request = Request("/");
  request.mUrl = "http://" + server.Address() + "/";
  const auto reply = Send(request);
  ASSERT_TRUE(reply && reply->has_value());
  EXPECT_EQ(reply->value().mBody, "part");
}

// Guards against heads that are no HTTP and are passed on as replies.
TEST_F(http_test, UnsoundHeadsAreBroken)
{
  for (const char* head : { "HTTP/1.1 000 X\r\n",
                            "HTTP/1.1 099 X\r\n",
                            "HTTP/1.1 600 X\r\n",
                            "HTTP/1.1 999 X\r\n",
                            "HTTP/1.1 200 OK\r\nA\x01: 1\r\n",
                            "HTTP/1.1 200 OK\r\nA\x7f: 1\r\n" }) {
    ExpectBroken(head);
  }
}

TEST_F(http_test, FieldNamesWithBlanksAreBroken)
{
  ExpectBroken("HTTP/1.1 200 OK\r\nA b: 1\r\n");
  ExpectBroken("HTTP/1.1 200 OK\r\nA : 1\r\n");
}
