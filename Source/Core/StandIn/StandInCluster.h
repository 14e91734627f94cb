#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "StandIn/EngineStandIn.h"
#include "StandIn/HostListStandIn.h"
#include "StandIn/ObjectStandIn.h"
#include "StandIn/ServiceStandIn.h"
#include "StandIn/TableStandIn.h"
#include "StandIn/WeightStandIn.h"

/// Servers of one plain backend service.
struct service_group
{
  std::string mName;
  std::uint32_t mServers = 1;
};

struct stand_in_cluster_options
{
  /// Address of all listeners.
  std::string mHost = "127.0.0.1";
  /// Port of the table service; the others follow in the order table, objects,
  /// hosts, weights, engines, services. Zero takes free ports.
  std::uint16_t mFirstPort = 0;
  std::string mRegion = "region-1";
  /// Engines and services are spread over the zones in turn.
  std::vector<std::string> mZones{ "zone-a", "zone-b", "zone-c" };
  std::uint32_t mEngines = 3;
  /// Options of every engine, with its models and speeds.
  engine_stand_in_options mEngine{};
  std::vector<service_group> mServices{ { "orders", 2 } };
  table_stand_in_options mTable{};
  object_stand_in_options mObjects{};
  host_list_stand_in_options mHosts{};
  weight_stand_in_options mWeights{};
};

/// A platform with engines and services on this process's loop. Engines are
/// hosts `engine-1`, `engine-2` and so on; the servers of service `orders` are
/// `orders-1` and so on.
class stand_in_cluster
{
public:
  explicit stand_in_cluster(stand_in_cluster_options aOptions = {});

  /// Starts everything, once, and publishes engines and services in the host
  /// list.
  result<void, http_listen_error> Start();

  table_stand_in& Table() { return mTable; }
  object_stand_in& Objects() { return mObjects; }
  host_list_stand_in& Hosts() { return mHosts; }
  weight_stand_in& Weights() { return mWeights; }

  std::size_t Engines() const { return mEngines.size(); }
  engine_stand_in& Engine(std::size_t aIndex) { return *mEngines[aIndex]; }
  std::size_t Services() const { return mServices.size(); }
  service_stand_in& Service(std::size_t aIndex) { return *mServices[aIndex]; }
  /// Runs of the calls with this key, over all service servers.
  std::uint32_t ServiceRuns(const std::string& aKey) const;
  /// Zone of the n-th host of a kind.
  const std::string& Zone(std::size_t aIndex) const;

private:
  std::string NextAddress();
  result<void, http_listen_error> StartPlatform();
  result<void, http_listen_error> StartEngines();
  result<void, http_listen_error> StartServices();
  host_entry Entry(const std::string& aName,
                   host_role aRole,
                   std::size_t aIndex,
                   const std::string& aAddress) const;

  stand_in_cluster_options mOptions;
  std::uint32_t mPortsTaken = 0;
  table_stand_in mTable;
  object_stand_in mObjects;
  host_list_stand_in mHosts;
  weight_stand_in mWeights;
  std::vector<std::unique_ptr<engine_stand_in>> mEngines;
  std::vector<std::unique_ptr<service_stand_in>> mServices;
};
