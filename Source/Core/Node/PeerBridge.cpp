#include "Node/PeerBridge.h"

#include <utility>

namespace {

peer_charge ToPeer(const charge& aCharge)
{
  return { aCharge.mRequest,
           aCharge.mAccount,
           aCharge.mBudget,
           aCharge.mHolder,
           static_cast<std::uint64_t>(aCharge.mTokens),
           aCharge.mAt,
           aCharge.mFromSegment };
}

charge FromPeer(const peer_charge& aCharge)
{
  return { aCharge.mRequest,
           aCharge.mAccount,
           aCharge.mBudget,
           aCharge.mHolder,
           static_cast<std::int64_t>(aCharge.mTokens),
           aCharge.mTime,
           aCharge.mFromSegment };
}

quarantine_message ToPeer(const quarantine_notice& aNotice)
{
  return {
    aNotice.mContent,  static_cast<quarantine_message_state>(aNotice.mState),
    aNotice.mUpstream, aNotice.mNode,
    aNotice.mCrashes,  aNotice.mRetrying
  };
}

quarantine_notice FromPeer(const quarantine_message& aNotice)
{
  return { aNotice.mContent,  static_cast<quarantine_state>(aNotice.mState),
           aNotice.mUpstream, aNotice.mNode,
           aNotice.mCrashes,  aNotice.mRetrying };
}

hold_outcome ToHoldOutcome(const result<hold_charges_reply, peer_error>& aReply)
{
  if (aReply.has_error()) {
    return hold_outcome::Failed;
  }
  switch (aReply.value().mStatus) {
    case hold_charges_status::Held:
      return hold_outcome::Held;
    case hold_charges_status::HolderClosed:
      return hold_outcome::Closed;
    case hold_charges_status::Full:
      return hold_outcome::Failed;
  }
  return hold_outcome::Failed;
}

hold_charges_status ToHoldStatus(hold_outcome aOutcome)
{
  switch (aOutcome) {
    case hold_outcome::Held:
      return hold_charges_status::Held;
    case hold_outcome::Closed:
      return hold_charges_status::HolderClosed;
    case hold_outcome::Failed:
      return hold_charges_status::Full;
  }
  return hold_charges_status::Full;
}

/// True when all charges belong to one holder of the node that sent them. A
/// node may not send charges of other nodes.
bool BelongToSendersHolder(const node_id& aFrom,
                           const hold_charges_request& aMessage)
{
  for (const peer_charge& charge : aMessage.mCharges) {
    if (charge.mHolder.mNode != aFrom ||
        charge.mHolder != aMessage.mCharges.front().mHolder) {
      return false;
    }
  }
  return !aMessage.mCharges.empty();
}

} // namespace

void peer_bridge::Connect(peer_bridge_context aContext)
{
  mContext = std::move(aContext);
}

void peer_bridge::SendHeartbeats(
  const std::vector<outgoing_heartbeat>& aHeartbeats)
{
  for (const outgoing_heartbeat& out : aHeartbeats) {
    const node_id peer = out.mPeer;
    mContext.mClient->Heartbeat(
      { peer, out.mPeerAddress },
      out.mMessage,
      [this, peer](const result<heartbeat, peer_error>& aReply) {
        const time_point now = mContext.mTime->Now();
        if (aReply.has_value()) {
          mContext.mMembership->OnReply(peer, aReply.value(), now);
          mContext.mConfig->OnHint(aReply.value().mConfigVersion, now);
          return;
        }
        const auto error = IsRefusal(aReply.error())
                             ? heartbeat_error::Refused
                             : heartbeat_error::NoAnswer;
        mContext.mMembership->OnReply(peer, error, now);
      });
  }
}

