#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Result.h"
#include "Gateway/RetryWindow.h"
#include "Gateway/TokenAllowance.h"
#include "Gateway/UpstreamRegistry.h"
#include "Net/TcpStream.h"

/// Settings of one gateway process, read at its start.
struct gateway_settings
{
  std::string mName;
  zone_id mZone;
  region_id mRegion;
  /// Listen address for client requests.
  tcp_address mClientAddress;
  tcp_address mReadiness;
  /// Listen address at which clients request the addresses of nodes.
  tcp_address mDirectory;
  /// Listen address for metrics; port 0 turns it off.
  tcp_address mMetrics;
  /// Address for datagrams between nodes, and for snapshots over TCP.
  tcp_address mPeer;
  /// Peer addresses of nodes that may be running.
  std::vector<std::string> mSeeds;
  tcp_address mStore;
  std::uint64_t mMemoryBytes = 0;
  /// Cores that the host may use, or the number that its link can feed if that
  /// is less. Hosts of a fleet differ by a factor of ten.
  double mCapacity = 1.0;
  /// Cores that the host may use.
  double mCores = 0.0;
  /// Capacity of the host's link in each direction, in bytes per second.
  double mLinkBytesPerSecond = 0.0;
  retry_limits mRetries;
  /// Longest time after the store knew that a server leaves in which it may
  /// still get requests.
  std::chrono::milliseconds mLeaveTimeout{ 2000 };
  /// Longest time after the store knew a configuration in which requests may
  /// still be handled by an older one.
  std::chrono::milliseconds mConfigTimeout{ 2000 };
  /// Longest time after the store knew an evacuation in which requests may
  /// still reach the zone; nothing if the platform states none.
  std::optional<std::chrono::milliseconds> mEvacuationTimeout;
  /// Region of each zone; empty if the platform names none.
  std::map<zone_id, region_id> mZoneRegions;
  /// What cold servers may get in a second.
  cold_bound mColdBound;
  /// Whether overloaded services shed load by rank and account.
  bool mShedByRank = false;
  /// Grace period: time from SIGTERM to SIGKILL.
  std::chrono::milliseconds mGracePeriod{ 8000 };
  allowance_settings mTokenAllowance;
  placement_settings mUpstreamRegistry;
  /// Whether the speed and the concurrency limit of servers are estimated and
  /// used, see `server_estimates`.
  bool mLearnServerCapacity = false;
};

/// Parses settings from JSON with comments; the error names file, line and key.
result<gateway_settings, std::string> ParseGatewaySettings(
  std::string_view aText,
  std::string_view aSource);
result<gateway_settings, std::string> ReadGatewaySettings(
  const std::string& aPath);
