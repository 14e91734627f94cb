#include "Gateway/EvacuationRows.h"

#include "Common/Log.h"

evacuation_rows::evacuation_rows(const gateway_codec& aCodec,
                                 upstream_registry& aServers,
                                 gateway_metrics& aMetrics)
  : mCodec(aCodec)
  , mServers(aServers)
  , mMetrics(aMetrics)
{
}

void evacuation_rows::Apply(const stored_row& aRow)
{
  const auto zone = mCodec.ReadEvacuation(aRow.mKey);
  if (!zone) {
    return;
  }
  if (zone->mName.empty()) {
    Log(log_level::Warning,
        "evacuation_unusable",
        { Field("table", aRow.mKey.mTable),
          Field("key", aRow.mKey.mKey),
          Field("version", aRow.mVersion) });
    return;
  }
  const bool added = mServers.Evacuate(*zone);
  mEvacuations[*zone] = { aRow.mVersion, false };
  mMetrics.SetEvacuatedZones(static_cast<double>(mEvacuations.size()));
  if (added) {
    Log(log_level::Info,
        "zone_evacuated",
        { Field("zone", zone->mName),
          Field("servers", mServers.CountInZone(*zone)),
          Field("version", aRow.mVersion) });
  }
}

void evacuation_rows::Remove(const row_key& aKey)
{
  const auto zone = mCodec.ReadEvacuation(aKey);
  if (!zone || mEvacuations.erase(*zone) == 0) {
    return;
  }
  mServers.Restore(*zone);
  mMetrics.SetEvacuatedZones(static_cast<double>(mEvacuations.size()));
  Log(log_level::Info,
      "zone_restored",
      { Field("zone", zone->mName),
        Field("servers", mServers.CountInZone(*zone)) });
}

void evacuation_rows::LogUnknownZones(const zone_id& aOwnZone)
{
  for (auto& [zone, row] : mEvacuations) {
    if (row.mReviewed) {
      continue;
    }
    row.mReviewed = true;
    if (zone != aOwnZone && mServers.CountInZone(zone) == 0) {
      Log(log_level::Warning,
          "evacuation_of_unknown_zone",
          { Field("zone", zone.mName), Field("version", row.mVersion) });
    }
  }
}
