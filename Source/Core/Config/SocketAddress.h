#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Numeric IP address and port.
struct socket_address
{
  /// IPv4, or IPv6 without brackets.
  std::string mIp;
  std::uint16_t mPort = 0;
  auto operator<=>(const socket_address&) const = default;
};

/// Reads `IP:port` or `[IPv6]:port`; nothing for a host name or a bad port.
std::optional<socket_address> ParseSocketAddress(std::string_view aText);

/// Text form that `ParseSocketAddress` reads.
std::string FormatSocketAddress(const socket_address& aAddress);
