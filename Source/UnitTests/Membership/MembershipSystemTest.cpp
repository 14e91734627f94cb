#include <set>

#include <gtest/gtest.h>

#include "MembershipNetwork.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kConvergenceTime{ 15 };
constexpr auto kAlive = member_state::Alive;
constexpr auto kDead = member_state::Dead;

class membership_failure_detection : public testing::TestWithParam<std::size_t>
{};

class membership_partition : public testing::TestWithParam<std::size_t>
{};

} // namespace

INSTANTIATE_TEST_SUITE_P(Sizes,
                         membership_failure_detection,
                         testing::Values(8, 64, 340));
INSTANTIATE_TEST_SUITE_P(Sizes, membership_partition, testing::Values(8, 64));

// Guards against dead nodes that still get requests: all nodes must detect the
// death within 20 s and declare no other node dead.
TEST_P(membership_failure_detection, AllNodesDetectADeadNode)
{
  membership_network network(GetParam(), 4);
  network.Run(kConvergenceTime);
  network.mNodes[3].mRuns = false;
  const auto time =
    network.RunUntil([&] { return network.AllSee(3, kDead); }, seconds(60));
  RecordProperty("milliseconds", static_cast<int>(time.count()));
  EXPECT_LE(time, seconds(20));
  network.Run(kConvergenceTime);
  EXPECT_EQ(network.Count(member_event_kind::Dead), GetParam() - 1);
}

// Guards against members that stay lost after a partition. Each side declares
// the other dead; 60 s after the partition ends all nodes must be alive again.
TEST_P(membership_partition, HealsAfterAPartition)
{
  membership_network network(GetParam(), 4);
  network.Run(kConvergenceTime);
  network.mCanDeliver = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom % 4 < 2) == (aTo % 4 < 2);
  };
  const auto split = network.RunUntil(
    [&] { return network.AllSee(0, kAlive) || network.StateAt(2, 0) == kDead; },
    seconds(30));
  EXPECT_LT(split, seconds(30));
  network.Run(seconds(200));
  for (std::size_t i = 0; i < GetParam(); ++i) {
    EXPECT_EQ(network.StateAt(0, i), i % 4 < 2 ? kAlive : kDead);
  }
  network.mCanDeliver = [](std::size_t, std::size_t) { return true; };
  const auto heal = network.RunUntil(
    [&] { return network.AllNodesSeeAllAlive(); }, seconds(200));
  RecordProperty("milliseconds", static_cast<int>(heal.count()));
  EXPECT_LE(heal, seconds(60));
  network.Run(seconds(60));
  EXPECT_TRUE(network.AllNodesSeeAllAlive());
}

// Guards against a node declared dead because of one broken link, although
// other nodes reach it and it can refute the suspicion.
TEST(membership_system, RefutesAFalseSuspicion)
{
  membership_network network(16, 4);
  network.Run(kConvergenceTime);
  const node_id peer = network.mNodes[0].mSystem->Peers().front();
  network.mCanDeliver = [&](std::size_t aFrom, std::size_t aTo) {
    return network.mNodes[aFrom].mSelf.mId != peer || aTo != 0;
  };
  network.Run(seconds(60));
  EXPECT_GT(network.mNodes[0].mSystem->Counters().mSuspicions, 0);
  EXPECT_EQ(network.Count(member_event_kind::Dead), 0);
  network.mCanDeliver = [](std::size_t, std::size_t) { return true; };
  network.Run(kConvergenceTime);
  EXPECT_TRUE(network.AllNodesSeeAllAlive());
}

// Guards against nodes declared dead when two zones lose contact with each
// other but both reach a third zone, whose nodes do not confirm the suspicions.
TEST(membership_system, ThirdZonePreventsDeathsBetweenTwoZones)
{
  membership_network network(12, 3);
  network.Run(kConvergenceTime);
  network.mCanDeliver = [](std::size_t aFrom, std::size_t aTo) {
    return aFrom % 3 + aTo % 3 != 2 || aFrom % 3 == 1;
  };
  network.Run(seconds(120));
  EXPECT_GT(network.mNodes[0].mSystem->Counters().mSuspicions, 0);
  EXPECT_EQ(network.Count(member_event_kind::Dead), 0);
}

// Guards against a node with a wrong peer key that is declared dead although it
// is running.
TEST(membership_system, RefusedHeartbeatIsNotAFailure)
{
  membership_network network(3, 3);
  membership_system& system = *network.mNodes[0].mSystem;
  for (int i = 0; i < 200; ++i) {
    network.mNow += membership_network::kStep;
    for (const auto& message : system.Tick(network.mNow)) {
      system.OnReply(message.mPeer, heartbeat_error::Refused, network.mNow);
    }
  }
  EXPECT_GT(system.Counters().mRefused, 10);
  EXPECT_EQ(network.StateAt(0, 1), kAlive);
  EXPECT_EQ(network.StateAt(0, 2), kAlive);
}

