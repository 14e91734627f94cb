#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "Common/Time.h"

/// Relates the steady clock of another process to the local one.
///
/// A reply that waited on a full link tells an older state than its arrival
/// suggests. The shortest exchange seen bounds by how much.
class remote_clock
{
public:
  /// The remote clock showed `aRemote` between the two local times.
  void Observe(std::chrono::milliseconds aRemote,
               time_point aSentAt,
               time_point aReceivedAt)
  {
    const time_point earliest = aSentAt - aRemote;
    // One of the clocks was stopped if the bound contradicts the exchange.
    const bool valid = mEarliestZero && *mEarliestZero + aRemote <= aReceivedAt;
    mEarliestZero = valid ? std::max(*mEarliestZero, earliest) : earliest;
  }

  /// Earliest local time at which the remote clock can have shown `aRemote`;
  /// nothing before the first exchange.
  std::optional<time_point> EarliestLocal(
    std::chrono::milliseconds aRemote) const
  {
    return mEarliestZero ? std::optional(*mEarliestZero + aRemote)
                         : std::nullopt;
  }

private:
  /// Earliest local time at which the remote clock can have shown zero.
  std::optional<time_point> mEarliestZero;
};
