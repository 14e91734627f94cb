#include "Net/TcpStream.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <limits>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include <fmt/format.h>
#include <glib-unix.h>

#include "Common/CallbackGuard.h"
#include "Common/Log.h"
#include "Common/TextCodec.h"
#include "Net/LinkTraffic.h"

namespace {

// Length of the accept queue; longer bursts are retried by the client's
// kernel after a second.
constexpr int kAcceptBacklog = 512;
// Most connections accepted in one loop iteration, so that a burst does not
// delay open streams.
constexpr int kMaxAcceptsPerIteration = 32;
// Size of one read; larger than a typical request with its prompt.
constexpr std::size_t kReadBufferBytes = 32768;
// Most reads of one stream in one loop iteration.
constexpr int kMaxReadsPerIteration = 4;
// Sent bytes that may remain at the front of the output buffer before it is
// compacted.
constexpr std::size_t kCompactThresholdBytes = 65536;
// Pause of a listener that got no descriptor.
constexpr std::chrono::milliseconds kDescriptorRetryDelay(100);
// Most memory that a stream keeps for later output.
constexpr std::size_t kMaxIdleCapacity = 4096;

void SetOption(int aDescriptor, int aLevel, int aName, int aValue)
{
  if (setsockopt(aDescriptor, aLevel, aName, &aValue, sizeof aValue) != 0) {
    Log(log_level::Warning,
        "socket_option_failed",
        { Field("option", aName), Field("error", std::strerror(errno)) });
  }
}

/// The system gives out the lowest free descriptor, so a high one means that
/// most are in use. The rest is for servers, other nodes and the store.
int ScarceDescriptors()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur > std::numeric_limits<int>::max()) {
    return std::numeric_limits<int>::max();
  }
  return static_cast<int>(limit.rlim_cur / 4 * 3);
}

void ApplyLiveness(int aDescriptor, tcp_liveness aLiveness)
{
  SetOption(aDescriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  const auto timeout = static_cast<int>(aLiveness.mPeerTimeout.count());
  if (timeout == 0) {
    return;
  }
  SetOption(aDescriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout);
  SetOption(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPCNT, std::max(1, timeout / 1000));
}

int NewSocket()
{
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

} // namespace

sockaddr_in ToSockaddr(const tcp_address& aAddress)
{
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mIp.c_str(), &native.sin_addr);
  return native;
}

