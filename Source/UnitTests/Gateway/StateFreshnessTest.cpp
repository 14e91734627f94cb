#include <gtest/gtest.h>

#include "Common/RemoteClock.h"
#include "Gateway/FleetView.h"
#include "Gateway/PeerDatagram.h"
#include "Gateway/StateFreshness.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxAge(1400);
const time_point kNow{ std::chrono::seconds(100) };

state_evidence Evidence(milliseconds aAge)
{
  return { { kNow - aAge, std::nullopt },
           { kNow - aAge, std::nullopt },
           std::nullopt };
}

state_verdict Judge(const state_evidence& aEvidence)
{
  return JudgeState(aEvidence, kMaxAge, kNow);
}

node_report Report(const std::string& aAddress,
                   std::optional<milliseconds> aStoreAge)
{
  node_report report;
  report.mAddress = aAddress;
  report.mConfigAge = aStoreAge;
  report.mServersAge = aStoreAge;
  return report;
}

} // namespace

// Guards against a fleet that stops to serve when the store goes away: peers
// whose contact is as old as an outage prove no newer state.
TEST(state_freshness_test, AnOutageForAllStopsNobody)
{
  state_evidence evidence = Evidence(milliseconds(1500));
  EXPECT_EQ(Judge(evidence), state_verdict::StoreAway);
  evidence.mConfig.mPeerCurrentAt = kNow - milliseconds(1200);
  evidence.mServers.mPeerCurrentAt = kNow - milliseconds(1200);
  evidence.mLinkOverloadedAt = kNow;
  EXPECT_EQ(Judge(evidence), state_verdict::StoreAway);
}

// Guards against a node that goes on with old state while the store serves its
// peers.
TEST(state_freshness_test, APeerInContactProvesThatNewerStateExists)
{
  state_evidence evidence = Evidence(milliseconds(1500));
  evidence.mConfig.mPeerCurrentAt = kNow - milliseconds(2000);
  evidence.mServers.mPeerCurrentAt = kNow - milliseconds(500);
  EXPECT_EQ(Judge(evidence), state_verdict::Outdated);
  evidence.mServers.mCurrentAt = kNow - kMaxAge;
  EXPECT_EQ(Judge(evidence), state_verdict::StoreAway);
  evidence.mConfig.mCurrentAt = kNow - kMaxAge;
  EXPECT_EQ(Judge(evidence), state_verdict::Current);
}

// Guards against a fleet that refuses requests because all nodes wait for a
// reply about one table, while the store has answered about the other.
TEST(state_freshness_test, NewerStateOfAnotherTableProvesNothing)
{
  state_evidence evidence = Evidence(milliseconds(1500));
  evidence.mConfig.mPeerCurrentAt = kNow - milliseconds(1500);
  evidence.mServers = { kNow - milliseconds(100), kNow };
  EXPECT_EQ(Judge(evidence), state_verdict::StoreAway);
}

// Guards against a node that takes its own full link for an outage of store and
// peers.
TEST(state_freshness_test, AFullLinkExplainsMissingReplies)
{
  state_evidence evidence = Evidence(milliseconds(1500));
  evidence.mLinkOverloadedAt = kNow - milliseconds(2000);
  EXPECT_EQ(Judge(evidence), state_verdict::Outdated);
  evidence.mLinkOverloadedAt = kNow - milliseconds(4000);
  EXPECT_EQ(Judge(evidence), state_verdict::StoreAway);
}

// Guards against reports that lose the age, and against peers of an earlier
// build that count as being in contact.
TEST(state_freshness_test, ReportsTellTheAgeOfTheState)
{
  fleet_view view(Report("127.0.0.1:1", std::nullopt));
  EXPECT_FALSE(view.PeerConfigCurrentAt(kNow));
  for (const auto& report : { Report("127.0.0.1:2", std::nullopt),
                              Report("127.0.0.1:3", milliseconds(300)),
                              Report("127.0.0.1:4", milliseconds(900)) }) {
    const auto datagram = ParsePeerDatagram(WritePeerDatagram(report));
    ASSERT_TRUE(datagram);
    view.OnReport(std::get<node_report>(*datagram), kNow);
  }
  EXPECT_EQ(view.PeerConfigCurrentAt(kNow), kNow - milliseconds(300));
  EXPECT_EQ(view.PeerServersCurrentAt(kNow), kNow - milliseconds(300));
  // A copy is fetched only if it is newer by 300 ms, and never from a peer of
  // unknown age.
  const auto sources = [&](int aOwnAgeMs) {
    auto found = view.StateSources(kNow - milliseconds(aOwnAgeMs), 1, kNow);
    std::ranges::sort(found);
    return found;
  };
  EXPECT_EQ(sources(1200),
            (std::vector<std::string>{ "127.0.0.1:3", "127.0.0.1:4" }));
  EXPECT_EQ(sources(1199), std::vector<std::string>{ "127.0.0.1:3" });
  EXPECT_TRUE(sources(599).empty());
  EXPECT_FALSE(view.PeerConfigCurrentAt(kNow + milliseconds(1200)));
}

// Guards against a reply that waited on a full link and is dated by its
// arrival.
TEST(remote_clock_test, LateRepliesAreDatedByTheRemoteClock)
{
  remote_clock clock;
  EXPECT_FALSE(clock.EarliestLocal(milliseconds(0)));
  const time_point zero = kNow;
  clock.Observe(
    milliseconds(10), zero + milliseconds(8), zero + milliseconds(12));
  clock.Observe(
    milliseconds(1000), zero + milliseconds(500), zero + milliseconds(3000));
  EXPECT_EQ(clock.EarliestLocal(milliseconds(1000)), zero + milliseconds(998));
}

// Guards against dates in the future after the local clock stood still.
TEST(remote_clock_test, AStoppedClockStartsTheBoundAnew)
{
  remote_clock clock;
  clock.Observe(milliseconds(10), kNow, kNow + milliseconds(20));
  const time_point later = kNow + milliseconds(100);
  clock.Observe(milliseconds(5000), later, later + milliseconds(10));
  EXPECT_EQ(clock.EarliestLocal(milliseconds(5000)), later);
}
