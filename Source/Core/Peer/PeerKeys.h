#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Identity.h"

/// A secret that the nodes of a fleet share.
struct peer_key
{
  /// Short name, sent with each call.
  std::string mId;
  std::string mSecret;
  auto operator<=>(const peer_key&) const = default;
};

/// The keys that a node accepts. New calls are signed with the first. During
/// a rotation there are two.
class peer_key_ring
{
public:
  peer_key_ring() = default;
  explicit peer_key_ring(std::vector<peer_key> aKeys)
    : mKeys(std::move(aKeys))
  {
  }

  /// The key to sign with, null when there is none.
  const peer_key* Signing() const;
  /// The key of a name, null when it is not accepted.
  const peer_key* Find(std::string_view aId) const;

private:
  std::vector<peer_key> mKeys;
};

/// Number of random bytes that each side adds to a connection.
inline constexpr std::size_t kNonceBytes = 16;

enum class peer_method : std::uint8_t
{
  Heartbeat,
  HoldCharges,
  DropCharges,
  Quarantine,
};

/// Everything that a signature binds besides the content: a message taken from
/// one connection, direction, position or receiver is not valid in another.
struct peer_scope
{
  node_id mCaller;
  node_id mReceiver;
  std::string mCallerNonce;
  std::string mReceiverNonce;
};

using peer_signature = std::array<std::uint8_t, 32>;

/// HMAC-SHA256 of a call (`aReply` false) or of its reply.
peer_signature SignMessage(const peer_key& aKey,
                           const peer_scope& aScope,
                           bool aReply,
                           peer_method aMethod,
                           std::uint64_t aCounter,
                           std::string_view aContent);

/// Compares in constant time.
bool SameSignature(const peer_signature& aExpected, std::string_view aGiven);

/// Random bytes for a connection.
std::string MakeNonce();
