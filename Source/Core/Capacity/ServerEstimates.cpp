#include "Capacity/ServerEstimates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace {

// Half-life of observations: after 5 s less than a tenth of the old ones is
// left, so that estimates follow changes within that time.
constexpr double kHalfLifeSeconds = 1.5;
// Time between two updates beyond which all observations are too old.
constexpr double kMaxStepSeconds = 30.0;
// Observations that estimates need.
constexpr double kMinGaps = 16.0;
constexpr double kMinFirstEvents = 6.0;
// First events without times between events from which on a server may count
// as different from the others.
constexpr double kMinDifferingFirstEvents = 20.0;
// Observations at a load level for its mean to count.
constexpr double kMinLevelGaps = 2.0;
// Times beyond these bounds are faults of the connection or of the sender, in
// ms.
constexpr double kMaxTimeMs = 60000.0;
// Longer times between events are counted as this long, in ms, so that one
// stalled connection does not look like a slow server.
constexpr double kMaxGapMs = 2000.0;
// Limit of the observations of one node and level in a notice; a node sees at
// most some thousand events of a server in a second.
constexpr double kMaxNoticeCount = 5000.0;
// First events that the speed from the times between events counts as.
constexpr double kSlownessPriorCount = 4.0;
// Share of the objective for the time between events that the mean may reach.
// Single times exceed the mean while further requests arrive.
constexpr double kGapObjectiveShare = 0.85;
// Decrease of the limit in an update while streams miss their objective and no
// knee is known.
constexpr double kLimitDecrease = 0.85;
// Increase of the limit in an update while it is used and times have not risen:
// with five updates a second, a knee that moved from 4 to 8 is found in 4 s.
constexpr double kLimitIncrease = 0.2;
constexpr double kLimitGrowth = 0.05;
// Loads up to this share of the limit, and up to this number of requests, show
// the time of an idle server. It is kept while the load is higher, because a
// server that is always full looks like one that is only slow.
constexpr double kLowLoadShare = 0.5;
constexpr double kMinLowLoad = 2.0;
// Weight of the kept time in the fit, relative to all observations.
constexpr double kBaseWeight = 0.3;
// Share of the limit that the mean load must reach for the limit to rise.
constexpr double kMinUse = 0.75;
// Share of the way from the limit to a new knee in an update.
constexpr double kLimitGain = 0.4;
// A server whose time differs from the median of its service by more than this
// factor is not as the prior says.
constexpr double kMaxUniformFactor = 1.25;
// Time for which estimates stay in use after servers last differed.
constexpr std::chrono::milliseconds kInForceTime(10000);
// Changes of speed or limit from which on a change is reported, and the
// interval of reports of one server.
constexpr double kReportedFactor = 1.25;
constexpr std::chrono::milliseconds kReportInterval(1000);

bool IsPlausible(double aMs)
{
  return std::isfinite(aMs) && aMs > 0.0 && aMs <= kMaxTimeMs;
}

/// Whether a number of observations and the sum of their times fit together.
bool IsPlausible(double aCount, double aSumMs)
{
  if (aCount == 0.0 && aSumMs == 0.0) {
    return true;
  }
  return std::isfinite(aCount) && aCount > 0.0 && aCount <= kMaxNoticeCount &&
         IsPlausible(aSumMs / aCount);
}

bool IsPlausible(const observation_sums& aSums)
{
  return IsPlausible(aSums.mFirstEvents, aSums.mExpectedMs) &&
         IsPlausible(aSums.mFirstEvents, aSums.mObservedMs) &&
         IsPlausible(aSums.mGaps, aSums.mGapMs) &&
         aSums.mFirstEvents + aSums.mGaps > 0.0;
}

double Median(std::vector<double> aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::ranges::nth_element(aValues, middle);
  return *middle;
}

bool Differs(double aFirst, double aSecond, double aFactor)
{
  return aFirst > aSecond * aFactor || aSecond > aFirst * aFactor;
}

} // namespace

observation_sums& observation_sums::operator+=(const observation_sums& aOther)
{
  mFirstEvents += aOther.mFirstEvents;
  mExpectedMs += aOther.mExpectedMs;
  mObservedMs += aOther.mObservedMs;
  mGaps += aOther.mGaps;
  mGapMs += aOther.mGapMs;
  return *this;
}

observation_sums& observation_sums::operator*=(double aFactor)
{
  mFirstEvents *= aFactor;
  mExpectedMs *= aFactor;
  mObservedMs *= aFactor;
  mGaps *= aFactor;
  mGapMs *= aFactor;
  return *this;
}

