#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

/// What the kernel knows of the bytes that a connection sends.
struct tcp_send_state
{
  /// Bytes that the peer's host has acknowledged since the connection began.
  std::uint64_t mAcknowledgedBytes = 0;
  /// Whether bytes wait in the kernel because the peer's host accepts no more,
  /// and none are under way.
  bool mWindowClosed = false;
  /// Time since the peer's host last acknowledged anything.
  std::chrono::milliseconds mSinceHeard{ 0 };
  auto operator<=>(const tcp_send_state&) const = default;
};

/// Nothing if the descriptor is no TCP socket or the kernel does not tell.
std::optional<tcp_send_state> ReadTcpSendState(int aDescriptor);
