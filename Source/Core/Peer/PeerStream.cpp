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
constexpr std::size_t kMaxPieces = 32;

bool IsTransient(int aError)
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

void TunePeerSocket(const peer_socket& aSocket)
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
  return ReadOn(static_cast<kj::byte*>(aBuffer), aMinBytes, aMaxBytes, 0);
}

kj::Promise<size_t> peer_stream::ReadOn(kj::byte* aBuffer,
                                        size_t aMinBytes,
                                        size_t aMaxBytes,
                                        size_t aDone)
{
  while (true) {
    const ssize_t count =
      ::recv(mSocket.Fd(), aBuffer + aDone, aMaxBytes - aDone, 0);
    if (count == 0) {
      return aDone;
    }
    if (count > 0) {
      mBytesIn += count;
      aDone += count;
      if (aDone >= aMinBytes) {
        return aDone;
      }
    } else if (IsTransient(errno)) {
      return mReadable.Ready().then(
        [this, aBuffer, aMinBytes, aMaxBytes, aDone] {
          return ReadOn(aBuffer, aMinBytes, aMaxBytes, aDone);
        });
    } else if (errno != EINTR) {
      return Disconnected("read failed", errno);
    }
  }
}

kj::Promise<void> peer_stream::write(const void* aBuffer, size_t aSize)
{
  return WriteOn(kj::arrayPtr(static_cast<const kj::byte*>(aBuffer), aSize),
                 nullptr);
}

kj::Promise<void> peer_stream::write(
  kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
{
  if (aPieces.size() == 0) {
    return kj::READY_NOW;
  }
  return WriteOn(aPieces[0], aPieces.slice(1, aPieces.size()));
}

kj::Promise<void> peer_stream::WriteOn(
  kj::ArrayPtr<const kj::byte> aFirst,
  kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aRest)
{
  while (true) {
    std::array<iovec, kMaxPieces> pieces{};
    pieces[0] = { const_cast<kj::byte*>(aFirst.begin()), aFirst.size() };
    const std::size_t more = std::min(aRest.size(), kMaxPieces - 1);
    for (std::size_t i = 0; i < more; ++i) {
      pieces[i + 1] = { const_cast<kj::byte*>(aRest[i].begin()),
                        aRest[i].size() };
    }
    msghdr message{};
    message.msg_iov = pieces.data();
    message.msg_iovlen = more + 1;
    const ssize_t sent = ::sendmsg(mSocket.Fd(), &message, MSG_NOSIGNAL);
    if (sent < 0 && IsTransient(errno)) {
      return mWritable.Ready().then(
        [this, aFirst, aRest] { return WriteOn(aFirst, aRest); });
    }
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0) {
      return Disconnected("write failed", errno);
    }
    mBytesOut += sent;
    std::size_t left = sent;
    while (left >= aFirst.size()) {
      left -= aFirst.size();
      if (aRest.size() == 0) {
        return kj::READY_NOW;
      }
      aFirst = aRest[0];
      aRest = aRest.slice(1, aRest.size());
    }
    aFirst = aFirst.slice(left, aFirst.size());
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
