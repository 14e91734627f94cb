#include "Capacity/ServiceCurve.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace {

// Largest number of requests that has a level of its own.
constexpr std::int64_t kSingleLevels = 8;
constexpr std::size_t kLevelsPerDoubling = 4;
constexpr std::int64_t kMaxRequests = 256;
// A rise is recognized if the time at the highest observed load exceeds the
// idle time by this factor; means of streams differ by about a tenth.
constexpr double kMinRise = 1.2;
// Share of the squared differences between the points that a rise must explain.
constexpr double kMinExplainedShare = 0.4;
// Observations above the knee that make a rise credible.
constexpr double kMinWeightAboveKnee = 10.0;
// Points with fewer observations than this do not count as observed load.
constexpr double kMinPointWeight = 4.0;
// Throughput counts as growing no more from a knee on if the rise for as many
// requests as the knee has is at least this share of the idle time. A smaller
// rise is the cost of larger batches, which still carry more.
constexpr double kMinSaturation = 0.6;
// Limit as a multiple of the fitted knee. The load that nodes know is late and
// noisy, so times seem to rise below the knee.
constexpr double kKneeHeadroom = 1.1;

/// Sums of a weighted linear regression of y on x.
struct regression
{
  double mW = 0.0;
  double mX = 0.0;
  double mY = 0.0;
  double mXx = 0.0;
  double mXy = 0.0;
  double mYy = 0.0;

  void Add(double aX, double aY, double aWeight)
  {
    mW += aWeight;
    mX += aWeight * aX;
    mY += aWeight * aY;
    mXx += aWeight * aX * aX;
    mXy += aWeight * aX * aY;
    mYy += aWeight * aY * aY;
  }
};

} // namespace

std::size_t LoadLevel(std::int64_t aRequests)
{
  const std::int64_t requests =
    std::clamp<std::int64_t>(aRequests, 1, kMaxRequests);
  if (requests <= kSingleLevels) {
    return static_cast<std::size_t>(requests - 1);
  }
  std::size_t level = kSingleLevels;
  for (std::int64_t low = kSingleLevels; low < kMaxRequests; low *= 2) {
    const auto step = low / static_cast<std::int64_t>(kLevelsPerDoubling);
    for (std::size_t i = 1; i <= kLevelsPerDoubling; ++i, ++level) {
      if (requests <= low + step * static_cast<std::int64_t>(i)) {
        return level;
      }
    }
  }
  return kLoadLevels - 1;
}

double LevelRequests(std::size_t aLevel)
{
  if (aLevel < kSingleLevels) {
    return static_cast<double>(aLevel) + 1.0;
  }
  const std::size_t above = aLevel - kSingleLevels;
  const double low =
    static_cast<double>(kSingleLevels << (above / kLevelsPerDoubling));
  const double step = low / static_cast<double>(kLevelsPerDoubling);
  const double end =
    low + step * static_cast<double>(above % kLevelsPerDoubling + 1);
  return end - (step - 1.0) / 2.0;
}

double service_curve::At(double aRequests) const
{
  return mIdleMs + mSlopeMs * std::max(aRequests - mKnee, 0.0);
}

std::optional<service_curve> FitCurve(const std::vector<curve_point>& aPoints)
{
  regression all;
  double highest = 0.0;
  for (const curve_point& point : aPoints) {
    all.Add(point.mRequests, point.mMs, point.mWeight);
    if (point.mWeight >= kMinPointWeight) {
      highest = std::max(highest, point.mRequests);
    }
  }
  if (all.mW <= 0.0) {
    return std::nullopt;
  }
  service_curve best{ all.mY / all.mW, 0.0, 0.0 };
  const double constantError = all.mYy - all.mY * all.mY / all.mW;
  double bestError = constantError * (1.0 - kMinExplainedShare);
  for (const curve_point& candidate : aPoints) {
    regression sums;
    double above = 0.0;
    for (const curve_point& point : aPoints) {
      const double x = std::max(point.mRequests - candidate.mRequests, 0.0);
      sums.Add(x, point.mMs, point.mWeight);
      above += x > 0.0 ? point.mWeight : 0.0;
    }
    const double spread = sums.mXx - sums.mX * sums.mX / sums.mW;
    if (above < kMinWeightAboveKnee || spread <= 0.0) {
      continue;
    }
    const double covariance = sums.mXy - sums.mX * sums.mY / sums.mW;
    const double slope = covariance / spread;
    const double idle = (sums.mY - slope * sums.mX) / sums.mW;
    const double error = constantError - slope * covariance;
    const service_curve curve{ idle, candidate.mRequests, slope };
    if (slope > 0.0 && idle > 0.0 && error < bestError &&
        curve.At(highest) >= kMinRise * idle) {
      bestError = error;
      best = curve;
    }
  }
  return best;
}

std::optional<double> CurveLimit(const service_curve& aCurve, double aMaxMs)
{
  if (aMaxMs > 0.0 && aCurve.mIdleMs >= aMaxMs) {
    return 1.0;
  }
  if (aCurve.mSlopeMs <= 0.0) {
    return std::nullopt;
  }
  std::optional<double> limit;
  if (aMaxMs > 0.0) {
    limit = aCurve.mKnee + (aMaxMs - aCurve.mIdleMs) / aCurve.mSlopeMs;
  }
  if (aCurve.mSlopeMs * aCurve.mKnee >= kMinSaturation * aCurve.mIdleMs) {
    const double knee = aCurve.mKnee * kKneeHeadroom;
    limit = std::min(limit.value_or(knee), knee);
  }
  return limit;
}
