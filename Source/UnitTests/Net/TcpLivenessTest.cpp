#include <gtest/gtest.h>

#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <sys/socket.h>

#include "Common/EventLoop.h"
#include "Net/TcpStream.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout(8000);

/// Records the events of a stream.
class recording_observer final : public tcp_observer
{
public:
  void OnData(std::string_view aBytes) override { mBytes += aBytes.size(); }
  void OnEnd(tcp_end_reason aReason) override { mEnd = aReason; }

  std::size_t mBytes = 0;
  std::optional<tcp_end_reason> mEnd;
};

int Option(int aDescriptor, int aLevel, int aName)
{
  int value = 0;
  socklen_t size = sizeof value;
  EXPECT_EQ(getsockopt(aDescriptor, aLevel, aName, &value, &size), 0);
  return value;
}

/// A stream to a peer that reads only when told to.
class tcp_liveness_test
  : public testing::Test
  , private tcp_listener::acceptor
{
protected:
  void Connect(milliseconds aPeerTimeout)
  {
    std::string error;
    mListener = tcp_listener::Listen({ "127.0.0.1", 0 }, *this, error);
    ASSERT_TRUE(mListener) << error;
    mStream =
      tcp_stream::Connect(mListener->Address(), { aPeerTimeout }, mObserver);
    ASSERT_TRUE(RunUntil([this] { return mPeer && mStream->Connected(); }));
  }

  void OnAccept(int aDescriptor) override
  {
    mPeer = tcp_stream::Adopt(aDescriptor, {}, mPeerObserver);
    mPeer->SetReading(false);
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    return mLoop.RunUntil(aCondition, kWaitTimeout);
  }

  event_loop mLoop;
  recording_observer mObserver;
  recording_observer mPeerObserver;
  std::unique_ptr<tcp_listener> mListener;
  std::shared_ptr<tcp_stream> mStream;
  std::shared_ptr<tcp_stream> mPeer;
};

} // namespace

// Guards against a connection that breaks because its peer is silent for a
// second and takes nothing, as a sound server may.
TEST_F(tcp_liveness_test, ShortSilencesKeepTheConnection)
{
  Connect(milliseconds(3000));
  // More than the buffers of both ends take.
  const std::string bytes(8000000, 'b');
  mStream->Write(bytes);
  mLoop.RunUntil([] { return false; }, milliseconds(1500));
  EXPECT_FALSE(mObserver.mEnd);
  mPeer->SetReading(true);
  EXPECT_TRUE(RunUntil([&] { return mPeerObserver.mBytes == bytes.size(); }));
  EXPECT_FALSE(mObserver.mEnd);
}

// Guards against connections to a peer that answers its probes and has nothing
// to send, which break once the timeout for unacknowledged bytes has passed.
TEST_F(tcp_liveness_test, IdleConnectionsLiveOn)
{
  Connect(milliseconds(1500));
  mLoop.RunUntil([] { return false; }, milliseconds(4000));
  EXPECT_FALSE(mObserver.mEnd);
  mStream->Write("b");
  mPeer->SetReading(true);
  EXPECT_TRUE(RunUntil([&] { return mPeerObserver.mBytes == 1; }));
}

// Guards against keep-alive probes that give up before a sound peer can answer
// one: the timeout for unacknowledged bytes also limits the probes, whatever
// their count.
TEST(tcp_liveness_options_test, ProbesAreSentWellBeforeTheTimeout)
{
  for (const int timeout : { 1500, 2000, 3000 }) {
    int pair = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_GE(pair, 0);
    recording_observer observer;
    const auto stream =
      tcp_stream::Adopt(pair, { milliseconds(timeout) }, observer);
    EXPECT_EQ(Option(pair, IPPROTO_TCP, TCP_USER_TIMEOUT), timeout);
    EXPECT_EQ(Option(pair, SOL_SOCKET, SO_KEEPALIVE), 1);
    const int firstProbe = 1000 * Option(pair, IPPROTO_TCP, TCP_KEEPIDLE);
    const int interval = 1000 * Option(pair, IPPROTO_TCP, TCP_KEEPINTVL);
    const int count = Option(pair, IPPROTO_TCP, TCP_KEEPCNT);
    EXPECT_LE(firstProbe, timeout - 500);
    EXPECT_GE(firstProbe + interval * count, timeout);
    // A dead peer is noticed soon after the timeout.
    EXPECT_LE(interval, 1000);
  }
}
