#pragma once

#include <functional>

#include "Gateway/FleetView.h"
#include "Gateway/GatewayCodec.h"
#include "Gateway/GatewayMetrics.h"
#include "Net/HttpConnection.h"

/// Serves the HTTP endpoints for readiness, node addresses and metrics.
class gateway_endpoints final : public http_request_handler
{
public:
  /// `aReady` returns whether the node takes requests.
  gateway_endpoints(const gateway_codec& aCodec,
                    const fleet_view& aFleet,
                    gateway_metrics& aMetrics,
                    const time_source& aTime,
                    std::function<bool()> aReady);

  void OnRequest(http_server_connection& aConnection,
                 http_server_request aRequest) override;
  void OnClientDisconnected(http_server_connection&) override {}
  void OnClientDrained(http_server_connection&) override {}
  void OnConnectionClosed(http_server_connection&) override {}

private:
  const gateway_codec& mCodec;
  const fleet_view& mFleet;
  gateway_metrics& mMetrics;
  const time_source& mTime;
  std::function<bool()> mReady;
};
