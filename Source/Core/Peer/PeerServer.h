#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Common/Identity.h"
#include "Common/Result.h"
#include "Peer/PeerKeys.h"
#include "Peer/PeerMessages.h"

/// Handles the calls of peers; implemented by the node. Called from the main
/// loop and only with authenticated messages. Must not destroy the server.
class peer_call_handler
{
public:
  virtual ~peer_call_handler() = default;
  virtual heartbeat OnHeartbeat(const node_id& aFrom,
                                const heartbeat& aMessage) = 0;
  virtual hold_charges_reply OnHoldCharges(
    const node_id& aFrom,
    const hold_charges_request& aMessage) = 0;
  virtual void OnDropCharges(const node_id& aFrom,
                             const drop_charges_request& aMessage) = 0;
  virtual void OnQuarantine(const node_id& aFrom,
                            const quarantine_message& aMessage) = 0;
};

struct peer_server_settings
{
  node_id mSelf;
  /// `IP:port` to listen on; port 0 selects a free port.
  std::string mAddress;
  std::size_t mMaxConnections = 1024;
  /// A connection without a valid call for this time is closed.
  std::chrono::milliseconds mIdleTimeout{ 60000 };
};

struct peer_server_counters
{
  std::uint64_t mConnections = 0;
  std::uint64_t mOpenConnections = 0;
  /// Connections closed at once because `mMaxConnections` were open.
  std::uint64_t mRejectedConnections = 0;
  std::uint64_t mCalls = 0;
  std::uint64_t mUnknownKey = 0;
  std::uint64_t mBadSignature = 0;
  std::uint64_t mReplayed = 0;
  std::uint64_t mWrongReceiver = 0;
  std::uint64_t mMalformed = 0;
  std::uint64_t mBytesIn = 0;
  std::uint64_t mBytesOut = 0;
};

enum class peer_listen_error : std::uint8_t
{
  BadAddress,
  /// The address is in use or not on this host.
  CannotBind,
};

/// Serves the calls of other nodes on the GLib main context of this thread.
class peer_server
{
public:
  static result<std::unique_ptr<peer_server>, peer_listen_error> Listen(
    peer_server_settings aSettings,
    peer_key_ring aKeys,
    peer_call_handler& aHandler);
  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  /// `IP:port` that the server listens on, with the actual port.
  const std::string& Address() const;
  /// Replaces the accepted keys. Open connections use the new keys from the
  /// next call on.
  void SetKeys(peer_key_ring aKeys);
  const peer_server_counters& Counters() const;

private:
  struct state;
  explicit peer_server(std::unique_ptr<state> aState);
  std::unique_ptr<state> mState;
};
