#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Gateway/GatewayTypes.h"
#include "Remote/RowStore.h"

/// Calls that arrive at a node beside the requests that it forwards.
enum class node_call : std::uint8_t
{
  Readiness,
  /// A client asks for addresses of nodes.
  ResolveAddresses,
  Other,
};

/// Names and formats that the surroundings of the gateway use. Decides
/// nothing.
class gateway_dialect
{
public:
  virtual ~gateway_dialect() = default;

  virtual node_call ReadCall(const http_server_request& aRequest) const = 0;
  /// Zone of the client that asks for addresses; empty when it names none.
  virtual std::string ReadResolveZone(
    const http_server_request& aRequest) const = 0;
  virtual gateway_request ReadRequest(http_server_request aRequest,
                                      time_point aNow) const = 0;
  /// Head of the request for a server, complete with framing.
  virtual std::string WriteSend(const gateway_request& aRequest,
                                const upstream_send& aSend) const = 0;
  virtual upstream_answer ReadAnswer(
    const http_client_response& aResponse) const = 0;
  /// Body of the answer to `ResolveAddresses`.
  virtual std::string WriteAddresses(
    const std::vector<std::string>& aAddresses,
    std::chrono::milliseconds aLifetime) const = 0;

  /// Nothing when the document cannot be read.
  virtual std::optional<gateway_config> ReadConfig(
    std::string_view aDocument) const = 0;
  /// Nothing when the row names no usable server.
  virtual std::optional<server_entry> ReadUpstream(
    const stored_row& aRow) const = 0;

  /// Table and key of the operator's configuration; its part is empty.
  virtual std::string ConfigTable() const = 0;
  virtual std::string ConfigKey() const = 0;
  /// Table of the servers' entries; their part is empty.
  virtual std::string UpstreamTable() const = 0;
};
