#include <gtest/gtest.h>

#include "FakeRowStore.h"
#include "Gateway/EventJoiner.h"
#include "Gateway/FleetView.h"
#include "Gateway/GatewaySettings.h"
#include "Gateway/PeerDatagram.h"
#include "Gateway/RetryWindow.h"
#include "Gateway/TableFollower.h"

namespace {

using std::chrono::milliseconds;

const time_point kNow{ std::chrono::seconds(100) };

node_report Report(const std::string& aName)
{
  node_report report;
  report.mAddress = aName + ":7000";
  report.mClientAddress = aName + ":80";
  report.mReady = true;
  return report;
}

class recording_listener final : public table_follower::listener
{
public:
  void OnRow(const stored_row& aRow) override
  {
    mRows[aRow.mKey.mKey] = aRow.mValue;
  }
  void OnRowRemoved(const row_key& aKey) override { mRows.erase(aKey.mKey); }

  std::map<std::string, std::string> mRows;
};

class follower_test : public testing::Test
{
protected:
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    return mLoop.RunUntil(
      [&] {
        mStore.DeliverReplies();
        return aCondition();
      },
      milliseconds(3000));
  }

  event_loop mLoop;
  system_time_source mTime;
  fake_row_store mStore;
  recording_listener mListener;
  table_follower mFollower{ mStore,           mTime,           "t",
                            milliseconds(10), milliseconds(5), mListener };
};

} // namespace

// Guards against addresses of dead nodes from a node that hears no peer, and
// against an empty list from one that does not serve and knows nothing better.
TEST(FleetViewTest, NamesPeersForThreeSecondsWhenNoneIsAlive)
{
  fleet_view view(Report("a"));
  view.OnReport(Report("b"), kNow);
  view.OnReport(Report("c"), kNow);
  EXPECT_EQ(view.ClientAddresses(kNow, "z").size(), 3U);
  EXPECT_EQ(view.ClientAddresses(kNow + milliseconds(2900), "z").size(), 3U);
  EXPECT_EQ(view.ClientAddresses(kNow + milliseconds(3000), "z"),
            (std::vector<std::string>{ "a:80" }));
  view.Self().mReady = false;
  EXPECT_EQ(view.ClientAddresses(kNow + milliseconds(60000), "z").size(), 2U);
  view.Self().mReady = true;
  view.OnReport(Report("c"), kNow + milliseconds(4900));
  EXPECT_EQ(view.ClientAddresses(kNow + milliseconds(5000), "z"),
            (std::vector<std::string>{ "c:80", "a:80" }));
}

// Guards against clients that are sent to a node in its graceful stop.
TEST(FleetViewTest, LeavesOutNodesThatStop)
{
  fleet_view view(Report("a"));
  node_report leaving = Report("b");
  leaving.mLeaving = true;
  view.OnReport(leaving, kNow);
  EXPECT_EQ(view.ClientAddresses(kNow, "z"),
            (std::vector<std::string>{ "a:80" }));
}

// Guards against shares of clients on hosts with a tenth of the capacity while
// large ones are known: a large account keeps to one address.
TEST(FleetViewTest, NamesNoSmallNodesOfALargeFleetBesideLargeOnes)
{
  fleet_view view(Report("a"));
  for (unsigned i = 0; i < 60; ++i) {
    node_report report = Report("n" + std::to_string(i));
    report.mCapacity = i < 30 ? 0.1 : 1.0;
    view.OnReport(report, kNow);
  }
  view.UpdateEndpoints(kNow);
  EXPECT_TRUE(view.ChoosesEndpoints());
  for (unsigned zone = 0; zone < 10; ++zone) {
    const auto addresses = view.ClientAddresses(kNow, std::to_string(zone));
    EXPECT_EQ(addresses.size(), 31U);
    for (unsigned i = 0; i < 30; ++i) {
      EXPECT_EQ(std::ranges::count(addresses, "n" + std::to_string(i) + ":80"),
                0);
    }
  }
}

// Guards against a node that serves clients although its datagrams reach no
// peer, and against one that leaves because peers just started.
TEST(FleetViewTest, NoticesThatNoPeerHearsIt)
{
  fleet_view view(Report("a"));
  const auto report = [&](milliseconds aLater, milliseconds aAge) {
    node_report peer = Report("b");
    peer.mPeers.emplace_back(NodeKey("a:7000"), aAge);
    view.OnReport(peer, kNow + aLater);
  };
  EXPECT_TRUE(view.IsHeardByPeers(kNow));
  for (unsigned i = 0; i < 20; ++i) {
    report(milliseconds(200 * i), milliseconds(200 * i));
    EXPECT_EQ(view.IsHeardByPeers(kNow + milliseconds(200 * i)), i < 8) << i;
  }
  report(milliseconds(4000), milliseconds(100));
  EXPECT_TRUE(view.IsHeardByPeers(kNow + milliseconds(4000)));
  EXPECT_TRUE(view.IsHeardByPeers(kNow + milliseconds(9000)))
    << "no peer reports";
}

