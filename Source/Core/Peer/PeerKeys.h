#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Identity.h"

/// A secret that the nodes of a fleet share to sign calls between them.
struct peer_key
{
  /// Key id, sent with each call.
  std::string mId;
  std::string mSecret;
  auto operator<=>(const peer_key&) const = default;
};

/// The keys that a node accepts. Calls are signed with the first one. There are
/// two keys during a key rotation.
class peer_key_ring
{
public:
  peer_key_ring() = default;
  explicit peer_key_ring(std::vector<peer_key> aKeys)
    : mKeys(std::move(aKeys))
  {
  }

  /// The key to sign with; null when the ring is empty.
  const peer_key* Signing() const;
  /// The key with an id; null when there is none.
  const peer_key* Find(std::string_view aId) const;

private:
  std::vector<peer_key> mKeys;
};

/// Size of the nonce that each side sends when a connection opens, in bytes.
inline constexpr std::size_t kNonceBytes = 16;

enum class peer_method : std::uint8_t
{
  Heartbeat,
  HoldCharges,
  DropCharges,
  Quarantine,
};

/// The connection that a signature is bound to. Signatures also cover method,
/// direction and counter, so that a recorded message is not valid on another
/// connection, in the other direction, a second time or for another receiver.
struct peer_signing_context
{
  node_id mCaller;
  node_id mReceiver;
  std::string mCallerNonce;
  std::string mReceiverNonce;
};

using peer_signature = std::array<std::uint8_t, 32>;

/// HMAC-SHA256 of a call (`aReply` false) or of its reply (`aReply` true).
peer_signature SignMessage(const peer_key& aKey,
                           const peer_signing_context& aContext,
                           bool aReply,
                           peer_method aMethod,
                           std::uint64_t aCounter,
                           std::string_view aContent);

/// Compares in constant time, so that the duration reveals nothing about the
/// expected signature.
bool SignaturesMatch(const peer_signature& aExpected, std::string_view aActual);

/// Creates a random nonce of `kNonceBytes` bytes for a connection.
std::string MakeNonce();
