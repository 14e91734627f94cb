#pragma once

#include <chrono>
#include <cstdint>

#include "Common/Time.h"

/// Faults of a stand-in, set by tests or by `POST /v1/admin/faults` with the
/// members `down`, `delay_ms` and `lose_replies`; absent members stay. The
/// member `refuse_ms` makes the stand-in refuse connections for that time.
struct stand_in_faults
{
  /// Every call is refused with 503 before it has an effect.
  bool mDown = false;
  /// Calls wait this long before they have an effect.
  std::chrono::milliseconds mDelay{ 0 };
  /// The next calls with an effect take effect, but their connection breaks
  /// before the reply.
  std::uint32_t mLoseReplies = 0;
  auto operator<=>(const stand_in_faults&) const = default;
};

/// Token bucket. A rate of zero means no limit.
class rate_limiter
{
public:
  explicit rate_limiter(double aPerSecond)
    : mPerSecond(aPerSecond)
    , mTokens(aPerSecond)
  {
  }

  /// Takes one token; false when there is none.
  bool Take(time_point aNow);

private:
  double mPerSecond;
  double mTokens;
  time_point mFilled{};
};
