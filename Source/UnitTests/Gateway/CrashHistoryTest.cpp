#include <gtest/gtest.h>

#include "Gateway/CrashHistory.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kNow{ seconds(1000) };
constexpr content_id kRequest{ 1, 2 };
constexpr content_id kOther{ 1, 3 };
// Interval at which servers write their entries.
constexpr milliseconds kEntryInterval(1200);

server_run ServerRun(const std::string& aUpstream,
                     std::uint64_t aIncarnation = 1)
{
  return { upstream_id{ aUpstream }, aIncarnation };
}

class crash_history_test : public testing::Test
{
protected:
  bool Add(const server_run& aRun, time_point aNow = kNow)
  {
    return mCrashes.Add({ kRequest, aRun, aNow }, aNow);
  }

  void AddSilent(const server_run& aRun, time_point aNow)
  {
    mCrashes.Add({ kRequest, aRun, aNow, true }, aNow);
  }

  void AddThree(time_point aNow = kNow)
  {
    Add(ServerRun("i-1"), aNow);
    Add(ServerRun("i-2"), aNow);
    Add(ServerRun("i-3"), aNow);
  }

  /// The server writes its entry in the interval from `aFrom` to `aTo`.
  void WriteEntries(const std::string& aUpstream,
                    time_point aFrom,
                    time_point aTo)
  {
    server_entry entry;
    entry.mId = upstream_id{ aUpstream };
    entry.mIncarnation = 1;
    for (time_point at = aFrom; at <= aTo; at += kEntryInterval) {
      entry.mSequence = ++mSequence;
      mCrashes.OnServerEntry(entry, at);
    }
  }

  crash_history mCrashes;
  std::uint64_t mSequence = 0;
};

} // namespace

// Guards against repeated crash reports of one server run counted as several.
TEST_F(crash_history_test, BlocksAfterThreeServerRunsEnded)
{
  EXPECT_TRUE(Add(ServerRun("i-1")));
  EXPECT_FALSE(Add(ServerRun("i-1")));
  Add(ServerRun("i-2"));
  EXPECT_FALSE(mCrashes.Blocked(kRequest, kNow));
  Add(ServerRun("i-1", 2));
  EXPECT_TRUE(mCrashes.Blocked(kRequest, kNow));
  EXPECT_FALSE(mCrashes.Blocked(kOther, kNow));
}

// Guards against harmless requests that are refused because connections broke:
// servers that go on to write their entries did not end.
TEST_F(crash_history_test, LiveServersRefuteReports)
{
  AddThree();
  ASSERT_TRUE(mCrashes.Blocked(kRequest, kNow));
  WriteEntries("i-2", kNow - seconds(2), kNow + seconds(6));
  EXPECT_FALSE(mCrashes.Blocked(kRequest, kNow + seconds(6)));
  EXPECT_EQ(mCrashes.CrashCount(kRequest, kNow + seconds(6)), 2U);
  const auto dropped = mCrashes.Expire(kNow + seconds(6));
  ASSERT_EQ(dropped.size(), 1U);
  EXPECT_EQ(dropped[0].mServer, ServerRun("i-2"));
}

// Guards against the report of a peer that brings a refuted report back, and
// against a refuted run whose later end is ignored.
TEST_F(crash_history_test, OnlyLaterObservationsRenewARefutedReport)
{
  const crash_report report{ kRequest, ServerRun("i-1"), kNow };
  EXPECT_TRUE(mCrashes.Add(report, kNow));
  WriteEntries("i-1", kNow, kNow + seconds(7));
  EXPECT_FALSE(mCrashes.Add(report, kNow + seconds(7)));
  EXPECT_EQ(mCrashes.CrashCount(kRequest, kNow + seconds(7)), 0U);
  EXPECT_TRUE(Add(ServerRun("i-1"), kNow + seconds(7)));
  EXPECT_EQ(mCrashes.CrashCount(kRequest, kNow + seconds(7)), 1U);
}

// Guards against an entry that was written before the server ended and read
// after an outage of the store: it is no sign of life.
TEST_F(crash_history_test, EntryReadAfterAnOutageRefutesNothing)
{
  WriteEntries("i-1", kNow - seconds(9), kNow - seconds(5));
  AddThree();
  mSequence += 4;
  WriteEntries("i-1", kNow + seconds(5), kNow + seconds(5));
  EXPECT_TRUE(mCrashes.Blocked(kRequest, kNow + seconds(5)));
}

// Guards against reads that lag behind the store by seconds.
TEST_F(crash_history_test, EntriesReadSoonAfterTheEndRefuteNothing)
{
  AddThree();
  WriteEntries("i-1", kNow, kNow + milliseconds(2900));
  EXPECT_TRUE(mCrashes.Blocked(kRequest, kNow + seconds(3)));
}

// Guards against a popular request that is refused because several servers with
// copies of it failed at once.
TEST_F(crash_history_test, ServedRequestIsNotBlocked)
{
  EXPECT_FALSE(mCrashes.OnServed(kRequest, kNow - seconds(5)));
  AddThree();
  EXPECT_FALSE(mCrashes.Blocked(kRequest, kNow));
  AddThree(kNow + seconds(6));
  EXPECT_TRUE(mCrashes.Blocked(kRequest, kNow + seconds(6)));
  EXPECT_TRUE(mCrashes.OnServed(kRequest, kNow + seconds(7)));
  EXPECT_FALSE(mCrashes.Blocked(kRequest, kNow + seconds(7)));
}

