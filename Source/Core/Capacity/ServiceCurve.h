#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// How the time of a server depends on the number of its requests.

/// Number of load levels. Levels are single requests up to 8, then four for
/// each doubling up to 256.
constexpr std::size_t kLoadLevels = 28;

/// Level of a number of requests, below `kLoadLevels`.
std::size_t LoadLevel(std::int64_t aRequests);
/// Number of requests in the middle of a level.
double LevelRequests(std::size_t aLevel);

/// Mean of the observations at one number of requests.
struct curve_point
{
  double mRequests = 0.0;
  double mMs = 0.0;
  /// Number of observations, aged.
  double mWeight = 0.0;
  auto operator<=>(const curve_point&) const = default;
};

/// Times are constant up to the knee and rise linearly from there.
struct service_curve
{
  double mIdleMs = 0.0;
  /// Requests from which on times rise; meaningless if they do not.
  double mKnee = 0.0;
  /// Rise for each further request, in ms.
  double mSlopeMs = 0.0;

  /// Expected time at a number of requests, in ms.
  double At(double aRequests) const;
  auto operator<=>(const service_curve&) const = default;
};

/// Fits a curve by weighted least squares; nothing without points. A rise is
/// found only if it explains a good part of the differences between the points
/// and enough observations lie above the knee.
std::optional<service_curve> FitCurve(const std::vector<curve_point>& aPoints);

/// Number of requests beyond which further ones do not raise the throughput
/// n / time(n) any more, or at which the time exceeds `aMaxMs` (ignored if 0).
/// Nothing if there is no such number.
std::optional<double> CurveLimit(const service_curve& aCurve, double aMaxMs);