void peer_bridge::SendChargeMessages(
  const std::shared_ptr<budget_system>& aBudget,
  const budget_output& aOutput)
{
  for (const hold_message& hold : aOutput.mHolds) {
    SendHold(aBudget, hold);
  }
  for (const drop_message& drop : aOutput.mDrops) {
    const member* backup = FindRun(drop.mTo);
    if (backup == nullptr) {
      continue;
    }
    // The reply is ignored: when a drop message is lost, the backup keeps its
    // copy and later checks it against the table service.
    mContext.mClient->DropCharges(
      { backup->mId, backup->mDescriptor.mPeerAddress },
      { aBudget->Self(), drop.mRequests },
      [](const result<peer_ack, peer_error>&) {});
  }
}

void peer_bridge::SendHold(const std::shared_ptr<budget_system>& aBudget,
                           const hold_message& aHold)
{
  const member* backup = FindRun(aHold.mTo);
  if (backup == nullptr) {
    aBudget->OnHoldReply(
      aHold.mId, hold_outcome::Failed, mContext.mTime->Now());
    mContext.mWake();
    return;
  }
  hold_charges_request message;
  for (const charge& charge : aHold.mCharges) {
    message.mCharges.push_back(ToPeer(charge));
  }
  mContext.mClient->HoldCharges(
    { backup->mId, backup->mDescriptor.mPeerAddress },
    message,
    [this, id = aHold.mId, weak = std::weak_ptr<budget_system>(aBudget)](
      const result<hold_charges_reply, peer_error>& aReply) {
      if (const auto budget = weak.lock()) {
        budget->OnHoldReply(id, ToHoldOutcome(aReply), mContext.mTime->Now());
        mContext.mWake();
      }
    });
}

void peer_bridge::BroadcastQuarantine(
  const std::vector<quarantine_notice>& aNotices)
{
  for (const quarantine_notice& notice : aNotices) {
    for (const auto& [id, member] : mMembers) {
      mContext.mClient->Quarantine({ id, member.mDescriptor.mPeerAddress },
                                   ToPeer(notice),
                                   [](const result<peer_ack, peer_error>&) {});
    }
  }
}

void peer_bridge::SetMembers(const std::vector<member>& aMembers,
                             const node_id& aSelf)
{
  mMembers.clear();
  for (const member& member : aMembers) {
    if (member.mId != aSelf && member.mState != member_state::Dead) {
      mMembers.emplace(member.mId, member);
    }
  }
}

heartbeat peer_bridge::OnHeartbeat(const node_id& /*aFrom*/,
                                   const heartbeat& aMessage)
{
  const time_point now = mContext.mTime->Now();
  mContext.mConfig->OnHint(aMessage.mConfigVersion, now);
  return mContext.mMembership->OnHeartbeat(aMessage, now);
}

hold_charges_reply peer_bridge::OnHoldCharges(
  const node_id& aFrom,
  const hold_charges_request& aMessage)
{
  if (!BelongToSendersHolder(aFrom, aMessage)) {
    return { hold_charges_status::Full };
  }
  std::vector<charge> charges;
  charges.reserve(aMessage.mCharges.size());
  for (const peer_charge& charge : aMessage.mCharges) {
    charges.push_back(FromPeer(charge));
  }
  const hold_outcome outcome = mContext.mBackup->OnHold(
    charges.front().mHolder, charges, mContext.mTime->Now());
  return { ToHoldStatus(outcome) };
}

void peer_bridge::OnDropCharges(const node_id& aFrom,
                                const drop_charges_request& aMessage)
{
  if (aMessage.mHolder.mNode == aFrom) {
    mContext.mBackup->OnDrop(aMessage.mHolder, aMessage.mRequests);
  }
}

void peer_bridge::OnQuarantine(const node_id& /*aFrom*/,
                               const quarantine_message& aMessage)
{
  mContext.mDispatch->OnQuarantineNotice(FromPeer(aMessage),
                                         mContext.mTime->Now());
  mContext.mWake();
}

const member* peer_bridge::FindRun(const incarnation_id& aRun) const
{
  const auto found = mMembers.find(aRun.mNode);
  if (found == mMembers.end() ||
      found->second.mIncarnation != aRun.mIncarnation) {
    return nullptr;
  }
  return &found->second;
}
