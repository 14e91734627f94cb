#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "Common/CallbackGuard.h"
#include "Common/EventLoop.h"
#include "Net/HttpListener.h"
#include "Net/ParserFeed.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout(3000);
constexpr milliseconds kLongWaitTimeout(20'000);
// Bytes that a connection may hold of a part of a message.
constexpr std::size_t kMaxHeldBytes = parser_feed::kMaxPartBytes;
// Longer than a parser may take a field.
constexpr std::size_t kLongField = 80'000;

const std::string kChunkedPost =
  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kChunkedResponse =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n";

/// Responds with the body of the request, at once or when a test says so.
class body_handler final : public http_request_handler
{
public:
  void OnRequest(http_server_connection& aConnection,
                 http_server_request aRequest) override
  {
    mRequests.push_back(aRequest);
    mConnection = &aConnection;
    if (aRequest.mTarget == "/throw") {
      throw std::runtime_error("handler failed");
    }
    if (mResponds) {
      aConnection.Respond({}, mBody.value_or(aRequest.mBody));
    }
  }
  void OnClientDisconnected(http_server_connection&) override {}
  void OnClientDrained(http_server_connection&) override {}
  void OnConnectionClosed(http_server_connection&) override {}
  bool MayHold(std::size_t aHeld, std::size_t aMore) override
  {
    return aHeld + aMore <= mMaxHeld;
  }

  std::vector<http_server_request> mRequests;
  http_server_connection* mConnection = nullptr;
  bool mResponds = true;
  /// Body of all responses; nothing for that of the request.
  std::optional<std::string> mBody;
  std::size_t mMaxHeld = 100'000'000;
};

/// A connection that sends bytes as they are and collects what comes back.
class raw_peer final : public tcp_observer
{
public:
  void OnData(std::string_view aBytes) override { mReceived.append(aBytes); }
  void OnEnd(tcp_end_reason aReason) override { mEnd = aReason; }
  unsigned Count(std::string_view aText) const
  {
    unsigned count = 0;
    for (auto at = mReceived.find(aText); at != std::string::npos;
         at = mReceived.find(aText, at + 1)) {
      ++count;
    }
    return count;
  }

  std::shared_ptr<tcp_stream> mStream;
  std::string mReceived;
  std::optional<tcp_end_reason> mEnd;
};

/// A server that sends bytes in pieces once it has received a request.
class piece_server final
  : private tcp_listener::acceptor
  , private tcp_observer
{
public:
  explicit piece_server(std::vector<std::string> aPieces)
    : mPieces(std::move(aPieces))
  {
    std::string error;
    mListener = tcp_listener::Listen({ "127.0.0.1", 0 }, *this, error);
  }
  const tcp_address& Address() const { return mListener->Address(); }
  /// Repeats the last piece until the caller closes.
  bool mEndless = false;
  std::size_t mSent = 0;
  bool mClosedByCaller = false;

private:
  void OnAccept(int aDescriptor) override
  {
    mStream = tcp_stream::Adopt(aDescriptor, {}, *this);
  }
  void OnData(std::string_view) override
  {
    mTimer.Every(milliseconds(1), [this] {
      if (mNext < mPieces.size() && mStream->PendingBytes() == 0) {
        mStream->Write(mPieces[mNext]);
        mSent += mPieces[mNext].size();
        mNext += mEndless && mNext + 1 == mPieces.size() ? 0 : 1;
      }
    });
  }
  void OnEnd(tcp_end_reason) override
  {
    mClosedByCaller = true;
    mTimer.Cancel();
  }

  std::vector<std::string> mPieces;
  std::size_t mNext = 0;
  std::unique_ptr<tcp_listener> mListener;
  std::shared_ptr<tcp_stream> mStream;
  loop_timer mTimer;
};

class exchange_recorder final : public http_client_exchange_observer
{
public:
  bool OnResponse(http_client_connection&, http_client_response) override
  {
    return true;
  }
  void OnBody(std::string_view aBytes) override { mBody.append(aBytes); }
  void OnComplete(bool) override { mComplete = true; }
  void OnExchangeFailed(exchange_failure aFailure) override
  {
    mFailure = aFailure;
  }
  bool Ended() const { return mComplete || mFailure.has_value(); }

  std::string mBody;
  bool mComplete = false;
  std::optional<exchange_failure> mFailure;
};

class hostile_input_test : public testing::Test
{
protected:
  void SetUp() override
  {
    std::string error;
    mListener =
      http_listener::Listen({ "127.0.0.1", 0 }, mHandler, mTime, error);
    ASSERT_TRUE(mListener) << error;
  }

  std::unique_ptr<raw_peer> Connect()
  {
    auto peer = std::make_unique<raw_peer>();
    peer->mStream = tcp_stream::Connect(mListener->Address(), {}, *peer);
    return peer;
  }

  /// Sends bytes and waits for the begin of the response.
  std::string Send(const std::string& aBytes)
  {
    const auto peer = Connect();
    peer->mStream->Write(aBytes);
    mLoop.RunUntil([&] { return peer->mEnd || !peer->mReceived.empty(); },
                   kWaitTimeout);
    return peer->mReceived;
  }

  /// Sends the filler until the server ends the connection or 16 MB are sent.
  /// Returns the response.
  std::string SendWithoutEnd(const std::string& aHead,
                             const std::string& aFiller)
  {
    const auto peer = Connect();
    std::string filler;
    while (filler.size() < 65536) {
      filler += aFiller;
    }
    peer->mStream->Write(aHead);
    std::size_t sent = 0;
    std::size_t held = 0;
    const bool ended = mLoop.RunUntil(
      [&] {
        if (peer->mStream->PendingBytes() == 0 && sent < 16'000'000) {
          peer->mStream->Write(filler);
          sent += filler.size();
        }
        for (const auto& connection : mListener->Connections()) {
          held = std::max(held, connection->InputBytes());
        }
        return !peer->mReceived.empty() || peer->mEnd.has_value();
      },
      kWaitTimeout);
    EXPECT_TRUE(ended);
    EXPECT_LE(held, kMaxHeldBytes);
    return peer->mReceived;
  }

  /// Reads a response in pieces.
  void Receive(piece_server& aServer, exchange_recorder& aExchange)
  {
    http_client_connection client(aServer.Address(), {});
    client.Start("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", {}, false, aExchange);
    std::size_t held = 0;
    EXPECT_TRUE(mLoop.RunUntil(
      [&] {
        held = std::max(held, client.InputBytes());
        return aExchange.Ended();
      },
      kWaitTimeout));
    EXPECT_LE(held, kMaxHeldBytes);
  }

  event_loop mLoop;
  system_time_source mTime;
  body_handler mHandler;
  std::unique_ptr<http_listener> mListener;
};

/// A field with a long value and one with a long name.
std::vector<std::string> LongFields()
{
  const std::string text(kLongField, 'a');
  return { "a:" + text, text + ":a" };
}

std::string StatusOf(const std::string& aResponse)
{
  return aResponse.substr(0, std::string("HTTP/1.1 200").size());
}

} // namespace

