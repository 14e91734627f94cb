#include <gtest/gtest.h>

#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "Common/EventLoop.h"
#include "Net/HttpListener.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout(3000);

/// Responds with the body of the request and `!`, or does not respond.
class echo_handler final : public http_request_handler
{
public:
  void OnRequest(http_server_connection& aConnection,
                 http_server_request aRequest) override
  {
    mRequests.push_back(aRequest);
    mConnection = &aConnection;
    if (mResponds) {
      aConnection.Respond({}, aRequest.mBody + "!");
    }
  }
  void OnClientDisconnected(http_server_connection&) override
  {
    mClientGone = true;
  }
  void OnClientDrained(http_server_connection&) override {}
  void OnConnectionClosed(http_server_connection&) override { mClosed = true; }

  std::vector<http_server_request> mRequests;
  http_server_connection* mConnection = nullptr;
  bool mResponds = true;
  bool mClientGone = false;
  bool mClosed = false;
};

/// Records the response to one request.
class response_recorder final : public http_client_exchange_observer
{
public:
  bool OnResponse(http_client_connection&,
                  http_client_response aResponse) override
  {
    if (!mId.empty() && FindHeader(aResponse.mHeaders, "Id") != mId) {
      return false;
    }
    mResponse = aResponse;
    if (mDiscardNextResponse) {
      mDiscardNextResponse = false;
      return false;
    }
    return true;
  }
  void OnBody(std::string_view aBytes) override { mBody.append(aBytes); }
  void OnComplete(bool aReusable) override
  {
    mComplete = true;
    mReusable = aReusable;
  }
  void OnExchangeFailed(exchange_failure aFailure) override
  {
    mFailure = aFailure;
  }
  bool Ended() const { return mComplete || mFailure.has_value(); }

  http_client_response mResponse;
  std::string mBody;
  bool mComplete = false;
  bool mReusable = false;
  bool mDiscardNextResponse = false;
  /// If set, responses with another identity are discarded.
  std::string mId;
  std::optional<exchange_failure> mFailure;
};

/// A server that sends fixed bytes whenever it receives data.
class raw_server final
  : private tcp_listener::acceptor
  , private tcp_observer
{
public:
  explicit raw_server(std::string aBytes)
    : mBytes(std::move(aBytes))
  {
    std::string error;
    mListener = tcp_listener::Listen({ "127.0.0.1", 0 }, *this, error);
  }
  const tcp_address& Address() const { return mListener->Address(); }
  std::shared_ptr<tcp_stream> mStream;
  bool mResetAfter = false;
  bool mCloseAfter = false;
  std::string mReceived;
  std::optional<tcp_end_reason> mEnd;

private:
  void OnAccept(int aDescriptor) override
  {
    mStream = tcp_stream::Adopt(aDescriptor, {}, *this);
  }
  void OnData(std::string_view aBytes) override
  {
    mReceived.append(aBytes);
    mStream->Write(mBytes);
    if (mCloseAfter) {
      mStream->CloseAfterDrain();
    }
    if (mResetAfter) {
      mStream->Reset();
    }
  }
  void OnEnd(tcp_end_reason aReason) override { mEnd = aReason; }

  std::string mBytes;
  std::unique_ptr<tcp_listener> mListener;
};

const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

class http_connection_test : public testing::Test
{
protected:
  void SetUp() override
  {
    std::string error;
    mListener =
      http_listener::Listen({ "127.0.0.1", 0 }, mHandler, mTime, error);
    ASSERT_TRUE(mListener) << error;
  }

  /// Sends a request and waits for its end; false on a timeout.
  bool Get(http_client_connection& aClient, response_recorder& aObserver)
  {
    aClient.Start(kGet, {}, false, aObserver);
    return mLoop.RunUntil([&] { return aObserver.Ended(); }, kWaitTimeout);
  }

  /// Sends bytes over a plain socket and returns what the server sends until it
  /// closes the connection or 200 ms have passed.
  std::string Exchange(const std::string& aBytes)
  {
    struct collector final : tcp_observer
    {
      void OnData(std::string_view aData) override { mText.append(aData); }
      void OnEnd(tcp_end_reason) override { mEnded = true; }
      std::string mText;
      bool mEnded = false;
    } collected;
    const auto stream =
      tcp_stream::Connect(mListener->Address(), {}, collected);
    stream->Write(aBytes);
    mLoop.RunUntil([&] { return collected.mEnded; }, milliseconds(200));
    stream->Close();
    return collected.mText;
  }

  event_loop mLoop;
  system_time_source mTime;
  echo_handler mHandler;
  std::unique_ptr<http_listener> mListener;
};

} // namespace