void server_estimates::SetServer(std::uint32_t aServer,
                                 std::uint64_t aIncarnation,
                                 const service_id& aService,
                                 std::uint32_t aSlots)
{
  const auto [found, added] = mServers.try_emplace(aServer);
  server_state& server = found->second;
  const double slots = std::max(aSlots, 1U);
  if (added || server.mIncarnation != aIncarnation ||
      server.mService != aService || server.mSlots != slots) {
    server = server_state();
    server.mIncarnation = aIncarnation;
    server.mService = aService;
    server.mSlots = slots;
    server.mLimit = slots;
    server.mReported = { aServer, aIncarnation, 1.0, 0.0, slots };
  }
}

void server_estimates::Remove(std::uint32_t aServer)
{
  mServers.erase(aServer);
}

server_estimates::server_state* server_estimates::Find(
  std::uint32_t aServer,
  std::uint64_t aIncarnation)
{
  const auto found = mServers.find(aServer);
  return found != mServers.end() && found->second.mIncarnation == aIncarnation
           ? &found->second
           : nullptr;
}

void server_estimates::OnFirstEvent(std::uint32_t aServer,
                                    std::uint64_t aIncarnation,
                                    std::int64_t aRequests,
                                    double aExpectedMs,
                                    double aObservedMs)
{
  server_state* server = Find(aServer, aIncarnation);
  if (server == nullptr || !IsPlausible(aExpectedMs) ||
      !IsPlausible(aObservedMs)) {
    return;
  }
  const observation_sums sums{ 1.0, aExpectedMs, aObservedMs, 0.0, 0.0 };
  server->mLevels.at(LoadLevel(aRequests)) += sums;
  server->mUnsent.at(LoadLevel(aRequests)) += sums;
}

void server_estimates::OnEventGap(std::uint32_t aServer,
                                  std::uint64_t aIncarnation,
                                  std::int64_t aRequests,
                                  double aGapMs)
{
  server_state* server = Find(aServer, aIncarnation);
  if (server == nullptr || !IsPlausible(aGapMs)) {
    return;
  }
  const observation_sums sums{
    0.0, 0.0, 0.0, 1.0, std::min(aGapMs, kMaxGapMs)
  };
  server->mLevels.at(LoadLevel(aRequests)) += sums;
  server->mUnsent.at(LoadLevel(aRequests)) += sums;
}

void server_estimates::OnGapObjective(const service_id& aService,
                                      std::chrono::milliseconds aObjective)
{
  const auto objective = static_cast<double>(aObjective.count());
  if (objective > 0.0) {
    double& strictest = mGapObjectivesMs[aService];
    strictest = strictest > 0.0 ? std::min(strictest, objective) : objective;
  }
}

double server_estimates::MaxGapMs(const service_id& aService) const
{
  const auto found = mGapObjectivesMs.find(aService);
  return found == mGapObjectivesMs.end() ? 0.0
                                         : kGapObjectiveShare * found->second;
}

capacity_notice server_estimates::TakeObservations()
{
  capacity_notice notice;
  for (const auto& [key, server] : mServers) {
    for (std::size_t level = 0; level < kLoadLevels; ++level) {
      const observation_sums& sums = server.mUnsent.at(level);
      if (sums.mFirstEvents + sums.mGaps > 0.0) {
        notice.mObservations.push_back(
          { key, server.mIncarnation, level, sums });
      }
    }
  }
  auto& observations = notice.mObservations;
  if (observations.size() > kMaxNoticeObservations) {
    std::ranges::nth_element(
      observations,
      observations.begin() + kMaxNoticeObservations,
      [](const capacity_observation& aFirst,
         const capacity_observation& aSecond) {
        return aFirst.mSums.mGaps + aFirst.mSums.mFirstEvents >
               aSecond.mSums.mGaps + aSecond.mSums.mFirstEvents;
      });
    observations.resize(kMaxNoticeObservations);
  }
  for (const capacity_observation& sent : observations) {
    mServers.at(sent.mServer).mUnsent.at(sent.mLevel) = {};
  }
  return notice;
}

std::size_t server_estimates::OnObservations(const capacity_notice& aNotice)
{
  std::size_t ignored = 0;
  for (const capacity_observation& observation : aNotice.mObservations) {
    server_state* server = Find(observation.mServer, observation.mIncarnation);
    if (server == nullptr || observation.mLevel >= kLoadLevels ||
        !IsPlausible(observation.mSums)) {
      ++ignored;
      continue;
    }
    server->mLevels.at(observation.mLevel) += observation.mSums;
  }
  return ignored;
}

