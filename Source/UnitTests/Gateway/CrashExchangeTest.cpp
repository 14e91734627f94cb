#include <gtest/gtest.h>

#include "FakeRowStore.h"
#include "Gateway/CrashExchange.h"
#include "Gateway/FleetRows.h"

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
    mExchange.Report(Request(i), ServerRun("i-1"));
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
  mExchange.Report(Request(1), ServerRun("i-1"));
  Run(seconds(10));
  EXPECT_FALSE(IsStored(Request(1), "i-1"));
  mStore.mFault = fake_row_store::fault::None;
  Run(seconds(1));
  EXPECT_TRUE(IsStored(Request(1), "i-1"));
}

// Guards against a table of the store that grows with every broken request.
TEST_F(crash_exchange_test, RemovesRowsOfDroppedReports)
{
  mExchange.Report(Request(1), ServerRun("i-1"));
  Run(seconds(1));
  ASSERT_TRUE(IsStored(Request(1), "i-1"));
  mHistory.OnServed(Request(1), mTime.Now());
  Run(seconds(1));
  EXPECT_FALSE(IsStored(Request(1), "i-1"));
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