std::optional<tcp_address> ParseTcpAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  tcp_address address;
  address.mIp = std::string(aText.substr(0, colon));
  in_addr parsed{};
  if (address.mIp.find('\0') != std::string::npos ||
      inet_pton(AF_INET, address.mIp.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  const auto port = ParseDecimal<std::uint16_t>(aText.substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }
  address.mPort = *port;
  return address;
}

std::string FormatTcpAddress(const tcp_address& aAddress)
{
  return fmt::format("{}:{}", aAddress.mIp, aAddress.mPort);
}

tcp_stream::tcp_stream(int aDescriptor,
                       bool aConnected,
                       tcp_observer& aObserver)
  : mObserver(&aObserver)
  , mDescriptor(aDescriptor)
  , mConnected(aConnected)
{
}

tcp_stream::~tcp_stream()
{
  CloseDescriptor();
}

std::shared_ptr<tcp_stream> tcp_stream::Adopt(int aDescriptor,
                                              tcp_liveness aLiveness,
                                              tcp_observer& aObserver)
{
  ApplyLiveness(aDescriptor, aLiveness);
  auto stream =
    std::shared_ptr<tcp_stream>(new tcp_stream(aDescriptor, true, aObserver));
  stream->Attach();
  return stream;
}

std::shared_ptr<tcp_stream> tcp_stream::Connect(const tcp_address& aAddress,
                                                tcp_liveness aLiveness,
                                                tcp_observer& aObserver)
{
  const int descriptor = NewSocket();
  if (descriptor < 0) {
    Log(log_level::Error,
        "socket_failed",
        { Field("error", std::strerror(errno)) });
    return nullptr;
  }
  ApplyLiveness(descriptor, aLiveness);
  const sockaddr_in native = ToSockaddr(aAddress);
  const int outcome = connect(
    descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native);
  // An immediate refusal is also reported asynchronously, on the loop.
  if (outcome != 0 && errno != EINPROGRESS && errno != ECONNREFUSED) {
    Log(log_level::Warning,
        "connect_failed",
        { Field("address", FormatTcpAddress(aAddress)),
          Field("error", std::strerror(errno)) });
    close(descriptor);
    return nullptr;
  }
  auto stream =
    std::shared_ptr<tcp_stream>(new tcp_stream(descriptor, false, aObserver));
  return stream->Attach() ? stream : nullptr;
}

bool tcp_stream::Attach()
{
  if (!mWatch.Start(mDescriptor, mConnected ? EPOLLIN : EPOLLOUT, *this)) {
    Log(log_level::Error,
        "socket_not_watched",
        { Field("error", std::strerror(errno)) });
    CloseDescriptor();
    return false;
  }
  return true;
}

void tcp_stream::UpdateEvents()
{
  if (Closed()) {
    return;
  }
  std::uint32_t events = 0;
  if (mConnected && mReading && !mCloseAfterDrain) {
    events |= EPOLLIN;
  }
  if (!mConnected || PendingBytes() > 0 || mNotifyDrained) {
    events |= EPOLLOUT;
  }
  mWatch.SetEvents(events);
}

void tcp_stream::OnReady(std::uint32_t aEvents)
{
  // The observer may drop its reference during the callbacks.
  const auto self = shared_from_this();
  const auto describe = [this] { return Describe(); };
  if (!RunGuarded(
        "connection", [&] { HandleEvents(aEvents); }, describe) &&
      !Closed()) {
    // The observer ends the exchange like one whose connection broke.
    Reset();
    RunGuarded(
      "connection_end",
      [this] { mObserver->OnEnd(tcp_end_reason::Broken); },
      describe);
  }
}

std::string tcp_stream::Describe() const
{
  sockaddr_in native{};
  socklen_t size = sizeof native;
  std::string peer = "unknown peer";
  if (!Closed() &&
      getpeername(mDescriptor, reinterpret_cast<sockaddr*>(&native), &size) ==
        0) {
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &native.sin_addr, text.data(), text.size());
    peer = FormatTcpAddress({ text.data(), ntohs(native.sin_port) });
  }
  const std::string request = mObserver->DescribeRequest();
  return request.empty() ? peer : fmt::format("{} {}", peer, request);
}

void tcp_stream::HandleEvents(std::uint32_t aEvents)
{
  if (!mConnected) {
    FinishConnect();
    return;
  }
  if ((aEvents & EPOLLOUT) != 0) {
    Flush();
  }
  if (Closed()) {
    return;
  }
  if ((aEvents & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    if (mReading || (aEvents & EPOLLERR) != 0) {
      ReadAvailable();
    } else if ((aEvents & EPOLLHUP) != 0) {
      End(tcp_end_reason::Broken);
    }
  }
}

void tcp_stream::FinishConnect()
{
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
    error = errno;
  }
  if (error != 0) {
    End(tcp_end_reason::ConnectFailed);
    return;
  }
  mConnected = true;
  UpdateEvents();
  mObserver->OnConnected();
  if (!Closed()) {
    Flush();
  }
}

