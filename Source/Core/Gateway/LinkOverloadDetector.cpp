#include "Gateway/LinkOverloadDetector.h"

#include <algorithm>

namespace {

using std::chrono::milliseconds;

// Utilization at which the overload state begins and ends. Packet headers and
// acknowledgements, which are not counted, take about a tenth.
constexpr double kOverloadUtilization = 0.75;
constexpr double kNormalUtilization = 0.6;
// Weight of the newest sample in the moving average.
constexpr double kUtilizationGain = 0.5;
// Clients treat a host that accepts no connections for seconds as broken, so
// the overload state is short and followed by a time in which clients are
// accepted.
constexpr milliseconds kMaxOverloadTime(1000);
constexpr milliseconds kMinAcceptTime(300);

} // namespace

void link_overload_detector::Update(const link_traffic& aTraffic,
                                    time_point aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mLastAt;
  const bool first = mLastAt == time_point();
  const auto moved = static_cast<double>(std::max(
    aTraffic.mReceived - mLast.mReceived, aTraffic.mSent - mLast.mSent));
  mLast = aTraffic;
  mLastAt = aNow;
  if (first || mBytesPerSecond <= 0.0 || elapsed.count() <= 0.0) {
    return;
  }
  mUtilization += kUtilizationGain *
                  (moved / elapsed.count() / mBytesPerSecond - mUtilization);
  if (mOverloaded &&
      (mUtilization < kNormalUtilization || aNow >= mOverloadUntil)) {
    mOverloaded = false;
    mAcceptUntil = aNow + kMinAcceptTime;
  } else if (!mOverloaded && mUtilization > kOverloadUtilization &&
             aNow >= mAcceptUntil) {
    mOverloaded = true;
    mOverloadUntil = aNow + kMaxOverloadTime;
  }
  if (mOverloaded) {
    mLastOverloadedAt = aNow;
  }
}
