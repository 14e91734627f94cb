// Parts of `upstream_registry` that use the capacity estimates.

#include "Gateway/UpstreamRegistry.h"

#include <algorithm>
#include <string>

#include "Capacity/EstimatedChoice.h"
#include "Common/Hash.h"

namespace {

// The requests that are turned away change with each of these periods.
constexpr std::chrono::milliseconds kTurnAwayPeriod(2000);

} // namespace

void upstream_registry::LearnCapacity()
{
  mEstimates.emplace();
  for (const auto& [id, record] : mUpstreams) {
    SetEstimatedServer(record);
  }
}

void upstream_registry::SetEstimatedServer(const upstream_record& aRecord)
{
  const auto service = mServices.find(aRecord.mEntry.mService.mName);
  // Plain services have no streams, so no times between events to learn from.
  if (mEstimates && service != mServices.end() && service->second.mEngine) {
    mEstimates->SetServer(aRecord.mKey,
                          aRecord.mEntry.mIncarnation,
                          aRecord.mEntry.mService,
                          aRecord.mEntry.mSlots);
  }
}

void upstream_registry::UpdateEstimates(time_point aNow)
{
  if (!mEstimates) {
    return;
  }
  std::map<service_id, std::pair<double, double>> use;
  for (const auto& [id, record] : mUpstreams) {
    SetEstimatedServer(record);
    const upstream_work work = WorkAt(record);
    const auto estimate = mEstimates->Estimate(record.mKey, work.mRequests);
    if (estimate && !record.mUsableUntil) {
      auto& [requests, limit] = use[record.mEntry.mService];
      requests += static_cast<double>(work.mRequests);
      limit += estimate->mLimit;
    }
  }
  mEstimates->Update(aNow);
  std::erase_if(mGuards, [&](const auto& aPair) {
    return !use.contains(aPair.first) ||
           !mEstimates->InForce(aPair.first, aNow);
  });
  for (const auto& [service, sums] : use) {
    if (mEstimates->InForce(service, aNow)) {
      mGuards[service].Update(sums.first, sums.second);
    }
  }
}

void upstream_registry::AddPeerWork(
  const std::vector<std::pair<std::uint32_t, upstream_work>>& aChanges)
{
  for (const auto& [key, change] : aChanges) {
    upstream_work& work = mPeerWork[key];
    work += change;
    work.mRequests = std::max<std::int64_t>(work.mRequests, 0);
    work.mPrefillTokens = std::max<std::int64_t>(work.mPrefillTokens, 0);
    work.mKvTokens = std::max<std::int64_t>(work.mKvTokens, 0);
  }
}

std::optional<server_estimate> upstream_registry::EstimateInForce(
  const upstream_record& aRecord,
  std::int64_t aRequests,
  time_point aNow) const
{
  if (!mEstimates || !mEstimates->InForce(aRecord.mEntry.mService, aNow)) {
    return std::nullopt;
  }
  return mEstimates->Estimate(aRecord.mKey, aRequests);
}

double upstream_registry::TurnedAwayShare() const
{
  double share = 0.0;
  for (const auto& [service, guard] : mGuards) {
    share = std::max(share, guard.TurnedAwayShare());
  }
  return share;
}

std::string upstream_registry::NameOf(std::uint32_t aKey) const
{
  const auto found = std::ranges::find_if(
    mUpstreams, [&](const auto& aPair) { return aPair.second.mKey == aKey; });
  return found == mUpstreams.end() ? std::string() : found->first.mName;
}

bool upstream_registry::TurnsAway(const placement_query& aQuery,
                                  time_point aNow) const
{
  const auto guard = mGuards.find(aQuery.mService);
  const auto period = aNow.time_since_epoch() / kTurnAwayPeriod;
  return guard != mGuards.end() &&
         guard->second.TurnsAway(StableHash(
           std::to_string(aQuery.mRandom), static_cast<std::uint64_t>(period)));
}

std::optional<placement> upstream_registry::ChooseEstimated(
  const std::vector<rated_placement>& aRated,
  const placement_query& aQuery,
  time_point aNow) const
{
  if (aRated.empty() || TurnsAway(aQuery, aNow)) {
    return std::nullopt;
  }
  std::vector<estimated_option> options;
  options.reserve(aRated.size());
  for (const rated_placement& rated : aRated) {
    estimated_option& option = options.emplace_back();
    option.mRequests = static_cast<double>(rated.mRequests);
    option.mCostMs = rated.mCost;
    option.mLimit = rated.mEstimate.mLimit;
    option.mIdleGapMs = rated.mEstimate.mIdleGapMs;
    option.mProbeOnly = rated.mEstimate.mProbeOnly;
  }
  const auto ticks =
    static_cast<std::uint64_t>(aNow.time_since_epoch().count());
  const auto chosen = ChooseByEstimates(
    options, StableHash(std::to_string(aQuery.mRandom), ticks));
  if (!chosen) {
    return std::nullopt;
  }
  return aRated[*chosen].mPlacement;
}
