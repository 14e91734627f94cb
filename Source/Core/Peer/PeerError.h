#pragma once

#include <cstdint>
#include <string_view>

/// Why a call to a peer brought no result.
enum class peer_error : std::uint8_t
{
  /// No connection, or it broke before the reply. The call may have been
  /// handled in the latter case.
  Unreachable,
  /// The connection failed shortly before; the next attempt is not due yet.
  /// The call was not sent.
  BackingOff,
  /// No reply in time. The call may have been handled.
  Timeout,
  /// Too many calls in flight to this peer. The call was not sent.
  Overloaded,
  /// The address is not `IP:port`.
  BadAddress,
  /// This node has no key to sign with.
  NoKey,
  /// The peer does not accept the key's name.
  UnknownKey,
  /// The signature does not fit: a different secret under the same name.
  BadSignature,
  /// The peer saw the call's counter before.
  Replayed,
  /// Another node runs at this address.
  WrongReceiver,
  /// One side could not read the other's message.
  Malformed,
};

std::string_view PeerErrorName(peer_error aError);

/// True when the peer refused the key or the message, so that a node runs
/// there although the call failed.
bool IsRefusal(peer_error aError);