void server_estimates::Update(time_point aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - mUpdatedAt).count();
  mUpdatedAt = aNow;
  const double factor =
    std::exp2(-std::clamp(seconds, 0.0, kMaxStepSeconds) / kHalfLifeSeconds);
  for (auto& [key, server] : mServers) {
    for (observation_sums& sums : server.mLevels) {
      sums *= factor;
    }
    for (observation_sums& sums : server.mUnsent) {
      sums *= factor;
    }
    UpdateCurve(server);
  }
  UpdateServices(aNow);
}

void server_estimates::UpdateCurve(server_state& aServer) const
{
  std::vector<curve_point> points;
  aServer.mGaps = 0.0;
  aServer.mFirstEvents = 0.0;
  for (std::size_t level = 0; level < kLoadLevels; ++level) {
    const observation_sums& sums = aServer.mLevels.at(level);
    aServer.mGaps += sums.mGaps;
    aServer.mFirstEvents += sums.mFirstEvents;
    if (sums.mGaps >= kMinLevelGaps) {
      points.push_back(
        { LevelRequests(level), sums.mGapMs / sums.mGaps, sums.mGaps });
    }
  }
  UpdateBase(aServer, points);
  if (aServer.mBaseGapMs > 0.0 && !points.empty() &&
      points.front().mRequests > 1.0) {
    points.insert(points.begin(),
                  { 1.0, aServer.mBaseGapMs, kBaseWeight * aServer.mGaps });
  }
  const auto curve = FitCurve(points);
  aServer.mGapCurve = aServer.mGaps >= kMinGaps
                        ? curve.value_or(service_curve())
                        : service_curve();
  UpdateLimit(aServer);
}

void server_estimates::UpdateBase(server_state& aServer,
                                  const std::vector<curve_point>& aPoints)
{
  const double lowLoad = std::max(kMinLowLoad, kLowLoadShare * aServer.mLimit);
  double weight = 0.0;
  double sum = 0.0;
  for (const curve_point& point : aPoints) {
    if (point.mRequests <= lowLoad) {
      weight += point.mWeight;
      sum += point.mWeight * point.mMs;
    }
  }
  if (weight >= kMinGaps) {
    aServer.mBaseGapMs = sum / weight;
    return;
  }
  for (const curve_point& point : aPoints) {
    if (point.mWeight >= kMinGaps) {
      aServer.mBaseGapMs = std::min(aServer.mBaseGapMs, point.mMs);
    }
  }
}

void server_estimates::UpdateLimit(server_state& aServer) const
{
  if (aServer.mGaps < kMinGaps) {
    return;
  }
  const double maxMs = MaxGapMs(aServer.mService);
  double weighted = 0.0;
  for (std::size_t level = 0; level < kLoadLevels; ++level) {
    weighted += aServer.mLevels.at(level).mGaps * LevelRequests(level);
  }
  const double load = weighted / aServer.mGaps;
  const bool tooSlow = maxMs > 0.0 && aServer.mGapCurve.mIdleMs > maxMs;
  // The limit of a server that was too slow says nothing of its knee after it
  // recovered.
  if (std::exchange(aServer.mTooSlow, tooSlow) && !tooSlow) {
    const auto service = mServices.find(aServer.mService);
    aServer.mLimit = std::max(aServer.mLimit,
                              std::min(aServer.mSlots,
                                       service != mServices.end()
                                         ? service->second.mMedianLimit
                                         : aServer.mSlots));
  }
  // A limit far above the load seen is a guess.
  const double highest = std::max(load / kMinUse, aServer.mLimit);
  if (const auto limit = CurveLimit(aServer.mGapCurve, maxMs)) {
    const double target =
      std::clamp(std::min(*limit, highest), 1.0, aServer.mSlots);
    aServer.mLimit += kLimitGain * (target - aServer.mLimit);
  } else if (tooSlow) {
    aServer.mLimit =
      std::max(std::min(aServer.mLimit, load) * kLimitDecrease, 1.0);
  } else if (load >= kMinUse * aServer.mLimit) {
    aServer.mLimit = std::min(
      aServer.mLimit + std::max(kLimitIncrease, kLimitGrowth * aServer.mLimit),
      aServer.mSlots);
  }
}

void server_estimates::UpdateSlowness(server_state& aServer)
{
  double expected = 0.0;
  double observed = 0.0;
  for (std::size_t level = 0; level < kLoadLevels; ++level) {
    const observation_sums& sums = aServer.mLevels.at(level);
    const service_curve& curve = aServer.mGapCurve;
    const double rise = curve.mIdleMs > 0.0
                          ? curve.At(LevelRequests(level)) / curve.mIdleMs
                          : 1.0;
    expected += sums.mExpectedMs * rise;
    observed += sums.mObservedMs;
  }
  const double prior = aServer.mFirstEvents > 0.0
                         ? kSlownessPriorCount * expected / aServer.mFirstEvents
                         : 1.0;
  aServer.mSlowness =
    (observed + prior * aServer.mRelativeGap) / (expected + prior);
}

