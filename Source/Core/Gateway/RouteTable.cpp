#include "Gateway/RouteTable.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

route_table::route_table(gateway_config aConfig)
  : mConfig(std::move(aConfig))
{
  for (std::size_t i = 0; i < mConfig.mRoutes.size(); ++i) {
    mByHost[mConfig.mRoutes[i].mHost].push_back(i);
  }
  for (auto& [host, routes] : mByHost) {
    std::ranges::sort(routes, [this](std::size_t aLeft, std::size_t aRight) {
      return mConfig.mRoutes[aLeft].mPrefix.size() >
             mConfig.mRoutes[aRight].mPrefix.size();
    });
  }
  for (std::size_t i = 0; i < mConfig.mAccounts.size(); ++i) {
    for (const std::string& key : mConfig.mAccounts[i].mKeys) {
      mByKey.emplace(key, i);
    }
  }
}

const gateway_route* route_table::FindRoute(std::string_view aHost,
                                            std::string_view aPath) const
{
  const auto host = mByHost.find(std::string(aHost));
  if (host == mByHost.end()) {
    return nullptr;
  }
  for (const std::size_t index : host->second) {
    const gateway_route& route = mConfig.mRoutes[index];
    if (aPath.starts_with(route.mPrefix)) {
      return &route;
    }
  }
  return nullptr;
}

const gateway_account* route_table::FindAccount(const std::string& aKey) const
{
  const auto found = mByKey.find(aKey);
  return found == mByKey.end() ? nullptr : &mConfig.mAccounts[found->second];
}

const gateway_service* route_table::FindService(const service_id& aName) const
{
  const auto found =
    std::ranges::find(mConfig.mServices, aName, &gateway_service::mName);
  return found == mConfig.mServices.end() ? nullptr : &*found;
}

const service_id& ChooseService(const gateway_route& aRoute,
                                std::string_view aRequestId)
{
  std::uint64_t total = 0;
  for (const service_share& share : aRoute.mServices) {
    total += share.mWeight;
  }
  if (total == 0) {
    return aRoute.mServices.front().mService;
  }
  std::uint64_t point = StableHash(aRequestId) % total;
  for (const service_share& share : aRoute.mServices) {
    if (point < share.mWeight) {
      return share.mService;
    }
    point -= share.mWeight;
  }
  return aRoute.mServices.back().mService;
}
