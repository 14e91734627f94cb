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

/// Periods and bounds of the membership protocol.
struct membership_settings
{
  /// Peers that this node sends heartbeats to.
  std::size_t mPeers = 6;
  /// Time between two heartbeats to the same peer.
  std::chrono::milliseconds mPeriod{ 3000 };
  /// A heartbeat without a report from the transport counts as unanswered
  /// after this time. Should exceed the transport's own timeout.
  std::chrono::milliseconds mReplyLimit{ 2000 };
  /// Time between two attempts to reach a suspect.
  std::chrono::milliseconds mSuspectRetry{ 1000 };
  /// Time that a suspect has to refute.
  std::chrono::milliseconds mSuspicion{ 4000 };
  /// Members asked to confirm a suspicion.
  std::size_t mConfirmers = 3;
  /// Time between two attempts to reach some dead, still listed member.
  std::chrono::milliseconds mDeadRetry{ 2000 };
  /// Time after which a dead member that is no longer listed is forgotten.
  std::chrono::milliseconds mForget{ 60000 };
  auto operator<=>(const membership_settings&) const = default;
};

/// The node itself.
struct member_self
{
  node_id mId;
  /// Higher than that of every earlier run of the same node.
  std::uint64_t mIncarnation = 0;
  member_descriptor mWhere;
};

enum class member_event_kind : std::uint8_t
{
  /// A run of a node was heard of for the first time.
  Joined,
  /// The node takes no new work. Also reported for the node itself when the
  /// host list says so.
  Leaving,
  /// The run is dead, or was replaced by one of a higher incarnation. For the
  /// node itself: a later run of it exists, so this one must end.
  Dead,
  /// A run called dead is running after all.
  Returned,
};

struct member_event
{
  member_event_kind mKind = member_event_kind::Joined;
  /// Incarnation 0 for a node that was never heard of.
  holder_id mRun;
  auto operator<=>(const member_event&) const = default;
};

struct membership_counters
{
  std::uint64_t mHeartbeatsSent = 0;
  std::uint64_t mHeartbeatsReceived = 0;
  std::uint64_t mUnanswered = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mSuspicions = 0;
  /// Suspicions and deaths that turned out wrong.
  std::uint64_t mRefuted = 0;
  std::uint64_t mDeclaredDead = 0;
  /// How often this node refuted a claim about itself.
  std::uint64_t mSelfRefuted = 0;
  auto operator<=>(const membership_counters&) const = default;
};

/// Decides who is in the fleet. Pure: time and replies are passed in, messages
/// are returned as values.
class membership_system
{
public:
  /// `aSeed` decides the choice of confirmers and the start of the schedule.
  membership_system(member_self aSelf,
                    membership_settings aSettings,
                    std::uint64_t aSeed);

  /// Due heartbeats. Call every 250 ms or so; a longer pause only delays.
  std::vector<outgoing_heartbeat> Tick(time_point aNow);
  /// Takes a heartbeat in and gives the reply to send.
  heartbeat OnHeartbeat(const heartbeat& aMessage, time_point aNow);
  /// The reply to a heartbeat, or why there is none. Call once for each
  /// heartbeat that `Tick` returned.
  void OnReply(const node_id& aPeer,
               const result<heartbeat, heartbeat_error>& aReply,
               time_point aNow);
  /// Takes a new host list in. A listing older than the last one is ignored.
  void OnHostList(const host_listing& aListing, time_point aNow);
  /// Announces that this node takes no new work.
  void BeginLeaving(time_point aNow);
  /// Tells the fleet which configuration version this node has. Lower versions
  /// than the known one are ignored.
  void SetConfigVersion(std::uint64_t aVersion);
  /// Newest configuration version that any node has told of. Never falls.
  std::uint64_t NewestConfigVersion() const { return mConfigVersion; }

  /// All members including the node itself, by identity.
  std::vector<member> Members() const;
  /// State of a node, nothing for an unknown one.
  std::optional<member_state> StateOf(const node_id& aId) const;
  /// Rises whenever `Members` would answer differently.
  std::uint64_t Version() const { return mTable.Version(); }
  /// Events since the last call, in order.
  std::vector<member_event> TakeEvents();
  const membership_counters& Counters() const { return mCounters; }
  /// Current heartbeat peers, for tests and status pages.
  std::vector<node_id> Peers() const;

private:
  struct schedule
  {
    time_point mNext;
  };
  /// A member that another node asked about.
  struct probe
  {
    node_id mTarget;
    node_id mAsker;
  };

