#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Gateway/GatewayTypes.h"

/// Decides in which regions requests may run and to which their bodies may be
/// passed on, by the homes of routes and accounts.

/// Regions that are allowed; all if absent.
using allowed_regions = std::optional<std::set<region_id>>;

/// A home that names no region of the platform.
struct unknown_home
{
  /// `route NAME` or `account NAME`.
  std::string mOwner;
  region_id mRegion;
  auto operator<=>(const unknown_home&) const = default;
};

class home_regions
{
public:
  /// `aZones` is the region of each zone by the platform's settings. Homes have
  /// no effect if it names fewer than two regions.
  explicit home_regions(std::map<zone_id, region_id> aZones);

  /// Regions in which requests of the route and the account may run. Where both
  /// have homes, both apply, so the set may be empty. Unknown homes are left
  /// out; a list without a known home does not restrict. `aAccount` may be
  /// null.
  allowed_regions Allowed(const gateway_route& aRoute,
                          const gateway_account* aAccount) const;
  /// Zones of the regions; all if no region is excluded. A zone that the
  /// settings do not name is in no region.
  std::optional<std::set<zone_id>> ZonesOf(
    const allowed_regions& aRegions) const;
  /// Regions of the nodes that an answer with addresses may name: those in
  /// which all routes of the host name that have homes may run (or any of them,
  /// if no region suits all), and the client's own.
  allowed_regions ForAddresses(const gateway_config& aConfig,
                               const std::string& aHost,
                               const region_id& aClientRegion) const;
  /// Homes of a configuration that name no known region.
  std::vector<unknown_home> UnknownHomes(const gateway_config& aConfig) const;

private:
  allowed_regions Known(const std::vector<region_id>& aHomes) const;

  std::map<zone_id, region_id> mZones;
  std::set<region_id> mRegions;
};

/// Drops the client addresses of nodes outside the allowed regions from the
/// list of an answer. Nodes whose region is not known are dropped as well.
/// `aRegions` holds the region of each node by its client address.
std::vector<std::string> FilterAddresses(
  std::vector<std::string> aAddresses,
  const allowed_regions& aAllowed,
  const std::map<std::string, region_id>& aRegions);
