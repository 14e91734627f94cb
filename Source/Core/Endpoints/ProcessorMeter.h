#pragma once

#include <chrono>
#include <optional>

#include "Common/Time.h"

/// Totals since the start of the process, and when they were read.
struct processor_sample
{
  /// Processor time by the clock of the process.
  std::chrono::nanoseconds mProcessorTime{ 0 };
  /// Time in which the loop waited for events.
  std::chrono::nanoseconds mWaitTime{ 0 };
  time_point mAt;
  bool operator==(const processor_sample&) const = default;
};

/// Measures how much of its host's processor a process of one thread uses. Does
/// no input or output.
///
/// The share of time in which the loop did not wait tells when the process is
/// saturated, whether its share of the processor is a slower core or a quota.
/// Below that only the processor clock tells the use of a quota. Some hosts
/// have no usable one: theirs goes on while the process waits.
class processor_meter
{
public:
  /// `aCores` is the share of a core that the host may use; 0 if not known.
  explicit processor_meter(double aCores)
    : mCores(aCores)
  {
  }

  /// Use since the previous sample, from 0 to 1; nothing for the first one.
  std::optional<double> Update(const processor_sample& aSample);
  /// Whether the processor clock has counted time in which the loop waited.
  bool IsClockUnusable() const { return mClockUnusable; }

private:
  double mCores;
  std::optional<processor_sample> mBefore;
  bool mClockUnusable = false;
};
