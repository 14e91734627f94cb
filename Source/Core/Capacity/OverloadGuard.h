#pragma once

#include <cstdint>

/// Share of the requests of a service that are turned away so that the
/// concurrent requests of all nodes stay at the limit of its servers.
///
/// Reports of other nodes are several hundred ms old. If every node sent
/// requests whenever the reports show room, all would fill the same room. A
/// proportional-integral controller on the fleet's total, as active queue
/// management has it (RFC 8033, PIE), makes all nodes turn the same share away.
class overload_guard
{
public:
  /// To be called at each exchange of reports with the requests of all nodes
  /// and the sum of the servers' limits.
  void Update(double aRequests, double aLimit);
  double TurnedAwayShare() const { return mShare; }
  /// Whether the request is turned away. `aPoint` is a hash of the request.
  bool TurnsAway(std::uint64_t aPoint) const;

private:
  double mShare = 0.0;
  double mLastUse = 0.0;
};
