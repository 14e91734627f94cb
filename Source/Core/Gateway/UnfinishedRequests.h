#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Common/Time.h"

/// Decides which requests that do not arrive in full make room for others. Does
/// no input or output.

/// A request of which a part has arrived, or requests that wait behind one in
/// progress.
struct unfinished_request
{
  /// Identifies the connection among the open ones.
  std::uintptr_t mConnection = 0;
  /// Bytes that the process holds of it.
  std::size_t mBytes = 0;
  time_point mBeganAt{};
  auto operator<=>(const unfinished_request&) const = default;
};

/// Time within which a request usually arrives.
inline constexpr std::chrono::milliseconds kUsualArrivalTime{ 2000 };

/// Returns the connections whose requests to drop until `aBytes` are free,
/// those that began first before others. Requests that began within
/// `kUsualArrivalTime` are spared, so fewer bytes may become free.
std::vector<std::uintptr_t> ChooseOverdueRequests(
  std::vector<unfinished_request> aRequests,
  std::size_t aBytes,
  time_point aNow);
