#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/Identity.h"
#include "Common/Result.h"
#include "Common/Time.h"
#include "Peer/PeerError.h"
#include "Peer/PeerKeys.h"
#include "Peer/PeerMessages.h"

/// A peer and the address of its server for calls between nodes.
struct peer_target
{
  node_id mNode;
  /// `IP:port`
  std::string mAddress;
  auto operator<=>(const peer_target&) const = default;
};

struct peer_client_settings
{
  node_id mSelf;
  /// Timeout of a call, including connecting, sending and the reply.
  std::chrono::milliseconds mTimeout{ 1000 };
  /// Delay before the next attempt to connect. Doubles with every failure up to
  /// `mMaxBackoff`, which stays below the interval between two heartbeats to a
  /// suspect member, so that each of them is a new attempt to connect.
  std::chrono::milliseconds mBackoff{ 100 };
  std::chrono::milliseconds mMaxBackoff{ 1000 };
  /// Largest number of calls in flight to one peer.
  std::size_t mMaxInFlight = 256;
  /// A connection without a new call for this time is closed.
  std::chrono::milliseconds mIdleTimeout{ 30000 };
};

/// Counters since the client was created. `mFailed` counts calls without a
/// result; timeouts and refusals are part of it.
struct peer_client_counters
{
  std::uint64_t mCalls = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mTimeouts = 0;
  std::uint64_t mRefusals = 0;
  std::uint64_t mConnects = 0;
  std::uint64_t mConnectFailures = 0;
  std::uint64_t mBytesIn = 0;
  std::uint64_t mBytesOut = 0;
};

class peer_client_state;

/// Calls other nodes over one lazily opened connection each, on the GLib main
/// context of this thread. Each callback is called exactly once, from the main
/// loop and never from inside the call, and not after the client is destroyed.
/// A callback may destroy the client.
class peer_client
{
public:
  template<class Reply>
  using callback = std::function<void(result<Reply, peer_error>)>;

  peer_client(peer_client_settings aSettings, peer_key_ring aKeys);
  ~peer_client();
  peer_client(const peer_client&) = delete;
  peer_client& operator=(const peer_client&) = delete;

  void Heartbeat(const peer_target& aTarget,
                 const heartbeat& aMessage,
                 callback<heartbeat> aReply);
  void HoldCharges(const peer_target& aTarget,
                   const hold_charges_request& aMessage,
                   callback<hold_charges_reply> aReply);
  void DropCharges(const peer_target& aTarget,
                   const drop_charges_request& aMessage,
                   callback<peer_ack> aReply);
  void Quarantine(const peer_target& aTarget,
                  const quarantine_message& aMessage,
                  callback<peer_ack> aReply);

  /// Replaces the keys. New calls are signed with the first one.
  void SetKeys(peer_key_ring aKeys);
  const peer_client_counters& Counters() const;

private:
  // Shared, so that it outlives a running callback that destroys the client.
  std::shared_ptr<peer_client_state> mState;
};