// Guards against a dead node that nodes tell each other of, so that it ages
// more slowly than the clock.
TEST(FleetViewTest, RelayedAgesNeverMakeANodeYounger)
{
  fleet_view first(Report("a"));
  fleet_view second(Report("b"));
  first.OnReport(Report("dead"), kNow);
  // Datagrams take 10 ms each.
  for (unsigned i = 0; i < 200; ++i) {
    const auto now = kNow + milliseconds(20 * i);
    second.OnReport(first.ComposeReport(i, now), now + milliseconds(10));
    first.OnReport(second.ComposeReport(i, now + milliseconds(10)),
                   now + milliseconds(20));
  }
  EXPECT_EQ(first.LiveNodeCount(kNow + milliseconds(1400)), 1U + 1U);
}

// Guards against live nodes counted as dead: in a large fleet most information
// about a node is relayed by others.
TEST(FleetViewTest, RelayedReportsKeepANodeAlive)
{
  fleet_view view(Report("a"));
  view.OnReport(Report("c"), kNow);
  node_report relay = Report("b");
  relay.mPeers.emplace_back(NodeKey("c:7000"), milliseconds(100));
  view.OnReport(relay, kNow + milliseconds(3000));
  EXPECT_EQ(view.LiveNodeCount(kNow + milliseconds(3000)), 3U);
}

// Guards against nodes that stay unknown: reports relay hashes of addresses, so
// the addresses themselves must reach every node.
TEST(FleetViewTest, LearnsAllAddressesFromOnePeer)
{
  fleet_view view(Report("a"));
  fleet_view seed(Report("b"));
  for (unsigned i = 0; i < 70; ++i) {
    seed.OnReport(Report("n" + std::to_string(i)), kNow);
  }
  for (std::uint64_t round = 1; round <= 20; ++round) {
    view.OnReport(seed.ComposeReport(round, kNow), kNow);
  }
  EXPECT_EQ(view.LiveNodeCount(kNow), 72U);
}

// Guards against large reports: reports of 3.7 KB took a quarter of the link of
// the smallest hosts.
TEST(PeerDatagramTest, ReportOfALargeFleetIsSmall)
{
  constexpr std::size_t kMaxBytes = 1400;
  fleet_view view(Report("10.1.0.40"));
  for (unsigned i = 0; i < 72; ++i) {
    view.OnReport(Report("10.1.0." + std::to_string(100 + i)),
                  kNow - milliseconds(13 * i));
  }
  node_report report = view.ComposeReport(1, kNow);
  report.mZone = zone_id{ "zone-of-ten" };
  report.mRegion = region_id{ "region-of-ten" };
  report.mLinkUse = report.mProcessorUse = 0.543;
  report.mClientConnections = 1234;
  report.mClientState = client_state::LeftAnswers;
  for (unsigned i = 0; i < 24; ++i) {
    report.mFreeTokens.emplace_back(AccountKey(account_id{ std::to_string(i) }),
                                    123456 + i);
    report.mWork.emplace_back(1000003U * i, upstream_work{ 2, 17000, 21000 });
  }
  EXPECT_LT(WritePeerDatagram(report).size(), kMaxBytes);
}

// Guards against a load that takes a share of the links: a report goes to 16
// nodes five times a second.
TEST(PeerDatagramTest, LoadTakesFewBytes)
{
  constexpr std::size_t kMaxLoadBytes = 48;
  node_report report = Report("10.1.0.40");
  const std::size_t before = WritePeerDatagram(report).size();
  report.mZone = zone_id{ "scl-b" };
  report.mRegion = region_id{ "scl" };
  report.mLinkUse = report.mProcessorUse = 0.543;
  report.mClientConnections = 57;
  report.mClientState = client_state::Accepting;
  const std::size_t bytes = WritePeerDatagram(report).size() - before;
  RecordProperty("bytes", static_cast<int>(bytes));
  EXPECT_LE(bytes, kMaxLoadBytes);
}

