#include <gtest/gtest.h>

#include <algorithm>

#include "Gateway/HeldBytes.h"
#include "Gateway/SlowReaders.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPeriod(200);
constexpr std::uint64_t kSmallHost = 88'000'000;

/// Clients of a node, sampled as the node does.
class slow_readers_test : public testing::Test
{
protected:
  client_sample& Add(std::size_t aUnsentBytes)
  {
    mClients.push_back({ .mConnection = mClients.size() + 1,
                         .mUnsentBytes = aUnsentBytes,
                         .mWindowClosed = true });
    return mClients.back();
  }

  /// Runs for `aTime` and drops the clients that are ended. `aChange` is
  /// applied before each sample.
  template<typename change>
  void Run(milliseconds aTime, std::size_t aExcess, change aChange)
  {
    for (const time_point end = mNow + aTime; mNow < end;) {
      mNow += kPeriod;
      for (client_sample& client : mClients) {
        client.mHeardAt = mNow;
        aChange(client);
      }
      for (const client_to_end& ended :
           mReaders.Update(mClients, aExcess, mNow)) {
        mEnded.push_back(ended);
        aExcess -= std::min(aExcess, ended.mUnsentBytes);
        std::erase_if(mClients, [&](const client_sample& aClient) {
          return aClient.mConnection == ended.mConnection;
        });
      }
    }
  }
  void Run(milliseconds aTime, std::size_t aExcess = 0)
  {
    Run(aTime, aExcess, [](client_sample&) {});
  }

  time_point mNow{ std::chrono::seconds(100) };
  std::vector<client_sample> mClients;
  std::vector<client_to_end> mEnded;
  slow_readers mReaders;
};

} // namespace

