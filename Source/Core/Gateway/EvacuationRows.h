#pragma once

#include <cstddef>
#include <map>

#include "Common/Time.h"
#include "Gateway/GatewayCodec.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/UpstreamRegistry.h"

/// Applies the operator's rows that take the servers of a zone out of service.
///
/// A row is in force from the moment at which the node reads it, from the store
/// or from the snapshot of a peer, until it is removed. It also holds for
/// servers of the zone whose entries are read later.
class evacuation_rows
{
public:
  evacuation_rows(const gateway_codec& aCodec,
                  upstream_registry& aServers,
                  gateway_metrics& aMetrics);

  /// Applies a row of the operator's table; ignores rows of another kind. A row
  /// that names no zone is logged and has no effect.
  void Apply(const stored_row& aRow);
  /// Applies the removal of a row of the operator's table.
  void Remove(const row_key& aKey);
  /// Logs each evacuation of a zone that is neither the node's own nor that of
  /// a server, once per row. To be called when the server entries are known.
  void LogUnknownZones(const zone_id& aOwnZone);

private:
  struct evacuation
  {
    std::uint64_t mVersion = 0;
    /// The zone was looked up and logged if it was unknown.
    bool mReviewed = false;
  };

  const gateway_codec& mCodec;
  upstream_registry& mServers;
  gateway_metrics& mMetrics;
  std::map<zone_id, evacuation> mEvacuations;
};
