#include <gtest/gtest.h>

#include "FakeRowStore.h"
#include "Gateway/CrashExchange.h"
#include "Gateway/FleetRows.h"
#include "Gateway/PeerDatagram.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class crash_exchange_test : public testing::Test
{
protected:
  static content_id Request(std::uint64_t aNumber) { return { 7, aNumber }; }
  static server_run ServerRun(const std::string& aUpstream)
  {
    return { upstream_id{ aUpstream }, 1 };
  }

  bool IsStored(const content_id& aRequest, const std::string& aUpstream) const
  {
    return mStore
      .Value({ fleet_rows::kFleetTableName,
               "",
               "crash/" + FormatWide(aRequest) + "/" + aUpstream + ".1" })
      .has_value();
  }

  /// Runs maintenance ticks for the given time.
  void Run(milliseconds aDuration)
  {
    constexpr milliseconds kTick(250);
    for (milliseconds passed(0); passed < aDuration; passed += kTick) {
      mTime.Advance(kTick);
      mExchange.OnMaintenanceTick(mTime.Now());
      mStore.DeliverReplies();
    }
  }

  manual_time_source mTime;
  fake_row_store mStore;
  gateway_metrics mMetrics;
  crash_history mHistory;
  segment_crash_history mSegments{ mHistory.Liveness() };
  crash_exchange mExchange{ mHistory, mSegments, mMetrics,
                            mStore,   mTime,     "run-1" };
};

} // namespace

// Guards against a crash that the other nodes never learn of because a lost
// server breaks many requests at once.
TEST_F(crash_exchange_test, WritesTheRowsOfAllBrokenRequests)
{
  for (std::uint64_t i = 0; i < 250; ++i) {
    mExchange.Report({ { Request(i), {} }, ServerRun("i-1"), mTime.Now() });
  }
  Run(seconds(3));
  for (std::uint64_t i = 0; i < 250; ++i) {
    EXPECT_TRUE(IsStored(Request(i), "i-1")) << i;
  }
  EXPECT_LE(mStore.mCommits, 3U);
}

// Guards against rows that are given up when the store is away.
TEST_F(crash_exchange_test, WritesRowsOnceTheStoreReturns)
{
  mStore.mFault = fake_row_store::fault::Refuse;
  mExchange.Report({ { Request(1), {} }, ServerRun("i-1"), mTime.Now() });
  Run(seconds(10));
  EXPECT_FALSE(IsStored(Request(1), "i-1"));
  mStore.mFault = fake_row_store::fault::None;
  Run(seconds(1));
  EXPECT_TRUE(IsStored(Request(1), "i-1"));
}

// Guards against a table of the store that grows with every broken request.
TEST_F(crash_exchange_test, RemovesRowsOfDroppedReports)
{
  mExchange.Report({ { Request(1), {} }, ServerRun("i-1"), mTime.Now() });
  Run(seconds(1));
  ASSERT_TRUE(IsStored(Request(1), "i-1"));
  mHistory.OnServed(Request(1), mTime.Now());
  Run(seconds(1));
  EXPECT_FALSE(IsStored(Request(1), "i-1"));
}

// Guards against nodes that learn of a crash only through the store, which may
// be away.
TEST_F(crash_exchange_test, NoticesReachAnotherNode)
{
  gateway_metrics metrics;
  crash_history history;
  segment_crash_history segments{ history.Liveness() };
  crash_exchange other(history, segments, metrics, mStore, mTime, "run-2");
  for (const char* upstream : { "i-1", "i-2", "i-3" }) {
    mExchange.Report({ { Request(1), {} }, ServerRun(upstream), mTime.Now() });
  }
  for (const crash_notice& notice : mExchange.TakeNews(mTime.Now())) {
    other.OnNotice(notice, mTime.Now());
  }
  EXPECT_TRUE(history.Blocked(Request(1), mTime.Now()));
  EXPECT_TRUE(mExchange.TakeNews(mTime.Now()).empty());

  // A node that starts later hears of it from any node that knows.
  mTime.Advance(seconds(60));
  crash_history later;
  segment_crash_history laterSegments{ later.Liveness() };
  crash_exchange started(later, laterSegments, metrics, mStore, mTime, "run-3");
  for (const crash_notice& notice : other.ComposeNotices(mTime.Now())) {
    started.OnNotice(notice, mTime.Now());
  }
  EXPECT_TRUE(later.Blocked(Request(1), mTime.Now()));
}

