#include "Replay/ReplayScenarios.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <random>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace {

constexpr std::array<std::string_view, kDeployments> kDeploymentNames = {
  "dormivia",
  "trituradores",
};
constexpr std::array<std::string_view, kScenarios> kScenarioNames = {
  "ordinary_hour", "background_flood",     "urgent_flood",
  "heavy_tenants", "three_upstreams_lost", "crashing_request",
};

constexpr int kEngines = 10;
constexpr int kLargeAccounts = 3;
constexpr int kSmallAccounts = 7;
constexpr std::int64_t kOrdinaryMs = 300'000;
constexpr std::int64_t kDurationMs = 150'000;
constexpr trace_window kFlood{ 45'000, 120'000 };
constexpr std::uint32_t kSlots = 16;
// Spread of output and prompt lengths (standard deviation of the logarithm).
constexpr double kLengthSpread = 0.5;
constexpr std::uint64_t kEarlyCrasher = 900'000'001;
constexpr std::uint64_t kLateCrasher = 900'000'002;

// Targets of the design page.
constexpr double kUrgentWithinTarget = 0.95;
constexpr double kSmallCallerRatio = 0.95;
constexpr double kFalseRejections = 0.001;
constexpr double kMaxCrashes = 2.0;

/// Work of one kind.
struct work_kind
{
  work_rank mRank;
  bool mFreeTier;
  double mPerSecond;
  double mPromptTokens;
  double mOutputTokens;
  std::uint32_t mPrefixBlocks;
};

struct deployment
{
  int mZones;
  int mNodes;
  std::vector<work_kind> mOrdinary;
};

