#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Admission/OfferedCosts.h"
#include "Capacity/ServerEstimates.h"
#include "Gateway/CrashHistory.h"
#include "Gateway/FleetView.h"
#include "Gateway/LoadNotices.h"
#include "Gateway/StreamOrigins.h"

/// Encodes datagrams between nodes as packed Cap'n Proto messages, apart from
/// `offered_notice`.

/// Costs that clients offer at a node, sent with its report. The layout is four
/// bytes that begin no packed message of one segment, the node's key
/// (little-endian) and the entries. Nodes that do not know it drop it.
struct offered_notice
{
  /// See `NodeKey`.
  std::uint32_t mNode = 0;
  std::vector<offered_cost> mCosts;
  bool operator==(const offered_notice&) const = default;
};

using peer_datagram = std::variant<node_report,
                                   token_request,
                                   token_transfer,
                                   crash_notice,
                                   pause_notice,
                                   stream_notice,
                                   stream_query,
                                   stream_answer,
                                   capacity_notice,
                                   load_notice,
                                   offered_notice>;

std::string WritePeerDatagram(const peer_datagram& aDatagram);
/// Returns nothing if the bytes are malformed.
std::optional<peer_datagram> ParsePeerDatagram(std::string_view aBytes);
