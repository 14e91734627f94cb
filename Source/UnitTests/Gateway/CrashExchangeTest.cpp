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
  crash_exchange mExchange{ mHistory, mMetrics, mStore, mTime, "run-1" };
};

} // namespace

// Guards against a crash that the other nodes never learn of because a lost
// server breaks many requests at once.
TEST_F(crash_exchange_test, WritesTheRowsOfAllBrokenRequests)
{
  for (std::uint64_t i = 0; i < 250; ++i) {
    mExchange.Report({ Request(i), ServerRun("i-1"), mTime.Now() });
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
  mExchange.Report({ Request(1), ServerRun("i-1"), mTime.Now() });
  Run(seconds(10));
  EXPECT_FALSE(IsStored(Request(1), "i-1"));
  mStore.mFault = fake_row_store::fault::None;
  Run(seconds(1));
  EXPECT_TRUE(IsStored(Request(1), "i-1"));
}

// Guards against a table of the store that grows with every broken request.
TEST_F(crash_exchange_test, RemovesRowsOfDroppedReports)
{
  mExchange.Report({ Request(1), ServerRun("i-1"), mTime.Now() });
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
  crash_exchange other(history, metrics, mStore, mTime, "run-2");
  for (const char* upstream : { "i-1", "i-2", "i-3" }) {
    mExchange.Report({ Request(1), ServerRun(upstream), mTime.Now() });
  }
  for (const crash_notice& notice : mExchange.TakeNews(mTime.Now())) {
    other.OnNotice(notice, mTime.Now());
  }
  EXPECT_TRUE(history.Blocked(Request(1), mTime.Now()));
  EXPECT_TRUE(mExchange.TakeNews(mTime.Now()).empty());

  // A node that starts later hears of it from any node that knows.
  mTime.Advance(seconds(60));
  crash_history later;
  crash_exchange started(later, metrics, mStore, mTime, "run-3");
  for (const crash_notice& notice : other.ComposeNotices(mTime.Now())) {
    started.OnNotice(notice, mTime.Now());
  }
  EXPECT_TRUE(later.Blocked(Request(1), mTime.Now()));
}

// Guards against a harmless request that one node serves and another refuses.
TEST_F(crash_exchange_test, ServedRequestsAreReportedToOtherNodes)
{
  crash_history history;
  crash_exchange other(history, mMetrics, mStore, mTime, "run-2");
  mExchange.OnServed(Request(2));
  EXPECT_TRUE(mExchange.TakeNews(mTime.Now()).empty());
  for (const char* upstream : { "i-1", "i-2", "i-3" }) {
    mExchange.Report({ Request(1), ServerRun(upstream), mTime.Now() });
    other.Report({ Request(1), ServerRun(upstream), mTime.Now() });
  }
  mTime.Advance(seconds(1));
  mExchange.OnServed(Request(1));
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
    mExchange.Report({ Request(i * 0x123456789abcdefULL),
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
  mExchange.ApplyRow("crash/");
  mExchange.ApplyRow("crash/xyz/i-1.1");
  mExchange.ApplyRow("crash/" + FormatWide(Request(1)) + "/i-1");
  EXPECT_EQ(mHistory.CrashCount(Request(1), mTime.Now()), 0U);
  mExchange.ApplyRow("crash/" + FormatWide(Request(1)) + "/i-1.1");
  EXPECT_EQ(mHistory.CrashCount(Request(1), mTime.Now()), 1U);
}
