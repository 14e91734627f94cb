#pragma once

#include <optional>
#include <string>

#include "Common/Time.h"

/// What a host measures of itself.
struct host_measurement
{
  /// Use of the busier direction of the link as a share of its capacity;
  /// nothing if the capacity is not known.
  std::optional<double> mLinkUse;
  /// Processor time as a share of what the host may use; nothing if that is not
  /// known.
  std::optional<double> mProcessorUse;
  /// Bytes held for clients and servers as a share of their limit; nothing if
  /// there is no limit.
  std::optional<double> mMemoryUse;
  /// Whether peers that report here have heard of this host lately.
  bool mHeardByPeers = true;
};

/// Decides when a host leaves the address answers because it is close to its
/// limit, and when it comes back. Does no input or output.
class host_load
{
public:
  /// The address spreads the times at which hosts come back.
  explicit host_load(const std::string& aAddress);

  /// Called every few hundred ms with measured values, which are smoothed here
  /// for the processor.
  void Update(const host_measurement& aMeasurement, time_point aNow);
  /// Whether answers should leave this host out.
  bool HasLeftAnswers() const { return mLeft; }
  /// Name of what made the host leave: `link`, `processor`, `memory`
  /// or `peers`; empty if
  /// it has not left.
  const std::string& Cause() const { return mCause; }
  std::optional<double> LinkUse() const { return mLinkUse; }
  std::optional<double> ProcessorUse() const { return mProcessorUse; }

private:
  std::chrono::milliseconds mSpread;
  std::optional<double> mLinkUse;
  std::optional<double> mProcessorUse;
  bool mLeft = false;
  std::string mCause;
  /// Earliest time at which the host comes back.
  time_point mReturnsAt;
};
