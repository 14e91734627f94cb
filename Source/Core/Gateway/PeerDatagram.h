#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "Gateway/FleetView.h"

/// Datagrams between nodes, as bytes of Cap'n Proto messages.

using peer_datagram = std::variant<node_report, token_request, token_transfer>;

std::string WritePeerDatagram(const peer_datagram& aDatagram);
/// Nothing when the bytes are malformed.
std::optional<peer_datagram> ParsePeerDatagram(std::string_view aBytes);
