#include "Endpoints/ProcessorMeter.h"

#include <algorithm>
#include <utility>

namespace {

using std::chrono::duration;

// Share of the elapsed time by which the processor time may exceed the time in
// which the loop did not wait: the poll itself takes some.
constexpr double kClockTolerance = 0.25;

} // namespace

std::optional<double> processor_meter::Update(const processor_sample& aSample)
{
  const auto before = std::exchange(mBefore, aSample);
  if (!before || aSample.mAt <= before->mAt) {
    return std::nullopt;
  }
  const duration<double> elapsed = aSample.mAt - before->mAt;
  const duration<double> waited = aSample.mWaitTime - before->mWaitTime;
  const duration<double> used = aSample.mProcessorTime - before->mProcessorTime;
  const double busy = std::clamp(1.0 - waited / elapsed, 0.0, 1.0);
  const double byClock = used / elapsed;
  mClockUnusable = mClockUnusable || byClock > busy + kClockTolerance;
  if (mClockUnusable || mCores <= 0.0) {
    return busy;
  }
  return std::clamp(byClock / mCores, busy, 1.0);
}
