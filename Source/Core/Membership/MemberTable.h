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

/// State of a member as the other systems see it.
enum class member_state : std::uint8_t
{
  Alive,
  /// May be gone; still offered to callers until it is confirmed dead.
  Suspect,
  Dead,
  /// Runs, but takes no new work. Also while it is suspected.
  Leaving,
};

/// Name of a member state as written in logs and metrics.
std::string_view MemberStateName(member_state aState);

/// One node of the fleet.
struct member
{
  node_id mId;
  /// 0 while the node is only known from the host list.
  std::uint64_t mIncarnation = 0;
  member_descriptor mWhere;
  member_state mState = member_state::Alive;
  auto operator<=>(const member&) const = default;
};

/// A row of the table: everything known about a member.
struct member_row
{
  node_id mId;
  std::uint64_t mIncarnation = 0;
  std::uint32_t mCounter = 0;
  member_descriptor mWhere;
  member_health mHealth = member_health::Alive;
  /// The node announced that it leaves; lasts as long as the incarnation.
  bool mLeaving = false;
  /// The host list says that the host leaves.
  bool mListedLeaving = false;
  /// State in the last host list, to notice a change.
  bool mLastListedLeaving = false;
  bool mListed = false;
  /// The node described itself; the lagging list no longer overrides it.
  bool mDescribed = false;
  /// When a suspicion ends: in death if this node found it and another one
  /// confirmed it, else in recovery.
  std::optional<time_point> mSuspicionEnds;
  /// This node itself failed to reach the member.
  bool mUnreachedHere = false;
  /// Another node failed to reach the member as well.
  bool mConfirmed = false;
  /// Another node told that the member is dead; this node checks it first.
  bool mDeadTold = false;
  /// When a member that is no longer listed, and is dead or was never heard of,
  /// is forgotten.
  std::optional<time_point> mForgetAt;

  /// Places on the rings that peers are chosen from; filled when first needed.
  std::vector<std::uint64_t> mRingPlaces;

  member_state State() const;
  bool Leaving() const { return mLeaving || mListedLeaving; }
};

/// All known members except the node itself, by identity. Keeps a version that
/// rises with every visible change.
class member_table
{
public:
  using rows = std::map<node_id, member_row>;

  member_row* Find(const node_id& aId);
  const member_row* Find(const node_id& aId) const;
  /// The row of a member, created when absent.
  member_row& Ensure(const node_id& aId);
  void Erase(const node_id& aId);
  const rows& Rows() const { return mRows; }
  rows& Rows() { return mRows; }
  /// Notes a visible change.
  void Touch() { ++mVersion; }
  std::uint64_t Version() const { return mVersion; }
  /// Notes a change of what peers are chosen from: the members that are not
  /// dead, and their zones.
  void TouchShape()
  {
    Touch();
    ++mShape;
  }
  std::uint64_t Shape() const { return mShape; }

private:
  rows mRows;
  std::uint64_t mVersion = 1;
  std::uint64_t mShape = 1;
};