// Guards against a new connection for each request.
TEST_F(http_connection_test, ExchangesRequestsOnOneConnection)
{
  http_client_connection client(mListener->Address(), {});
  for (int i = 0; i < 3; ++i) {
    response_recorder observer;
    client.Start("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n",
                 "abc",
                 false,
                 observer);
    ASSERT_TRUE(mLoop.RunUntil([&] { return observer.Ended(); }, kWaitTimeout));
    EXPECT_TRUE(observer.mComplete);
    EXPECT_TRUE(observer.mReusable);
    EXPECT_EQ(observer.mBody, "abc!");
  }
  EXPECT_EQ(mListener->Open(), 1U);
}

// Guards against an overloaded host that leaves new connections unanswered,
// drops open ones, or does not listen at the same address again.
TEST_F(http_connection_test, RefusesConnectionsWhilePaused)
{
  const tcp_address address = mListener->Address();
  http_client_connection open(address, {});
  response_recorder first;
  ASSERT_TRUE(Get(open, first));
  std::string error;
  ASSERT_TRUE(mListener->SetAccepting(false, error));
  http_client_connection refused(address, {});
  response_recorder second;
  refused.Start(kGet, {}, false, second);
  response_recorder third;
  open.Start(kGet, {}, false, third);
  ASSERT_TRUE(mLoop.RunUntil([&] { return second.Ended() && third.Ended(); },
                             kWaitTimeout));
  EXPECT_EQ(second.mFailure, exchange_failure::NotSent);
  EXPECT_TRUE(third.mComplete);
  ASSERT_TRUE(mListener->SetAccepting(true, error)) << error;
  EXPECT_EQ(mListener->Address(), address);
  http_client_connection later(address, {});
  response_recorder fourth;
  ASSERT_TRUE(Get(later, fourth));
  EXPECT_TRUE(fourth.mComplete);
}

// Guards against a request that is sent again when a reused connection breaks,
// as libsoup sessions do. It might run twice.
TEST_F(http_connection_test, NeverSendsARequestTwice)
{
  raw_server server("");
  server.mResetAfter = true;
  http_client_connection client(server.Address(), {});
  response_recorder observer;
  ASSERT_TRUE(Get(client, observer));
  EXPECT_EQ(observer.mFailure, exchange_failure::NoResponse);
  EXPECT_EQ(server.mReceived, kGet);
}

// Guards against writes to the store that are lost when the process ends while
// they are under way, and against requests to servers that are still sent after
// they were given up.
TEST_F(http_connection_test, OnlyResetDropsWhatWasWritten)
{
  for (const bool reset : { false, true }) {
    raw_server server("");
    http_client_connection client(server.Address(), {});
    response_recorder observer;
    client.Start(kGet, {}, false, observer);
    ASSERT_TRUE(
      mLoop.RunUntil([&] { return server.mReceived == kGet; }, kWaitTimeout));
    if (reset) {
      client.Reset();
    } else {
      client.Cancel();
    }
    ASSERT_TRUE(
      mLoop.RunUntil([&] { return server.mEnd.has_value(); }, kWaitTimeout));
    EXPECT_EQ(*server.mEnd,
              reset ? tcp_end_reason::Broken : tcp_end_reason::Finished);
  }
}

// Guards against a refused connection reported as if the request might have
// been sent, so that it would not be tried elsewhere.
TEST_F(http_connection_test, ReportsNotSentWhenConnectingFails)
{
  std::string error;
  tcp_address closed;
  {
    const auto listener =
      http_listener::Listen({ "127.0.0.1", 0 }, mHandler, mTime, error);
    closed = listener->Address();
  }
  http_client_connection client(closed, {});
  response_recorder observer;
  ASSERT_TRUE(Get(client, observer));
  EXPECT_EQ(observer.mFailure, exchange_failure::NotSent);
}

// Guards against a truncated response taken for a complete one.
TEST_F(http_connection_test, TruncatedBodyIsNotComplete)
{
  raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  server.mCloseAfter = true;
  http_client_connection client(server.Address(), {});
  response_recorder observer;
  ASSERT_TRUE(Get(client, observer));
  EXPECT_EQ(observer.mFailure, exchange_failure::Truncated);
}

TEST_F(http_connection_test, BodyWithoutLengthEndsWithTheConnection)
{
  raw_server server("HTTP/1.1 200 OK\r\n\r\nabc");
  server.mCloseAfter = true;
  http_client_connection client(server.Address(), {});
  response_recorder observer;
  ASSERT_TRUE(Get(client, observer));
  EXPECT_TRUE(observer.mComplete);
  EXPECT_FALSE(observer.mReusable);
  EXPECT_EQ(observer.mResponse.mFraming, body_framing::UntilClose);
  EXPECT_EQ(observer.mBody, "abc");
}