// Guards against a bound that leaves too little for the process, and against
// one that is lower than the former bound for bodies.
TEST(held_bytes_test, BoundFollowsFromTheMemory)
{
  const held_bytes held(kSmallHost);
  EXPECT_LE(2 * held.Limit() + 12'000'000, kSmallHost);
  EXPECT_GE(held.Limit(), kSmallHost * 3 / 10);
  EXPECT_EQ(held_bytes(1'000'000).Limit(), 300'000U);
}

// Guards against a kind that is missing in the total, and against sums that
// wrap around.
TEST(held_bytes_test, SumsAllKinds)
{
  held_bytes held(kSmallHost);
  for (const held_kind kind : kHeldKinds) {
    held.Add(kind, 1000);
  }
  EXPECT_EQ(held.Total(), 6000U);
  held.Set(held_kind::ToClients, 10);
  held.Remove(held_kind::RequestBodies, 5000);
  EXPECT_EQ(held.Total(), 4010U);
  EXPECT_EQ(held.Of(held_kind::RequestBodies), 0U);
}

// Guards against streams that are paused earlier on a node with free memory,
// and against streams that grow on a full one.
TEST(held_bytes_test, StreamBoundsFallOnlyNearTheBound)
{
  held_bytes held(kSmallHost);
  held.Set(held_kind::ToClients, held.Limit() * 69 / 100);
  EXPECT_EQ(held.StreamLimit(), 262144U);
  EXPECT_EQ(held.BufferLimit(), 1048576U);
  held.Set(held_kind::ToClients, held.Limit() * 85 / 100);
  EXPECT_NEAR(static_cast<double>(held.StreamLimit()), 131072.0, 2000.0);
  held.Set(held_kind::ToClients, held.Limit() + 1);
  EXPECT_TRUE(held.IsFull());
  EXPECT_EQ(held.Excess(), 1U);
  EXPECT_EQ(held.StreamLimit(), 0U);
  EXPECT_EQ(held.BufferLimit(), 16384U);
}

// Guards against a stream at its bound that keeps memory and a slot until the
// server cuts it off.
TEST_F(slow_readers_test, EndsAStreamAtItsBoundAfterTwoSeconds)
{
  Add(300'000).mAtBound = true;
  Add(1000);
  Run(milliseconds(2000));
  EXPECT_TRUE(mEnded.empty());
  Run(milliseconds(400));
  ASSERT_EQ(mEnded.size(), 1U);
  EXPECT_EQ(mEnded[0].mConnection, 1U);
  EXPECT_FALSE(mEnded[0].mForNode);
  EXPECT_GE(mNow - mEnded[0].mUnreadSince, slow_readers::kUnreadTime);
}

// Guards against the end of a stream whose client reads, at the bounds of the
// stream and of the node.
TEST_F(slow_readers_test, KeepsClientsThatRead)
{
  Add(300'000).mAtBound = true;
  Add(200'000);
  unsigned count = 0;
  Run(milliseconds(20000), 100'000'000, [&](client_sample& aClient) {
    // Each client takes a little every 1.8 s.
    aClient.mTakenBytes += count++ / 2 % 9 == 0 ? 1 : 0;
  });
  EXPECT_TRUE(mEnded.empty());
}

// Guards against a fault of the network that is taken for a client that does
// not read: bytes are under way, or its host is not heard of.
TEST_F(slow_readers_test, KeepsClientsBehindABrokenNetwork)
{
  client_sample& sent = Add(300'000);
  sent.mAtBound = true;
  sent.mWindowClosed = false;
  Add(300'000).mAtBound = true;
  const time_point cutAt = mNow + milliseconds(600);
  Run(milliseconds(12000), 100'000'000, [&](client_sample& aClient) {
    aClient.mHeardAt = std::min(mNow, cutAt);
  });
  EXPECT_TRUE(mEnded.empty());
  Run(milliseconds(200), 100'000'000);
  ASSERT_EQ(mEnded.size(), 1U) << "the second is heard of again";
}

// Guards against a full node that ends more streams than needed, or small ones
// before large ones.
TEST_F(slow_readers_test, EndsTheLargestFirstUntilTheNodeIsBelowItsBound)
{
  for (std::size_t i = 1; i <= 50; ++i) {
    Add(i * 1000);
  }
  Run(milliseconds(1800));
  EXPECT_EQ(mReaders.UnreadCount(), 0U);
  Run(milliseconds(400));
  EXPECT_EQ(mReaders.UnreadCount(), 50U);
  EXPECT_TRUE(mEnded.empty());
  Run(kPeriod, 140'000);
  ASSERT_EQ(mEnded.size(), 3U);
  EXPECT_EQ(mEnded[0].mUnsentBytes, 50'000U);
  EXPECT_EQ(mEnded[2].mUnsentBytes, 48'000U);
  EXPECT_TRUE(mEnded[0].mForNode);
}

// Guards against a table that grows with the number of clients ever seen, and
// against a new connection that inherits the silence of an old one.
TEST_F(slow_readers_test, ForgetsClientsWithoutUnsentBytes)
{
  Add(300'000).mAtBound = true;
  Run(milliseconds(1800));
  const std::vector<client_sample> clients = std::exchange(mClients, {});
  Run(kPeriod);
  mClients = clients;
  Run(milliseconds(1800));
  EXPECT_TRUE(mEnded.empty());
}

// Guards against the end of a stream whose client reads a KB a second into a
// receive buffer that announces space every four seconds.
TEST_F(slow_readers_test, KeepsClientsThatWereSeenToPause)
{
  client_sample& client = Add(300'000);
  unsigned count = 0;
  const auto readRarely = [&](client_sample& aClient) {
    aClient.mTakenBytes += ++count % 20 == 0 ? 4096 : 0;
  };
  // The stream is not at its bound yet.
  Run(milliseconds(4200), 0, readRarely);
  client.mAtBound = true;
  Run(milliseconds(20000), 100'000'000, readRarely);
  EXPECT_TRUE(mEnded.empty());
  Run(milliseconds(8400));
  EXPECT_EQ(mEnded.size(), 1U) << "it stopped";
}
