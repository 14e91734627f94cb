#pragma once

#include <cstdint>
#include <string_view>

/// Reason why a call to a peer has no result.
enum class peer_error : std::uint8_t
{
  /// The connection could not be opened, or it broke before the reply. In the
  /// latter case the peer may have handled the call.
  Unreachable,
  /// A recent attempt to connect failed and the backoff delay has not passed.
  /// The call was not sent.
  BackingOff,
  /// No reply within the timeout. The peer may have handled the call.
  Timeout,
  /// Too many calls in flight to this peer. The call was not sent.
  Overloaded,
  /// The address is not `IP:port`.
  BadAddress,
  /// This node has no key to sign with.
  NoKey,
  /// The peer has no key with this id.
  UnknownKey,
  /// The signature is wrong: the nodes have different secrets for one key id.
  BadSignature,
  /// The peer already received a call with this or a higher counter on the
  /// connection.
  Replayed,
  /// A node with another name runs at this address.
  WrongReceiver,
  /// One side could not decode the other's message.
  Malformed,
};

std::string_view PeerErrorName(peer_error aError);

/// True when the peer refused the key or the message. The call failed, but the
/// peer is running.
bool IsRefusal(peer_error aError);
