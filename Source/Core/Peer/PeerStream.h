#pragma once

#include <cstdint>

#include <gio/gio.h>
#include <kj/async-io.h>

#include "Peer/PeerLoop.h"

/// A GSocket that is closed with its owner.
class peer_socket
{
public:
  peer_socket() = default;
  explicit peer_socket(GSocket* aSocket)
    : mSocket(aSocket)
  {
  }
  ~peer_socket() { Close(); }
  peer_socket(const peer_socket&) = delete;
  peer_socket& operator=(const peer_socket&) = delete;
  peer_socket(peer_socket&& aOther) noexcept;
  peer_socket& operator=(peer_socket&& aOther) noexcept;

  GSocket* Get() const { return mSocket; }
  int Fd() const { return g_socket_get_fd(mSocket); }
  explicit operator bool() const { return mSocket != nullptr; }
  void Close();

private:
  GSocket* mSocket = nullptr;
};

/// Address of an `IP:port` text, null when malformed. The caller owns it.
GSocketAddress* ParsePeerAddress(const char* aText);
/// A non-blocking TCP socket for an address, empty when there is none left.
peer_socket MakePeerSocket(GSocketAddress* aAddress);
/// Sets the options of a connected socket.
void TunePeerSocket(const peer_socket& aSocket);

/// A connected non-blocking socket as a KJ stream.
class peer_stream final : public kj::AsyncIoStream
{
public:
  /// Counts the bytes into the two counters, which must outlive the stream.
  peer_stream(peer_socket aSocket,
              std::uint64_t& aBytesIn,
              std::uint64_t& aBytesOut);
  ~peer_stream() = default;
  peer_stream(const peer_stream&) = delete;
  peer_stream& operator=(const peer_stream&) = delete;

  kj::Promise<size_t> tryRead(void* aBuffer,
                              size_t aMinBytes,
                              size_t aMaxBytes) override;
  kj::Promise<void> write(const void* aBuffer, size_t aSize) override;
  kj::Promise<void> write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

private:
  kj::Promise<size_t> ReadOn(kj::byte* aBuffer,
                             size_t aMinBytes,
                             size_t aMaxBytes,
                             size_t aDone);
  kj::Promise<void> WriteOn(
    kj::ArrayPtr<const kj::byte> aFirst,
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aRest);

  peer_socket mSocket;
  fd_watch mReadable;
  fd_watch mWritable;
  std::uint64_t& mBytesIn;
  std::uint64_t& mBytesOut;
};
