#pragma once

#include <vector>

#include "Peer/PeerClient.h"
#include "Peer/PeerServer.h"

/// Records the messages that a server receives.
class recording_handler final : public peer_call_handler
{
public:
  heartbeat OnHeartbeat(const node_id& aFrom,
                        const heartbeat& aMessage) override
  {
    mFrom = aFrom;
    mHeartbeats.push_back(aMessage);
    return mReply;
  }
  hold_charges_reply OnHoldCharges(
    const node_id& aFrom,
    const hold_charges_request& aMessage) override
  {
    mFrom = aFrom;
    mHeld.push_back(aMessage);
    return { mHoldStatus };
  }
  void OnDropCharges(const node_id& /*aFrom*/,
                     const drop_charges_request& aMessage) override
  {
    mDropped.push_back(aMessage);
  }
  void OnQuarantine(const node_id& /*aFrom*/,
                    const quarantine_message& aMessage) override
  {
    mNotices.push_back(aMessage);
  }

  node_id mFrom;
  heartbeat mReply;
  hold_charges_status mHoldStatus = hold_charges_status::Held;
  std::vector<heartbeat> mHeartbeats;
  std::vector<hold_charges_request> mHeld;
  std::vector<drop_charges_request> mDropped;
  std::vector<quarantine_message> mNotices;
};

inline std::unique_ptr<peer_server> ListenOn(
  const std::string& aNode,
  peer_call_handler& aHandler,
  const peer_key_ring& aKeys,
  std::string aAddress = "127.0.0.1:0")
{
  peer_server_settings settings;
  settings.mSelf = { aNode };
  settings.mAddress = std::move(aAddress);
  auto server = peer_server::Listen(settings, aKeys, aHandler);
  return server.has_value() ? std::move(server).value() : nullptr;
}