// Guards against fields lost in encoding, and against crashes on truncated or
// damaged datagrams.
TEST(PeerDatagramTest, EncodesReportsAndRejectsDamage)
{
  node_report report = Report("a");
  report.mWork.emplace_back(7, upstream_work{ 1, 2, 3 });
  report.mFreeTokens.emplace_back(AccountKey(account_id{ "clinic" }), 55);
  const std::string bytes = WritePeerDatagram(report);
  const auto parsed = ParsePeerDatagram(bytes);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(std::get<node_report>(*parsed).mWork, report.mWork);
  EXPECT_EQ(std::get<node_report>(*parsed).mFreeTokens, report.mFreeTokens);
  EXPECT_FALSE(ParsePeerDatagram(bytes.substr(0, bytes.size() - 3)));
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string damaged = bytes;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x55);
    ParsePeerDatagram(damaged);
  }
}

// Guards against a load that is lost in encoding, and against nodes of an
// earlier version, which state none, taken for idle or full ones.
TEST(PeerDatagramTest, EncodesTheLoadAndThatItIsUnknown)
{
  node_report report = Report("a");
  const auto parse = [&] {
    const auto parsed = ParsePeerDatagram(WritePeerDatagram(report));
    return std::get<node_report>(*parsed);
  };
  const node_report unknown = parse();
  EXPECT_FALSE(unknown.mLinkUse);
  EXPECT_FALSE(unknown.mProcessorUse);
  EXPECT_FALSE(unknown.mClientConnections);
  EXPECT_EQ(unknown.mClientState, client_state::Unknown);
  EXPECT_EQ(unknown.mZone, zone_id());
  report.mZone = zone_id{ "zone-a" };
  report.mRegion = region_id{ "north" };
  report.mLinkUse = 0.625;
  report.mProcessorUse = 0.0;
  report.mClientConnections = 1000000;
  report.mClientState = client_state::LeftAnswers;
  const node_report stated = parse();
  EXPECT_EQ(stated.mZone, report.mZone);
  EXPECT_EQ(stated.mRegion, report.mRegion);
  EXPECT_EQ(stated.mLinkUse, 0.625);
  EXPECT_EQ(stated.mProcessorUse, 0.0);
  EXPECT_EQ(stated.mClientConnections, 65534U);
  EXPECT_EQ(stated.mClientState, client_state::LeftAnswers);
  report.mLinkUse = report.mProcessorUse = 99.0;
  EXPECT_EQ(parse().mLinkUse, 65.534);
}

// Guards against crash reports that change on the way to another node.
TEST(PeerDatagramTest, EncodesCrashNotices)
{
  crash_notice notice;
  notice.mReports.push_back({ content_id{ 1, 2 },
                              server_run{ upstream_id{ "i-1" }, 17 },
                              milliseconds(250),
                              true });
  notice.mServed.push_back({ content_id{ 3, 4 }, milliseconds(10) });
  const auto parsed = ParsePeerDatagram(WritePeerDatagram(notice));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(std::get<crash_notice>(*parsed), notice);
}

// Guards against nodes that each keep to the retry limit but exceed it
// together.
TEST(RetryWindowTest, FleetStaysWithinTheLimit)
{
  const retry_limits limits{ 0.2, 54, milliseconds(10000) };
  constexpr unsigned kNodes = 7;
  constexpr unsigned kRequests = 30;
  unsigned taken = 0;
  for (unsigned node = 0; node < kNodes; ++node) {
    retry_window window(limits);
    for (unsigned i = 0; i < kRequests; ++i) {
      window.OnRequest("app", kNow + milliseconds(i * 100));
      while (window.TryAcquire("app", kNodes, kNow + milliseconds(i * 100))) {
        ++taken;
      }
    }
  }
  EXPECT_LE(taken, 0.2 * kNodes * kRequests + 54);
  EXPECT_GT(taken, 0U);
}

