#include "Replay/ReplayFigures.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::array<std::string_view, kServiceClassCount>
  kClassNames = { "urgent", "routine", "background", "free" };

// The start of a trace is not used as "before": the engines are still empty.
constexpr std::int64_t kWarmUpMs = 10'000;

service_class ClassOfArrival(const trace_arrival& aArrival)
{
  return aArrival.mFreeTier ? service_class::Free
                            : static_cast<service_class>(aArrival.mRank);
}

milliseconds TargetOf(const dispatch_settings& aSettings, service_class aClass)
{
  return aClass == service_class::Free
           ? aSettings.mFreeTier.mFirstTokenTarget
           : aSettings.mRanks[static_cast<std::size_t>(aClass)]
               .mFirstTokenTarget;
}

bool InWindow(std::int64_t aMs, const trace_window& aWindow)
{
  return aMs >= aWindow.mFromMs && aMs < aWindow.mToMs;
}

std::int64_t FirstTokenMs(const trace_arrival& aArrival,
                          const request_record& aRecord)
{
  const milliseconds wait = *aRecord.mFirstTokenAt - aRecord.mArrivedAt;
  return aArrival.mAtMs + static_cast<std::int64_t>(wait.count());
}

bool ServedInTime(const trace_arrival& aArrival,
                  const request_record& aRecord,
                  const dispatch_settings& aSettings)
{
  if (!aRecord.mFirstTokenAt || !aRecord.mCompletedAt) {
    return false;
  }
  const milliseconds wait = *aRecord.mFirstTokenAt - aRecord.mArrivedAt;
  return wait <= TargetOf(aSettings, ClassOfArrival(aArrival));
}

double Quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0.0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(std::llround(aShare * last))];
}

/// Sums of one class.
struct class_sums
{
  std::uint64_t mArrivals = 0;
  std::uint64_t mInTime = 0;
  std::uint64_t mRejected = 0;
  std::vector<double> mWaits;
  double mServedCost = 0.0;
  double mServedCostBefore = 0.0;
  double mOutput = 0.0;
  double mWasted = 0.0;
};

void AddServed(class_sums& aSums,
               const trace_arrival& aArrival,
               const request_record& aRecord,
               const dispatch_settings& aSettings,
               const trace_window& aWindow)
{
  if (!aRecord.mFirstTokenAt || !aRecord.mCompletedAt) {
    return;
  }
  const double cost =
    aSettings.mPromptTokenCost * static_cast<double>(aArrival.mPromptTokens) +
    static_cast<double>(aArrival.mOutputTokens);
  const std::int64_t at = FirstTokenMs(aArrival, aRecord);
  if (InWindow(at, aWindow)) {
    aSums.mServedCost += cost;
  } else if (InWindow(at, { kWarmUpMs, aWindow.mFromMs })) {
    aSums.mServedCostBefore += cost;
  }
}

void AddRecord(class_sums& aSums,
               const trace_arrival& aArrival,
               const request_record& aRecord,
               const dispatch_settings& aSettings)
{
  ++aSums.mArrivals;
  aSums.mInTime += ServedInTime(aArrival, aRecord, aSettings) ? 1 : 0;
  aSums.mRejected += aRecord.mReject ? 1 : 0;
  if (aRecord.mFirstTokenAt) {
    const milliseconds wait = *aRecord.mFirstTokenAt - aRecord.mArrivedAt;
    aSums.mWaits.push_back(wait.count());
  }
  aSums.mWasted += static_cast<double>(aRecord.mWastedTokens);
  if (aRecord.mCompletedAt) {
    aSums.mOutput += static_cast<double>(aArrival.mOutputTokens);
  }
}

double Ratio(double aPart, double aWhole)
{
  return aWhole > 0.0 ? aPart / aWhole : 0.0;
}

class_figures Summarize(class_sums& aSums,
                        double aPaidCost,
                        const trace_window& aWindow)
{
  class_figures figures;
  const auto arrivals = static_cast<double>(aSums.mArrivals);
  figures.mArrivals = aSums.mArrivals;
  figures.mWithinTarget = Ratio(static_cast<double>(aSums.mInTime), arrivals);
  figures.mRejected = Ratio(static_cast<double>(aSums.mRejected), arrivals);
  figures.mMedianMs = Quantile(aSums.mWaits, 0.5);
  figures.mP99Ms = Quantile(aSums.mWaits, 0.99);
  figures.mTokenShare = Ratio(aSums.mServedCost, aPaidCost);
  const auto length = static_cast<double>(aWindow.mToMs - aWindow.mFromMs);
  const auto before = static_cast<double>(aWindow.mFromMs - kWarmUpMs);
  figures.mKept = before > 0.0 ? Ratio(aSums.mServedCost / length,
                                       aSums.mServedCostBefore / before)
                               : 0.0;
  figures.mWasted = Ratio(aSums.mWasted, aSums.mOutput + aSums.mWasted);
  return figures;
}

