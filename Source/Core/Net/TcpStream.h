#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>

#include <glib.h>

#include "Common/EventLoop.h"
#include "Net/DescriptorWatch.h"
#include "Net/TcpSendState.h"

/// IPv4 address and port of a TCP socket. Unlike `socket_address` it holds no
/// IPv6 address, and its port may be 0.
struct tcp_address
{
  std::string mIp;
  std::uint16_t mPort = 0;
  auto operator<=>(const tcp_address&) const = default;
};

/// Parses `IP:port`; nothing when the text is malformed.
std::optional<tcp_address> ParseTcpAddress(std::string_view aText);
std::string FormatTcpAddress(const tcp_address& aAddress);
/// The address in the form that the socket calls take.
sockaddr_in ToSockaddr(const tcp_address& aAddress);

/// How a stream ended.
enum class tcp_end_reason : std::uint8_t
{
  /// The connection was never established: no byte was sent.
  ConnectFailed,
  /// The peer closed its side without an error.
  Finished,
  /// The connection was reset or exceeded the peer timeout.
  Broken,
};

/// Receives the events of one stream. Called on the loop.
class tcp_observer
{
public:
  virtual ~tcp_observer() = default;
  virtual void OnConnected() {}
  virtual void OnData(std::string_view aBytes) = 0;
  /// All written bytes were handed to the kernel.
  virtual void OnDrained() {}
  /// The stream ended. Last event of the stream.
  virtual void OnEnd(tcp_end_reason aReason) = 0;
  /// Names the request in progress, for logs; empty if there is none.
  virtual std::string DescribeRequest() const { return {}; }
};

/// Detection of an unresponsive peer at the TCP level.
struct tcp_liveness
{
  /// The connection breaks when data or keep-alive probes remain unacknowledged
  /// for this long. Zero keeps the kernel's default.
  std::chrono::milliseconds mPeerTimeout{ 0 };
};

/// Non-blocking TCP connection on the GLib loop. Always owned by shared
/// pointers. No events follow `Close` or `Reset`.
class tcp_stream final
  : public std::enable_shared_from_this<tcp_stream>
  , private readiness_observer
{
public:
  /// Takes ownership of a connected descriptor.
  static std::shared_ptr<tcp_stream> Adopt(int aDescriptor,
                                           tcp_liveness aLiveness,
                                           tcp_observer& aObserver);
  /// Starts connecting; null when the socket cannot be created or watched.
  static std::shared_ptr<tcp_stream> Connect(const tcp_address& aAddress,
                                             tcp_liveness aLiveness,
                                             tcp_observer& aObserver);
  ~tcp_stream() override;
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  /// Queues bytes and sends as many as the kernel accepts immediately.
  void Write(std::string_view aBytes);
  std::size_t PendingBytes() const { return mOutput.size() - mOutputStart; }
  bool Connected() const { return mConnected; }
  bool Closed() const { return mDescriptor < 0; }
  /// What the kernel knows of the bytes handed to it; nothing once closed.
  std::optional<tcp_send_state> SendState() const
  {
    return ReadTcpSendState(mDescriptor);
  }
  /// Whether the kernel holds received bytes that were not read yet.
  bool HasUnreadBytes() const;

  /// Stops or resumes reading. A close by the peer is not noticed while reading
  /// is stopped.
  void SetReading(bool aReading);
  bool Reading() const { return mReading; }

  /// Closes once the queued bytes are sent.
  void CloseAfterDrain();
  /// Sends the end of the stream once the queued bytes are sent. Reading goes
  /// on, because a close with unread bytes would reset the connection before
  /// the peer has read what was sent.
  void FinishWriting();
  void Close();
  /// Closes with a reset, so that the peer cannot take it for an orderly close.
  void Reset();
  /// From now on every end of the connection is a reset, also the end of the
  /// process, until it is closed by `CloseAfterDrain`.
  void SetResetOnClose();

private:
  tcp_stream(int aDescriptor, bool aConnected, tcp_observer& aObserver);

  bool Attach();
  void UpdateEvents();
  void OnReady(std::uint32_t aEvents) override;
  void HandleEvents(std::uint32_t aEvents);
  /// The peer and the request in progress, for logs.
  std::string Describe() const;
  void FinishConnect();
  void ReadAvailable();
  void Flush();
  void End(tcp_end_reason aReason);
  /// Whether the kernel resets the connection when its descriptor is closed.
  void SetLinger(bool aReset);
  /// Closes in an orderly way after all bytes were sent.
  void CloseDrained();
  void CloseDescriptor();

  tcp_observer* mObserver;
  int mDescriptor;
  descriptor_watch mWatch;
  bool mConnected;
  bool mReading = true;
  bool mCloseAfterDrain = false;
  bool mFinishWriting = false;
  bool mNotifyDrained = false;
  /// Whether a write has failed, so that the end is not an orderly one.
  bool mWriteFailed = false;
  bool mResetOnClose = false;
  std::string mOutput;
  std::size_t mOutputStart = 0;
};

/// Accepts TCP connections.
class tcp_listener final
{
public:
  class acceptor
  {
  public:
    virtual ~acceptor() = default;
    /// Takes ownership of the descriptor.
    virtual void OnAccept(int aDescriptor) = 0;
    /// Few descriptors are left. Closes the connection that matters least;
    /// false if all are in use.
    virtual bool FreeDescriptor() { return false; }
  };

  /// Most bytes that the kernel holds of what the peer of an accepted
  /// connection has sent and the process has not read.
  static constexpr std::size_t kReceiveBufferBytes = 32768;

  /// Null when the address cannot be bound; `aError` names the reason.
  static std::unique_ptr<tcp_listener> Listen(const tcp_address& aAddress,
                                              acceptor& aAcceptor,
                                              std::string& aError);
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  const tcp_address& Address() const { return mAddress; }
  /// Accepts pending connections and closes the listening socket, so that later
  /// connections are refused until `Resume`.
  void Pause();
  /// Accepts connections again; false when the address cannot be bound.
  bool Resume(std::string& aError);

private:
  tcp_listener(tcp_address aAddress, acceptor& aAcceptor);
  static gboolean OnReadable(gint, GIOCondition, gpointer aSelf);
  void AcceptPending(int aMaxCount);
  void Watch();
  /// Stops watching the socket until descriptors may have become free; it would
  /// stay ready otherwise.
  void WaitForDescriptors();
  void Close();

  int mDescriptor = -1;
  tcp_address mAddress;
  acceptor& mAcceptor;
  guint mWatch = 0;
  loop_timer mRetry;
  /// Descriptors from which on those of idle connections are freed.
  int mScarceFrom = 0;
};
