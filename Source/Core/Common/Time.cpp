#include "Common/Time.h"

using std::chrono::duration_cast;
using std::chrono::microseconds;

time_point system_time_source::Now() const
{
  const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(duration_cast<microseconds>(sinceBoot));
}

wall_time system_time_source::WallNow() const
{
  return std::chrono::time_point_cast<microseconds>(
    std::chrono::system_clock::now());
}

wall_time manual_time_source::WallNow() const
{
  return wall_time(mNow.time_since_epoch());
}
