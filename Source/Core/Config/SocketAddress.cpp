#include "Config/SocketAddress.h"

#include <charconv>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace {

bool IsIp(int aFamily, const std::string& aText)
{
  in6_addr address{};
  return inet_pton(aFamily, aText.c_str(), &address) == 1;
}

std::optional<std::uint16_t> ParsePort(std::string_view aText)
{
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, port);
  if (read.ec != std::errc() || read.ptr != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

} // namespace

std::optional<socket_address> ParseSocketAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<std::uint16_t> port = ParsePort(aText.substr(colon + 1));
  std::string ip(aText.substr(0, colon));
  const bool bracketed = ip.starts_with('[') && ip.ends_with(']');
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  if (!port.has_value() || !IsIp(bracketed ? AF_INET6 : AF_INET, ip)) {
    return std::nullopt;
  }
  return socket_address{ ip, *port };
}

std::string FormatSocketAddress(const socket_address& aAddress)
{
  const bool isIpv6 = aAddress.mIp.find(':') != std::string::npos;
  return isIpv6 ? fmt::format("[{}]:{}", aAddress.mIp, aAddress.mPort)
                : fmt::format("{}:{}", aAddress.mIp, aAddress.mPort);
}
