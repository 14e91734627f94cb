#include "Gateway/HomeRegions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace {

std::set<region_id> Intersection(const std::set<region_id>& aLeft,
                                 const std::set<region_id>& aRight)
{
  std::set<region_id> common;
  std::ranges::set_intersection(
    aLeft, aRight, std::inserter(common, common.end()));
  return common;
}

} // namespace

home_regions::home_regions(std::map<zone_id, region_id> aZones)
  : mZones(std::move(aZones))
{
  for (const auto& [zone, region] : mZones) {
    mRegions.insert(region);
  }
}

allowed_regions home_regions::Known(const std::vector<region_id>& aHomes) const
{
  if (mRegions.size() < 2) {
    return std::nullopt;
  }
  std::set<region_id> known;
  std::ranges::copy_if(
    aHomes, std::inserter(known, known.end()), [this](const region_id& aHome) {
      return mRegions.contains(aHome);
    });
  return known.empty() ? std::nullopt : allowed_regions(std::move(known));
}

allowed_regions home_regions::Allowed(const gateway_route& aRoute,
                                      const gateway_account* aAccount) const
{
  allowed_regions route = Known(aRoute.mHomes);
  if (aAccount == nullptr) {
    return route;
  }
  allowed_regions account = Known(aAccount->mHomes);
  if (!route || !account) {
    return route ? route : account;
  }
  return Intersection(*route, *account);
}

std::optional<std::set<zone_id>> home_regions::ZonesOf(
  const allowed_regions& aRegions) const
{
  if (!aRegions) {
    return std::nullopt;
  }
  std::set<zone_id> zones;
  for (const auto& [zone, region] : mZones) {
    if (aRegions->contains(region)) {
      zones.insert(zone);
    }
  }
  return zones;
}

allowed_regions home_regions::ForAddresses(const gateway_config& aConfig,
                                           const std::string& aHost,
                                           const region_id& aClientRegion) const
{
  allowed_regions common;
  std::set<region_id> any;
  for (const gateway_route& route : aConfig.mRoutes) {
    const allowed_regions homes =
      route.mHost == aHost ? Known(route.mHomes) : std::nullopt;
    if (homes) {
      common = common ? Intersection(*common, *homes) : *homes;
      any.insert(homes->begin(), homes->end());
    }
  }
  if (!common) {
    return std::nullopt;
  }
  std::set<region_id> allowed = common->empty() ? any : *common;
  allowed.insert(aClientRegion);
  return allowed;
}

std::vector<unknown_home> home_regions::UnknownHomes(
  const gateway_config& aConfig) const
{
  std::vector<unknown_home> unknown;
  const auto check = [&](const std::string& aOwner,
                         const std::vector<region_id>& aHomes) {
    for (const region_id& home : aHomes) {
      if (!mRegions.contains(home)) {
        unknown.push_back({ aOwner, home });
      }
    }
  };
  for (const gateway_route& route : aConfig.mRoutes) {
    check("route " + route.mName, route.mHomes);
  }
  for (const gateway_account& account : aConfig.mAccounts) {
    check("account " + account.mName.mName, account.mHomes);
  }
  return unknown;
}

std::vector<std::string> FilterAddresses(
  std::vector<std::string> aAddresses,
  const allowed_regions& aAllowed,
  const std::map<std::string, region_id>& aRegions)
{
  if (aAllowed) {
    std::erase_if(aAddresses, [&](const std::string& aAddress) {
      const auto region = aRegions.find(aAddress);
      return region == aRegions.end() || !aAllowed->contains(region->second);
    });
  }
  return aAddresses;
}
