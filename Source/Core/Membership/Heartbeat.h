#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Identity.h"

/// Messages that nodes exchange about each other. Plain values; the Peer
/// folder encodes them.

/// How a node is judged to be running.
enum class member_health : std::uint8_t
{
  Alive,
  /// Did not answer; not yet confirmed by another node.
  Suspect,
  Dead,
};

/// Where a node is and how it is reached.
struct member_descriptor
{
  zone_id mZone;
  region_id mRegion;
  /// `IP:port` for callers.
  std::string mAddress;
  /// `IP:port` for messages between nodes.
  std::string mPeerAddress;
  auto operator<=>(const member_descriptor&) const = default;
};

/// What one node tells about another, or about itself.
struct member_update
{
  node_id mNode;
  std::uint64_t mIncarnation = 0;
  /// Raised by the node itself to refute a wrong suspicion or death.
  std::uint32_t mCounter = 0;
  member_health mHealth = member_health::Alive;
  bool mLeaving = false;
  /// Present while the fleet may not know the node's addresses yet.
  std::optional<member_descriptor> mDescriptor;
  auto operator<=>(const member_update&) const = default;
};

/// A heartbeat, and equally the reply to one.
struct heartbeat
{
  /// The sender itself; its health is always Alive.
  member_update mFrom;
  /// Newest configuration version that the sender knows to exist.
  std::uint64_t mConfigVersion = 0;
  /// Updates about other nodes, at most `kMaxUpdates`.
  std::vector<member_update> mUpdates;
  /// Nodes that the sender cannot reach and asks the receiver to try.
  std::vector<node_id> mAskAbout;
  /// Nodes that the receiver asked about and the sender cannot reach either.
  std::vector<node_id> mUnreached;
  auto operator<=>(const heartbeat&) const = default;
};

inline constexpr std::size_t kMaxUpdates = 8;
inline constexpr std::size_t kMaxAskAbout = 4;

/// A heartbeat to send: the peer's identity and address, and the message.
struct outgoing_heartbeat
{
  node_id mPeer;
  std::string mPeerAddress;
  heartbeat mMessage;
};

/// Why a heartbeat brought no reply.
enum class heartbeat_error : std::uint8_t
{
  /// No connection, or no answer in time.
  NoAnswer,
  /// A node answered, but refused the message (key, format).
  Refused,
};