  // Messages in.
  void TakeMessage(const heartbeat& aMessage, time_point aNow);
  void TakeUpdate(const member_update& aUpdate, bool aDirect, time_point aNow);
  void TakeSelfUpdate(const member_update& aUpdate);
  void TakeRun(member_row& aRow, const member_update& aUpdate);
  void TakeHealth(member_row& aRow,
                  const member_update& aUpdate,
                  time_point aNow);
  void TakeWhere(member_row& aRow, const member_update& aUpdate, bool aDirect);
  void TakeAsks(const heartbeat& aMessage);
  void TakeReports(const heartbeat& aMessage);

  // Failure detection.
  void OnUnreached(const node_id& aPeer, time_point aNow);
  void AskConfirmers(const member_row& aTarget);
  void AnswerProbes(const node_id& aTarget, bool aReached);
  void AllowForPause(time_point aNow);
  void ExpireReplies(time_point aNow);
  void EndSuspicions(time_point aNow);
  void EndSuspicion(member_row& aRow, time_point aNow);
  void SetHealth(member_row& aRow, member_health aHealth, time_point aNow);
  void SetLeaving(member_row& aRow, bool aListed);
  void ForgetMembers(time_point aNow);
  bool HasThirdMember(const node_id& aTarget) const;

  // Schedule.
  void ChoosePeers(time_point aNow);
  std::vector<node_id> RingPeers() const;
  const member_row* Successor(std::size_t aRing,
                              const std::vector<node_id>& aTaken,
                              bool aOtherZone) const;
  void QueueDue(time_point aNow);
  void QueueChecks();
  void QueueDeadRetry(time_point aNow);
  void Queue(const node_id& aPeer) { mDue.insert(aPeer); }

  // Messages out.
  heartbeat MakeMessage(const node_id& aPeer);
  void AddUpdate(heartbeat& aMessage, const member_row& aRow, bool aWithWhere);
  void AddRefresh(heartbeat& aMessage);
  member_update UpdateOf(const member_row& aRow, bool aWithWhere) const;
  std::uint32_t RumorLimit() const;
  void Spread(const member_row& aRow, bool aWithWhere = false);

  // Host list.
  void ListHost(const host_entry& aHost);
  void ListSelf(const host_entry& aHost);
  void UnlistHost(member_row& aRow, time_point aNow);

  member_state SelfState() const;
  void Emit(member_event_kind aKind, const member_row& aRow);

  member_self mSelf;
  membership_settings mSettings;
  std::mt19937_64 mRandom;
  std::vector<std::uint64_t> mRingPlaces;
  std::uint32_t mCounter = 0;
  bool mLeaving = false;
  bool mSelfListedLeaving = false;
  /// A later run of this node was heard of.
  bool mReplaced = false;
  std::optional<time_point> mLastTick;
  std::uint64_t mConfigVersion = 0;
  std::uint64_t mListVersion = 0;
  member_table mTable;
  rumor_queue mRumors;
  std::map<node_id, schedule> mPeers;
  std::uint64_t mPeersShape = 0;
  /// Heartbeats without a reply yet.
  std::map<node_id, time_point> mReplyBy;
  /// Heartbeats to send at the next tick.
  std::set<node_id> mDue;
  /// Members told dead that are still to be checked.
  std::set<node_id> mChecks;
  /// What to ask in the next message to a member.
  std::map<node_id, std::set<node_id>> mAsks;
  /// What to report in the next message to a member: whether it was reached.
  std::map<node_id, std::map<node_id, bool>> mReports;
  std::vector<probe> mProbes;
  /// How often each member was told this node's addresses.
  std::map<node_id, int> mToldSelf;
  std::optional<time_point> mNextDeadRetry;
  /// Last member told about without news.
  node_id mLastRefresh;
  std::vector<member_event> mEvents;
  membership_counters mCounters;
};
