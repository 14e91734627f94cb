#include <fmt/format.h>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

/// Bytes that a server may send before its caller closes: what the buffers of
/// two sockets hold, several times the limits of the gateway.
constexpr std::size_t kMaxAcceptedBytes = 24'000'000;

/// A server that sends a response and then the same bytes without end.
class endless_server final
  : private tcp_listener::acceptor
  , private tcp_observer
{
public:
  endless_server(std::string aHead, const std::string& aFiller)
    : mHead(std::move(aHead))
  {
    while (mFiller.size() < 65536) {
      mFiller += aFiller;
    }
    std::string error;
    mListener = tcp_listener::Listen({ "127.0.0.1", 0 }, *this, error);
  }

  std::string Address() const { return FormatTcpAddress(mListener->Address()); }

  std::size_t mSent = 0;
  bool mClosedByCaller = false;

private:
  void OnAccept(int aDescriptor) override
  {
    mStream = tcp_stream::Adopt(aDescriptor, {}, *this);
  }
  void OnData(std::string_view) override
  {
    mStream->Write(mHead);
    mTimer.Every(milliseconds(1), [this] {
      for (int i = 0; i < 8 && mStream && mStream->PendingBytes() == 0; ++i) {
        mStream->Write(mFiller);
        mSent += mFiller.size();
      }
    });
  }
  void OnEnd(tcp_end_reason) override
  {
    mClosedByCaller = true;
    mTimer.Cancel();
  }

  std::unique_ptr<tcp_listener> mListener;
  std::shared_ptr<tcp_stream> mStream;
  std::string mHead;
  std::string mFiller;
  loop_timer mTimer;
};

/// A response head for request `r1` with further header lines.
std::string Head(const std::string& aStatus, const std::string& aHeaders)
{
  return fmt::format("HTTP/1.1 {}\r\nLentilswitch-Request-Id: r1\r\n"
                     "Lentilswitch-Server-Stamp: stamp\r\n{}\r\n",
                     aStatus,
                     aHeaders);
}

class endless_response_test : public gateway_fixture
{
protected:
  void AddEndlessServer(const std::string& aService,
                        const std::string& aHead,
                        const std::string& aFiller)
  {
    mServer = std::make_unique<endless_server>(aHead, aFiller);
    mStore.Put(
      { "servers", "", "i-endless" },
      fmt::format(R"({{"service":"{}","address":"{}","zone":"z1","slots":8,)"
                  R"("version":"v1","state":"ready","seq":1,"born":1}})",
                  aService,
                  mServer->Address()));
    StartNode();
  }

  /// The request must end well before its timeout of 800 ms or 2 s, and the
  /// server must be free again.
  std::unique_ptr<client_exchange> ExpectEarlyEnd(const std::string& aPath)
  {
    auto exchange = BeginRequest("POST",
                                 aPath,
                                 "Lentilswitch-Token-Counts: 100,50\r\n"
                                 "Lentilswitch-Prompt-Prefix: aa:60,bb:40\r\n",
                                 "b");
    EXPECT_TRUE(
      mLoop.RunUntil([&] { return exchange->Ended(); }, milliseconds(600)));
    EXPECT_TRUE(mLoop.RunUntil([&] { return mServer->mClosedByCaller; },
                               milliseconds(200)));
    EXPECT_LE(mServer->mSent, kMaxAcceptedBytes);
    return exchange;
  }

  std::unique_ptr<endless_server> mServer;
};

} // namespace

// Guards against a response head without end that fills the memory.
TEST_F(endless_response_test, HeadsAreLimited)
{
  AddEndlessServer("app", "HTTP/1.1 200 OK\r\nX: ", "a");
  EXPECT_EQ(ExpectEarlyEnd("/o/x")->mResponse.mStatus, 502U);
}

// Guards against interim responses without end that keep a server busy.
TEST_F(endless_response_test, InterimResponsesAreLimited)
{
  AddEndlessServer("app", "", "HTTP/1.1 100 Continue\r\n\r\n");
  EXPECT_EQ(ExpectEarlyEnd("/o/x")->mResponse.mStatus, 502U);
}

// Guards against an event without end, which is kept until it is whole.
TEST_F(endless_response_test, EventsAreLimited)
{
  AddEndlessServer(
    "engine", Head("200 OK", "Content-Type: text/event-stream\r\n"), "data: a");
  EXPECT_EQ(ExpectEarlyEnd("/s/x")->mResponse.mStatus, 502U);
}

// Guards against events without end, more than the request allows tokens.
TEST_F(endless_response_test, TheNumberOfEventsIsLimited)
{
  AddEndlessServer("engine",
                   Head("200 OK", "Content-Type: text/event-stream\r\n"),
                   "data: a\n\n");
  const auto exchange = ExpectEarlyEnd("/s/x");
  EXPECT_TRUE(exchange->mResponse.mStatus == 502U || !exchange->mComplete);
}

// Guards against a refusal whose body never ends: the head said all that is
// needed.
TEST_F(endless_response_test, RefusalsNeedNoBody)
{
  AddEndlessServer(
    "app", Head("503 Full", "Lentilswitch-Not-Executed: 1\r\n"), "a");
  EXPECT_EQ(ExpectEarlyEnd("/o/x")->mResponse.mStatus, 503U);
}

// Guards against the body of another request's response that is read until the
// timeout.
TEST_F(endless_response_test, DiscardedResponsesAreLimited)
{
  AddEndlessServer("app",
                   "HTTP/1.1 200 OK\r\nLentilswitch-Request-Id: other\r\n"
                   "Lentilswitch-Server-Stamp: stamp\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n",
                   "4\r\naaaa\r\n");
  EXPECT_EQ(ExpectEarlyEnd("/o/x")->mResponse.mStatus, 502U);
}

// Guards against a body that is read faster than the client takes it.
TEST_F(endless_response_test, BodiesWaitForTheClient)
{
  AddEndlessServer("app", Head("200 OK", ""), "a");
  const auto exchange = BeginRequest("POST", "/o/x", {}, "b");
  RunFor(milliseconds(100));
  exchange->mConnection->SetReading(false);
  RunFor(milliseconds(200));
  const std::size_t sent = mServer->mSent;
  RunFor(milliseconds(300));
  EXPECT_LE(mServer->mSent - sent, kMaxAcceptedBytes);
  // The timeout of the route ends it.
  EXPECT_TRUE(RunUntil([&] { return mServer->mClosedByCaller; }));
}
