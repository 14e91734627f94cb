#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
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
#include "Platform/HostList.h"

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
  /// The run is dead, or was replaced by one of a higher incarnation.
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
    /// Set while a heartbeat is unanswered.
    std::optional<time_point> mReplyBy;
  };
  /// A member that another node asked about.
  struct probe
  {
    node_id mTarget;
    node_id mAsker;
  };

  void TakeSender(const heartbeat& aMessage, time_point aNow);
  void TakeUpdates(const heartbeat& aMessage, time_point aNow);
  void TakeUpdate(const member_update& aUpdate, bool aDirect, time_point aNow);
  void TakeSelfUpdate(const member_update& aUpdate);
  void TakeReports(const heartbeat& aMessage);
  void StartRun(member_row& aRow, const member_update& aUpdate);
  void SetHealth(member_row& aRow, member_health aHealth, time_point aNow);
  void SetLeaving(member_row& aRow);
  void Describe(member_row& aRow, const member_descriptor& aWhere);
  void OnUnreached(const node_id& aPeer, time_point aNow);
  void AskConfirmers(const member_row& aTarget);
  void AnswerProbes(const node_id& aTarget, bool aReached);
  void EndSuspicions(time_point aNow);
  void EndSuspicion(member_row& aRow, time_point aNow);
  void ForgetMembers(time_point aNow);
  void ExpireReplies(time_point aNow);
  void ChoosePeers(time_point aNow);
  void QueueDue(time_point aNow);
  void QueueDeadRetry(time_point aNow);
  void Queue(const node_id& aPeer) { mDue.insert(aPeer); }
  void ListHost(const host_entry& aHost);
  void NoteConfigVersion(std::uint64_t aVersion);
  bool HasThirdMember(const node_id& aTarget) const;
  heartbeat MakeMessage(const node_id& aPeer);
  member_update SelfUpdate() const;
  member_update UpdateOf(const member_row& aRow) const;
  void Emit(member_event_kind aKind, const member_row& aRow);
  void Spread(const node_id& aNode);

  member_self mSelf;
  membership_settings mSettings;
  std::mt19937_64 mRandom;
  std::uint32_t mCounter = 0;
  bool mLeaving = false;
  bool mSelfListedLeaving = false;
  std::uint64_t mConfigVersion = 0;
  std::uint64_t mListVersion = 0;
  member_table mTable;
  rumor_queue mRumors;
  std::map<node_id, schedule> mPeers;
  std::uint64_t mPeersVersion = 0;
  /// Heartbeats without a reply to members that are not peers.
  std::map<node_id, time_point> mExtraReplyBy;
  /// Heartbeats to send at the next tick.
  std::set<node_id> mDue;
  /// What to ask or to report in the next message to a member.
  std::map<node_id, std::set<node_id>> mAsk;
  std::map<node_id, std::set<node_id>> mReport;
  std::vector<probe> mProbes;
  /// Members that have a reply of this run, so know its addresses.
  std::set<node_id> mKnowsSelf;
  std::optional<time_point> mNextDeadRetry;
  node_id mLastDeadRetry;
  std::vector<member_event> mEvents;
  membership_counters mCounters;
};
