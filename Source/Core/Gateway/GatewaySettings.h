#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Result.h"
#include "Gateway/RetryWindow.h"
#include "Gateway/TokenEscrow.h"
#include "Gateway/UpstreamRoster.h"
#include "Net/TcpStream.h"

/// What one gateway process is told at its start.
struct gateway_settings
{
  std::string mName;
  zone_id mZone;
  region_id mRegion;
  /// Clients' requests.
  tcp_address mFront;
  tcp_address mReadiness;
  /// Clients' questions for addresses.
  tcp_address mDirectory;
  /// Metrics and state for operators; port 0 is off.
  tcp_address mMetrics;
  /// Datagrams between nodes, and snapshots over TCP.
  tcp_address mPeer;
  /// Peer addresses of nodes that may be running.
  std::vector<std::string> mSeeds;
  tcp_address mStore;
  std::uint64_t mMemoryBytes = 0;
  /// Processor share of a core that the host may use, or what its link allows
  /// if that is less. Hosts of a fleet differ tenfold.
  double mCapacity = 1.0;
  /// Capacity of the host's link in each direction, in bytes per second.
  double mLinkBytesPerSecond = 0.0;
  retry_limits mRetries;
  /// A server that leaves gets no request later than this after the store knew.
  std::chrono::milliseconds mLeaveLimit{ 2000 };
  /// Time from SIGTERM to the kill.
  std::chrono::milliseconds mGrace{ 8000 };
  escrow_settings mEscrow;
  roster_settings mRoster;
};

/// Settings from JSON with comments; the error names file, line and key.
result<gateway_settings, std::string> ParseGatewaySettings(
  std::string_view aText,
  std::string_view aSource);
result<gateway_settings, std::string> ReadGatewaySettings(
  const std::string& aPath);
