#include <fmt/format.h>

#include "AllowanceFixture.h"
#include "Gateway/TableFollower.h"
#include "GatewayFixture.h"

// Tables and configuration when the store comes back from an older copy.

namespace {

using std::chrono::milliseconds;

/// Keeps what a follower tells.
class recording_listener final : public table_follower::listener
{
public:
  void OnRow(const stored_row& aRow) override
  {
    mValues[aRow.mKey.mKey] = aRow.mValue;
  }
  void OnRowRemoved(const row_key& aKey) override { mValues.erase(aKey.mKey); }

  std::map<std::string, std::string> mValues;
};

/// Answers no call after the first reply of an era later than `mLastEra`, like
/// a store that refuses one node.
class cut_off_store final : public forwarding_row_store
{
public:
  using forwarding_row_store::forwarding_row_store;
  std::optional<std::uint64_t> mLastEra;

private:
  page_callback WrapPage(page_callback aReply) override
  {
    return [this, reply = std::move(aReply)](auto aPage) {
      if (mCut) {
        reply(row_store_error::Unknown);
        return;
      }
      mCut = mLastEra && Era() > *mLastEra;
      reply(std::move(aPage));
    };
  }

  bool mCut = false;
};

class restored_table_test : public testing::Test
{
protected:
  restored_table_test() { mFollower.Start(); }
  void RunFor(milliseconds aTime)
  {
    mLoop.RunUntil(
      [&] {
        mStore.DeliverReplies();
        return false;
      },
      aTime);
  }
  static row_key Key(const std::string& aName) { return { "t", "", aName }; }

  event_loop mLoop;
  system_time_source mTime;
  fake_row_store mStore;
  recording_listener mListener;
  table_follower mFollower{ mStore,          mTime,           "t",
                            milliseconds(5), milliseconds(5), mListener };
};

class restored_store_test : public gateway_fixture
{
protected:
  void PutConfig(unsigned aVersion, const std::string& aTo)
  {
    std::string text = mConfig;
    const std::string version = "\"version\": 7";
    text.replace(text.find(version),
                 version.size(),
                 fmt::format("\"version\": {}", aVersion));
    const std::string prefix = "\"/o/\"";
    text.replace(text.find(prefix), prefix.size(), "\"" + aTo + "\"");
    mStore.Put({ "op", "", "config" }, text);
  }
  unsigned Status(const std::string& aPath)
  {
    return Call("POST", aPath, {}, "b")->mResponse.mStatus;
  }
};

} // namespace

// Guards against a row that is written after the drill under a version that was
// given out before it.
TEST_F(restored_table_test, FollowsRowsOfTheNewEra)
{
  mStore.Put(Key("a"), "1");
  RunFor(milliseconds(50));
  const auto copy = mStore.TakeCopy();
  for (int i = 0; i < 10; ++i) {
    mStore.Put(Key("a"), "lost");
  }
  RunFor(milliseconds(50));
  EXPECT_EQ(mListener.mValues["a"], "lost");
  mStore.Restore(copy);
  mStore.Put(Key("a"), "2");
  RunFor(milliseconds(100));
  EXPECT_EQ(mListener.mValues["a"], "2");
  for (int i = 0; i < 20; ++i) {
    mStore.Put(Key("b"), fmt::format("{}", i));
  }
  RunFor(milliseconds(100));
  EXPECT_EQ(mListener.mValues["b"], "19");
}

// Guards against rows that are dropped before their owners write them again.
TEST_F(restored_table_test, KeepsMissingRowsForAWhile)
{
  const auto copy = mStore.TakeCopy();
  mStore.Put(Key("a"), "1");
  mStore.Put(Key("b"), "1");
  RunFor(milliseconds(50));
  mStore.Restore(copy);
  RunFor(milliseconds(500));
  EXPECT_EQ(mListener.mValues.size(), 2U);
  mStore.Put(Key("a"), "2");
  RunFor(milliseconds(4200));
  EXPECT_EQ(mListener.mValues.size(), 1U);
  EXPECT_EQ(mListener.mValues["a"], "2");
}

// Guards against rows that come back although they had been removed.
TEST_F(restored_table_test, RemovedRowsStayRemoved)
{
  mStore.Put(Key("a"), "1");
  RunFor(milliseconds(50));
  const auto copy = mStore.TakeCopy();
  mStore.Remove(Key("a"));
  RunFor(milliseconds(50));
  EXPECT_TRUE(mListener.mValues.empty());
  mStore.Restore(copy);
  RunFor(milliseconds(100));
  EXPECT_TRUE(mListener.mValues.empty());
  mStore.Put(Key("a"), "2");
  RunFor(milliseconds(100));
  EXPECT_EQ(mListener.mValues["a"], "2");
}

