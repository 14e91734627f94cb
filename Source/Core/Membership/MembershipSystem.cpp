#include "Membership/MembershipSystem.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Common/Hash.h"

namespace {

/// Limit per tick of the checks of members that were reported dead, so that a
/// partition of many nodes does not cause unlimited traffic.
constexpr std::size_t kMaxDeathChecksPerTick = 1;

std::vector<std::uint64_t> RingPositions(const node_id& aId, std::size_t aRings)
{
  std::vector<std::uint64_t> positions;
  for (std::size_t ring = 0; ring < aRings; ++ring) {
    positions.push_back(StableHash(aId.mName, ring + 1));
  }
  return positions;
}

} // namespace

membership_system::membership_system(local_member aSelf,
                                     membership_settings aSettings,
                                     std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mRandom(aSeed)
  , mRingPositions(RingPositions(mSelf.mId, mSettings.mPeerCount))
{
}

std::vector<outgoing_heartbeat> membership_system::Tick(time_point aNow)
{
  ExtendDeadlinesAfterPause(aNow);
  ExpireReplyDeadlines(aNow);
  ExpireSuspicions(aNow);
  ForgetMembers(aNow);
  UpdatePeers(aNow);
  QueueDueHeartbeats(aNow);
  QueueDeathChecks();
  QueueDeadRetry(aNow);

  std::vector<outgoing_heartbeat> messages;
  for (const node_id& id : std::exchange(mHeartbeatsDue, {})) {
    const member_row* row = mTable.Find(id);
    if (row == nullptr || row->mDescriptor.mPeerAddress.empty()) {
      continue;
    }
    ++mCounters.mHeartbeatsSent;
    mReplyDeadlines[id] = aNow + mSettings.mReplyTimeout;
    messages.push_back({ id, row->mDescriptor.mPeerAddress, MakeMessage(id) });
  }
  return messages;
}

heartbeat membership_system::OnHeartbeat(const heartbeat& aMessage,
                                         time_point aNow)
{
  ++mCounters.mHeartbeatsReceived;
  ApplyMessage(aMessage, aNow);
  AcceptProbeRequests(aMessage);
  return MakeMessage(aMessage.mFrom.mNode);
}

void membership_system::OnReply(
  const node_id& aPeer,
  const result<heartbeat, heartbeat_error>& aReply,
  time_point aNow)
{
  mReplyDeadlines.erase(aPeer);
  if (aReply.has_value()) {
    ApplyMessage(aReply.value(), aNow);
    QueueProbeResults(aPeer, true);
    return;
  }
  if (aReply.error() == heartbeat_error::NoAnswer) {
    OnNoAnswer(aPeer, aNow);
    return;
  }
  ++mCounters.mRefused;
  // A process replied at this address, so the suspicion is withdrawn.
  member_row* row = mTable.Find(aPeer);
  if (row != nullptr) {
    row->mUnreachableLocally = false;
    row->mConfirmed = false;
  }
}

void membership_system::BeginLeaving(time_point /*aNow*/)
{
  if (mLeaving) {
    return;
  }
  mLeaving = true;
  mTable.BumpVersion();
  for (const auto& [id, peer] : mPeers) {
    QueueHeartbeat(id);
  }
}

void membership_system::SetConfigVersion(std::uint64_t aVersion)
{
  mConfigVersion = std::max(mConfigVersion, aVersion);
}

std::vector<member> membership_system::Members() const
{
  std::vector<member> members;
  const member self{
    mSelf.mId, mSelf.mIncarnation, mSelf.mDescriptor, SelfState()
  };
  bool added = false;
  for (const auto& [id, row] : mTable.Rows()) {
    if (!added && mSelf.mId < id) {
      members.push_back(self);
      added = true;
    }
    members.push_back({ id, row.mIncarnation, row.mDescriptor, row.State() });
  }
  if (!added) {
    members.push_back(self);
  }
  return members;
}

member_state membership_system::SelfState() const
{
  return mLeaving || mSelfListedLeaving ? member_state::Leaving
                                        : member_state::Alive;
}

std::optional<member_state> membership_system::StateOf(const node_id& aId) const
{
  if (aId == mSelf.mId) {
    return SelfState();
  }
  const member_row* row = mTable.Find(aId);
  return row == nullptr ? std::optional<member_state>() : row->State();
}

std::vector<member_event> membership_system::TakeEvents()
{
  return std::exchange(mEvents, {});
}

std::vector<node_id> membership_system::Peers() const
{
  std::vector<node_id> peers;
  for (const auto& [id, peer] : mPeers) {
    peers.push_back(id);
  }
  return peers;
}

void membership_system::AddEvent(member_event_kind aKind,
                                 const member_row& aRow)
{
  mEvents.push_back({ aKind, { aRow.mId, aRow.mIncarnation } });
}

// Each peer is the successor of this node on a hash ring; the rings order all
// members by different hashes. Every node thus receives heartbeats from as many
// nodes as it sends them to, and few peers change when a node joins or leaves.
void membership_system::UpdatePeers(time_point aNow)
{
  if (mPeersTopologyVersion == mTable.TopologyVersion()) {
    return;
  }
  mPeersTopologyVersion = mTable.TopologyVersion();
  for (auto& [id, row] : mTable.Rows()) {
    if (row.mRingPositions.empty()) {
      row.mRingPositions = RingPositions(id, mSettings.mPeerCount);
    }
  }
  std::map<node_id, peer_schedule> peers;
  for (const node_id& id : RingPeers()) {
    const auto known = mPeers.find(id);
    peers[id] = known == mPeers.end() ? peer_schedule{ aNow } : known->second;
  }
  mPeers = std::move(peers);
}

std::vector<node_id> membership_system::RingPeers() const
{
  std::vector<node_id> peers;
  bool otherZone = false;
  for (std::size_t ring = 0; ring < mSettings.mPeerCount; ++ring) {
    // If all peers so far are in this node's zone, the last one is taken from
    // another zone.
    const bool last = ring + 1 == mSettings.mPeerCount;
    const member_row* row = Successor(ring, peers, last && !otherZone);
    if (row == nullptr) {
      row = Successor(ring, peers, false);
    }
    if (row == nullptr) {
      break;
    }
    otherZone = otherZone || row->mDescriptor.mZone != mSelf.mDescriptor.mZone;
    peers.push_back(row->mId);
  }
  return peers;
}

const member_row* membership_system::Successor(
  std::size_t aRing,
  const std::vector<node_id>& aTaken,
  bool aOtherZone) const
{
  const std::uint64_t origin = mRingPositions[aRing];
  const member_row* nearest = nullptr;
  std::uint64_t nearestDistance = std::numeric_limits<std::uint64_t>::max();
  for (const auto& [id, row] : mTable.Rows()) {
    const bool taken =
      std::find(aTaken.begin(), aTaken.end(), id) != aTaken.end();
    const bool wrongZone =
      aOtherZone && row.mDescriptor.mZone == mSelf.mDescriptor.mZone;
    if (taken || wrongZone || row.mHealth == member_health::Dead) {
      continue;
    }
    const std::uint64_t distance = row.mRingPositions[aRing] - origin;
    if (distance < nearestDistance) {
      nearestDistance = distance;
      nearest = &row;
    }
  }
  return nearest;
}

void membership_system::QueueDueHeartbeats(time_point aNow)
{
  std::uniform_real_distribution<double> jitter(0.75, 1.0);
  for (auto& [id, peer] : mPeers) {
    if (peer.mNextHeartbeat > aNow || mReplyDeadlines.contains(id)) {
      continue;
    }
    QueueHeartbeat(id);
    const member_row* row = mTable.Find(id);
    const bool suspect = row != nullptr && row->mUnreachableLocally;
    const auto interval =
      suspect ? mSettings.mSuspectRetryInterval : mSettings.mHeartbeatInterval;
    // Jitter: otherwise nodes that start at the same time would send all their
    // heartbeats at the same time.
    peer.mNextHeartbeat =
      aNow + std::chrono::milliseconds(static_cast<std::int64_t>(
               static_cast<double>(interval.count()) * jitter(mRandom)));
  }
}

void membership_system::QueueDeathChecks()
{
  for (std::size_t i = 0; i < kMaxDeathChecksPerTick && !mDeathChecks.empty();
       ++i) {
    // Random, since otherwise all nodes would check the same member.
    std::uniform_int_distribution<std::size_t> pick(0, mDeathChecks.size() - 1);
    const auto chosen = std::next(mDeathChecks.begin(),
                                  static_cast<std::ptrdiff_t>(pick(mRandom)));
    QueueHeartbeat(*chosen);
    mDeathChecks.erase(chosen);
  }
}

// A dead member may be on the other side of a partition. A random one is tried
// every `mDeadRetryInterval`, so the traffic does not depend on the number of
// dead members.
void membership_system::QueueDeadRetry(time_point aNow)
{
  if (mNextDeadRetry && *mNextDeadRetry > aNow) {
    return;
  }
  mNextDeadRetry = aNow + mSettings.mDeadRetryInterval;
  std::vector<node_id> dead;
  for (const auto& [id, row] : mTable.Rows()) {
    if (row.mHealth == member_health::Dead) {
      dead.push_back(id);
    }
  }
  if (!dead.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0, dead.size() - 1);
    QueueHeartbeat(dead[pick(mRandom)]);
  }
}
