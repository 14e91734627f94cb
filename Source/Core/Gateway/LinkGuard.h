#pragma once

#include "Common/Time.h"
#include "Net/LinkTraffic.h"

/// Tells when the link of the host is too busy for further clients.
///
/// On a full link the bodies of new requests delay the responses to those in
/// progress until nothing ends in time. A host that takes no connections for a
/// moment sends its callers to another one at once, at no cost to the link.
class link_guard
{
public:
  /// `aBytesPerSecond` is the capacity in each direction; 0 turns this off.
  explicit link_guard(double aBytesPerSecond)
    : mCapacity(aBytesPerSecond)
  {
  }

  /// Takes the traffic so far; called every few hundred ms.
  void Update(const link_traffic& aTraffic, time_point aNow);
  bool Busy() const { return mBusy; }
  /// Recent use of the busier direction as a part of the capacity.
  double Use() const { return mUse; }

private:
  double mCapacity;
  link_traffic mLast;
  time_point mLastAt;
  double mUse = 0.0;
  bool mBusy = false;
  /// End of the current pause at the latest, and of the time after a pause in
  /// which there is no other.
  time_point mBusyUntil;
  time_point mOpenUntil;
};