// Guards against a row whose version, of an earlier era, hides the later ones:
// a node that had not read the table again passed it on.
TEST_F(restored_table_test, RowsOfPeersAreOfOneEra)
{
  mStore.Put(Key("a"), "1");
  RunFor(milliseconds(50));
  const auto copy = mStore.TakeCopy();
  for (int i = 0; i < 20; ++i) {
    mStore.Put(Key("a"), "lost");
  }
  // This node is refused by the store when it has seen the new era.
  recording_listener listener;
  cut_off_store cutOff(mStore);
  table_follower peer{ cutOff,          mTime,           "t",
                       milliseconds(5), milliseconds(5), listener };
  peer.Start();
  RunFor(milliseconds(50));
  cutOff.mLastEra = mStore.Era();
  mStore.Restore(copy);
  mStore.Put(Key("a"), "2");
  RunFor(milliseconds(100));
  ASSERT_EQ(mListener.mValues["a"], "2");
  const table_copy stale = peer.Copy();
  ASSERT_EQ(stale.mVersion, 0U);
  mStore.mUnreachable = true;
  RunFor(milliseconds(50));
  for (const stored_row& row : stale.mRows) {
    mFollower.AddPeerRow(row, stale.mEra);
  }
  EXPECT_EQ(mListener.mValues["a"], "2");
  mStore.mUnreachable = false;
  mStore.Put(Key("a"), "3");
  RunFor(milliseconds(600));
  EXPECT_EQ(mListener.mValues["a"], "3");
}

// Two drills shortly after one another, and an outage of the store between.
TEST_F(restored_table_test, SurvivesDrillsInARow)
{
  mStore.Put(Key("a"), "1");
  RunFor(milliseconds(50));
  const auto copy = mStore.TakeCopy();
  for (int drill = 0; drill < 3; ++drill) {
    mStore.Put(Key("a"), fmt::format("lost {}", drill));
    RunFor(milliseconds(20));
    mStore.mUnreachable = true;
    RunFor(milliseconds(30));
    mStore.mUnreachable = false;
    mStore.Restore(copy);
  }
  mStore.Put(Key("a"), "2");
  RunFor(milliseconds(300));
  EXPECT_EQ(mListener.mValues["a"], "2");
}

// Guards against an acknowledged configuration that is never applied, and
// against an older one that is applied again.
TEST_F(restored_store_test, AppliesConfigurationsOfTheNewEra)
{
  AddServer("i-1", "app");
  StartNode();
  const auto copy = mStore.TakeCopy();
  for (int i = 0; i < 5; ++i) {
    PutConfig(8, "/lost/");
  }
  RunFor(milliseconds(300));
  EXPECT_EQ(Status("/lost/x"), 200U);
  mStore.Restore(copy);
  RunFor(milliseconds(200));
  EXPECT_EQ(Status("/lost/x"), 200U);
  PutConfig(9, "/new/");
  RunFor(milliseconds(300));
  EXPECT_EQ(Status("/new/x"), 200U);
  EXPECT_EQ(Status("/lost/x"), 404U);
}

// Guards against a server that leaves right after the drill and is still used.
TEST_F(restored_store_test, ServersThatLeaveAreKnown)
{
  scripted_server& leaving = AddServer("i-1", "app");
  AddServer("i-2", "app");
  StartNode();
  const auto copy = mStore.TakeCopy();
  for (int i = 0; i < 20; ++i) {
    mStore.Put({ "servers", "", "i-9" }, "{}");
  }
  RunFor(milliseconds(600));
  mStore.Restore(copy);
  PutServer("i-1", leaving, "draining");
  RunFor(milliseconds(1200));
  const std::size_t before = leaving.mRequests.size();
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Status("/o/x"), 200U);
  }
  EXPECT_EQ(leaving.mRequests.size(), before);
}

// Guards against a node that starts after the drill and finds no others.
TEST_F(restored_store_test, MembersRegisterAgain)
{
  AddServer("i-1", "app");
  const auto copy = mStore.TakeCopy();
  StartNode();
  const row_key key{ "lentilswitch",
                     "",
                     "node/" + FormatTcpAddress(mSettings.mPeer) };
  RunFor(milliseconds(600));
  ASSERT_TRUE(mStore.Value(key));
  mStore.Restore(copy);
  ASSERT_FALSE(mStore.Value(key));
  RunFor(milliseconds(1200));
  EXPECT_TRUE(mStore.Value(key));
}
