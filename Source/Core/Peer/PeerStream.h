#pragma once

#include <cstdint>

#include <gio/gio.h>
#include <kj/async-io.h>

#include "Peer/PeerLoop.h"

/// Owns a GSocket and closes it on destruction.
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

/// Parses `IP:port`; null when malformed. The caller owns the result.
GSocketAddress* ParsePeerAddress(const char* aText);
/// Creates a non-blocking TCP socket for an address; empty when the system has
/// no descriptor left.
peer_socket MakePeerSocket(GSocketAddress* aAddress);
/// Sets the options of a connected socket: non-blocking, no delay, keep-alive.
void ConfigurePeerSocket(const peer_socket& aSocket);

/// KJ stream over a connected non-blocking socket.
class peer_stream final : public kj::AsyncIoStream
{
public:
  /// Adds the transferred bytes to the two counters, which must outlive the
  /// stream.
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
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aBuffers) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

private:
  kj::Promise<size_t> ContinueRead(kj::byte* aBuffer,
                                   size_t aMinBytes,
                                   size_t aMaxBytes,
                                   size_t aBytesRead);
  kj::Promise<void> ContinueWrite(
    kj::ArrayPtr<const kj::byte> aFirst,
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aRemaining);

  peer_socket mSocket;
  fd_watch mReadable;
  fd_watch mWritable;
  std::uint64_t& mBytesIn;
  std::uint64_t& mBytesOut;
};