// Guards against a server whose field behind the last chunk ends the process:
// the parser throws for fields of more than 65,533 bytes.
TEST_F(hostile_input_test, LongTrailerOfAServerIsMalformed)
{
  for (const std::string& field : LongFields()) {
    piece_server server(
      { fmt::format("{}0\r\n{}\r\n\r\n", kChunkedResponse, field) });
    exchange_recorder exchange;
    Receive(server, exchange);
    EXPECT_EQ(exchange.mFailure, exchange_failure::Malformed);
  }
  EXPECT_EQ(CallbackFailures(), 0U);
}

// The same from a client, which needs no credential for it.
TEST_F(hostile_input_test, LongTrailerOfAClientIsRefused)
{
  for (const std::string& field : LongFields()) {
    const std::string response =
      Send(fmt::format("{}4\r\nbody\r\n0\r\n{}\r\n\r\n", kChunkedPost, field));
    EXPECT_EQ(StatusOf(response), "HTTP/1.1 431");
  }
  EXPECT_TRUE(mHandler.mRequests.empty());
  EXPECT_EQ(CallbackFailures(), 0U);
}

// Guards against parts of a request that are kept until they end.
TEST_F(hostile_input_test, PartsOfRequestsWithoutEndAreLimited)
{
  struct endless_part
  {
    std::string mHead;
    std::string mFiller;
  };
  for (const endless_part& part :
       std::vector<endless_part>{ { "GET /", "a" },
                                  { "GET / HTTP/1.1\r\nX: ", "a" },
                                  { "GET / HTTP/1.1\r\n", "X: a\r\n" },
                                  { kChunkedPost, "0" },
                                  { kChunkedPost + "4;", "a" },
                                  { kChunkedPost + "4\r\nbody\r\n0;", "a" },
                                  { kChunkedPost + "0\r\nX: ", "a" },
                                  { kChunkedPost + "0\r\n", "X: a\r\n" } }) {
    const std::string response = SendWithoutEnd(part.mHead, part.mFiller);
    EXPECT_TRUE(StatusOf(response) == "HTTP/1.1 431" ||
                StatusOf(response) == "HTTP/1.1 400")
      << part.mHead << part.mFiller << ": " << response;
  }
}

