#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include "Common/Time.h"

/// Times of a graceful stop.
struct stop_schedule
{
  time_point mBeganAt;
  /// From then on new requests are refused.
  time_point mRefusesFrom;
  /// When the node breaks off what is open, so that the process can exit before
  /// it is killed.
  time_point mEndsAt;
  auto operator<=>(const stop_schedule&) const = default;
};

/// Schedules a stop of a process that is killed `aGracePeriod` after
/// `aBeganAt`.
stop_schedule ScheduleStop(time_point aBeganAt,
                           std::chrono::milliseconds aGracePeriod);

/// Whole milliseconds from one time to another, for logs; negative if `aTo` is
/// earlier.
std::int64_t MsBetween(time_point aFrom, time_point aTo);
