#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Membership/Heartbeat.h"

/// State of a member as other folders see it: its health, or `Leaving`.
enum class member_state : std::uint8_t
{
  Alive,
  /// Did not reply; still offered to callers until it is confirmed dead.
  Suspect,
  Dead,
  /// Runs, but takes no new work. A suspect member that leaves has this state
  /// too.
  Leaving,
};

/// Returns the name of a member state for logs and metrics.
std::string_view MemberStateName(member_state aState);

/// One node of the fleet.
struct member
{
  node_id mId;
  /// 0 while the node is only known from the host list.
  std::uint64_t mIncarnation = 0;
  member_descriptor mDescriptor;
  member_state mState = member_state::Alive;
  auto operator<=>(const member&) const = default;
};

/// Everything known about a member, including protocol state.
struct member_row
{
  node_id mId;
  std::uint64_t mIncarnation = 0;
  /// See `member_update::mCounter`.
  std::uint32_t mCounter = 0;
  member_descriptor mDescriptor;
  member_health mHealth = member_health::Alive;
  /// The node announced that it leaves. Stays set for this incarnation.
  bool mLeaving = false;
  /// The host list marks the host as leaving.
  bool mListedLeaving = false;
  /// Whether the last host list marked the host as leaving, to detect a change.
  bool mLastListedLeaving = false;
  /// The last host list contains the host.
  bool mListed = false;
  /// The descriptor came from the node itself, so the host list, which lags
  /// behind, no longer overrides it.
  bool mSelfDescribed = false;
  /// End of the suspicion. The member is then declared dead if this node and
  /// another one failed to reach it. Otherwise it becomes alive again, or the
  /// suspicion is extended while this node still tries to reach it.
  std::optional<time_point> mSuspicionDeadline;
  /// This node failed to reach the member.
  bool mUnreachableLocally = false;
  /// Another node failed to reach the member as well.
  bool mConfirmed = false;
  /// Another node reported the member dead; this node has yet to check it.
  bool mReportedDead = false;
  /// Time at which the member is removed from the table. Set when it is no
  /// longer listed and is dead or never sent a heartbeat.
  std::optional<time_point> mForgetAt;

  /// Positions on the hash rings from which peers are chosen, one for each
  /// ring; computed when first needed.
  std::vector<std::uint64_t> mRingPositions;

  member_state State() const;
  bool Leaving() const { return mLeaving || mListedLeaving; }
};

/// All known members except the local node, by id, with a version that rises
/// with every visible change.
class member_table
{
public:
  using rows = std::map<node_id, member_row>;

  member_row* Find(const node_id& aId);
  const member_row* Find(const node_id& aId) const;
  /// The row of a member, created when absent.
  member_row& FindOrCreate(const node_id& aId);
  void Erase(const node_id& aId);
  const rows& Rows() const { return mRows; }
  rows& Rows() { return mRows; }
  /// Increments the version after a visible change.
  void BumpVersion() { ++mVersion; }
  std::uint64_t Version() const { return mVersion; }
  /// Also increments the version of the input for the choice of peers: the
  /// members that are not dead, and their zones.
  void BumpTopologyVersion()
  {
    BumpVersion();
    ++mTopologyVersion;
  }
  std::uint64_t TopologyVersion() const { return mTopologyVersion; }

private:
  rows mRows;
  std::uint64_t mVersion = 1;
  std::uint64_t mTopologyVersion = 1;
};
