#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "Common/Identity.h"
#include "Common/Result.h"
#include "Common/Time.h"
#include "Membership/Heartbeat.h"
#include "Membership/MemberTable.h"
#include "Membership/RumorQueue.h"
#include "Remote/HostList.h"

/// Intervals, timeouts and limits of the membership protocol.
struct membership_settings
{
  /// Number of peers that this node sends heartbeats to.
  std::size_t mPeerCount = 6;
  /// Interval between two heartbeats to the same peer, reduced by up to a
  /// quarter at random.
  std::chrono::milliseconds mHeartbeatInterval{ 3000 };
  /// A heartbeat counts as unanswered when the transport has reported neither a
  /// reply nor a failure for this time. Should exceed the transport's timeout.
  std::chrono::milliseconds mReplyTimeout{ 2000 };
  /// Interval between two attempts to reach a suspect.
  std::chrono::milliseconds mSuspectRetryInterval{ 1000 };
  /// Time that a suspect has to refute the suspicion.
  std::chrono::milliseconds mSuspicionTimeout{ 4000 };
  /// Number of members that are asked to confirm a suspicion.
  std::size_t mConfirmerCount = 3;
  /// Interval between two attempts to reach a random dead member.
  std::chrono::milliseconds mDeadRetryInterval{ 2000 };
  /// Time after which a dead member that is no longer listed is removed.
  std::chrono::milliseconds mForgetDelay{ 60000 };
  auto operator<=>(const membership_settings&) const = default;
};

/// The local node.
struct local_member
{
  node_id mId;
  /// Higher than that of every earlier process of the same node.
  std::uint64_t mIncarnation = 0;
  member_descriptor mDescriptor;
};

/// Kinds of changes that `TakeEvents` reports.
enum class member_event_kind : std::uint8_t
{
  /// An incarnation of a node was heard of for the first time.
  Joined,
  /// The node takes no new work. Also reported for the local node when the host
  /// list marks it as leaving.
  Leaving,
  /// The incarnation is dead or was replaced by a higher one. For the local
  /// node: a higher incarnation exists, so this process must end.
  Dead,
  /// An incarnation that was declared dead is running.
  Returned,
};

/// A change of a member.
struct member_event
{
  member_event_kind mKind = member_event_kind::Joined;
  /// The node and its incarnation; 0 for a node that never sent a heartbeat.
  incarnation_id mRun;
  auto operator<=>(const member_event&) const = default;
};

/// Counts since the start of the process.
struct membership_counters
{
  std::uint64_t mHeartbeatsSent = 0;
  std::uint64_t mHeartbeatsReceived = 0;
  std::uint64_t mUnanswered = 0;
  std::uint64_t mRefused = 0;
  /// Members that this node suspected because they did not reply.
  std::uint64_t mSuspicions = 0;
  /// Suspicions and deaths that the member refuted.
  std::uint64_t mRefuted = 0;
  std::uint64_t mDeclaredDead = 0;
  /// Number of times that this node refuted its own suspicion or death.
  std::uint64_t mSelfRefuted = 0;
  auto operator<=>(const membership_counters&) const = default;
};

/// Gossip protocol that tracks the members of the fleet and detects failed
/// nodes. It does no I/O: time and replies are passed in, messages are returned
/// as values.
class membership_system
{
public:
  /// `aSeed` seeds the random choices: confirmers, jitter, and members to
  /// check.
  membership_system(local_member aSelf,
                    membership_settings aSettings,
                    std::uint64_t aSeed);

  /// Returns the due heartbeats. Called about every 250 ms; a longer interval
  /// delays heartbeats and the detection of failures.
  std::vector<outgoing_heartbeat> Tick(time_point aNow);
  /// Processes a heartbeat and returns the reply to send.
  heartbeat OnHeartbeat(const heartbeat& aMessage, time_point aNow);
  /// Processes the reply to a heartbeat, or the reason why there is none.
  /// Called once for each heartbeat that `Tick` returned.
  void OnReply(const node_id& aPeer,
               const result<heartbeat, heartbeat_error>& aReply,
               time_point aNow);
  /// Processes a new host list. A list with a lower version than the last one
  /// is ignored.
  void OnHostList(const host_list_snapshot& aListing, time_point aNow);
  /// Announces that this node takes no new work.
  void BeginLeaving(time_point aNow);
  /// Sets the configuration version to announce to other nodes. A lower version
  /// than the newest known one is ignored.
  void SetConfigVersion(std::uint64_t aVersion);
  /// Newest configuration version that any node has announced.
  std::uint64_t NewestConfigVersion() const { return mConfigVersion; }