// Guards against a harmless request that one node serves and another refuses.
TEST_F(crash_exchange_test, ServedRequestsAreReportedToOtherNodes)
{
  crash_history history;
  segment_crash_history segments{ history.Liveness() };
  crash_exchange other(history, segments, mMetrics, mStore, mTime, "run-2");
  mExchange.OnServed({ Request(2), {} });
  EXPECT_TRUE(mExchange.TakeNews(mTime.Now()).empty());
  for (const char* upstream : { "i-1", "i-2", "i-3" }) {
    mExchange.Report({ { Request(1), {} }, ServerRun(upstream), mTime.Now() });
    other.Report({ { Request(1), {} }, ServerRun(upstream), mTime.Now() });
  }
  mTime.Advance(seconds(1));
  mExchange.OnServed({ Request(1), {} });
  for (const crash_notice& notice : mExchange.TakeNews(mTime.Now())) {
    other.OnNotice(notice, mTime.Now());
  }
  EXPECT_FALSE(history.Blocked(Request(1), mTime.Now()));
}

// Guards against notices that exceed a datagram when a lost server breaks many
// requests.
TEST_F(crash_exchange_test, NoticesFitDatagrams)
{
  for (std::uint64_t i = 0; i < 100; ++i) {
    mExchange.Report({ { Request(i * 0x123456789abcdefULL), {} },
                       ServerRun("i-0123456789"),
                       mTime.Now() });
  }
  std::size_t reports = 0;
  for (const crash_notice& notice : mExchange.TakeNews(mTime.Now())) {
    reports += notice.mReports.size();
    EXPECT_LT(WritePeerDatagram(notice).size(), 1400U);
  }
  EXPECT_EQ(reports, 100U);
}

// Guards against damaged rows and rows of other writers.
TEST_F(crash_exchange_test, IgnoresUnusableRows)
{
  mExchange.ApplyRow("crash/", {});
  mExchange.ApplyRow("crash/xyz/i-1.1", {});
  mExchange.ApplyRow("crash/" + FormatWide(Request(1)) + "/i-1", {});
  EXPECT_EQ(mHistory.CrashCount(Request(1), mTime.Now()), 0U);
  mExchange.ApplyRow("crash/" + FormatWide(Request(1)) + "/i-1.1", {});
  EXPECT_EQ(mHistory.CrashCount(Request(1), mTime.Now()), 1U);
}

namespace {

/// A node of a fleet that shares one store.
struct exchange_node
{
  exchange_node(fake_row_store& aStore, const time_source& aTime)
    : mExchange(mHistory, mSegments, mMetrics, aStore, aTime, "run")
  {
  }

  gateway_metrics mMetrics;
  crash_history mHistory;
  segment_crash_history mSegments{ mHistory.Liveness() };
  crash_exchange mExchange;
};

class segment_exchange_test : public testing::Test
{
protected:
  static constexpr segment_id kSegment{ 3, 4 };

  segment_verdict Judge(const exchange_node& aNode) const
  {
    return aNode.mSegments.Judge(std::span(&kSegment, 1), mTime.Now()).mVerdict;
  }

  /// Servers end one after the other under requests that share the segment.
  void EndServers(exchange_node& aNode, std::uint64_t aFrom, std::uint64_t aTo)
  {
    for (std::uint64_t i = aFrom; i < aTo; ++i) {
      aNode.mExchange.Report({ { { 7, i }, { kSegment } },
                               { upstream_id{ "i-" + std::to_string(i) }, 1 },
                               mTime.Now() });
      Run(aNode, milliseconds(500));
    }
  }

  void Run(exchange_node& aNode, milliseconds aDuration)
  {
    constexpr milliseconds kTick(250);
    for (milliseconds passed(0); passed < aDuration; passed += kTick) {
      mTime.Advance(kTick);
      mStore.mTime += kTick;
      aNode.mExchange.OnMaintenanceTick(mTime.Now());
      mStore.DeliverReplies();
    }
  }