std::set<std::uint64_t> CrashingContents(const trace& aTrace)
{
  std::set<std::uint64_t> contents;
  for (const trace_event& event : aTrace.mEvents) {
    if (event.mKind == trace_event_kind::CrashMarker) {
      contents.insert(event.mContent);
    }
  }
  return contents;
}

void AddIncidents(replay_figures& aFigures,
                  const trace& aTrace,
                  const replay_result& aResult)
{
  for (const auto& [content, crashes] : aResult.mCrashes) {
    aFigures.mMostCrashes = std::max(aFigures.mMostCrashes, crashes);
  }
  const std::set<std::uint64_t> crashing = CrashingContents(aTrace);
  for (const request_record& record : aResult.mRecords) {
    const bool quarantined =
      record.mReject && record.mReject->mReason == reject_reason::Quarantined;
    if (quarantined &&
        !crashing.contains(aTrace.mArrivals[record.mArrival].mContent)) {
      ++aFigures.mInnocentsQuarantined;
    }
  }
  aFigures.mStartsOnLeaving = aResult.mStartsOnLeaving;
  aFigures.mFalseNotRun = aResult.mFalseNotRun;
  aFigures.mDisplaced = aResult.mDisplaced;
}

} // namespace

std::string_view ServiceClassName(service_class aClass)
{
  return kClassNames[static_cast<std::size_t>(aClass)];
}

std::optional<service_class> ParseServiceClass(std::string_view aName)
{
  for (std::size_t i = 0; i < kClassNames.size(); ++i) {
    if (kClassNames[i] == aName) {
      return static_cast<service_class>(i);
    }
  }
  return std::nullopt;
}

replay_figures ComputeFigures(const trace& aTrace,
                              const replay_result& aResult,
                              const dispatch_settings& aSettings,
                              const trace_window& aWindow)
{
  std::array<class_sums, kServiceClassCount> sums;
  double paidCost = 0.0;
  for (const request_record& record : aResult.mRecords) {
    const trace_arrival& arrival = aTrace.mArrivals[record.mArrival];
    const auto index = static_cast<std::size_t>(ClassOfArrival(arrival));
    AddServed(sums[index], arrival, record, aSettings, aWindow);
    if (InWindow(arrival.mAtMs, aWindow)) {
      AddRecord(sums[index], arrival, record, aSettings);
    }
  }
  for (std::size_t index = 0; index < kWorkRankCount; ++index) {
    paidCost += sums[index].mServedCost;
  }
  replay_figures figures;
  for (std::size_t index = 0; index < kServiceClassCount; ++index) {
    figures.mClasses[index] = Summarize(sums[index], paidCost, aWindow);
  }
  AddIncidents(figures, aTrace, aResult);
  return figures;
}

double AccountService(const trace& aTrace,
                      const replay_result& aResult,
                      const dispatch_settings& aSettings,
                      const account_id& aAccount,
                      const trace_window& aWindow)
{
  double arrivals = 0.0;
  double inTime = 0.0;
  for (const request_record& record : aResult.mRecords) {
    const trace_arrival& arrival = aTrace.mArrivals[record.mArrival];
    const bool counted = arrival.mAccount == aAccount && !arrival.mFreeTier &&
                         InWindow(arrival.mAtMs, aWindow);
    if (counted) {
      arrivals += 1.0;
      inTime += ServedInTime(arrival, record, aSettings) ? 1.0 : 0.0;
    }
  }
  return Ratio(inTime, arrivals);
}

trace OnlyAccount(const trace& aTrace, const account_id& aAccount)
{
  trace only{ aTrace.mHeader, {}, aTrace.mEvents };
  for (const trace_arrival& arrival : aTrace.mArrivals) {
    if (arrival.mAccount == aAccount) {
      only.mArrivals.push_back(arrival);
    }
  }
  return only;
}
