#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "Membership/EndpointSelector.h"

namespace {

std::vector<member> MakeMembers(int aCount, int aZones, int aRegions = 1)
{
  std::vector<member> members;
  for (int i = 0; i < aCount; ++i) {
    const int zone = i % aZones;
    members.push_back({ { fmt::format("entry-{}", i) },
                        1,
                        { { fmt::format("zone-{}", zone) },
                          { fmt::format("region-{}", zone % aRegions) },
                          fmt::format("10.0.0.{}:80", i),
                          fmt::format("10.0.0.{}:90", i) },
                        member_state::Alive });
  }
  return members;
}

std::set<node_id> Ids(const std::vector<member>& aMembers)
{
  std::set<node_id> ids;
  for (const member& each : aMembers) {
    ids.insert(each.mId);
  }
  return ids;
}

account_id Account(int aIndex)
{
  return { fmt::format("account-{}", aIndex) };
}

} // namespace

// Guards against answers with nodes of one zone only, of the wrong size, or
// with duplicate nodes.
TEST(endpoint_selector, SpreadsOverZones)
{
  endpoint_selector selector;
  selector.SetMembers(MakeMembers(8, 4));
  for (int i = 0; i < 100; ++i) {
    const auto answer = selector.Select({ Account(i), 0, {} });
    std::set<zone_id> zones;
    for (const member& node : answer.mNodes) {
      zones.insert(node.mDescriptor.mZone);
    }
    EXPECT_EQ(answer.mNodes.size(), 3);
    EXPECT_EQ(zones.size(), 3);
    EXPECT_GT(answer.mTimeToLive.count(), 0);
  }
}

// Guards against too few nodes for an account with much demand, and against
// answers above the maximum.
TEST(endpoint_selector, BusyAccountsGetMoreNodes)
{
  endpoint_selector selector;
  selector.SetMembers(MakeMembers(340, 10));
  EXPECT_EQ(selector.Select({ Account(1), 0.001, {} }).mNodes.size(), 3);
  EXPECT_EQ(selector.Select({ Account(1), 0.02, {} }).mNodes.size(), 11);
  EXPECT_EQ(selector.Select({ Account(1), 1.0, {} }).mNodes.size(), 32);
  selector.SetMembers(MakeMembers(2, 2));
  EXPECT_EQ(selector.Select({ Account(1), 1.0, {} }).mNodes.size(), 2);
  selector.SetMembers({});
  EXPECT_TRUE(selector.Select({ Account(1), 1.0, {} }).mNodes.empty());
}

// Guards against callers that use another zone without need, and against a
// different set of nodes for each zone, which would split an account's grants
// over many nodes.
TEST(endpoint_selector, CallersZoneComesFirst)
{
  endpoint_selector selector;
  selector.SetMembers(MakeMembers(16, 4));
  for (int i = 0; i < 50; ++i) {
    const auto shared =
      Ids(selector.Select({ Account(i), 0, std::nullopt }).mNodes);
    for (int zone = 0; zone < 4; ++zone) {
      const zone_id own{ fmt::format("zone-{}", zone) };
      const auto answer = selector.Select({ Account(i), 0, own });
      EXPECT_EQ(answer.mNodes.front().mDescriptor.mZone, own);
      const auto ids = Ids(answer.mNodes);
      EXPECT_TRUE(
        std::includes(ids.begin(), ids.end(), shared.begin(), shared.end()));
      EXPECT_LE(ids.size(), shared.size() + 1);
    }
  }
}

// Guards against callers that are sent to another region while their own works,
// and against an empty answer when their own region has failed.
TEST(endpoint_selector, PrefersTheCallersRegion)
{
  endpoint_selector selector;
  auto members = MakeMembers(33, 11, 3);
  selector.SetMembers(members);
  const endpoint_query query{ Account(1), 0, zone_id{ "zone-4" } };
  auto nodes = selector.Select(query).mNodes;
  ASSERT_EQ(nodes.size(), 4);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(nodes[i].mDescriptor.mRegion.mName, "region-1");
  }
  EXPECT_NE(nodes[3].mDescriptor.mRegion.mName, "region-1");
  for (member& node : members) {
    if (node.mDescriptor.mRegion.mName == "region-1") {
      node.mState = member_state::Dead;
    }
  }
  selector.SetMembers(members);
  nodes = selector.Select(query).mNodes;
  ASSERT_FALSE(nodes.empty());
  EXPECT_NE(nodes[0].mDescriptor.mRegion.mName, "region-1");
}

// Guards against answers with nodes that take no work, and against answers that
// leave out suspect nodes.
TEST(endpoint_selector, LeavesOutDeadAndLeavingNodes)
{
  endpoint_selector selector;
  auto members = MakeMembers(3, 3);
  members[0].mState = member_state::Dead;
  members[1].mState = member_state::Leaving;
  members[2].mState = member_state::Suspect;
  selector.SetMembers(members);
  const std::set<node_id> expected{ members[2].mId };
  EXPECT_EQ(Ids(selector.Select({ Account(1), 1, {} }).mNodes), expected);
}

// Guards against needless moves of accounts: when one of 64 nodes dies, only
// the answers that contained it may change.
TEST(endpoint_selector, FewAccountsMoveWhenANodeDies)
{
  endpoint_selector before;
  endpoint_selector after;
  auto members = MakeMembers(64, 4);
  before.SetMembers(members);
  const node_id gone = members[10].mId;
  members[10].mState = member_state::Dead;
  after.SetMembers(members);
  for (int i = 0; i < 500; ++i) {
    const auto old = Ids(before.Select({ Account(i), 0, {} }).mNodes);
    const auto now = Ids(after.Select({ Account(i), 0, {} }).mNodes);
    std::vector<node_id> kept;
    std::set_intersection(
      old.begin(), old.end(), now.begin(), now.end(), std::back_inserter(kept));
    EXPECT_GE(kept.size(), old.contains(gone) ? 2 : 3);
  }
}

// Guards against backups in the node's own zone, suspect backups before alive
// ones, and the same first backup for all nodes.
TEST(endpoint_selector, BackupsAreInOtherZones)
{
  endpoint_selector selector;
  auto members = MakeMembers(24, 4);
  members[5].mState = member_state::Suspect;
  members[8].mState = member_state::Leaving;
  selector.SetMembers(members);
  std::set<node_id> firsts;
  for (const member& self : members) {
    const auto backups = selector.BackupCandidates(self.mId);
    for (const member& backup : backups) {
      EXPECT_NE(backup.mDescriptor.mZone, self.mDescriptor.mZone);
    }
    EXPECT_NE(backups.front().mId, members[5].mId);
    firsts.insert(backups.front().mId);
  }
  EXPECT_GT(firsts.size(), 8);
}