// The same for responses.
TEST_F(hostile_input_test, PartsOfResponsesWithoutEndAreLimited)
{
  for (const auto& [head, filler] :
       std::vector<std::pair<std::string, std::string>>{
         { "HTTP/1.1 200 ", "a" },
         { "HTTP/1.1 200 OK\r\nX: ", "a" },
         { "HTTP/1.1 200 OK\r\n", "X: a\r\n" },
         { kChunkedResponse, "0" },
         { kChunkedResponse + "4;", "a" },
         { kChunkedResponse + "0;", "a" },
         { kChunkedResponse + "0\r\nX: ", "a" },
         { kChunkedResponse + "0\r\n", "X: a\r\n" } }) {
    std::string block;
    while (block.size() < 65536) {
      block += filler;
    }
    piece_server server({ head, block });
    server.mEndless = true;
    exchange_recorder exchange;
    Receive(server, exchange);
    EXPECT_EQ(exchange.mFailure, exchange_failure::Malformed) << head;
    EXPECT_TRUE(
      mLoop.RunUntil([&] { return server.mClosedByCaller; }, kWaitTimeout));
  }
}

// Guards against an assertion of the parser in Debug builds.
TEST_F(hostile_input_test, ChunkedMessagesMayArriveInAnyPieces)
{
  const std::string body = "4\r\nbody\r\n2;x=y\r\n.!\r\n0\r\nX: a\r\n\r\n";
  for (std::size_t first = 1; first < body.size(); ++first) {
    piece_server server(
      { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        body.substr(0, first),
        body.substr(first, 1),
        body.substr(std::min(first + 1, body.size())) });
    exchange_recorder exchange;
    Receive(server, exchange);
    EXPECT_EQ(exchange.mBody, "body.!") << first;
    EXPECT_TRUE(exchange.mComplete) << first;
  }
  const auto peer = Connect();
  peer->mStream->Write(kChunkedPost);
  for (const char byte : body) {
    peer->mStream->Write({ &byte, 1 });
    mLoop.RunUntil([] { return false; }, milliseconds(1));
  }
  EXPECT_TRUE(
    mLoop.RunUntil([&] { return peer->Count("body.!") == 1; }, kWaitTimeout));
}

// Guards against fields behind the body that pass for those of the head, such
// as a credential.
TEST_F(hostile_input_test, TrailersAreNoHeaders)
{
  Send(kChunkedPost + "4\r\nbody\r\n0\r\nAuthorization: Bearer k\r\n\r\n");
  ASSERT_EQ(mHandler.mRequests.size(), 1U);
  EXPECT_EQ(FindHeader(mHandler.mRequests[0].mHeaders, "Authorization"), "");
  EXPECT_EQ(mHandler.mRequests[0].mBody, "body");
}

