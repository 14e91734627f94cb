#pragma once

#include <chrono>
#include <cstdint>

#include "Common/Time.h"

/// Decides whether a request is sent, waits or is refused while servers are
/// full.
///
/// In a burst of long prompts with lost servers, engines read prompts without a
/// break and every running stream misses its deadline. Requests that would not
/// end in time are therefore refused at once; others wait at most for a fixed
/// share of their latency objective.

enum class admission_verdict : std::uint8_t
{
  Send,
  Wait,
  Refuse,
};

struct admission_query
{
  time_point mArrived;
  /// Latest time for the final answer.
  time_point mDeadline;
  std::chrono::milliseconds mObjective{ 0 };
  /// Whether a server can take the request now.
  bool mHasPlacement = false;
  /// Time until which the rate limits of all servers forbid to send the
  /// request; in the past if one of them allows it.
  time_point mLimitedUntil;
  /// Expected time to the first event at the chosen server, in ms.
  double mExpectedMs = 0.0;
  /// Share of `mExpectedMs` that is caused by other requests, in ms.
  double mWaitMs = 0.0;
  /// Expected time from the first event to the end, in ms.
  double mOutputMs = 0.0;
};

/// Whether other requests delay the first event for longer than the objective
/// allows.
bool WaitsTooLong(const admission_query& aQuery);
admission_verdict Admit(const admission_query& aQuery, time_point aNow);

/// Longest delay that a refused client honors, a third of the time that it has
/// left, and after which it can still be served in time. 0 if there is none.
std::chrono::milliseconds LongestDelay(const admission_query& aQuery,
                                       time_point aNow);

/// Delay after which a refused client should retry: half of the objective, at
/// most a quarter of the time that the client has left, and spread by
/// `aSpread`, a hash of the request identity.
std::chrono::milliseconds RetryAfter(const admission_query& aQuery,
                                     time_point aNow,
                                     std::uint64_t aSpread);
