#include "Gateway/RequestDurations.h"

#include <algorithm>

namespace {

using std::chrono::milliseconds;

// Time over which one maximum is kept; the one before it counts as well.
constexpr milliseconds kPeriod(10000);

} // namespace

bool request_durations::IsOld(const route_state& aState, time_point aNow)
{
  return aNow >= aState.mPeriodEndsAt + kPeriod;
}

request_durations::period& request_durations::CurrentPeriod(
  const std::string& aRoute,
  time_point aNow)
{
  route_state& state = mRoutes[aRoute];
  if (aNow >= state.mPeriodEndsAt) {
    state.mPrevious = IsOld(state, aNow) ? period() : state.mCurrent;
    state.mCurrent = period();
    state.mPeriodEndsAt = aNow + kPeriod;
  }
  return state.mCurrent;
}

void request_durations::RecordComplete(const std::string& aRoute,
                                       milliseconds aDuration,
                                       time_point aNow)
{
  RecordElapsed(aRoute, aDuration, aNow);
  CurrentPeriod(aRoute, aNow).mHasComplete = true;
}

void request_durations::RecordElapsed(const std::string& aRoute,
                                      milliseconds aDuration,
                                      time_point aNow)
{
  period& current = CurrentPeriod(aRoute, aNow);
  current.mLongest = std::max(current.mLongest, aDuration);
}

std::optional<milliseconds> request_durations::Longest(
  const std::string& aRoute,
  time_point aNow) const
{
  const auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end() || IsOld(found->second, aNow)) {
    return std::nullopt;
  }
  const auto& [current, previous, endsAt] = found->second;
  if (!current.mHasComplete && !previous.mHasComplete) {
    return std::nullopt;
  }
  return std::max(current.mLongest, previous.mLongest);
}

void request_durations::Expire(time_point aNow)
{
  std::erase_if(
    mRoutes, [aNow](const auto& aPair) { return IsOld(aPair.second, aNow); });
}