// Guards against duplicate or missing events when another server resumes a
// stream.
TEST(EventJoinerTest, DropsRepeatedEventsAndSeesGaps)
{
  event_joiner events;
  EXPECT_EQ(events.Feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  events.DropPartial();
  EXPECT_EQ(events.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
            "id: 2\ndata: b\n\n");
  EXPECT_EQ(events.LastId(), "2");
  EXPECT_FALSE(events.OutOfOrder());
  EXPECT_EQ(events.Feed("id: 4\ndata: d\n\n"), "");
  EXPECT_TRUE(events.OutOfOrder());
}

// Guards against rows that were removed while the node heard nothing of the
// store, and that come back with a late reply of the store.
TEST_F(follower_test, TakesRemovalsFromTheCopyOfAPeer)
{
  mStore.Put({ "t", "", "a" }, "1");
  mStore.Put({ "t", "", "b" }, "1");
  mFollower.Start();
  ASSERT_TRUE(RunUntil([&] { return mFollower.IsLoaded(); }));
  table_copy copy = mFollower.Copy();
  ASSERT_EQ(copy.mRows.size(), 2U);
  std::erase_if(copy.mRows,
                [](const stored_row& aRow) { return aRow.mKey.mKey == "a"; });
  copy.mVersion += 2;
  mFollower.ApplyPeerCopy(copy);
  EXPECT_EQ(mListener.mRows.size(), 2U) << "a copy as old as the own one";
  copy.mCurrentAt = mTime.Now() + milliseconds(1000);
  mFollower.ApplyPeerCopy(copy);
  EXPECT_EQ(mListener.mRows,
            (std::map<std::string, std::string>{ { "b", "1" } }));
  EXPECT_EQ(mFollower.CurrentAt(), copy.mCurrentAt);
  // The store reports a write of the removed row from before its removal.
  mStore.Put({ "t", "", "a" }, "2");
  RunUntil([&] { return false; });
  EXPECT_FALSE(mListener.mRows.contains("a"));
  mStore.Put({ "t", "", "c" }, "1");
  mStore.Put({ "t", "", "a" }, "3");
  EXPECT_TRUE(RunUntil([&] { return mListener.mRows.contains("a"); }));
}

// Guards against changes or removals that are missed after the first read.
TEST_F(follower_test, ReadsThenFollows)
{
  mStore.Put({ "t", "", "a" }, "1");
  mFollower.Start();
  ASSERT_TRUE(RunUntil([&] { return mListener.mRows["a"] == "1"; }));
  mStore.Put({ "t", "", "a" }, "2");
  mStore.Put({ "t", "", "b" }, "3");
  ASSERT_TRUE(RunUntil([&] { return mListener.mRows["b"] == "3"; }));
  EXPECT_EQ(mListener.mRows["a"], "2");
  mStore.Remove({ "t", "", "a" });
  ASSERT_TRUE(RunUntil([&] { return !mListener.mRows.contains("a"); }));
}

// Guards against missed changes when the store has dropped part of its change
// history.
TEST_F(follower_test, ReadsAgainWhenTheHistoryIsLost)
{
  mStore.Put({ "t", "", "a" }, "1");
  mFollower.Start();
  ASSERT_TRUE(RunUntil([&] { return mListener.mRows["a"] == "1"; }));
  mStore.Put({ "t", "", "b" }, "2");
  mStore.Remove({ "t", "", "a" });
  mStore.mHistoryFrom = 3;
  ASSERT_TRUE(RunUntil([&] { return mListener.mRows["b"] == "2"; }));
  EXPECT_FALSE(mListener.mRows.contains("a"));
}

// Guards against stale rows while a slow link keeps the store's reply from
// arriving for as long as the link is busy: newer rows of other nodes are used.
TEST_F(follower_test, TakesNewerRowsFromOtherNodesDuringAnOutage)
{
  mStore.Put({ "t", "", "a" }, "1");
  mFollower.Start();
  ASSERT_TRUE(RunUntil([&] { return mListener.mRows["a"] == "1"; }));
  mFollower.AddPeerRow({ { "t", "", "a" }, "2", 900, false }, mStore.Era());
  EXPECT_EQ(mListener.mRows["a"], "1");
  mStore.mUnreachable = true;
  mLoop.RunUntil(
    [&] {
      mStore.DeliverReplies();
      return false;
    },
    milliseconds(300));
  mFollower.AddPeerRow({ { "t", "", "a" }, "2", 900, false }, mStore.Era());
  EXPECT_EQ(mListener.mRows["a"], "2");
  mFollower.AddPeerRow({ { "t", "", "a" }, "0", 800, false }, mStore.Era());
  EXPECT_EQ(mListener.mRows["a"], "2");
}

// Guards against error texts from which an operator cannot find the setting.
TEST(GatewaySettingsTest, NamesFileLineAndKeyOfAnError)
{
  const auto settings = ParseGatewaySettings("{\n \"name\": 5\n}", "s.json");
  ASSERT_FALSE(settings.has_value());
  EXPECT_NE(settings.error().find("s.json:2"), std::string::npos)
    << settings.error();
  EXPECT_NE(settings.error().find("/name"), std::string::npos);
}