// Guards against a second response of a faulty server taken for the response to
// the next request.
TEST_F(http_connection_test, ConnectionWithExtraBytesIsNotReused)
{
  raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
  http_client_connection client(server.Address(), {});
  response_recorder observer;
  ASSERT_TRUE(Get(client, observer));
  EXPECT_TRUE(observer.mComplete);
  EXPECT_FALSE(observer.mReusable);
  EXPECT_EQ(observer.mBody, "a");
}

// Guards against a late response to an earlier request taken for the response
// to the current one.
TEST_F(http_connection_test, DiscardsResponseToEarlierRequest)
{
  raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
  http_client_connection client(server.Address(), {});
  response_recorder observer;
  observer.mDiscardNextResponse = true;
  ASSERT_TRUE(Get(client, observer));
  EXPECT_TRUE(observer.mComplete);
  EXPECT_EQ(observer.mBody, "b");
}

// Guards against a response to an earlier request that breaks off within its
// head and goes on with the next response: it would have the status of the one
// and the identity of the other.
TEST_F(http_connection_test, TornHeadDoesNotGoOnWithTheNext)
{
  for (const std::string id : { "", "Id: r1\r\n" }) {
    for (const std::string interim : { "", "HTTP/1.1 100 Continue\r\n\r\n" }) {
      const std::string torn =
        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + id +
        "Content-Length: 4\r\nRetry-After: 3\r\n\r\nfull";
      for (std::size_t cut = 0; cut <= torn.size(); ++cut) {
        SCOPED_TRACE(torn.substr(0, cut));
        raw_server server(interim + torn.substr(0, cut) +
                          "HTTP/1.1 200 OK\r\nId: r2\r\n"
                          "Content-Length: 6\r\n\r\nsecond");
        server.mCloseAfter = true;
        http_client_connection client(server.Address(), {});
        response_recorder observer;
        observer.mId = "r2";
        ASSERT_TRUE(Get(client, observer));
        const bool whole = cut == 0 || cut == torn.size();
        EXPECT_EQ(observer.mResponse.mStatus, whole ? 200U : 0U);
        EXPECT_EQ(observer.mBody, whole ? "second" : "");
      }
    }
  }
}

// Guards against a response that is taken for complete although its server
// stopped within it, at whichever byte and by whichever end of the connection.
TEST_F(http_connection_test, ResponseIsCompleteOnlyWithItsLastByte)
{
  struct framed_response
  {
    std::string mHead;
    std::string mBody;
    bool mEndsWithConnection = false;
  };
  const std::vector<framed_response> responses = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: r1\r\n\r\n",
      "twelve bytes" },
    { "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 12\r\n\r\n",
      "twelve bytes" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: r1\r\n\r\n", "" },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Content-Length: 1\r\n\r\n",
      "a" },
    { "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
      "Content-Length: 4\r\nRetry-After: 3\r\n\r\n",
      "full" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "1a\r\nabcdefghijklmnopqrstuvwxyz\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n" },
    { "HTTP/1.0 200 OK\r\nId: r1\r\n\r\n", "abc", true },
    { "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", "abc", true },
  };
  for (const framed_response& response : responses) {
    const std::string bytes = response.mHead + response.mBody;
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
      SCOPED_TRACE(bytes.substr(0, cut));
      raw_server server(bytes.substr(0, cut));
      server.mCloseAfter = true;
      http_client_connection client(server.Address(), {});
      response_recorder observer;
      ASSERT_TRUE(Get(client, observer));
      // Without length, the end of the connection is all that is known.
      const bool whole = response.mEndsWithConnection
                           ? cut >= response.mHead.size()
                           : cut == bytes.size();
      EXPECT_EQ(observer.mComplete, whole);
      EXPECT_EQ(observer.mFailure.has_value(), !whole);
      if (cut < response.mHead.size()) {
        EXPECT_EQ(observer.mFailure, exchange_failure::NoResponse);
      }
      if (whole) {
        EXPECT_EQ(observer.mResponse.mFraming == body_framing::UntilClose,
                  response.mEndsWithConnection);
      }
    }
  }
}

