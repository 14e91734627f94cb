#include "Peer/PeerStream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace {

/// Largest number of buffers passed to one `sendmsg` call.
constexpr std::size_t kMaxBuffersPerWrite = 32;

bool WouldBlock(int aError)
{
  return aError == EAGAIN || aError == EWOULDBLOCK;
}

kj::Exception Disconnected(const char* aWhat, int aError)
{
  return KJ_EXCEPTION(DISCONNECTED, aWhat, aError);
}

} // namespace

peer_socket::peer_socket(peer_socket&& aOther) noexcept
  : mSocket(std::exchange(aOther.mSocket, nullptr))
{
}

peer_socket& peer_socket::operator=(peer_socket&& aOther) noexcept
{
  if (this != &aOther) {
    Close();
    mSocket = std::exchange(aOther.mSocket, nullptr);
  }
  return *this;
}

void peer_socket::Close()
{
  if (mSocket != nullptr) {
    g_socket_close(mSocket, nullptr);
    g_object_unref(std::exchange(mSocket, nullptr));
  }
}

GSocketAddress* ParsePeerAddress(const char* aText)
{
  GSocketConnectable* parsed = g_network_address_parse(aText, 0, nullptr);
  if (parsed == nullptr) {
    return nullptr;
  }
  auto* network = G_NETWORK_ADDRESS(parsed);
  // Null for a host name: peers are addressed by IP only.
  GSocketAddress* address = g_inet_socket_address_new_from_string(
    g_network_address_get_hostname(network),
    g_network_address_get_port(network));
  g_object_unref(parsed);
  return address;
}

peer_socket MakePeerSocket(GSocketAddress* aAddress)
{
  peer_socket socket(g_socket_new(g_socket_address_get_family(aAddress),
                                  G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP,
                                  nullptr));
  if (socket) {
    g_socket_set_blocking(socket.Get(), FALSE);
  }
  return socket;
}

void ConfigurePeerSocket(const peer_socket& aSocket)
{
  g_socket_set_blocking(aSocket.Get(), FALSE);
  // Messages are small and wait for a reply, so delaying them costs latency.
  g_socket_set_option(aSocket.Get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_keepalive(aSocket.Get(), TRUE);
}

peer_stream::peer_stream(peer_socket aSocket,
                         std::uint64_t& aBytesIn,
                         std::uint64_t& aBytesOut)
  : mSocket(std::move(aSocket))
  , mReadable(mSocket.Fd(), G_IO_IN)
  , mWritable(mSocket.Fd(), G_IO_OUT)
  , mBytesIn(aBytesIn)
  , mBytesOut(aBytesOut)
{
}

kj::Promise<size_t> peer_stream::tryRead(void* aBuffer,
                                         size_t aMinBytes,
                                         size_t aMaxBytes)
{
  return ContinueRead(static_cast<kj::byte*>(aBuffer), aMinBytes, aMaxBytes, 0);
}

kj::Promise<size_t> peer_stream::ContinueRead(kj::byte* aBuffer,
                                              size_t aMinBytes,
                                              size_t aMaxBytes,
                                              size_t aBytesRead)
{
  while (true) {
    const ssize_t count =
      ::recv(mSocket.Fd(), aBuffer + aBytesRead, aMaxBytes - aBytesRead, 0);
    if (count == 0) {
      return aBytesRead;
    }
    if (count > 0) {
      mBytesIn += count;
      aBytesRead += count;
      if (aBytesRead >= aMinBytes) {
        return aBytesRead;
      }
    } else if (WouldBlock(errno)) {
      return mReadable.Ready().then(
        [this, aBuffer, aMinBytes, aMaxBytes, aBytesRead] {
          return ContinueRead(aBuffer, aMinBytes, aMaxBytes, aBytesRead);
        });
    } else if (errno != EINTR) {
      return Disconnected("read failed", errno);
    }
  }
}

kj::Promise<void> peer_stream::write(const void* aBuffer, size_t aSize)
{
  return ContinueWrite(
    kj::arrayPtr(static_cast<const kj::byte*>(aBuffer), aSize), nullptr);
}

kj::Promise<void> peer_stream::write(
  kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aBuffers)
{
  if (aBuffers.size() == 0) {
    return kj::READY_NOW;
  }
  return ContinueWrite(aBuffers[0], aBuffers.slice(1, aBuffers.size()));
}

kj::Promise<void> peer_stream::ContinueWrite(
  kj::ArrayPtr<const kj::byte> aFirst,
  kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aRemaining)
{
  while (true) {
    std::array<iovec, kMaxBuffersPerWrite> buffers{};
    buffers[0] = { const_cast<kj::byte*>(aFirst.begin()), aFirst.size() };
    const std::size_t extraBuffers =
      std::min(aRemaining.size(), kMaxBuffersPerWrite - 1);
    for (std::size_t i = 0; i < extraBuffers; ++i) {
      buffers[i + 1] = { const_cast<kj::byte*>(aRemaining[i].begin()),
                         aRemaining[i].size() };
    }
    msghdr message{};
    message.msg_iov = buffers.data();
    message.msg_iovlen = extraBuffers + 1;
    const ssize_t sent = ::sendmsg(mSocket.Fd(), &message, MSG_NOSIGNAL);
    if (sent < 0 && WouldBlock(errno)) {
      return mWritable.Ready().then([this, aFirst, aRemaining] {
        return ContinueWrite(aFirst, aRemaining);
      });
    }
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0) {
      return Disconnected("write failed", errno);
    }
    mBytesOut += sent;
    std::size_t unaccounted = sent;
    while (unaccounted >= aFirst.size()) {
      unaccounted -= aFirst.size();
      if (aRemaining.size() == 0) {
        return kj::READY_NOW;
      }
      aFirst = aRemaining[0];
      aRemaining = aRemaining.slice(1, aRemaining.size());
    }
    aFirst = aFirst.slice(unaccounted, aFirst.size());
  }
}

kj::Promise<void> peer_stream::whenWriteDisconnected()
{
  return kj::NEVER_DONE;
}

void peer_stream::shutdownWrite()
{
  g_socket_shutdown(mSocket.Get(), FALSE, TRUE, nullptr);
}

void peer_stream::abortRead()
{
  g_socket_shutdown(mSocket.Get(), TRUE, FALSE, nullptr);
}
