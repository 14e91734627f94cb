#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "Common/Time.h"

/// Rate limits that servers name for themselves.

/// What a server run said of its rate limit.
struct rate_limit_statement
{
  /// `upstream_registry::KeyOf` of the server.
  std::uint32_t mServer = 0;
  std::uint64_t mIncarnation = 0;
  /// Requests a second that the server takes from all nodes together; nothing
  /// if it names no limit any more.
  std::optional<double> mRequestsPerSecond;
  time_point mStatedAt;
  auto operator<=>(const rate_limit_statement&) const = default;
};

class server_rate_limits
{
public:
  /// Records a response: `aStatement` holds the limit that it names, if any. A
  /// response without a limit ends the limit only if its request was sent after
  /// the limit was named, because responses on different connections overtake
  /// each other. Returns whether the server's limit changed.
  bool OnResponse(const rate_limit_statement& aStatement, time_point aSentAt);

  /// Newest statement of a server that is limited; nothing for others.
  std::optional<rate_limit_statement> Find(std::uint32_t aServer) const;
  /// Number of servers that are limited.
  std::size_t LimitedCount() const;

private:
  bool Record(const rate_limit_statement& aStatement);

  std::unordered_map<std::uint32_t, rate_limit_statement> mStatements;
};
