#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "Common/Time.h"
#include "Config/FleetSections.h"
#include "Config/NodeSettings.h"
#include "Dispatch/DispatchSettings.h"
#include "Peer/PeerKeys.h"
#include "Remote/PlatformEndpoint.h"

/// Settings of a node and of the fleet, turned into those of the systems.

/// Identity of a run: rises with every start, as long as the host's clock does
/// not go back by more than the time between two starts.
std::uint64_t NewIncarnation(const time_source& aTime);

/// Address of a platform service from its base URL.
platform_endpoint EndpointOf(std::string_view aUrl);

peer_key_ring MakePeerKeys(const node_settings& aSettings);

/// How many nodes and engines there are.
struct fleet_size
{
  std::size_t mNodes = 1;
  std::size_t mEngines = 0;
};

dispatch_settings MakeDispatchSettings(const node_settings& aSettings,
                                       const capacity_section& aCapacity,
                                       const fleet_size& aSize);
