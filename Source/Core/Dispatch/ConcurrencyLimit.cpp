#include "Dispatch/ConcurrencyLimit.h"

#include <algorithm>

namespace {

constexpr double kShrinkFactor = 0.85;
// Below this utilization, a low latency does not show that a higher limit would
// be safe.
constexpr double kMinUtilizationToGrow = 0.75;

} // namespace

void concurrency_limit::Reset(std::uint32_t aSlots,
                              const concurrency_settings& aSettings)
{
  mSlots = aSlots;
  mValue = aSlots > 0 ? aSlots : aSettings.mDefaultLimit;
  mMaxValue = aSlots > 0 ? aSlots : aSettings.mMaxLimit;
  mValue = std::clamp(mValue, aSettings.mMinLimit, aSettings.mMaxLimit);
}

void concurrency_limit::OnSlots(std::uint32_t aSlots,
                                const concurrency_settings& aSettings)
{
  if (aSlots > 0 && aSlots != mSlots) {
    Reset(aSlots, aSettings);
  }
}

void concurrency_limit::OnFirstToken(time_point aStarted,
                                     time_point aNow,
                                     std::int64_t aPromptTokens,
                                     double aInUse,
                                     const concurrency_settings& aSettings)
{
  const std::chrono::duration<double> latency = aNow - aStarted;
  const double promptTime =
    static_cast<double>(aPromptTokens) / aSettings.mPromptTokensPerSecond;
  const std::chrono::duration<double> target = aSettings.mQueueingTarget;
  const bool queued = latency.count() - promptTime > target.count();
  if (queued && aStarted >= mChangedAt) {
    mValue = std::max(aSettings.mMinLimit, mValue * kShrinkFactor);
    mChangedAt = aNow;
  } else if (!queued && aInUse >= kMinUtilizationToGrow * mValue) {
    mValue = std::min(mMaxValue, mValue + 1.0 / mValue);
  }
}