// Guards against a running node that stays dead after one wrong report.
TEST(membership_system, RunningNodeRefutesItsDeath)
{
  membership_network network(16, 4);
  network.Run(kConvergenceTime);
  heartbeat claim;
  claim.mFrom = { network.mNodes[1].mSelf.mId, 1, 0, {}, false, {} };
  claim.mUpdates = {
    { network.mNodes[2].mSelf.mId, 1, 9, member_health::Dead, false, {} }
  };
  network.mNodes[0].mSystem->OnHeartbeat(claim, network.mNow);
  network.Run(kConvergenceTime);
  EXPECT_TRUE(network.AllNodesSeeAllAlive());
  EXPECT_EQ(network.Count(member_event_kind::Dead), 0);
  EXPECT_GT(network.mNodes[2].mSystem->Counters().mSelfRefuted, 0);
}

// Guards against a node that was cut off or paused and declares all others
// dead.
TEST(membership_system, IsolatedNodeDeclaresNobodyDead)
{
  membership_network network(16, 4);
  network.Run(kConvergenceTime);
  network.mCanDeliver = [](std::size_t aFrom, std::size_t aTo) {
    return aFrom != 5 && aTo != 5;
  };
  network.Run(seconds(60));
  EXPECT_TRUE(network.AllSee(5, kDead));
  network.mCanDeliver = [](std::size_t, std::size_t) { return true; };
  network.Run(seconds(30));
  network.mNodes[6].mPaused = true;
  network.Run(seconds(60));
  EXPECT_TRUE(network.AllSee(6, kDead));
  network.mNodes[6].mPaused = false;
  network.Run(seconds(30));
  EXPECT_TRUE(network.AllNodesSeeAllAlive());
  for (const std::size_t i : { 5, 6 }) {
    for (const member_event& event : network.mNodes[i].mEvents) {
      EXPECT_TRUE(event.mKind != member_event_kind::Dead ||
                  event.mRun.mNode == network.mNodes[11 - i].mSelf.mId);
    }
  }
}

// Guards against a dead node that stays a suspect because, in a fleet of two,
// no third node can confirm its death.
TEST(membership_system, LastNodeDetectsThatItsPeerIsDead)
{
  membership_network network(2, 2);
  network.Run(kConvergenceTime);
  network.mNodes[1].mRuns = false;
  network.Run(seconds(20));
  EXPECT_EQ(network.StateAt(0, 1), kDead);
}

// Guards against a death declared right after a pause of the process, when the
// refutation has arrived but has not been read.
TEST(membership_system, PausedNodeWaitsForUnreadReplies)
{
  for (const bool paused : { false, true }) {
    membership_network network(4, 4);
    membership_system& system = *network.mNodes[0].mSystem;
    const node_id target = network.mNodes[1].mSelf.mId;
    system.Tick(network.mNow);
    heartbeat message;
    message.mFrom = { network.mNodes[2].mSelf.mId, 1, 0, {}, false, {} };
    message.mUpdates = { { target, 1, 0, {}, false, {} } };
    message.mUnreachable = { target };
    system.OnReply(target, heartbeat_error::NoAnswer, network.mNow);
    system.OnHeartbeat(message, network.mNow);
    system.OnReply(target, heartbeat_error::NoAnswer, network.mNow);
    system.OnHeartbeat(message, network.mNow);
    for (int i = 0; i < 20; ++i) {
      network.mNow += milliseconds(paused ? 3000 : 250);
      system.Tick(network.mNow);
    }
    EXPECT_EQ(network.StateAt(0, 1) == kDead, !paused);
  }
}

// Guards against answers of any node that contain a leaving node, and against a
// leaving node that is removed or declared dead while it finishes its work.
TEST(membership_system, AnswersLeaveOutALeavingNode)
{
  membership_network network(32, 4);
  network.Run(kConvergenceTime);
  network.mNodes[7].mSystem->BeginLeaving(network.mNow);
  const auto told = network.RunUntil(
    [&] { return network.AllSee(7, member_state::Leaving); }, seconds(30));
  EXPECT_LE(told, seconds(8));
  for (const auto& node : network.mNodes) {
    endpoint_selector selector;
    selector.SetMembers(node.mSystem->Members());
    for (const member& offered :
         selector.Select({ { "clinic" }, 1.0, {} }).mNodes) {
      EXPECT_NE(offered.mId, network.mNodes[7].mSelf.mId);
    }
  }
  network.Run(seconds(60));
  EXPECT_TRUE(network.AllSee(7, member_state::Leaving));
  EXPECT_EQ(network.Count(member_event_kind::Dead), 0);
}

