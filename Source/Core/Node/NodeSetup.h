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

/// Converts the settings of a node and the fleet configuration into the
/// settings of the systems.

/// Incarnation of a new run: the wall clock in microseconds. Rises with every
/// start unless the host's clock is set back by more than the time between two
/// starts.
std::uint64_t NewIncarnation(const time_source& aTime);

/// Address of a platform service from its base URL; `http://` is optional.
platform_endpoint ParsePlatformEndpoint(std::string_view aUrl);

peer_key_ring MakePeerKeys(const node_settings& aSettings);

/// Number of nodes and engines in the fleet.
struct fleet_size
{
  std::size_t mNodes = 1;
  std::size_t mEngines = 0;
};

dispatch_settings MakeDispatchSettings(const node_settings& aSettings,
                                       const capacity_section& aCapacity,
                                       const fleet_size& aSize);
