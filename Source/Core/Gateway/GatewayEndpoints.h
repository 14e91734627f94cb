#pragma once

#include <chrono>
#include <functional>

#include "Gateway/FleetView.h"
#include "Gateway/GatewayCodec.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/HeldBytes.h"
#include "Net/HttpConnection.h"

/// Time to live of an address list at clients.
inline constexpr std::chrono::milliseconds kAddressLifetime{ 1000 };
/// Longest time for which clients use an address; some keep a list three times
/// as long as it lives.
inline constexpr std::chrono::milliseconds kAddressHoldTime =
  3 * kAddressLifetime;

/// Serves the HTTP endpoints for readiness, node addresses and metrics.
class gateway_endpoints final : public http_request_handler
{
public:
  /// Returns the regions of the nodes that an answer may name, by the host name
  /// and the region that the client states.
  using region_filter =
    std::function<allowed_regions(const std::string&, const region_id&)>;

  /// `aReady` returns whether the node takes requests.
  gateway_endpoints(const gateway_codec& aCodec,
                    const fleet_view& aFleet,
                    gateway_metrics& aMetrics,
                    held_bytes& aHeld,
                    const time_source& aTime,
                    std::function<bool()> aReady,
                    region_filter aRegions);

  void OnRequest(http_server_connection& aConnection,
                 http_server_request aRequest) override;
  void OnClientDisconnected(http_server_connection&) override {}
  void OnClientDrained(http_server_connection&) override {}
  void OnConnectionClosed(http_server_connection&) override {}
  bool MayHold(std::size_t aHeld, std::size_t aMore) override;
  void OnHeld(std::size_t aBytes) override;

private:
  const gateway_codec& mCodec;
  const fleet_view& mFleet;
  gateway_metrics& mMetrics;
  held_bytes& mHeld;
  const time_source& mTime;
  std::function<bool()> mReady;
  region_filter mRegions;
};