// Guards against a body that is taken for the next request, because its
// framing is not understood.
TEST_F(hostile_input_test, UnknownTransferCodingsAreRefused)
{
  for (const char* coding : { "gzip",
                              "identity",
                              "deflate",
                              "gzip, chunked",
                              "chunked, gzip",
                              "" }) {
    mHandler.mRequests.clear();
    const std::string received =
      Send(fmt::format("POST /a HTTP/1.1\r\nHost: h\r\n"
                       "Transfer-Encoding: {}\r\n\r\n"
                       "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n",
                       coding));
    EXPECT_TRUE(mHandler.mRequests.empty()) << coding;
    EXPECT_TRUE(received.starts_with("HTTP/1.1 400")) << coding;
  }
}

// Guards against a head without end whose lines arrive one by one.
TEST_F(hostile_input_test, HeadsInWholeLinesAreLimited)
{
  const auto peer = Connect();
  peer->mStream->Write("GET /a HTTP/1.1\r\n");
  std::size_t sent = 0;
  loop_timer timer;
  timer.Every(milliseconds(1), [&] {
    peer->mStream->Write("Some-Name: and a value\r\n");
    sent += 24;
  });
  ASSERT_TRUE(mLoop.RunUntil([&] { return peer->Count("HTTP/1.1 431") == 1; },
                             kLongWaitTimeout));
  EXPECT_LE(sent, 2 * http_server_limits().mHeaderBytes);
}

// Guards against a stack that grows with each request that was sent behind
// another one.
TEST_F(hostile_input_test, PipelinedRequestsAreAnsweredOneByOne)
{
  constexpr unsigned kCount = 5000;
  std::string requests;
  for (unsigned i = 0; i < kCount; ++i) {
    requests += fmt::format(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n<{:04}>", i);
  }
  const auto peer = Connect();
  peer->mStream->Write(requests);
  ASSERT_TRUE(mLoop.RunUntil(
    [&] { return peer->Count("HTTP/1.1 200") == kCount; }, kWaitTimeout));
  std::size_t last = 0;
  for (unsigned i = 0; i < kCount; ++i) {
    last = peer->mReceived.find(fmt::format("<{:04}>", i), last);
    ASSERT_NE(last, std::string::npos) << i;
  }
}

// Guards against responses that grow without a bound because their client sends
// requests and never reads. No response is lost once it reads.
TEST_F(hostile_input_test, UnreadResponsesDelayTheNextRequest)
{
  // More than the kernel takes for a connection.
  constexpr unsigned kCount = 1000;
  constexpr std::size_t kBodyBytes = 8192;
  constexpr unsigned kClients = 4;
  mHandler.mBody = std::string(kBodyBytes, 'a');
  std::string requests;
  for (unsigned i = 0; i < kCount; ++i) {
    requests += "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  std::vector<std::unique_ptr<raw_peer>> peers;
  for (unsigned i = 0; i < kClients; ++i) {
    peers.push_back(Connect());
    peers.back()->mStream->SetReading(false);
    peers.back()->mStream->Write(requests);
  }
  const auto waits = [](const auto& aConnection) {
    return aConnection->AwaitsReads();
  };
  EXPECT_TRUE(mLoop.RunUntil(
    [&] {
      return mListener->Connections().size() == kClients &&
             std::ranges::all_of(mListener->Connections(), waits);
    },
    kLongWaitTimeout));
  mLoop.RunUntil([] { return false; }, milliseconds(100));
  for (const auto& connection : mListener->Connections()) {
    EXPECT_LE(connection->PendingBytes(),
              http_request_handler::kDefaultUnsentLimit + 2 * kBodyBytes);
    EXPECT_LE(connection->InputBytes(), requests.size());
  }
  peers[0]->mStream->SetReading(true);
  EXPECT_TRUE(mLoop.RunUntil(
    [&] {
      return peers[0]->mReceived.size() > kCount * kBodyBytes &&
             peers[0]->Count("HTTP/1.1 200") == kCount;
    },
    kLongWaitTimeout));
}

// Guards against a handler that is called for the next request while it still
// ends the previous one.
TEST_F(hostile_input_test, NextRequestFollowsOutsideOfTheResponse)
{
  mHandler.mResponds = false;
  const auto peer = Connect();
  peer->mStream->Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                       "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(mLoop.RunUntil([&] { return mHandler.mRequests.size() == 1; },
                             kWaitTimeout));
  mHandler.mConnection->Respond({}, "1");
  EXPECT_EQ(mHandler.mRequests.size(), 1U);
  EXPECT_TRUE(mLoop.RunUntil([&] { return mHandler.mRequests.size() == 2; },
                             kWaitTimeout));
}

