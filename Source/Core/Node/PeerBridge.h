#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Budget/BudgetSystem.h"
#include "Budget/ChargeBackup.h"
#include "Common/Time.h"
#include "Config/ConfigFollower.h"
#include "Dispatch/DispatchSystem.h"
#include "Membership/MembershipSystem.h"
#include "Peer/PeerClient.h"
#include "Peer/PeerServer.h"

/// The systems that exchange messages with peers; all must outlive the bridge.
struct peer_bridge_context
{
  membership_system* mMembership = nullptr;
  charge_backup* mBackup = nullptr;
  dispatch_system* mDispatch = nullptr;
  config_follower* mConfig = nullptr;
  peer_client* mClient = nullptr;
  const time_source* mTime = nullptr;
  std::function<void()> mWake;
};

/// Connects the systems that do no I/O themselves with the peer client and
/// server: sends their messages and passes on requests and replies of peers.
class peer_bridge final : public peer_call_handler
{
public:
  /// `Connect` must be called before any other member function.
  peer_bridge() = default;
  void Connect(peer_bridge_context aContext);

  void SendHeartbeats(const std::vector<outgoing_heartbeat>& aHeartbeats);
  /// Sends the hold and drop messages of a budget system to its charge backups.
  void SendChargeMessages(const std::shared_ptr<budget_system>& aBudget,
                          const budget_output& aOutput);
  /// Broadcasts quarantine notices to all members but this node.
  void BroadcastQuarantine(const std::vector<quarantine_notice>& aNotices);

  /// Updates the peers that messages are sent to; dead members are left out.
  void SetMembers(const std::vector<member>& aMembers, const node_id& aSelf);

  heartbeat OnHeartbeat(const node_id& aFrom,
                        const heartbeat& aMessage) override;
  hold_charges_reply OnHoldCharges(
    const node_id& aFrom,
    const hold_charges_request& aMessage) override;
  void OnDropCharges(const node_id& aFrom,
                     const drop_charges_request& aMessage) override;
  void OnQuarantine(const node_id& aFrom,
                    const quarantine_message& aMessage) override;

private:
  void SendHold(const std::shared_ptr<budget_system>& aBudget,
                const hold_message& aHold);
  const member* FindRun(const incarnation_id& aRun) const;

  peer_bridge_context mContext;
  std::map<node_id, member> mMembers;
};
