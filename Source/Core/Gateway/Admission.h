#pragma once

#include <chrono>
#include <cstdint>

#include "Common/Time.h"

/// Whether a request is sent, waits or is refused when servers are full.
///
/// In a burst of long prompts together with lost servers, engines read prompts
/// without a break and every running stream misses its deadline. Requests that
/// would not end in time are therefore refused at once, and the others wait
/// only as long as their objective allows.

enum class admission_verdict : std::uint8_t
{
  Send,
  Wait,
  Refuse,
};

struct admission_query
{
  time_point mArrived;
  /// Time of the final answer at the latest.
  time_point mFinal;
  std::chrono::milliseconds mObjective{ 0 };
  /// Whether a server has room.
  bool mHasPlacement = false;
  /// Time to the first event at that server, in ms.
  double mExpectedMs = 0.0;
  /// Part of it that other requests cause, in ms.
  double mWaitMs = 0.0;
  /// Time from the first event to the end, in ms.
  double mOutputMs = 0.0;
};

admission_verdict Admit(const admission_query& aQuery, time_point aNow);

/// When a refused client should come back: room is expected soon, and the
/// answer is useful only while the client still waits.
std::chrono::milliseconds RetryAfter(const admission_query& aQuery,
                                     time_point aNow,
                                     std::uint64_t aSpread);
