#include "StandIn/StandInCluster.h"

#include <utility>

#include <fmt/format.h>

stand_in_cluster::stand_in_cluster(stand_in_cluster_options aOptions)
  : mOptions(std::move(aOptions))
  , mTable(mOptions.mTable)
  , mObjects(mOptions.mObjects)
  , mHosts(mOptions.mHosts)
  , mWeights(mOptions.mWeights)
{
}

result<void, http_listen_error> stand_in_cluster::Start()
{
  mPortsTaken = 0;
  BOOST_OUTCOME_TRYV(StartPlatform());
  BOOST_OUTCOME_TRYV(StartEngines());
  return StartServices();
}

std::uint32_t stand_in_cluster::ServiceRuns(const std::string& aKey) const
{
  std::uint32_t runs = 0;
  for (const auto& service : mServices) {
    runs += service->Runs(aKey);
  }
  return runs;
}

const std::string& stand_in_cluster::Zone(std::size_t aIndex) const
{
  return mOptions.mZones[aIndex % mOptions.mZones.size()];
}

std::string stand_in_cluster::NextAddress()
{
  const std::uint32_t port =
    mOptions.mFirstPort == 0 ? 0 : mOptions.mFirstPort + mPortsTaken;
  ++mPortsTaken;
  return fmt::format("{}:{}", mOptions.mHost, port);
}

result<void, http_listen_error> stand_in_cluster::StartPlatform()
{
  BOOST_OUTCOME_TRYV(mTable.Server().Start(NextAddress()));
  BOOST_OUTCOME_TRYV(mObjects.Server().Start(NextAddress()));
  BOOST_OUTCOME_TRYV(mHosts.Server().Start(NextAddress()));
  return mWeights.Server().Start(NextAddress());
}

result<void, http_listen_error> stand_in_cluster::StartEngines()
{
  for (std::size_t index = 0; index < mOptions.mEngines; ++index) {
    mEngines.push_back(std::make_unique<engine_stand_in>(mOptions.mEngine));
    engine_stand_in& engine = *mEngines.back();
    BOOST_OUTCOME_TRYV(engine.Start(NextAddress()));
    mHosts.Put(Entry(fmt::format("engine-{}", index + 1),
                     host_role::Engine,
                     index,
                     engine.Address()));
  }
  return success();
}

result<void, http_listen_error> stand_in_cluster::StartServices()
{
  for (const service_group& group : mOptions.mServices) {
    for (std::size_t index = 0; index < group.mServers; ++index) {
      mServices.push_back(std::make_unique<service_stand_in>());
      stand_in_server& server = mServices.back()->Server();
      BOOST_OUTCOME_TRYV(server.Start(NextAddress()));
      host_entry entry = Entry(fmt::format("{}-{}", group.mName, index + 1),
                               host_role::Service,
                               index,
                               server.Address());
      entry.mService = group.mName;
      mHosts.Put(entry);
    }
  }
  return success();
}

host_entry stand_in_cluster::Entry(const std::string& aName,
                                   host_role aRole,
                                   std::size_t aIndex,
                                   const std::string& aAddress) const
{
  host_entry entry;
  entry.mName = aName;
  entry.mRole = aRole;
  entry.mZone = Zone(aIndex);
  entry.mRegion = mOptions.mRegion;
  entry.mAddress = aAddress;
  return entry;
}
