#include "Gateway/Admission.h"

#include <algorithm>

namespace {

using std::chrono::milliseconds;

// A request waits for a server for at most objective / kWaitDivisor; after that
// a refusal leaves the client time to retry elsewhere.
constexpr int kWaitDivisor = 8;
// Share of the remaining time that the response may be expected to take.
constexpr double kUsefulPart = 0.8;
// Share of the objective by which other requests may delay the first event.
constexpr double kWaitPart = 0.8;
// Clients honour a retry delay of up to a third of the time that they have
// left.
constexpr int kRetryDivisor = 4;
constexpr milliseconds kShortestRetry(50);
constexpr milliseconds kLongestRetry(1500);
// Upper limit of the random extra delay, so that clients refused together do
// not retry together.
constexpr std::uint64_t kSpreadPercent = 40;

} // namespace

admission_verdict Admit(const admission_query& aQuery, time_point aNow)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(aQuery.mFinal - aNow);
  const double total = aQuery.mExpectedMs + aQuery.mOutputMs;
  const double mostWait =
    kWaitPart * static_cast<double>(aQuery.mObjective.count());
  if (aQuery.mHasPlacement && aQuery.mWaitMs <= mostWait &&
      total <= kUsefulPart * static_cast<double>(left.count())) {
    return admission_verdict::Send;
  }
  const time_point patience =
    aQuery.mArrived + aQuery.mObjective / kWaitDivisor;
  return aNow < patience ? admission_verdict::Wait : admission_verdict::Refuse;
}

milliseconds RetryAfter(const admission_query& aQuery,
                        time_point aNow,
                        std::uint64_t aSpread)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(aQuery.mFinal - aNow);
  const auto most = std::max(left / kRetryDivisor, kShortestRetry);
  const auto wanted = std::clamp(
    aQuery.mObjective / 2, kShortestRetry, std::min(most, kLongestRetry));
  const auto spread = wanted * static_cast<int>(aSpread % kSpreadPercent) / 100;
  return std::min(wanted + spread, most);
}