  std::optional<std::string> Row() const
  {
    return mStore.Value({ fleet_rows::kFleetTableName, "", Key() });
  }

  static std::string Key() { return "crash-segment/" + FormatWide(kSegment); }

  /// Sends notices through the encoding of datagrams.
  void Deliver(const std::vector<crash_notice>& aNotices, exchange_node& aTo)
  {
    for (const crash_notice& notice : aNotices) {
      const auto datagram = ParsePeerDatagram(WritePeerDatagram(notice));
      aTo.mExchange.OnNotice(std::get<crash_notice>(*datagram), mTime.Now());
    }
  }

  manual_time_source mTime;
  fake_row_store mStore;
  exchange_node mNode{ mStore, mTime };
  exchange_node mOther{ mStore, mTime };
};

} // namespace

// Guards against nodes that each let a crashing segment end four servers.
TEST_F(segment_exchange_test, NodesCountCrashesTogether)
{
  EndServers(mNode, 0, 2);
  EndServers(mOther, 2, 4);
  Deliver(mNode.mExchange.TakeNews(mTime.Now()), mOther);
  Deliver(mOther.mExchange.TakeNews(mTime.Now()), mNode);
  EXPECT_EQ(Judge(mNode), segment_verdict::Refuse);
  EXPECT_EQ(Judge(mOther), segment_verdict::Refuse);
  EXPECT_TRUE(mNode.mExchange.TakeNews(mTime.Now()).empty());
}

// Guards against a node that started or was cut off and never learns of a
// crashing segment.
TEST_F(segment_exchange_test, RepeatsCrashesForNodesThatMissedTheNews)
{
  EndServers(mNode, 0, 4);
  mNode.mExchange.TakeNews(mTime.Now());
  mTime.Advance(seconds(30));
  Deliver(mNode.mExchange.ComposeNotices(mTime.Now()), mOther);
  EXPECT_EQ(Judge(mOther), segment_verdict::Refuse);
}

// Guards against nodes that refuse a sound segment because they missed the
// response that refutes its crashes.
TEST_F(segment_exchange_test, ResponsesElsewhereRefuteCrashes)
{
  EndServers(mNode, 0, 4);
  ASSERT_EQ(Judge(mNode), segment_verdict::Refuse);
  mOther.mExchange.OnServed({ { 9, 9 }, { kSegment } });
  mOther.mExchange.TakeNews(mTime.Now());
  mTime.Advance(seconds(30));
  Deliver(mNode.mExchange.ComposeNotices(mTime.Now()), mOther);
  EXPECT_EQ(Judge(mOther), segment_verdict::Send);
  Deliver(mOther.mExchange.ComposeNotices(mTime.Now()), mNode);
  EXPECT_EQ(Judge(mNode), segment_verdict::Send);
}

// Guards against a crashing segment that is forgotten when all nodes are killed
// at once, and against crashes that seem to have happened when they are read.
TEST_F(segment_exchange_test, CrashesOutliveAllNodes)
{
  EndServers(mNode, 0, 4);
  ASSERT_TRUE(Row());
  mOther.mExchange.ApplyRow(Key(), *Row());
  EXPECT_EQ(Judge(mOther), segment_verdict::Refuse);
  // Rows of the past are no news; a node removes what another left behind.
  exchange_node late{ mStore, mTime };
  mTime.Advance(seconds(601));
  mStore.mTime += seconds(601);
  late.mExchange.ApplyRow(Key(), *Row());
  EXPECT_EQ(Judge(late), segment_verdict::Send);
  Run(late, seconds(2));
  EXPECT_FALSE(Row());
}

// Guards against rows that are gone because the store came back from an older
// copy.
TEST_F(segment_exchange_test, WritesRowsAgainThatTheStoreLost)
{
  EndServers(mNode, 0, 4);
  ASSERT_TRUE(Row());
  mStore.Remove({ fleet_rows::kFleetTableName, "", Key() });
  ++mStore.mEra;
  Run(mNode, seconds(2));
  EXPECT_TRUE(Row());
}

