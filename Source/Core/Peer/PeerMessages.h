#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Identity.h"
#include "Common/Result.h"
#include "Common/Time.h"
#include "Membership/Heartbeat.h"

/// Messages between nodes as plain values, and functions to encode and decode
/// them.

/// A charge that is not in the table service yet, as sent to charge backups.
struct peer_charge
{
  request_id mRequest;
  account_id mAccount;
  budget_id mBudget;
  incarnation_id mHolder;
  std::uint64_t mTokens = 0;
  wall_time mTime;
  /// First ledger segment that may contain the charge: the next segment known
  /// to the holder when it reserved.
  std::uint64_t mFromSegment = 0;
  auto operator<=>(const peer_charge&) const = default;
};

/// Asks a peer to keep copies of charges until a `drop_charges_request`
/// message.
struct hold_charges_request
{
  std::vector<peer_charge> mCharges;
  auto operator<=>(const hold_charges_request&) const = default;
};

enum class hold_charges_status : std::uint8_t
{
  /// The peer keeps all the charges.
  Held,
  /// The peer closed this holder. The sender must continue with a new
  /// incarnation.
  HolderClosed,
  /// The peer's storage for charges is full; it keeps none of them.
  Full,
};

struct hold_charges_reply
{
  hold_charges_status mStatus = hold_charges_status::Held;
  auto operator<=>(const hold_charges_reply&) const = default;
};

/// Tells a peer that charges of a holder are in the table service, so that it
/// can drop its copies.
struct drop_charges_request
{
  incarnation_id mHolder;
  std::vector<request_id> mRequests;
  auto operator<=>(const drop_charges_request&) const = default;
};

enum class quarantine_message_state : std::uint8_t
{
  Suspect,
  Cleared,
  Quarantined,
};

/// Wire form of a `quarantine_notice`: what the sender knows about a request
/// content that may crash upstreams.
struct quarantine_message
{
  content_id mContent;
  quarantine_message_state mState = quarantine_message_state::Suspect;
  /// The upstream that crashed; empty for `Cleared`.
  upstream_id mUpstream;
  /// The node that detected the crash.
  node_id mNode;
  /// Number of crashes that the sender knows of.
  std::uint32_t mCrashes = 0;
  /// The sender is about to run the content again.
  bool mRetrying = false;
  auto operator<=>(const quarantine_message&) const = default;
};

/// Reply without content.
struct peer_ack
{
  auto operator<=>(const peer_ack&) const = default;
};

/// Encodes a message as packed Cap'n Proto.
std::string EncodeMessage(const heartbeat& aMessage);
std::string EncodeMessage(const hold_charges_request& aMessage);
std::string EncodeMessage(const hold_charges_reply& aMessage);
std::string EncodeMessage(const drop_charges_request& aMessage);
std::string EncodeMessage(const quarantine_message& aMessage);
std::string EncodeMessage(const peer_ack& aMessage);

/// Decodes a message. Returns false when the text is malformed or exceeds the
/// limits on list lengths and message size.
bool DecodeMessage(std::string_view aText, heartbeat& aMessage);
bool DecodeMessage(std::string_view aText, hold_charges_request& aMessage);
bool DecodeMessage(std::string_view aText, hold_charges_reply& aMessage);
bool DecodeMessage(std::string_view aText, drop_charges_request& aMessage);
bool DecodeMessage(std::string_view aText, quarantine_message& aMessage);
bool DecodeMessage(std::string_view aText, peer_ack& aMessage);
