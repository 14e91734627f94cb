#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>

#include "Common/Time.h"

/// Longest time that recent requests of each route took, from their arrival to
/// their final answer.
///
/// A stopping node compares it with the time that it has left. Streams rarely
/// use up the time limit of their route, so that the limit alone would refuse
/// nearly all of them.
class request_durations
{
public:
  /// A request of the route was answered by its server.
  void RecordComplete(const std::string& aRoute,
                      std::chrono::milliseconds aDuration,
                      time_point aNow);
  /// A request of the route has taken at least this long.
  void RecordElapsed(const std::string& aRoute,
                     std::chrono::milliseconds aDuration,
                     time_point aNow);
  /// Longest duration of the last 10 to 20 s; nothing if no request was
  /// answered in that time.
  std::optional<std::chrono::milliseconds> Longest(const std::string& aRoute,
                                                   time_point aNow) const;
  /// Forgets routes without recent requests.
  void Expire(time_point aNow);
  std::size_t Size() const { return mRoutes.size(); }

private:
  struct period
  {
    std::chrono::milliseconds mLongest{ 0 };
    bool mHasComplete = false;
  };
  struct route_state
  {
    period mCurrent;
    period mPrevious;
    time_point mPeriodEndsAt;
  };
  static bool IsOld(const route_state& aState, time_point aNow);
  period& CurrentPeriod(const std::string& aRoute, time_point aNow);

  std::unordered_map<std::string, route_state> mRoutes;
};