// A request that cannot be held is refused by its length, before its body is
// sent; the response reaches a client that sends on.
TEST_F(hostile_input_test, BodiesThatCannotBeHeldAreRefused)
{
  mHandler.mMaxHeld = 100'000;
  const std::string announced =
    Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n");
  EXPECT_EQ(StatusOf(announced), "HTTP/1.1 503");
  const auto peer = Connect();
  peer->mStream->Write(kChunkedPost);
  const std::string chunk =
    fmt::format("{:x}\r\n", 50'000) + std::string(50'000, 'a') + "\r\n";
  std::size_t held = 0;
  for (int i = 0; i < 10; ++i) {
    peer->mStream->Write(chunk);
    mLoop.RunUntil([] { return false; }, milliseconds(5));
    for (const auto& connection : mListener->Connections()) {
      held = std::max(held, connection->InputBytes());
    }
  }
  EXPECT_TRUE(
    mLoop.RunUntil([&] { return peer->mEnd.has_value(); }, kWaitTimeout));
  EXPECT_EQ(StatusOf(peer->mReceived), "HTTP/1.1 503");
  EXPECT_EQ(peer->mEnd, tcp_end_reason::Finished);
  EXPECT_LE(held, mHandler.mMaxHeld);
  EXPECT_TRUE(mHandler.mRequests.empty());
  EXPECT_EQ(StatusOf(Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")),
            "HTTP/1.1 200");
}

// Guards against an exception that ends the process instead of one connection.
TEST_F(hostile_input_test, ExceptionsEndTheirConnectionOnly)
{
  const auto failuresBefore = CallbackFailures();
  mHandler.mResponds = false;
  const auto other = Connect();
  other->mStream->Write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(mLoop.RunUntil([&] { return mHandler.mRequests.size() == 1; },
                             kWaitTimeout));
  http_server_connection* const open = mHandler.mConnection;
  const auto peer = Connect();
  peer->mStream->Write("GET /throw HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(
    mLoop.RunUntil([&] { return peer->mEnd.has_value(); }, kWaitTimeout));
  EXPECT_EQ(CallbackFailures(), failuresBefore + 1);
  open->Respond({}, "served");
  EXPECT_TRUE(
    mLoop.RunUntil([&] { return other->Count("served") == 1; }, kWaitTimeout));
  loop_timer timer;
  timer.Once(milliseconds(1), [] { throw std::runtime_error("timer failed"); });
  EXPECT_TRUE(mLoop.RunUntil(
    [&] { return CallbackFailures() == failuresBefore + 2; }, kWaitTimeout));
}

// Guards against a null pointer when a connection cannot be opened, as when no
// descriptor is left. Here the kernel refuses the broadcast address.
TEST_F(hostile_input_test, RequestsOnUnopenedConnectionsAreNotSent)
{
  const tcp_address broadcast{ "127.255.255.255", 80 };
  http_client_connection client(broadcast, {});
  ASSERT_TRUE(client.Closed());
  exchange_recorder exchange;
  client.Start("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", {}, false, exchange);
  EXPECT_FALSE(exchange.Ended());
  EXPECT_TRUE(mLoop.RunUntil([&] { return exchange.Ended(); }, kWaitTimeout));
  EXPECT_EQ(exchange.mFailure, exchange_failure::NotSent);
}