// Guards against a replaced host that is still known by its old incarnation and
// address because the host list has not been updated.
TEST(membership_system, ReplacedHostTakesOver)
{
  membership_network network(32, 4);
  network.Run(kConvergenceTime);
  network.mNodes[4].mRuns = false;
  network.Run(seconds(5));
  network.AddNode(4, 2, 1);
  const auto known = [&] {
    for (const auto& node : network.mNodes) {
      for (const member& each : node.mSystem->Members()) {
        if (each.mId == network.mNodes[4].mSelf.mId &&
            (each.mIncarnation != 2 || each.mState != kAlive ||
             each.mDescriptor != network.mNodes[4].mSelf.mDescriptor)) {
          return false;
        }
      }
    }
    return true;
  };
  EXPECT_LE(network.RunUntil(known, seconds(60)), seconds(15));
  network.Run(seconds(30));
  EXPECT_TRUE(known());
  for (std::size_t i = 0; i < 32; ++i) {
    const auto& events = network.mNodes[i].mEvents;
    const member_event died{ member_event_kind::Dead,
                             { network.mNodes[4].mSelf.mId, 1 } };
    EXPECT_EQ(std::count(events.begin(), events.end(), died), i == 4 ? 0 : 1);
  }
}

// Guards against a process that does not learn that a higher incarnation of its
// node has started.
TEST(membership_system, OldIncarnationLearnsOfItsReplacement)
{
  membership_network network(8, 4);
  network.Run(kConvergenceTime);
  heartbeat message;
  message.mFrom = { network.mNodes[1].mSelf.mId, 1, 0, {}, false, {} };
  message.mUpdates = { { network.mNodes[0].mSelf.mId, 2, 0, {}, false, {} } };
  network.mNodes[0].mSystem->OnHeartbeat(message, network.mNow);
  network.mNodes[0].mSystem->OnHeartbeat(message, network.mNow);
  const member_event ended{ member_event_kind::Dead,
                            { network.mNodes[0].mSelf.mId, 1 } };
  EXPECT_EQ(network.mNodes[0].mSystem->TakeEvents(), std::vector{ ended });
}

// Guards against faults from an outdated host list: a node that is not listed
// yet must join, and one that is no longer listed must stay until it is dead
// and then be removed.
TEST(membership_system, ToleratesALaggingHostList)
{
  membership_network network(16, 4);
  network.Run(kConvergenceTime);
  network.AddNode(16, 1, 0);
  const auto joined =
    network.RunUntil([&] { return network.AllSee(16, kAlive); }, seconds(60));
  EXPECT_LE(joined, seconds(15));
  network.SendHostList([](std::size_t aIndex) { return aIndex != 2; });
  network.Run(seconds(30));
  EXPECT_TRUE(network.AllSee(2, kAlive));
  const host_list_snapshot old{ 1, {} };
  network.mNodes[0].mSystem->OnHostList(old, network.mNow);
  network.mNodes[2].mRuns = false;
  network.Run(seconds(120));
  EXPECT_EQ(network.mNodes[0].mSystem->Members().size(), 16);
  EXPECT_TRUE(network.AllSee(16, kAlive));
}

// Guards against announced configuration versions that fall, and against a new
// version that takes more than 6 s to reach all nodes.
TEST(membership_system, ConfigurationVersionOnlyRises)
{
  membership_network network(64, 4);
  std::map<node_id, std::uint64_t> newest;
  network.mOnMessage = [&](const heartbeat& aMessage) {
    std::uint64_t& seen = newest[aMessage.mFrom.mNode];
    EXPECT_GE(aMessage.mConfigVersion, seen);
    seen = aMessage.mConfigVersion;
  };
  network.Run(kConvergenceTime);
  network.mNodes[0].mSystem->SetConfigVersion(7);
  const auto noticed = network.RunUntil(
    [&] {
      return std::all_of(
        network.mNodes.begin(), network.mNodes.end(), [](const auto& aNode) {
          return aNode.mSystem->NewestConfigVersion() == 7;
        });
    },
    seconds(30));
  EXPECT_LE(noticed, seconds(6));
  network.mNodes[1].mSystem->SetConfigVersion(3);
  network.Run(kConvergenceTime);
  EXPECT_EQ(network.mNodes[1].mSystem->NewestConfigVersion(), 7);
}

// Guards against nodes to which no other node sends heartbeats, and against
// peers in one zone only.
TEST(membership_system, EveryNodeIsMonitoredFromOtherZones)
{
  membership_network network(64, 4);
  network.Run(seconds(1));
  std::map<node_id, int> senders;
  for (const auto& node : network.mNodes) {
    std::set<std::string> zones;
    for (const node_id& peer : node.mSystem->Peers()) {
      ++senders[peer];
      for (const auto& other : network.mNodes) {
        if (other.mSelf.mId == peer) {
          zones.insert(other.mSelf.mDescriptor.mZone.mName);
        }
      }
    }
    EXPECT_EQ(node.mSystem->Peers().size(), 6);
    EXPECT_GE(zones.size(), 2);
  }
  EXPECT_EQ(senders.size(), 64);
}
