// Parts of `upstream_registry` that concern cold servers.

#include "Gateway/UpstreamRegistry.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

void upstream_registry::UpdateCold(const upstream_record& aRecord,
                                   time_point aNow)
{
  const auto service = mServices.find(aRecord.mEntry.mService.mName);
  if (service == mServices.end() || !service->second.mColdPerSecond) {
    mRateLimits.EndCold(aRecord.mKey, aNow);
    return;
  }
  time_point until = aRecord.mResponseColdUntil;
  if (aRecord.mEntryColdUntil) {
    until = std::max(until, *aRecord.mEntryColdUntil);
  } else if (service->second.mColdTime) {
    // The run may have started just before its entry was read.
    until = std::max(until, aRecord.mRunSeenAt + *service->second.mColdTime);
  }
  if (until <= aNow) {
    mRateLimits.EndCold(aRecord.mKey, aNow);
  } else if (mRateLimits.SetCold(
               { aRecord.mKey, *service->second.mColdPerSecond, until },
               aNow)) {
    mNewCold.push_back(aRecord.mEntry.mId);
  }
}

void upstream_registry::UpdateCold(time_point aNow)
{
  for (const auto& [id, record] : mUpstreams) {
    UpdateCold(record, aNow);
  }
}

void upstream_registry::OnColdStated(const upstream_id& aId,
                                     std::uint64_t aIncarnation,
                                     std::chrono::milliseconds aTimeLeft,
                                     time_point aNow)
{
  if (upstream_record* record = FindRun(aId, aIncarnation)) {
    record->mResponseColdUntil = aNow + aTimeLeft;
    UpdateCold(*record, aNow);
  }
}

std::vector<upstream_id> upstream_registry::TakeNewCold()
{
  return std::exchange(mNewCold, {});
}

bool upstream_registry::HasCold(const placement_query& aQuery,
                                time_point aNow) const
{
  return std::ranges::any_of(mUpstreams, [&](const auto& aPair) {
    return Fits(aPair.second, aQuery, aNow) &&
           mRateLimits.IsCold(aPair.second.mKey, aNow);
  });
}

const upstream_registry::upstream_record* upstream_registry::Preferred(
  const std::vector<const upstream_record*>& aCandidates,
  const shared_prompt& aShared,
  time_point aNow) const
{
  if (aShared.mSegments.empty() || aCandidates.empty()) {
    return nullptr;
  }
  std::vector<const upstream_record*> holders = aCandidates;
  std::erase_if(holders, [&](const upstream_record* aRecord) {
    return mRateLimits.IsCold(aRecord->mKey, aNow) &&
           UncachedTokens(*aRecord, aShared, aNow) > 0;
  });
  // Every node computes the same preferred server for a shared prompt.
  return *std::ranges::max_element(
    holders.empty() ? aCandidates : holders,
    {},
    [&](const upstream_record* aRecord) {
      return RendezvousWeight(aShared.mName, aRecord->mEntry.mId.mName);
    });
}
