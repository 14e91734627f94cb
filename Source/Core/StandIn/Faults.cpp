#include "StandIn/Faults.h"

#include <algorithm>

bool rate_limiter::Take(time_point aNow)
{
  if (mPerSecond <= 0) {
    return true;
  }
  const std::chrono::duration<double> elapsed = aNow - mFilled;
  // The bucket holds the tokens of one second.
  mTokens = std::min(mPerSecond, mTokens + elapsed.count() * mPerSecond);
  mFilled = aNow;
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}
