#pragma once

#include <optional>

#include "Common/Time.h"
#include "Net/LinkTraffic.h"

/// Detects when the link of the host is too busy for further clients.
///
/// On an overloaded link the bodies of new requests delay the responses to
/// those in progress until nothing ends in time. If a host accepts no
/// connections for a moment, its clients use another host at once, at no cost
/// to the link.
class link_overload_detector
{
public:
  /// `aBytesPerSecond` is the capacity in each direction; 0 turns detection
  /// off.
  explicit link_overload_detector(double aBytesPerSecond)
    : mBytesPerSecond(aBytesPerSecond)
  {
  }

  /// Updates the state from the traffic counters; called every few hundred ms.
  void Update(const link_traffic& aTraffic, time_point aNow);
  bool IsOverloaded() const { return mOverloaded; }
  /// Last time at which the link was overloaded; nothing if it never was.
  std::optional<time_point> LastOverloadedAt() const
  {
    return mLastOverloadedAt;
  }
  /// Recent utilization of the busier direction as a share of the capacity.
  double Utilization() const { return mUtilization; }

private:
  double mBytesPerSecond;
  link_traffic mLast;
  time_point mLastAt;
  double mUtilization = 0.0;
  bool mOverloaded = false;
  std::optional<time_point> mLastOverloadedAt;
  /// Latest end of the current overload state, and end of the time after it in
  /// which no other one begins.
  time_point mOverloadUntil;
  time_point mAcceptUntil;
};