// Guards against harmless requests that are refused because they were sent to
// servers that a crashing request had ended.
TEST_F(crash_history_test, EndedServersCountAgainstTheEarlierRequest)
{
  const auto addOther = [this](const char* aUpstream, seconds aAfter) {
    const time_point at = kNow + aAfter;
    mCrashes.Add({ kOther, ServerRun(aUpstream), at, true }, at);
  };
  for (const char* upstream : { "i-1", "i-2", "i-3" }) {
    Add(ServerRun(upstream), kNow);
    addOther(upstream, seconds(1));
  }
  EXPECT_TRUE(mCrashes.Blocked(kRequest, kNow + seconds(1)));
  EXPECT_EQ(mCrashes.CrashCount(kOther, kNow + seconds(1)), 0U);
  addOther("i-4", seconds(2));
  addOther("i-5", seconds(3));
  EXPECT_FALSE(mCrashes.Blocked(kOther, kNow + seconds(3)));
  addOther("i-6", seconds(4));
  EXPECT_TRUE(mCrashes.Blocked(kOther, kNow + seconds(4)));
  EXPECT_TRUE(mCrashes.Blocked(kRequest, kNow + seconds(4)));
}

// Guards against a crashing request that passes because different harmless
// requests had broken before on each of its servers.
TEST_F(crash_history_test, DifferentEarlierRequestsExcuseNothing)
{
  for (std::uint64_t i = 0; i < 3; ++i) {
    const content_id other{ 9, i };
    for (std::uint64_t run = 0; run < 3; ++run) {
      const server_run server = ServerRun("i-" + std::to_string(run), i);
      mCrashes.Add({ other, server, kNow }, kNow);
    }
    AddSilent(ServerRun("i-0", i), kNow + seconds(1));
  }
  EXPECT_EQ(mCrashes.CrashCount(kRequest, kNow + seconds(1)), 2U);
  Add(ServerRun("i-9"), kNow + seconds(1));
  EXPECT_TRUE(mCrashes.Blocked(kRequest, kNow + seconds(1)));
}

// Guards against a crashing request that passes because connections of another
// one broke before on servers that lived on.
TEST_F(crash_history_test, BrokenConnectionsAreNotExcused)
{
  for (const char* upstream : { "i-1", "i-2", "i-3" }) {
    mCrashes.Add({ kOther, ServerRun(upstream), kNow }, kNow);
    Add(ServerRun(upstream), kNow + seconds(1));
  }
  EXPECT_TRUE(mCrashes.Blocked(kRequest, kNow + seconds(1)));
}

// Guards against a crashing request that is not counted because harmless ones
// broke together with it, on some servers before it was observed.
TEST_F(crash_history_test, CountsEveryCrashOfARequestWithNeighbours)
{
  for (std::uint64_t i = 0; i < 3; ++i) {
    const std::string upstream = "i-" + std::to_string(i);
    const time_point at = kNow + seconds(i);
    for (std::uint64_t other = 0; other < 5; ++other) {
      mCrashes.Add({ content_id{ i, other }, ServerRun(upstream), at }, at);
    }
    Add(ServerRun(upstream), at + milliseconds(100));
  }
  EXPECT_TRUE(mCrashes.Blocked(kRequest, kNow + seconds(3)));
}

// Guards against a table that fills up with broken requests of lost servers, so
// that no further crash is recorded.
TEST_F(crash_history_test, RecordsCrashesWhenManyRequestsBroke)
{
  for (std::uint64_t i = 0; i < 40000; ++i) {
    const time_point at = kNow + milliseconds(i);
    mCrashes.Add({ content_id{ 5, i }, ServerRun("i-9"), at }, at);
  }
  AddThree(kNow + seconds(41));
  EXPECT_TRUE(mCrashes.Blocked(kRequest, kNow + seconds(41)));
}

// Guards against a crashing request that is forgotten while its caller still
// repeats it.
TEST_F(crash_history_test, BlocksLongerThanSingleReportsLast)
{
  AddThree();
  EXPECT_TRUE(mCrashes.Blocked(kRequest, kNow + seconds(300)));
  EXPECT_FALSE(mCrashes.Blocked(kRequest, kNow + seconds(601)));
  mCrashes.Add({ kOther, ServerRun("i-1"), kNow }, kNow);
  EXPECT_EQ(mCrashes.CrashCount(kOther, kNow + seconds(121)), 0U);
  EXPECT_EQ(mCrashes.Expire(kNow + seconds(601)).size(), 4U);
}

// Guards against rows of other writers in the fleet table.
TEST(ServerRunTest, ParsesWhatItFormats)
{
  const server_run run = ServerRun("i-1.a", 17);
  EXPECT_EQ(ParseServerRun(FormatServerRun(run)), run);
  for (const char* text : { "", ".", "i-1", "i-1.", ".5", "i-1.x", "i-1.5x" }) {
    EXPECT_EQ(ParseServerRun(text), std::nullopt) << text;
  }
}
