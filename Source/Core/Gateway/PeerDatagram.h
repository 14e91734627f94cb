#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "Capacity/ServerEstimates.h"
#include "Gateway/CrashHistory.h"
#include "Gateway/FleetView.h"
#include "Gateway/LoadNotices.h"
#include "Gateway/StreamOrigins.h"

/// Encodes datagrams between nodes as packed Cap'n Proto messages.

using peer_datagram = std::variant<node_report,
                                   token_request,
                                   token_transfer,
                                   crash_notice,
                                   pause_notice,
                                   stream_notice,
                                   stream_query,
                                   stream_answer,
                                   capacity_notice,
                                   load_notice>;

std::string WritePeerDatagram(const peer_datagram& aDatagram);
/// Returns nothing if the bytes are malformed.
std::optional<peer_datagram> ParsePeerDatagram(std::string_view aBytes);
