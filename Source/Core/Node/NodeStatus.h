#pragma once

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Dispatch/DispatchTypes.h"
#include "Membership/EndpointSelector.h"
#include "Node/NodeMetrics.h"
#include "Node/RequestError.h"
#include "Node/ServiceProxy.h"
#include "Remote/HostList.h"

class node_app;

/// The host list grouped by the role of the hosts.
struct hosts_by_role
{
  std::vector<listed_upstream> mUpstreams;
  std::map<upstream_id, std::string> mEngineAddresses;
  /// Live hosts of each plain service; leaving hosts are not included.
  std::map<service_id, std::vector<service_host>> mServiceHosts;
};

hosts_by_role GroupHostsByRole(const host_list_snapshot& aListing);

/// Body of `GET /v1/endpoints`.
nlohmann::json FormatEndpoints(const endpoint_answer& aAnswer);

/// Body of `GET /admin/v1/status`.
nlohmann::json FormatNodeStatus(node_app& aNode);

/// Copies the counters of the node's systems into the metrics.
void UpdateNodeMetrics(node_app& aNode, node_metrics& aMetrics);

request_error MethodNotAllowedError(std::string_view aAllowed);

request_error StartingError();