deployment MakeDeployment(deployment_kind aKind)
{
  if (aKind == deployment_kind::Dormivia) {
    return { 4,
             8,
             { { work_rank::Urgent, false, 10.0, 300, 60, 2 },
               { work_rank::Routine, false, 5.0, 3'000, 350, 12 },
               { work_rank::Background, false, 3.0, 800, 250, 4 },
               { work_rank::Background, true, 3.0, 500, 200, 2 } } };
  }
  return { 3,
           7,
           { { work_rank::Urgent, false, 12.0, 400, 50, 3 },
             { work_rank::Routine, false, 3.0, 5'000, 400, 20 },
             { work_rank::Routine, false, 4.0, 600, 150, 3 },
             { work_rank::Background, false, 3.0, 700, 250, 4 },
             { work_rank::Background, true, 2.0, 500, 200, 2 } } };
}

std::vector<account_id> MakeAccounts(const char* aPrefix, int aCount)
{
  std::vector<account_id> accounts;
  accounts.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    accounts.push_back({ fmt::format("{}-{}", aPrefix, i + 1) });
  }
  return accounts;
}

/// Builds a trace from streams of random arrivals.
class trace_builder
{
public:
  trace_builder(const deployment& aDeployment,
                std::string aName,
                std::uint64_t aSeed,
                std::int64_t aDurationMs)
    : mRandom(aSeed)
  {
    trace_header& header = mTrace.mHeader;
    header.mName = std::move(aName);
    header.mSeed = aSeed;
    header.mDurationMs = aDurationMs;
    for (int i = 0; i < aDeployment.mNodes; ++i) {
      header.mNodes.push_back(
        { { fmt::format("node-{}", i + 1) }, ZoneOf(i, aDeployment.mZones) });
    }
    for (int i = 0; i < kEngines; ++i) {
      header.mEngines.push_back({ { fmt::format("engine-{}", i + 1) },
                                  ZoneOf(i, aDeployment.mZones),
                                  kSlots,
                                  { { "assistant" } } });
    }
  }

  void AddAccounts(const std::vector<account_id>& aAccounts,
                   std::uint32_t aNodes)
  {
    for (const account_id& account : aAccounts) {
      mTrace.mHeader.mAccounts.push_back({ account, 1.0, aNodes });
    }
  }

  /// Arrivals at random times with a mean rate, from accounts chosen evenly.
  void AddWork(const work_kind& aWork,
               double aPerSecond,
               const std::vector<account_id>& aAccounts,
               const trace_window& aWindow)
  {
    std::exponential_distribution<double> gap(aPerSecond / 1'000.0);
    std::uniform_int_distribution<std::size_t> pick(0, aAccounts.size() - 1);
    double at = static_cast<double>(aWindow.mFromMs) + gap(mRandom);
    while (at < static_cast<double>(aWindow.mToMs)) {
      AddArrival(
        aWork, static_cast<std::int64_t>(at), aAccounts[pick(mRandom)]);
      at += gap(mRandom);
    }
  }

  trace_arrival& AddArrival(const work_kind& aWork,
                            std::int64_t aAtMs,
                            const account_id& aAccount)
  {
    trace_arrival arrival;
    arrival.mAtMs = aAtMs;
    arrival.mAccount = aAccount;
    arrival.mRank = aWork.mRank;
    arrival.mFreeTier = aWork.mFreeTier;
    arrival.mModel = { "assistant" };
    arrival.mPromptTokens = Length(aWork.mPromptTokens);
    arrival.mOutputTokens = Length(aWork.mOutputTokens);
    arrival.mMaxOutputTokens =
      std::max(arrival.mOutputTokens,
               static_cast<std::int64_t>(2.0 * aWork.mOutputTokens));
    // Requests of one account and kind share the instructions before the data.
    arrival.mPrefix = StableHash(aAccount.mName) % 100'000 * 10 +
                      static_cast<std::uint64_t>(aWork.mRank);
    arrival.mPrefixBlocks = aWork.mPrefixBlocks;
    arrival.mContent = mNextContent++;
    mTrace.mArrivals.push_back(arrival);
    return mTrace.mArrivals.back();
  }

  void AddEvent(const trace_event& aEvent) { mTrace.mEvents.push_back(aEvent); }

  trace Finish()
  {
    const auto earlier = [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAtMs < aRight.mAtMs;
    };
    std::stable_sort(mTrace.mArrivals.begin(), mTrace.mArrivals.end(), earlier);
    std::stable_sort(mTrace.mEvents.begin(), mTrace.mEvents.end(), earlier);
    return std::move(mTrace);
  }

private:
  static zone_id ZoneOf(int aNumber, int aZones)
  {
    return { fmt::format("zone-{}", aNumber % aZones + 1) };
  }

  std::int64_t Length(double aMean)
  {
    // The mean of the distribution is the mean asked for.
    std::lognormal_distribution<double> length(
      std::log(aMean) - kLengthSpread * kLengthSpread / 2.0, kLengthSpread);
    return std::max<std::int64_t>(1, std::llround(length(mRandom)));
  }

  trace mTrace;
  std::mt19937_64 mRandom;
  std::uint64_t mNextContent = 1;
};

/// Ordinary load: three quarters of it from the large accounts.
void AddOrdinary(trace_builder& aBuilder,
                 const deployment& aDeployment,
                 const trace_window& aWindow)
{
  const auto large = MakeAccounts("large", kLargeAccounts);
  const auto small = MakeAccounts("small", kSmallAccounts);
  aBuilder.AddAccounts(large, 6);
  aBuilder.AddAccounts(small, 2);
  for (const work_kind& work : aDeployment.mOrdinary) {
    aBuilder.AddWork(work, 0.75 * work.mPerSecond, large, aWindow);
    aBuilder.AddWork(work, 0.25 * work.mPerSecond, small, aWindow);
  }
}

replay_outcome AtLeast(std::string aName,
                       outcome_metric aMetric,
                       service_class aClass,
                       double aBound)
{
  return { std::move(aName), aMetric, aClass, {}, aBound, std::nullopt };
}

replay_outcome AtMost(std::string aName,
                      outcome_metric aMetric,
                      service_class aClass,
                      double aBound)
{
  return { std::move(aName), aMetric, aClass, {}, std::nullopt, aBound };
}

replay_outcome UrgentInTime()
{
  return AtLeast("urgent work within 1.2 s at the 95th percentile",
                 outcome_metric::WithinTarget,
                 service_class::Urgent,
                 kUrgentWithinTarget);
}

replay_outcome Floor(service_class aClass, double aShare)
{
  return AtLeast(fmt::format("floor of {} work", ServiceClassName(aClass)),
                 outcome_metric::TokenShare,
                 aClass,
                 aShare);
}

/// Invariants that hold in every scenario.
void AddInvariants(replay_outcomes& aOutcomes)
{
  const service_class any = service_class::Urgent;
  aOutcomes.mOutcomes.push_back(AtMost("no new work on a leaving upstream",
                                       outcome_metric::StartsOnLeaving,
                                       any,
                                       0.0));
  aOutcomes.mOutcomes.push_back(AtMost(
    "not_run only when it did not run", outcome_metric::FalseNotRun, any, 0.0));
  aOutcomes.mOutcomes.push_back(AtMost("no innocent content quarantined",
                                       outcome_metric::InnocentsQuarantined,
                                       any,
                                       0.0));
}

void AddOrdinaryOutcomes(replay_outcomes& aOutcomes)
{
  aOutcomes.mOutcomes.push_back(UrgentInTime());
  for (const service_class paid : { service_class::Urgent,
                                    service_class::Routine,
                                    service_class::Background }) {
    aOutcomes.mOutcomes.push_back(
      AtMost(fmt::format("false rejections of {} work", ServiceClassName(paid)),
             outcome_metric::Rejected,
             paid,
             kFalseRejections));
  }
}

void AddCrashers(trace_builder& aBuilder, const deployment& aDeployment)
{
  // The second crashes after its first tokens, the first before them.
  aBuilder.AddEvent(
    { 0, trace_event_kind::CrashMarker, {}, kEarlyCrasher, 100 });
  aBuilder.AddEvent(
    { 0, trace_event_kind::CrashMarker, {}, kLateCrasher, 3'000 });
  const work_kind& work = aDeployment.mOrdinary[1];
  for (std::int64_t at = kFlood.mFromMs; at < kFlood.mToMs; at += 1'500) {
    trace_arrival& early = aBuilder.AddArrival(work, at, { "small-1" });
    early.mContent = kEarlyCrasher;
    early.mPromptTokens = 3'000;
    trace_arrival& late = aBuilder.AddArrival(work, at + 700, { "large-1" });
    late.mContent = kLateCrasher;
    late.mPromptTokens = 600;
    late.mOutputTokens = 400;
  }
}

void BuildHeavyTenants(trace_builder& aBuilder,
                       const deployment& aDeployment,
                       replay_outcomes& aOutcomes)
{
  const auto heavy = MakeAccounts("heavy", 2);
  const auto small = MakeAccounts("small", 8);
  aBuilder.AddAccounts(heavy, 8);
  aBuilder.AddAccounts(small, 2);
  const work_kind& urgent = aDeployment.mOrdinary[0];
  const work_kind& routine = aDeployment.mOrdinary[1];
  // Each of the two offers more than the fleet can do.
  aBuilder.AddWork(routine, 60.0, heavy, kFlood);
  aBuilder.AddWork(urgent, 40.0, heavy, kFlood);
  aBuilder.AddWork(routine, 1.6, small, { 0, kDurationMs });
  aBuilder.AddWork(urgent, 2.4, small, { 0, kDurationMs });
  replay_outcome ratio = AtLeast("small callers' service against alone",
                                 outcome_metric::AccountRatio,
                                 service_class::Urgent,
                                 kSmallCallerRatio);
  ratio.mAccounts = small;
  aOutcomes.mOutcomes.push_back(UrgentInTime());
  aOutcomes.mOutcomes.push_back(ratio);
}

void BuildScenario(scenario_kind aScenario,
                   trace_builder& aBuilder,
                   const deployment& aDeployment,
                   replay_outcomes& aOutcomes)
{
  const auto large = MakeAccounts("large", kLargeAccounts);
  const work_kind& urgent = aDeployment.mOrdinary[0];
  work_kind background =
    aDeployment.mOrdinary[aDeployment.mOrdinary.size() - 2];
  switch (aScenario) {
    case scenario_kind::OrdinaryHour:
      AddOrdinary(aBuilder, aDeployment, { 0, kOrdinaryMs });
      aBuilder.AddEvent({ kOrdinaryMs / 2,
                          trace_event_kind::UpstreamLeaving,
                          { "engine-4" },
                          0,
                          0 });
      AddOrdinaryOutcomes(aOutcomes);
      break;
    case scenario_kind::BackgroundFlood:
      AddOrdinary(aBuilder, aDeployment, { 0, kDurationMs });
      aBuilder.AddWork(background, 70.0, large, kFlood);
      background.mFreeTier = true;
      aBuilder.AddWork(background, 70.0, large, kFlood);
      aOutcomes.mOutcomes.push_back(UrgentInTime());
      break;
    case scenario_kind::UrgentFlood:
      AddOrdinary(aBuilder, aDeployment, { 0, kDurationMs });
      aBuilder.AddWork(urgent, 500.0, large, kFlood);
      aOutcomes.mOutcomes.push_back(Floor(service_class::Routine, 0.15));
      aOutcomes.mOutcomes.push_back(Floor(service_class::Background, 0.05));
      break;
    case scenario_kind::HeavyTenants:
      BuildHeavyTenants(aBuilder, aDeployment, aOutcomes);
      break;
    case scenario_kind::ThreeUpstreamsLost:
      AddOrdinary(aBuilder, aDeployment, { 0, kDurationMs });
      for (const char* lost : { "engine-1", "engine-2", "engine-7" }) {
        // Inside the window, so that what is in flight counts.
        aBuilder.AddEvent({ kFlood.mFromMs + 5'000,
                            trace_event_kind::UpstreamLost,
                            { lost },
                            0,
                            60'000 });
      }
      aOutcomes.mOutcomes.push_back(UrgentInTime());
      break;
    case scenario_kind::CrashingRequest:
      AddOrdinary(aBuilder, aDeployment, { 0, kDurationMs });
      AddCrashers(aBuilder, aDeployment);
      aOutcomes.mOutcomes.push_back(UrgentInTime());
      aOutcomes.mOutcomes.push_back(AtMost("upstreams crashed by one content",
                                           outcome_metric::UpstreamsCrashed,
                                           service_class::Urgent,
                                           kMaxCrashes));
      break;
  }
}

} // namespace

std::string_view DeploymentName(deployment_kind aDeployment)
{
  return kDeploymentNames[static_cast<std::size_t>(aDeployment)];
}

std::string_view ScenarioName(scenario_kind aScenario)
{
  return kScenarioNames[static_cast<std::size_t>(aScenario)];
}

replay_scenario MakeScenario(deployment_kind aDeployment,
                             scenario_kind aScenario,
                             std::uint64_t aSeed)
{
  const deployment built = MakeDeployment(aDeployment);
  const bool ordinary = aScenario == scenario_kind::OrdinaryHour;
  trace_builder builder(
    built,
    fmt::format("{}-{}", DeploymentName(aDeployment), ScenarioName(aScenario)),
    aSeed,
    ordinary ? kOrdinaryMs : kDurationMs);
  replay_scenario scenario;
  scenario.mOutcomes.mWindow =
    ordinary ? trace_window{ 0, kOrdinaryMs } : kFlood;
  BuildScenario(aScenario, builder, built, scenario.mOutcomes);
  AddInvariants(scenario.mOutcomes);
  scenario.mTrace = builder.Finish();
  return scenario;
}

bool WriteScenarios(const std::string& aFolder)
{
  for (std::size_t d = 0; d < kDeployments; ++d) {
    for (std::size_t s = 0; s < kScenarios; ++s) {
      const replay_scenario scenario = MakeScenario(
        static_cast<deployment_kind>(d), static_cast<scenario_kind>(s));
      const std::string path =
        fmt::format("{}/{}", aFolder, scenario.mTrace.mHeader.mName);
      std::ofstream traceFile(path + ".trace");
      WriteTrace(scenario.mTrace, traceFile);
      std::ofstream outcomesFile(path + ".outcomes.json");
      WriteOutcomes(scenario.mOutcomes, outcomesFile);
      if (!traceFile || !outcomesFile) {
        return false;
      }
    }
  }
  return true;
}
