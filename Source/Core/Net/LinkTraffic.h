#pragma once

#include <compare>
#include <cstdint>

/// Payload bytes that the process received and sent over its sockets.
struct link_traffic
{
  std::uint64_t mReceived = 0;
  std::uint64_t mSent = 0;
  auto operator<=>(const link_traffic&) const = default;
};

/// Traffic since the start of the process.
inline link_traffic& ProcessTraffic()
{
  static link_traffic sTraffic;
  return sTraffic;
}