// Guards against sound responses that are taken for torn ones.
TEST_F(http_connection_test, ProtocolNamesInHeadersAreNoTornHead)
{
  raw_server server("HTTP/1.1 426 HTTP/1.1 needed\r\nUpgrade: HTTP/2.0\r\n"
                    "Via: HTTP/1.1 proxy 200, HTTP/1.0 \r\n"
                    "Content-Length: 1\r\n\r\na");
  http_client_connection client(server.Address(), {});
  response_recorder observer;
  ASSERT_TRUE(Get(client, observer));
  EXPECT_TRUE(observer.mComplete);
  EXPECT_EQ(observer.mResponse.mStatus, 426U);
}

TEST_F(http_connection_test, NonHttpResponseIsMalformed)
{
  raw_server server("nonsense\r\n\r\n");
  http_client_connection client(server.Address(), {});
  response_recorder observer;
  ASSERT_TRUE(Get(client, observer));
  EXPECT_EQ(observer.mFailure, exchange_failure::Malformed);
}

TEST_F(http_connection_test, DecodesChunkedResponses)
{
  raw_server server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  http_client_connection client(server.Address(), {});
  response_recorder observer;
  ASSERT_TRUE(Get(client, observer));
  EXPECT_TRUE(observer.mComplete);
  EXPECT_TRUE(observer.mReusable);
  EXPECT_EQ(observer.mBody, "abcde");
}

// Guards against request smuggling by contradicting length headers (RFC 9112,
// section 6.3).
TEST_F(http_connection_test, RefusesContradictingLengths)
{
  const std::string response = Exchange(
    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /y HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << response;
  EXPECT_TRUE(mHandler.mRequests.empty());
}

// Guards against a request header that grows without bound.
TEST_F(http_connection_test, RefusesLongHeader)
{
  const std::string response = Exchange(
    "GET /x HTTP/1.1\r\nHost: h\r\nA: " + std::string(20000, 'a') + "\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 431")) << response;
}

// Guards against a request body that grows without bound.
TEST_F(http_connection_test, RefusesLongBody)
{
  const std::string response =
    Exchange("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 413")) << response;
}

TEST_F(http_connection_test, SendsContinueWhenExpected)
{
  const std::string response =
    Exchange("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
             "Expect: 100-continue\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 100")) << response;
}

TEST_F(http_connection_test, ServesPipelinedRequestsInOrder)
{
  const std::string response = Exchange(kGet + kGet);
  EXPECT_EQ(mHandler.mRequests.size(), 2U);
  EXPECT_NE(response.find("HTTP/1.1 200", 10), std::string::npos);
}

// Guards against work that goes on for a client that has disconnected.
TEST_F(http_connection_test, NoticesClientDisconnect)
{
  mHandler.mResponds = false;
  response_recorder observer;
  {
    http_client_connection client(mListener->Address(), {});
    client.Start(kGet, {}, false, observer);
    ASSERT_TRUE(mLoop.RunUntil([&] { return !mHandler.mRequests.empty(); },
                               kWaitTimeout));
  }
  EXPECT_TRUE(
    mLoop.RunUntil([&] { return mHandler.mClientGone; }, kWaitTimeout));
  EXPECT_TRUE(mHandler.mClosed);
}

// Guards against an aborted response taken for a complete one.
TEST_F(http_connection_test, AbortedResponseIsNotComplete)
{
  mHandler.mResponds = false;
  http_client_connection client(mListener->Address(), {});
  response_recorder observer;
  client.Start(kGet, {}, false, observer);
  ASSERT_TRUE(
    mLoop.RunUntil([&] { return !mHandler.mRequests.empty(); }, kWaitTimeout));
  http_server_response head;
  head.mFraming = body_framing::Chunked;
  mHandler.mConnection->StartResponse(head);
  mHandler.mConnection->WriteBody("part");
  ASSERT_TRUE(
    mLoop.RunUntil([&] { return observer.mBody == "part"; }, kWaitTimeout));
  mHandler.mConnection->Abort();
  ASSERT_TRUE(mLoop.RunUntil([&] { return observer.Ended(); }, kWaitTimeout));
  EXPECT_EQ(observer.mFailure, exchange_failure::Truncated);
}

// Guards against clients that hold connections open without complete requests.
TEST_F(http_connection_test, ClosesIdleAndSlowConnections)
{
  http_server_limits limits;
  limits.mIdleTimeout = milliseconds(50);
  limits.mHeaderTimeout = milliseconds(50);
  mListener->SetLimits(limits);
  loop_timer timer;
  timer.Every(milliseconds(20),
              [&] { mListener->CheckDeadlines(mTime.Now()); });
  EXPECT_TRUE(Exchange("GET /x HT").starts_with("HTTP/1.1 408"));
  EXPECT_EQ(Exchange(""), "");
  EXPECT_EQ(mListener->Open(), 0U);
}
