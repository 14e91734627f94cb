// Parts of `upstream_registry` that decide by the place of a server whether a
// request may be sent there.

#include "Gateway/UpstreamRegistry.h"

#include <algorithm>

bool upstream_registry::Fits(const upstream_record& aRecord,
                             const placement_query& aQuery,
                             time_point aNow)
{
  return aRecord.mEntry.mService == aQuery.mService &&
         aRecord.mSoftware == aQuery.mSoftware.value_or(aRecord.mSoftware) &&
         (aQuery.mAllowedZones == nullptr ||
          aQuery.mAllowedZones->contains(aRecord.mEntry.mZone)) &&
         (!aRecord.mUsableUntil || aNow < *aRecord.mUsableUntil);
}

bool upstream_registry::HasUsable(const placement_query& aQuery,
                                  time_point aNow) const
{
  return std::ranges::any_of(mUpstreams, [&](const auto& aPair) {
    return Fits(aPair.second, aQuery, aNow) &&
           !mEvacuatedZones.contains(aPair.second.mEntry.mZone);
  });
}

bool upstream_registry::OnlyEvacuated(const placement_query& aQuery,
                                      time_point aNow) const
{
  return !mEvacuatedZones.empty() && !HasUsable(aQuery, aNow) &&
         std::ranges::any_of(mUpstreams, [&](const auto& aPair) {
           return Fits(aPair.second, aQuery, aNow);
         });
}

bool upstream_registry::Evacuate(const zone_id& aZone)
{
  return mEvacuatedZones.insert(aZone).second;
}

void upstream_registry::Restore(const zone_id& aZone)
{
  mEvacuatedZones.erase(aZone);
}

std::size_t upstream_registry::CountInZone(const zone_id& aZone) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mUpstreams, [&](const auto& aPair) {
      return aPair.second.mEntry.mZone == aZone;
    }));
}
