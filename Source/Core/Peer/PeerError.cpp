#include "Peer/PeerError.h"

std::string_view PeerErrorName(peer_error aError)
{
  switch (aError) {
    case peer_error::Unreachable:
      return "unreachable";
    case peer_error::BackingOff:
      return "backing_off";
    case peer_error::Timeout:
      return "timeout";
    case peer_error::Overloaded:
      return "overloaded";
    case peer_error::BadAddress:
      return "bad_address";
    case peer_error::NoKey:
      return "no_key";
    case peer_error::UnknownKey:
      return "unknown_key";
    case peer_error::BadSignature:
      return "bad_signature";
    case peer_error::Replayed:
      return "replayed";
    case peer_error::WrongReceiver:
      return "wrong_receiver";
    case peer_error::Malformed:
      return "malformed";
  }
  return "unknown";
}

bool IsRefusal(peer_error aError)
{
  return aError == peer_error::UnknownKey ||
         aError == peer_error::BadSignature || aError == peer_error::Replayed ||
         aError == peer_error::Malformed;
}
