#pragma once

#include <chrono>
#include <cstdint>

#include "Common/Time.h"
#include "Dispatch/DispatchSettings.h"

/// Limit of an upstream's concurrent requests, of all nodes together, that
/// follows the observed time to first token: it shrinks by a factor while
/// requests queue inside the upstream and grows by one per round trip while it
/// is used and they do not.
class concurrency_limit
{
public:
  double Value() const { return mValue; }

  /// Starts at the reported slots, or at the default when there are none.
  void Reset(std::uint32_t aSlots, const concurrency_settings& aSettings);

  /// Reported slots bound the limit; 0 when the upstream does not say.
  void OnSlots(std::uint32_t aSlots, const concurrency_settings& aSettings);

  /// An attempt started at `aStarted` got its first token. `aInUse`: requests
  /// of all nodes at the upstream.
  void OnFirstToken(time_point aStarted,
                    time_point aNow,
                    std::int64_t aPromptTokens,
                    double aInUse,
                    const concurrency_settings& aSettings);

private:
  double mValue = 1.0;
  double mCeiling = 1.0;
  std::uint32_t mSlots = 0;
  /// Attempts started before this were sent under the former limit, and say
  /// nothing about the present one.
  time_point mChangedAt;
};
