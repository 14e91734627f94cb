#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "Common/EventLoop.h"
#include "Net/HttpConnection.h"
#include "Net/TcpStream.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout(3000);
// More than the kernel takes while the peer does not read.
constexpr std::size_t kUnsentBytes = 16'000'000;

/// A peer that accepts a connection and does not read it.
class silent_peer final : private tcp_listener::acceptor
{
public:
  silent_peer()
  {
    std::string error;
    mListener = tcp_listener::Listen({ "127.0.0.1", 0 }, *this, error);
  }
  ~silent_peer() override
  {
    if (mDescriptor >= 0) {
      close(mDescriptor);
    }
  }
  const tcp_address& Address() const { return mListener->Address(); }
  bool Accepted() const { return mDescriptor >= 0; }

  void Send(const std::string& aBytes) const
  {
    EXPECT_EQ(send(mDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(aBytes.size()));
  }
  void Reset()
  {
    const linger option{ .l_onoff = 1, .l_linger = 0 };
    EXPECT_EQ(
      setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option),
      0);
    close(std::exchange(mDescriptor, -1));
  }
  /// Ends its side in an orderly way.
  void Finish() const { EXPECT_EQ(shutdown(mDescriptor, SHUT_WR), 0); }

private:
  void OnAccept(int aDescriptor) override { mDescriptor = aDescriptor; }

  std::unique_ptr<tcp_listener> mListener;
  int mDescriptor = -1;
};

class end_recorder final : public tcp_observer
{
public:
  void OnData(std::string_view aBytes) override { mReceived.append(aBytes); }
  void OnEnd(tcp_end_reason aReason) override { mEnd = aReason; }

  std::string mReceived;
  std::optional<tcp_end_reason> mEnd;
};

class exchange_recorder final : public http_client_exchange_observer
{
public:
  bool OnResponse(http_client_connection&,
                  http_client_response aResponse) override
  {
    mResponse = std::move(aResponse);
    return true;
  }
  void OnBody(std::string_view aBytes) override { mBody.append(aBytes); }
  void OnComplete(bool) override { mComplete = true; }
  void OnExchangeFailed(exchange_failure aFailure) override
  {
    mFailure = aFailure;
  }
  bool Ended() const { return mComplete || mFailure; }

  http_client_response mResponse;
  std::string mBody;
  bool mComplete = false;
  std::optional<exchange_failure> mFailure;
};

class broken_connection_test : public testing::Test
{
protected:
  template<typename Condition>
  bool RunUntil(Condition aCondition)
  {
    return mLoop.RunUntil(aCondition, kWaitTimeout);
  }
  /// Sends a request that is still being written when the peer has sent the
  /// bytes and resets the connection, or finishes its side.
  void Exchange(exchange_recorder& aRecorder,
                const std::string& aBytes,
                bool aResets)
  {
    silent_peer peer;
    http_client_connection connection(peer.Address(), {});
    connection.Start(
      fmt::format("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
                  kUnsentBytes),
      std::string(kUnsentBytes, 'x'),
      false,
      aRecorder);
    ASSERT_TRUE(RunUntil([&] {
      return peer.Accepted() && connection.Connected() &&
             connection.PendingBytes() < kUnsentBytes;
    }));
    peer.Send(aBytes);
    if (aResets) {
      peer.Reset();
    } else {
      peer.Finish();
    }
    ASSERT_TRUE(RunUntil([&] { return aRecorder.Ended(); }));
  }

  event_loop mLoop;
};

} // namespace

// Guards against a failed write that takes the error of the connection, after
// which the kernel reports an orderly end.
TEST_F(broken_connection_test, ResetWhileWritingIsNoOrderlyEnd)
{
  silent_peer peer;
  end_recorder recorder;
  const auto stream = tcp_stream::Connect(peer.Address(), {}, recorder);
  ASSERT_TRUE(RunUntil([&] { return peer.Accepted() && stream->Connected(); }));
  stream->Write(std::string(kUnsentBytes, 'x'));
  ASSERT_GT(stream->PendingBytes(), 0U);
  peer.Send("part");
  peer.Reset();
  ASSERT_TRUE(RunUntil([&] { return recorder.mEnd.has_value(); }));
  EXPECT_EQ(recorder.mEnd, tcp_end_reason::Broken);
}

// The same for a write that fails before the loop has seen the reset.
TEST_F(broken_connection_test, ResetBeforeAWriteIsNoOrderlyEnd)
{
  silent_peer peer;
  end_recorder recorder;
  const auto stream = tcp_stream::Connect(peer.Address(), {}, recorder);
  ASSERT_TRUE(RunUntil([&] { return peer.Accepted() && stream->Connected(); }));
  peer.Send("part");
  peer.Reset();
  stream->Write("more");
  ASSERT_TRUE(RunUntil([&] { return recorder.mEnd.has_value(); }));
  EXPECT_EQ(recorder.mEnd, tcp_end_reason::Broken);
}

// Guards against a part of a body that is taken for the whole.
TEST_F(broken_connection_test, ResponseWithoutLengthThatEndsByAResetIsTruncated)
{
  exchange_recorder recorder;
  Exchange(recorder, "HTTP/1.1 200 OK\r\n\r\npart", true);
  EXPECT_FALSE(recorder.mComplete);
  EXPECT_TRUE(recorder.mFailure.has_value());
}

TEST_F(broken_connection_test, ResponseWithoutLengthThatEndsInOrderIsComplete)
{
  exchange_recorder recorder;
  Exchange(recorder, "HTTP/1.1 200 OK\r\n\r\nwhole", false);
  EXPECT_TRUE(recorder.mComplete);
  EXPECT_EQ(recorder.mBody, "whole");
}

TEST_F(broken_connection_test, StatusOutOfRangeIsMalformed)
{
  for (const char* status : { "000", "099", "600", "999" }) {
    exchange_recorder recorder;
    Exchange(
      recorder,
      fmt::format("HTTP/1.1 {} X\r\nContent-Length: 2\r\n\r\nok", status),
      false);
    EXPECT_EQ(recorder.mFailure, exchange_failure::Malformed) << status;
    EXPECT_FALSE(recorder.mComplete) << status;
  }
}

TEST_F(broken_connection_test, FieldNamesThatAreNoTokensAreMalformed)
{
  for (const std::string& line : { std::string("A b: 1"),
                                   std::string("A\x01: 1"),
                                   std::string("A\tb: 1"),
                                   std::string("A\x7f: 1"),
                                   std::string("A : 1"),
                                   std::string("A\0b: 1", 6),
                                   std::string(": 1") }) {
    exchange_recorder recorder;
    Exchange(
      recorder,
      fmt::format("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{}\r\n\r\nok", line),
      false);
    EXPECT_EQ(recorder.mFailure, exchange_failure::Malformed) << line;
  }
}
