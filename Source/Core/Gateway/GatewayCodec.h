#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Gateway/GatewayTypes.h"
#include "Remote/RowStore.h"

/// Endpoints of a node apart from the requests that it forwards.
enum class node_endpoint : std::uint8_t
{
  Readiness,
  /// A client requests the addresses of nodes.
  ResolveAddresses,
  Other,
};

/// Translates between the messages of the platform and the types of the
/// gateway. It takes no decisions.
class gateway_codec
{
public:
  virtual ~gateway_codec() = default;

  virtual node_endpoint ReadEndpoint(
    const http_server_request& aRequest) const = 0;
  /// Zone of the client that requests addresses; empty if it names none.
  virtual std::string ReadResolveZone(
    const http_server_request& aRequest) const = 0;
  /// Host name whose addresses the client requests; empty if it names none.
  virtual std::string ReadResolveName(
    const http_server_request& aRequest) const = 0;
  /// Region of the client that requests addresses; empty if it names none.
  virtual region_id ReadResolveRegion(
    const http_server_request& aRequest) const = 0;
  virtual gateway_request ReadRequest(http_server_request aRequest,
                                      time_point aNow) const = 0;
  /// Head of the request to a server, including the framing headers.
  virtual std::string WriteSend(const gateway_request& aRequest,
                                const upstream_send& aSend) const = 0;
  /// Head of the request to another node, including the framing headers.
  virtual std::string WriteRelay(const gateway_request& aRequest,
                                 std::chrono::milliseconds aTimeLeft) const = 0;
  virtual upstream_answer ReadAnswer(
    const http_client_response& aResponse) const = 0;
  /// Body of the answer to `ResolveAddresses`.
  virtual std::string WriteAddresses(
    const std::vector<std::string>& aAddresses,
    std::chrono::milliseconds aLifetime) const = 0;

  /// Returns nothing if the document cannot be parsed.
  virtual std::optional<gateway_config> ReadConfig(
    std::string_view aDocument) const = 0;
  /// Zone whose servers the operator's row takes out of service; nothing for
  /// other rows. The name is empty if the row names no zone.
  virtual std::optional<zone_id> ReadEvacuation(const row_key& aKey) const = 0;
  /// Returns nothing if the row describes no usable server.
  virtual std::optional<server_entry> ReadUpstream(
    const stored_row& aRow) const = 0;

  /// Table and key of the operator's configuration; its store partition is
  /// empty.
  virtual std::string ConfigTable() const = 0;
  virtual std::string ConfigKey() const = 0;
  /// Table of the server entries; their store partition is empty.
  virtual std::string UpstreamTable() const = 0;
};