// Guards against a table of the store that keeps segments that proved sound.
TEST_F(segment_exchange_test, ResponsesRemoveTheRow)
{
  EndServers(mNode, 0, 4);
  Deliver(mNode.mExchange.TakeNews(mTime.Now()), mOther);
  ASSERT_TRUE(Row());
  // The node that wrote the row has ended; another one serves the segment.
  mOther.mExchange.OnServed({ { 9, 9 }, { kSegment } });
  Run(mOther, seconds(2));
  EXPECT_FALSE(Row());
}

// Guards against rows that another program wrote.
TEST_F(segment_exchange_test, SkipsUnreadableRows)
{
  for (const char* value : { "", "x", "i-1.1@", "@5", "i-1@5\n", "\n\n@@" }) {
    mNode.mExchange.ApplyRow(Key(), value);
  }
  mNode.mExchange.ApplyRow("crash-segment/xyz", "i-1.1@5\n");
  EXPECT_EQ(mNode.mSegments.CrashCount(kSegment, mTime.Now()), 0U);
}

// Guards against sound segments that are refused because single connections of
// live servers broke.
TEST_F(segment_exchange_test, BytesOnOtherConnectionsRefuteAnEnd)
{
  const server_run server{ upstream_id{ "i-1" }, 1 };
  const time_point sentAt = mTime.Now();
  const auto breakAndSend = [&](milliseconds aSentAfter) {
    mTime.Advance(milliseconds(10));
    mNode.mExchange.Report({ { { 7, 1 }, { kSegment } }, server, mTime.Now() });
    mTime.Advance(milliseconds(50));
    mNode.mExchange.OnByte(server, sentAt + aSentAfter);
    mTime.Advance(milliseconds(100));
    mNode.mExchange.TakeNews(mTime.Now());
    return mNode.mSegments.CrashCount(kSegment, mTime.Now());
  };
  EXPECT_EQ(breakAndSend(milliseconds(0)), 0U);
  // The request was sent after the end, perhaps to the next run of the server.
  EXPECT_EQ(breakAndSend(milliseconds(200)), 1U);
}

// Guards against a segment that is refused for years because a row of its
// crashes holds a clock out of range.
TEST_F(crash_exchange_test, ClocksOutOfRangeReportNoCrash)
{
  const segment_id segment{ 7, 1 };
  const std::string key =
    std::string(crash_exchange::kSegmentRowPrefix) + FormatWide(segment);
  for (const char* clock : { "-9223372036854775808",
                             "-9000000000000000",
                             "9223372036854775807",
                             "1e3",
                             "NaN",
                             "" }) {
    std::string rows;
    for (int server = 0; server < 8; ++server) {
      rows += "i-" + std::to_string(server) + ".1@" + clock + "\n";
    }
    mExchange.ApplyRow(key, rows);
    EXPECT_TRUE(mSegments.Crashes(segment).empty()) << clock;
  }
  // Rows of other bytes report nothing.
  for (const char* odd :
       { "crash/", "crash/x/y", "crash/\xff/i-1.99999999999999999999" }) {
    mExchange.ApplyRow(odd, std::string(60000, '['));
  }
  EXPECT_TRUE(mHistory.RepeatedCrashes(10).empty());
}

// Guards against reports to peers that do not exist, in the place of reports to
// those that do.
TEST_F(crash_exchange_test, RowsOfOtherBytesNameNoPeer)
{
  fleet_view fleet({});
  fleet_rows rows(fleet, mExchange, mStore, mTime, region_id{}, "run-1");
  for (const std::string& address : { std::string(),
                                      std::string("x"),
                                      std::string("127.0.0.1:0"),
                                      std::string("127.0.0.1:99999"),
                                      std::string("127.0.0.1\0:80", 13) }) {
    rows.Apply({ { fleet_rows::kFleetTableName, "", "node/" + address }, {} });
  }
  rows.Apply({ { fleet_rows::kFleetTableName, "x", "node/127.0.0.1:80" }, {} });
  const std::string nested(60000, '[');
  rows.Apply(
    { { fleet_rows::kFleetTableName, "", "node/127.0.0.1:81" }, nested });
  EXPECT_EQ(fleet.KnownAddresses(), std::vector<std::string>{ "127.0.0.1:81" });
}