void tcp_stream::ReadAvailable()
{
  static std::array<char, kReadBufferBytes> sBuffer;
  for (int reads = 0; reads < kMaxReadsPerIteration && !Closed() && mReading;
       ++reads) {
    const ssize_t count =
      recv(mDescriptor, sBuffer.data(), sBuffer.size(), MSG_DONTWAIT);
    if (count > 0) {
      ProcessTraffic().mReceived += static_cast<std::uint64_t>(count);
      mObserver->OnData({ sBuffer.data(), static_cast<std::size_t>(count) });
      if (static_cast<std::size_t>(count) < sBuffer.size()) {
        return;
      }
      continue;
    }
    if (count == 0) {
      End(mWriteFailed ? tcp_end_reason::Broken : tcp_end_reason::Finished);
      return;
    }
    if (errno == EINTR) {
      continue;
    }
    if (errno != EAGAIN) {
      End(tcp_end_reason::Broken);
    }
    return;
  }
}

bool tcp_stream::HasUnreadBytes() const
{
  char byte = 0;
  return !Closed() &&
         recv(mDescriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void tcp_stream::Write(std::string_view aBytes)
{
  if (Closed() || aBytes.empty()) {
    return;
  }
  const bool idle = PendingBytes() == 0;
  mOutput.append(aBytes);
  if (idle && mConnected) {
    Flush();
  }
}

void tcp_stream::Flush()
{
  while (PendingBytes() > 0) {
    const ssize_t count = send(mDescriptor,
                               mOutput.data() + mOutputStart,
                               PendingBytes(),
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      mOutputStart += static_cast<std::size_t>(count);
      ProcessTraffic().mSent += static_cast<std::uint64_t>(count);
      continue;
    }
    if (errno == EINTR) {
      continue;
    }
    if (errno != EAGAIN) {
      // The read side reports the end, because it may still return a complete
      // response that the peer sent before it closed. It returns no error any
      // more: this call has taken it.
      mWriteFailed = true;
      mOutputStart = mOutput.size();
      mNotifyDrained = false;
      mReading = true;
      if (mCloseAfterDrain) {
        CloseDescriptor();
        return;
      }
      break;
    }
    mNotifyDrained = true;
    if (mOutputStart > kCompactThresholdBytes) {
      mOutput.erase(0, mOutputStart);
      mOutputStart = 0;
    }
    UpdateEvents();
    return;
  }
  if (mOutput.capacity() > kMaxIdleCapacity) {
    // An idle connection would keep the memory of its largest message.
    mOutput = std::string();
  }
  mOutput.clear();
  mOutputStart = 0;
  if (mCloseAfterDrain) {
    CloseDrained();
    return;
  }
  if (mFinishWriting) {
    shutdown(mDescriptor, SHUT_WR);
  }
  const bool notify = std::exchange(mNotifyDrained, false);
  UpdateEvents();
  if (notify) {
    mObserver->OnDrained();
  }
}

void tcp_stream::SetReading(bool aReading)
{
  if (mReading != aReading) {
    mReading = aReading;
    UpdateEvents();
  }
}

void tcp_stream::CloseAfterDrain()
{
  if (PendingBytes() == 0) {
    CloseDrained();
    return;
  }
  mCloseAfterDrain = true;
  UpdateEvents();
}

void tcp_stream::FinishWriting()
{
  mFinishWriting = true;
  if (!Closed() && PendingBytes() == 0) {
    shutdown(mDescriptor, SHUT_WR);
  }
}

void tcp_stream::CloseDrained()
{
  if (mResetOnClose) {
    SetLinger(false);
  }
  CloseDescriptor();
}

void tcp_stream::Close()
{
  CloseDescriptor();
}

void tcp_stream::Reset()
{
  if (!Closed()) {
    SetLinger(true);
  }
  CloseDescriptor();
  mOutput = std::string();
  mOutputStart = 0;
}

void tcp_stream::SetResetOnClose()
{
  if (!Closed()) {
    SetLinger(true);
  }
}

void tcp_stream::SetLinger(bool aReset)
{
  mResetOnClose = aReset;
  const linger option{ .l_onoff = aReset ? 1 : 0, .l_linger = 0 };
  if (setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option) !=
      0) {
    Log(log_level::Warning,
        "socket_option_failed",
        { Field("option", SO_LINGER), Field("error", std::strerror(errno)) });
  }
}

void tcp_stream::End(tcp_end_reason aReason)
{
  CloseDescriptor();
  mObserver->OnEnd(aReason);
}

void tcp_stream::CloseDescriptor()
{
  if (mDescriptor >= 0) {
    mWatch.Stop();
    close(std::exchange(mDescriptor, -1));
  }
}

std::unique_ptr<tcp_listener> tcp_listener::Listen(const tcp_address& aAddress,
                                                   acceptor& aAcceptor,
                                                   std::string& aError)
{
  auto listener =
    std::unique_ptr<tcp_listener>(new tcp_listener(aAddress, aAcceptor));
  return listener->Resume(aError) ? std::move(listener) : nullptr;
}

tcp_listener::tcp_listener(tcp_address aAddress, acceptor& aAcceptor)
  : mAddress(std::move(aAddress))
  , mAcceptor(aAcceptor)
{
}

tcp_listener::~tcp_listener()
{
  Close();
}

bool tcp_listener::Resume(std::string& aError)
{
  if (mDescriptor >= 0) {
    return true;
  }
  const int descriptor = NewSocket();
  if (descriptor < 0) {
    aError = std::strerror(errno);
    return false;
  }
  SetOption(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
  // Accepted sockets inherit it. The kernel takes twice the value.
  SetOption(descriptor,
            SOL_SOCKET,
            SO_RCVBUF,
            static_cast<int>(kReceiveBufferBytes / 2));
  sockaddr_in native = ToSockaddr(mAddress);
  socklen_t size = sizeof native;
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&native), size) != 0 ||
      listen(descriptor, kAcceptBacklog) != 0 ||
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&native), &size) !=
        0) {
    aError = std::strerror(errno);
    close(descriptor);
    return false;
  }
  mAddress.mPort = ntohs(native.sin_port);
  mDescriptor = descriptor;
  mScarceFrom = ScarceDescriptors();
  Watch();
  return true;
}

