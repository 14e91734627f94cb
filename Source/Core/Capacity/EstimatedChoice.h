#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Choice of a server by its estimated speed and limit.

/// A server that may take a request.
struct estimated_option
{
  /// Requests of all nodes at the server, as far as this node knows.
  double mRequests = 0.0;
  /// Requests that it handles well together, see `server_estimate`.
  double mLimit = 1.0;
  /// Time between events at a low load, in ms; 0 if unknown.
  double mIdleGapMs = 0.0;
  /// Expected time to the first event plus the delay caused to other requests,
  /// in ms.
  double mCostMs = 0.0;
  /// The server is too slow even when idle, see `server_estimate`.
  bool mProbeOnly = false;
  auto operator<=>(const estimated_option&) const = default;
};

/// Index of the chosen option; nothing if all are at their limits. `aRandom` is
/// a random number for this choice.
///
/// Two options are drawn, weighted by the throughput that is still free, and
/// the one that is less used is taken. Nodes that know the same load would
/// otherwise all choose the same server until they hear of each other's
/// requests.
std::optional<std::size_t> ChooseByEstimates(
  const std::vector<estimated_option>& aOptions,
  std::uint64_t aRandom);
