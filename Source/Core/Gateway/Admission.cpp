#include "Gateway/Admission.h"

#include <algorithm>

namespace {

using std::chrono::milliseconds;

// A request waits for a server for at most objective / kWaitDivisor; after that
// a refusal leaves the client time to retry elsewhere.
constexpr int kWaitDivisor = 8;
// Share of the remaining time that the response may be expected to take.
constexpr double kMaxResponseShare = 0.8;
// Share of the objective by which other requests may delay the first event.
constexpr double kMaxWaitShare = 0.8;
// Clients honour a retry delay of up to a third of the time that they have
// left.
constexpr int kRetryDivisor = 4;
constexpr int kHonoredDivisor = 3;
constexpr milliseconds kMinRetryDelay(50);
constexpr milliseconds kMaxRetryDelay(1500);
// Upper limit of the random extra delay, so that clients refused together do
// not retry together.
constexpr std::uint64_t kMaxRetrySpreadPercent = 40;

} // namespace

bool WaitsTooLong(const admission_query& aQuery)
{
  return aQuery.mWaitMs >
         kMaxWaitShare * static_cast<double>(aQuery.mObjective.count());
}

admission_verdict Admit(const admission_query& aQuery, time_point aNow)
{
  const auto timeLeft =
    std::chrono::duration_cast<milliseconds>(aQuery.mDeadline - aNow);
  const double total = aQuery.mExpectedMs + aQuery.mOutputMs;
  if (aQuery.mHasPlacement && !WaitsTooLong(aQuery) &&
      total <= kMaxResponseShare * static_cast<double>(timeLeft.count())) {
    return admission_verdict::Send;
  }
  const time_point waitUntil =
    aQuery.mArrived + aQuery.mObjective / kWaitDivisor;
  return aNow < waitUntil && aQuery.mLimitedUntil < waitUntil
           ? admission_verdict::Wait
           : admission_verdict::Refuse;
}

milliseconds LongestDelay(const admission_query& aQuery, time_point aNow)
{
  const auto timeLeft =
    std::chrono::duration_cast<milliseconds>(aQuery.mDeadline - aNow);
  const double response =
    aQuery.mHasPlacement
      ? (aQuery.mExpectedMs + aQuery.mOutputMs) / kMaxResponseShare
      : static_cast<double>(aQuery.mObjective.count());
  const auto needed = milliseconds(static_cast<std::int64_t>(response));
  return std::clamp(timeLeft - needed,
                    milliseconds(0),
                    std::max(timeLeft / kHonoredDivisor, milliseconds(0)));
}

milliseconds RetryAfter(const admission_query& aQuery,
                        time_point aNow,
                        std::uint64_t aSpread)
{
  const auto timeLeft =
    std::chrono::duration_cast<milliseconds>(aQuery.mDeadline - aNow);
  const auto maxDelay = std::max(timeLeft / kRetryDivisor, kMinRetryDelay);
  const auto delay = std::clamp(
    aQuery.mObjective / 2, kMinRetryDelay, std::min(maxDelay, kMaxRetryDelay));
  const auto spread =
    delay * static_cast<int>(aSpread % kMaxRetrySpreadPercent) / 100;
  return std::min(delay + spread, maxDelay);
}