  /// Returns all members including the local node, ordered by id.
  std::vector<member> Members() const;
  /// Returns the state of a node, or nothing for an unknown one.
  std::optional<member_state> StateOf(const node_id& aId) const;
  /// Rises whenever the result of `Members` changes.
  std::uint64_t Version() const { return mTable.Version(); }
  /// Returns and clears the events since the last call, oldest first.
  std::vector<member_event> TakeEvents();
  const membership_counters& Counters() const { return mCounters; }
  /// Returns the nodes that this node currently sends heartbeats to.
  std::vector<node_id> Peers() const;

private:
  struct peer_schedule
  {
    time_point mNextHeartbeat;
  };
  /// A member that this node probes for another node.
  struct probe
  {
    node_id mTarget;
    node_id mRequester;
  };

  // Received messages, in MembershipMessages.cpp.
  void ApplyMessage(const heartbeat& aMessage, time_point aNow);
  void ApplyUpdate(const member_update& aUpdate, bool aDirect, time_point aNow);
  void ApplySelfUpdate(const member_update& aUpdate);
  void ApplyNewIncarnation(member_row& aRow, const member_update& aUpdate);
  void ApplyHealth(member_row& aRow,
                   const member_update& aUpdate,
                   time_point aNow);
  void ApplyDescriptor(member_row& aRow,
                       const member_update& aUpdate,
                       bool aDirect);
  void AcceptProbeRequests(const heartbeat& aMessage);
  void ApplyProbeResults(const heartbeat& aMessage);

  // Failure detection, in MembershipDetection.cpp.
  void OnNoAnswer(const node_id& aPeer, time_point aNow);
  void RequestConfirmations(const member_row& aTarget);
  void QueueProbeResults(const node_id& aTarget, bool aReached);
  void ExtendDeadlinesAfterPause(time_point aNow);
  void ExpireReplyDeadlines(time_point aNow);
  void ExpireSuspicions(time_point aNow);
  void ResolveSuspicion(member_row& aRow, time_point aNow);
  void SetHealth(member_row& aRow, member_health aHealth, time_point aNow);
  void SetLeaving(member_row& aRow, bool aListed);
  void ForgetMembers(time_point aNow);
  bool HasOtherLiveMember(const node_id& aTarget) const;

  // Choice and schedule of the receivers of heartbeats.
  void UpdatePeers(time_point aNow);
  std::vector<node_id> RingPeers() const;
  const member_row* Successor(std::size_t aRing,
                              const std::vector<node_id>& aTaken,
                              bool aOtherZone) const;
  void QueueDueHeartbeats(time_point aNow);
  void QueueDeathChecks();
  void QueueDeadRetry(time_point aNow);
  void QueueHeartbeat(const node_id& aPeer) { mHeartbeatsDue.insert(aPeer); }

  // Messages to send.
  heartbeat MakeMessage(const node_id& aPeer);
  void AddUpdate(heartbeat& aMessage,
                 const member_row& aRow,
                 bool aWithDescriptor);
  void AddAntiEntropyUpdate(heartbeat& aMessage);
  member_update MakeUpdate(const member_row& aRow, bool aWithDescriptor) const;
  std::uint32_t MaxRumorTransmissions() const;
  void QueueRumor(const member_row& aRow, bool aWithDescriptor = false);

  // Host list.
  void ApplyListedHost(const host_entry& aHost);
  void ApplyListedSelf(const host_entry& aHost);
  void MarkUnlisted(member_row& aRow, time_point aNow);

  member_state SelfState() const;
  void AddEvent(member_event_kind aKind, const member_row& aRow);

  local_member mSelf;
  membership_settings mSettings;
  std::mt19937_64 mRandom;
  std::vector<std::uint64_t> mRingPositions;
  std::uint32_t mCounter = 0;
  bool mLeaving = false;
  bool mSelfListedLeaving = false;
  /// A higher incarnation of this node was heard of.
  bool mSuperseded = false;
  std::optional<time_point> mLastTick;
  std::uint64_t mConfigVersion = 0;
  std::uint64_t mListVersion = 0;
  member_table mTable;
  rumor_queue mRumors;
  std::map<node_id, peer_schedule> mPeers;
  std::uint64_t mPeersTopologyVersion = 0;
  /// Deadlines of the heartbeats without a reply yet.
  std::map<node_id, time_point> mReplyDeadlines;
  /// Members that get a heartbeat at the next tick.
  std::set<node_id> mHeartbeatsDue;
  /// Members that were reported dead and have yet to be checked.
  std::set<node_id> mDeathChecks;
  /// Members that the next message to the key asks it to probe.
  std::map<node_id, std::set<node_id>> mPendingProbeRequests;
  /// Results of probes for the next message to the key: whether the member was
  /// reached.
  std::map<node_id, std::map<node_id, bool>> mPendingProbeResults;
  std::vector<probe> mProbes;
  /// Number of messages to each member that contained this node's descriptor.
  std::map<node_id, int> mSelfAnnouncements;
  std::optional<time_point> mNextDeadRetry;
  /// Last member that `AddAntiEntropyUpdate` added.
  node_id mLastAntiEntropyMember;
  std::vector<member_event> mEvents;
  membership_counters mCounters;
};
