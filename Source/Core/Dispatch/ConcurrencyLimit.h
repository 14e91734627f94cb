#pragma once

#include <chrono>
#include <cstdint>

#include "Common/Time.h"
#include "Dispatch/DispatchSettings.h"

/// Adaptive limit on the concurrent requests that all nodes together send to an
/// upstream. It follows the observed time to first token: it shrinks by a
/// constant factor while requests queue inside the upstream, and grows by one
/// per round trip while the limit is used and none queue.
class concurrency_limit
{
public:
  double Value() const { return mValue; }

  /// Sets the limit to the number of reported slots, or to the default when
  /// `aSlots` is 0.
  void Reset(std::uint32_t aSlots, const concurrency_settings& aSettings);

  /// Takes a reported number of slots as the new upper bound and resets the
  /// limit when it changed. 0 means not reported and changes nothing.
  void OnSlots(std::uint32_t aSlots, const concurrency_settings& aSettings);

  /// Adapts the limit to an attempt that started at `aStarted` and got its
  /// first token now. `aInUse` is the number of requests of all nodes at the
  /// upstream.
  void OnFirstToken(time_point aStarted,
                    time_point aNow,
                    std::int64_t aPromptTokens,
                    double aInUse,
                    const concurrency_settings& aSettings);

private:
  double mValue = 1.0;
  double mMaxValue = 1.0;
  std::uint32_t mSlots = 0;
  /// When the limit last shrank. Attempts that started earlier ran under the
  /// former limit and do not shrink it again.
  time_point mChangedAt;
};
