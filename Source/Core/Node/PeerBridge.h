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

/// The systems that talk to peers; all outlive the bridge.
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

/// Carries the messages of the pure systems to other nodes and back.
class peer_bridge final : public peer_handler
{
public:
  /// Before `Connect` there must be no call.
  peer_bridge() = default;
  void Connect(peer_bridge_context aContext);

  void Send(const std::vector<outgoing_heartbeat>& aHeartbeats);
  /// The hold and drop messages of a budget system.
  void Send(const std::shared_ptr<budget_system>& aBudget,
            const budget_output& aOutput);
  /// Tells every other member.
  void Send(const std::vector<quarantine_notice>& aNotices);

  /// Where the members are.
  void SetMembers(const std::vector<member>& aMembers, const node_id& aSelf);

  heartbeat OnHeartbeat(const node_id& aFrom,
                        const heartbeat& aMessage) override;
  hold_charges_reply OnHoldCharges(const node_id& aFrom,
                                   const hold_charges& aMessage) override;
  void OnDropCharges(const node_id& aFrom,
                     const drop_charges& aMessage) override;
  void OnQuarantine(const node_id& aFrom,
                    const peer_quarantine& aMessage) override;

private:
  void SendHold(const std::shared_ptr<budget_system>& aBudget,
                const hold_message& aHold);
  const member* FindRun(const holder_id& aRun) const;

  peer_bridge_context mContext;
  std::map<node_id, member> mMembers;
};
