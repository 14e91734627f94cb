#pragma once

#include <vector>

#include "Peer/PeerClient.h"
#include "Peer/PeerServer.h"

/// Records the messages that a server receives.
class recording_handler final : public peer_handler
{
public:
  heartbeat OnHeartbeat(const node_id& aFrom,
                        const heartbeat& aMessage) override
  {
    mFrom = aFrom;
    mHeartbeats.push_back(aMessage);
    return mReply;
  }
  hold_charges_reply OnHoldCharges(const node_id& aFrom,
                                   const hold_charges& aMessage) override
  {
    mFrom = aFrom;
    mHeld.push_back(aMessage);
    return { mHoldStatus };
  }
  void OnDropCharges(const node_id& /*aFrom*/,
                     const drop_charges& aMessage) override
  {
    mDropped.push_back(aMessage);
  }
  void OnQuarantine(const node_id& /*aFrom*/,
                    const peer_quarantine& aMessage) override
  {
    mNotices.push_back(aMessage);
  }

  node_id mFrom;
  heartbeat mReply;
  hold_charges_status mHoldStatus = hold_charges_status::Held;
  std::vector<heartbeat> mHeartbeats;
  std::vector<hold_charges> mHeld;
  std::vector<drop_charges> mDropped;
  std::vector<peer_quarantine> mNotices;
};

inline std::unique_ptr<peer_server> ListenOn(
  const std::string& aNode,
  peer_handler& aHandler,
  const peer_key_ring& aKeys,
  std::string aAddress = "127.0.0.1:0")
{
  peer_server_settings settings;
  settings.mSelf = { aNode };
  settings.mAddress = std::move(aAddress);
  auto server = peer_server::Listen(settings, aKeys, aHandler);
  return server.has_value() ? std::move(server).value() : nullptr;
}
