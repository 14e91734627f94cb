#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Identity.h"

/// Messages of the membership protocol as plain values. The Peer folder encodes
/// and sends them.

/// Health of a node as another node sees it.
enum class member_health : std::uint8_t
{
  Alive,
  /// Did not reply; not yet confirmed by another node.
  Suspect,
  Dead,
};

/// Location and addresses of a node.
struct member_descriptor
{
  zone_id mZone;
  region_id mRegion;
  /// `IP:port` for client requests.
  std::string mAddress;
  /// `IP:port` for messages between nodes.
  std::string mPeerAddress;
  auto operator<=>(const member_descriptor&) const = default;
};

/// State of a node that another node, or the node itself, reports.
struct member_update
{
  node_id mNode;
  std::uint64_t mIncarnation = 0;
  /// Incremented by the node itself to refute a wrong suspicion or death.
  /// Within an incarnation, an update with a higher value replaces earlier
  /// ones.
  std::uint32_t mCounter = 0;
  member_health mHealth = member_health::Alive;
  bool mLeaving = false;
  /// Present while other nodes may not know the node's addresses yet.
  std::optional<member_descriptor> mDescriptor;
  auto operator<=>(const member_update&) const = default;
};

/// A heartbeat message. The reply to one has the same form.
struct heartbeat
{
  /// The sender; its health is always `Alive`.
  member_update mFrom;
  /// Newest configuration version that the sender has heard of.
  std::uint64_t mConfigVersion = 0;
  /// Updates about other nodes, at most `kMaxUpdates`.
  std::vector<member_update> mUpdates;
  /// Nodes that the sender cannot reach and that the receiver should probe, at
  /// most `kMaxAskAbout`.
  std::vector<node_id> mProbeRequests;
  /// Nodes that the sender probed for the receiver and could not reach, at most
  /// `kMaxAskAbout`.
  std::vector<node_id> mUnreachable;
  auto operator<=>(const heartbeat&) const = default;
};

inline constexpr std::size_t kMaxUpdates = 8;
inline constexpr std::size_t kMaxAskAbout = 4;

/// A heartbeat to send, with the id and address of the receiver.
struct outgoing_heartbeat
{
  node_id mPeer;
  std::string mPeerAddress;
  heartbeat mMessage;
};

/// Reason why a heartbeat got no reply.
enum class heartbeat_error : std::uint8_t
{
  /// No connection, or no reply within the timeout.
  NoAnswer,
  /// A node replied but rejected the message because of its key or format.
  Refused,
};
