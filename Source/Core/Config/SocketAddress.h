#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Numeric IPv4 or IPv6 address and port.
struct socket_address
{
  /// IPv4, or IPv6 without brackets.
  std::string mIp;
  std::uint16_t mPort = 0;
  auto operator<=>(const socket_address&) const = default;
};

/// Parses `IP:port` or `[IPv6]:port`; nothing for a host name, port 0 or a
/// malformed text.
std::optional<socket_address> ParseSocketAddress(std::string_view aText);

/// Text form that `ParseSocketAddress` reads.
std::string FormatSocketAddress(const socket_address& aAddress);