void tcp_listener::Pause()
{
  if (mDescriptor >= 0) {
    // Clients in the accept queue are already connected and may have sent a
    // request.
    AcceptPending(kAcceptBacklog);
    Close();
  }
}

void tcp_listener::Close()
{
  if (mDescriptor >= 0) {
    mRetry.Cancel();
    if (mWatch != 0) {
      g_source_remove(std::exchange(mWatch, 0));
    }
    close(std::exchange(mDescriptor, -1));
  }
}

void tcp_listener::AcceptPending(int aMaxCount)
{
  for (int accepted = 0; accepted < aMaxCount; ++accepted) {
    const int descriptor =
      accept4(mDescriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0 && (errno == EMFILE || errno == ENFILE)) {
      if (!mAcceptor.FreeDescriptor()) {
        WaitForDescriptors();
        return;
      }
      continue;
    }
    if (descriptor < 0) {
      if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
        Log(log_level::Warning,
            "accept_failed",
            { Field("error", std::strerror(errno)) });
      }
      return;
    }
    RunGuarded("accept", [&] { mAcceptor.OnAccept(descriptor); });
    if (descriptor >= mScarceFrom) {
      mAcceptor.FreeDescriptor();
    }
  }
}

void tcp_listener::Watch()
{
  mWatch = g_unix_fd_add(mDescriptor, G_IO_IN, OnReadable, this);
}

void tcp_listener::WaitForDescriptors()
{
  Log(log_level::Warning,
      "descriptors_exhausted",
      { Field("listener", FormatTcpAddress(mAddress)) });
  if (mWatch != 0) {
    g_source_remove(std::exchange(mWatch, 0));
    mRetry.Once(kDescriptorRetryDelay, [this] { Watch(); });
  }
}

gboolean tcp_listener::OnReadable(gint, GIOCondition, gpointer aSelf)
{
  static_cast<tcp_listener*>(aSelf)->AcceptPending(kMaxAcceptsPerIteration);
  return G_SOURCE_CONTINUE;
}