void server_estimates::UpdateServices(time_point aNow)
{
  std::map<service_id, std::vector<double>> gaps;
  std::map<service_id, std::vector<double>> limits;
  for (const auto& [key, server] : mServers) {
    if (server.mGaps >= kMinGaps) {
      limits[server.mService].push_back(server.mLimit);
      gaps[server.mService].push_back(server.mGapCurve.mIdleMs);
    }
  }
  for (const auto& [service, values] : gaps) {
    mServices[service].mMedianGapMs = Median(values);
    mServices[service].mMedianLimit = Median(limits.at(service));
  }
  std::map<service_id, std::vector<double>> slowness;
  for (auto& [key, server] : mServers) {
    server.mRelativeGap = 1.0;
    if (server.mGaps >= kMinGaps) {
      server.mRelativeGap =
        server.mGapCurve.mIdleMs / mServices.at(server.mService).mMedianGapMs;
    }
    UpdateSlowness(server);
    if (server.mFirstEvents >= kMinFirstEvents) {
      slowness[server.mService].push_back(server.mSlowness);
    }
  }
  std::erase_if(mServices, [&](const auto& aPair) {
    return aNow >= aPair.second.mInForceUntil && !gaps.contains(aPair.first) &&
           !slowness.contains(aPair.first);
  });
  for (const auto& [service, values] : slowness) {
    mServices[service].mMedianSlowness = Median(values);
  }
  for (const auto& [key, server] : mServers) {
    const auto service = mServices.find(server.mService);
    if (service == mServices.end()) {
      continue;
    }
    // Waits for prompts of other requests make first events differ as well, so
    // they count only where there are no times between events.
    const double differing =
      server.mGaps >= kMinGaps
        ? server.mRelativeGap
        : server.mSlowness / service->second.mMedianSlowness;
    const bool known = server.mGaps >= kMinGaps ||
                       server.mFirstEvents >= kMinDifferingFirstEvents;
    const bool differs = server.mLimit < server.mSlots ||
                         (known && Differs(differing, 1.0, kMaxUniformFactor));
    if (differs) {
      service->second.mInForceUntil = aNow + kInForceTime;
    }
  }
}

bool server_estimates::InForce(const service_id& aService,
                               time_point aNow) const
{
  const auto found = mServices.find(aService);
  return found != mServices.end() && aNow < found->second.mInForceUntil;
}

std::optional<server_estimate> server_estimates::Estimate(
  std::uint32_t aServer,
  std::int64_t aRequests) const
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end()) {
    return std::nullopt;
  }
  const server_state& server = found->second;
  const service_curve& curve = server.mGapCurve;
  const auto service = mServices.find(server.mService);
  server_estimate estimate;
  estimate.mLimit = server.mLimit;
  estimate.mSlowness = server.mSlowness;
  if (curve.mIdleMs > 0.0) {
    estimate.mGapMs = curve.At(static_cast<double>(aRequests));
    estimate.mIdleGapMs =
      server.mBaseGapMs > 0.0 ? server.mBaseGapMs : curve.mIdleMs;
    estimate.mSlowness *= estimate.mGapMs / curve.mIdleMs;
    const double maxMs = MaxGapMs(server.mService);
    estimate.mProbeOnly =
      server.mLimit < 2.0 && maxMs > 0.0 && curve.mIdleMs > maxMs;
  } else if (service != mServices.end()) {
    estimate.mGapMs = service->second.mMedianGapMs;
    estimate.mIdleGapMs = estimate.mGapMs;
  }
  return estimate;
}

std::vector<estimate_change> server_estimates::TakeChanges(time_point aNow)
{
  std::vector<estimate_change> changes;
  for (auto& [key, server] : mServers) {
    const estimate_change current{ key,
                                   server.mIncarnation,
                                   server.mSlowness,
                                   server.mGapCurve.mIdleMs,
                                   server.mLimit };
    const bool differs =
      Differs(current.mSlowness, server.mReported.mSlowness, kReportedFactor) ||
      Differs(current.mLimit, server.mReported.mLimit, kReportedFactor);
    if (differs && aNow >= server.mNextReportAt &&
        InForce(server.mService, aNow)) {
      server.mReported = current;
      server.mNextReportAt = aNow + kReportInterval;
      changes.push_back(current);
    }
  }
  return changes;
}

std::size_t server_estimates::EstimatedCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mServers, [](const auto& aPair) {
      return aPair.second.mGaps >= kMinGaps ||
             aPair.second.mFirstEvents >= kMinFirstEvents;
    }));
}
