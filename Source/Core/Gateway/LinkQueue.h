#pragma once

#include <cstddef>

#include "Common/Time.h"

/// Estimates how long the bytes of requests wait for the outgoing link of the
/// host.
///
/// The kernel takes bytes faster than a slow link carries them. A request that
/// is handed over reaches its server only after those before it.
class link_queue
{
public:
  /// `aBytesPerSecond` is the capacity of the link; 0 means that nothing waits.
  explicit link_queue(double aBytesPerSecond);

  /// Bytes are handed over.
  void Add(std::size_t aBytes, time_point aNow);
  /// Time at which `aBytes` have left the host if they are handed over now.
  time_point LeavesAt(std::size_t aBytes, time_point aNow) const;

private:
  double mBytesPerSecond;
  /// Time at which everything handed over so far has left the host.
  time_point mEmptyAt;
};
