#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

#include "Common/Time.h"

/// Decides what a node takes during a graceful stop, and when it ends.
///
/// A node that takes a request promises an answer to it. While it stops, it
/// takes only what is expected to be answered before it ends, whatever share of
/// the grace period has passed.

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

/// What is known of the time that a request needs.
struct request_needs
{
  /// Latest time of its final answer, by its deadline and the route's time
  /// limit.
  time_point mLimit;
  /// Longest time that recent requests of its kind took; nothing if that is not
  /// known.
  std::optional<std::chrono::milliseconds> mLongestRecent;
  auto operator<=>(const request_needs&) const = default;
};

/// Schedules a stop of a process that is killed `aGracePeriod` after
/// `aBeganAt`, and whose address clients hold for `aAddressHoldTime`.
stop_schedule ScheduleStop(time_point aBeganAt,
                           std::chrono::milliseconds aGracePeriod,
                           std::chrono::milliseconds aAddressHoldTime);

/// Whether a request that begins, or is sent, at `aNow` is expected to be
/// answered before the node ends.
bool FitsBeforeEnd(const stop_schedule& aSchedule,
                   const request_needs& aNeeds,
                   time_point aNow);

/// Delay after which a client that a stopping node refuses should come back: at
/// once if another node can serve it, else when this one has ended.
std::chrono::milliseconds RetryAfterInStop(const stop_schedule& aSchedule,
                                           bool aOtherNodeReady,
                                           time_point aNow);

/// Whole milliseconds from one time to another, for logs; negative if `aTo` is
/// earlier.
std::int64_t MsBetween(time_point aFrom, time_point aTo);
