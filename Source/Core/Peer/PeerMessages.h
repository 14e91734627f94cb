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

/// Messages between nodes as plain values, and their wire form.

/// A charge that is not in the table service yet.
struct peer_charge
{
  request_id mRequest;
  account_id mAccount;
  budget_id mBudget;
  holder_id mHolder;
  std::uint64_t mTokens = 0;
  wall_time mTime;
  /// Log position that the holder knew when it reserved.
  std::uint64_t mFromSegment = 0;
  auto operator<=>(const peer_charge&) const = default;
};

/// Asks a peer to keep charges until they are dropped.
struct hold_charges
{
  std::vector<peer_charge> mCharges;
  auto operator<=>(const hold_charges&) const = default;
};

enum class hold_status : std::uint8_t
{
  /// The peer keeps all the charges.
  Held,
  /// The peer closed this holder; the sender must start again with a new
  /// incarnation.
  HolderClosed,
  /// The peer has no room; it keeps none of the charges.
  Full,
};

struct hold_charges_reply
{
  hold_status mStatus = hold_status::Held;
  auto operator<=>(const hold_charges_reply&) const = default;
};

/// Tells a peer that charges of a holder are in the table service.
struct drop_charges
{
  holder_id mHolder;
  std::vector<request_id> mRequests;
  auto operator<=>(const drop_charges&) const = default;
};

enum class peer_quarantine_state : std::uint8_t
{
  Suspect,
  Cleared,
  Quarantined,
};

/// Tells a peer what is known about a content that may crash upstreams.
struct peer_quarantine
{
  content_id mContent;
  peer_quarantine_state mState = peer_quarantine_state::Suspect;
  /// The upstream that crashed; empty for `Cleared`.
  upstream_id mUpstream;
  /// The node that saw it.
  node_id mNode;
  /// Crashes that the sender knows of.
  std::uint32_t mCrashes = 0;
  /// The sender is going to try the content again.
  bool mRetrying = false;
  auto operator<=>(const peer_quarantine&) const = default;
};

/// Reply without content.
struct peer_ack
{
  auto operator<=>(const peer_ack&) const = default;
};

/// Wire form: packed Cap'n Proto. Reading gives nothing for text that is
/// malformed or beyond the bounds.
std::string EncodeMessage(const heartbeat& aMessage);
std::string EncodeMessage(const hold_charges& aMessage);
std::string EncodeMessage(const hold_charges_reply& aMessage);
std::string EncodeMessage(const drop_charges& aMessage);
std::string EncodeMessage(const peer_quarantine& aMessage);
std::string EncodeMessage(const peer_ack& aMessage);

bool DecodeMessage(std::string_view aText, heartbeat& aMessage);
bool DecodeMessage(std::string_view aText, hold_charges& aMessage);
bool DecodeMessage(std::string_view aText, hold_charges_reply& aMessage);
bool DecodeMessage(std::string_view aText, drop_charges& aMessage);
bool DecodeMessage(std::string_view aText, peer_quarantine& aMessage);
bool DecodeMessage(std::string_view aText, peer_ack& aMessage);
