#include <gtest/gtest.h>

#include <deque>
#include <numeric>
#include <random>

#include "Gateway/PeerDatagram.h"
#include "Gateway/ServerRateLimits.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{ seconds(100) };
constexpr std::uint32_t kServer = 17;
constexpr std::uint64_t kIncarnation = 5;

rate_limit_statement Statement(std::optional<double> aRate, time_point aAt)
{
  return { kServer, kIncarnation, aRate, aAt };
}

/// Nodes with as many waiting requests as a server takes.
class fleet
{
public:
  explicit fleet(unsigned aNodes)
    : mLimits(aNodes)
  {
    for (unsigned i = 0; i < aNodes; ++i) {
      std::vector<std::string> peers;
      for (unsigned peer = 0; peer < aNodes; ++peer) {
        if (peer != i) {
          peers.push_back(Address(peer));
        }
      }
      mLimits[i].SetNodes(Address(i), peers, kStart);
    }
  }

  static std::string Address(unsigned aNode)
  {
    return "10.0.0." + std::to_string(aNode) + ":7000";
  }

  /// Tells every node of the limit.
  void Tell(std::optional<double> aRate, time_point aAt)
  {
    for (server_rate_limits& limits : mLimits) {
      limits.OnResponse(Statement(aRate, aAt), aAt - milliseconds(1));
    }
  }

  /// Every node sends whenever it may. Returns the most requests that the
  /// server gets in any 4 s.
  std::size_t RunBusy(time_point aFrom, time_point aUntil)
  {
    std::deque<time_point> window;
    std::size_t most = 0;
    for (time_point now = aFrom; now < aUntil; now += milliseconds(10)) {
      for (server_rate_limits& limits : mLimits) {
        while (limits.MaySend(kServer, now)) {
          limits.OnSend(kServer, now);
          window.push_back(now);
          ++mSent;
        }
      }
      while (!window.empty() && window.front() <= now - seconds(4)) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }

  std::vector<server_rate_limits> mLimits;
  std::size_t mSent = 0;
};

double Allowed(double aRate)
{
  return 1.5 * aRate * 4 + 5;
}

} // namespace

// Guards against LIMIT: nodes that each keep to a server's limit exceed it
// together.
TEST(ServerRateLimitsTest, NodesTogetherKeepToTheLimit)
{
  for (const unsigned nodes : { 1U, 7U, 72U }) {
    for (const double rate : { 0.0, 0.3, 1.0, 1.2, 5.0, 40.0, 300.0 }) {
      fleet busy(nodes);
      busy.Tell(rate, kStart);
      EXPECT_LE(busy.RunBusy(kStart, kStart + seconds(20)), Allowed(rate))
        << nodes << " nodes, " << rate;
      if (rate >= 1.0) {
        EXPECT_GE(busy.mSent, 0.8 * rate * 20) << nodes << " nodes, " << rate;
      }
    }
  }
}

// Guards against a burst after a quiet time, in which every node saved up a
// request.
TEST(ServerRateLimitsTest, QuietNodesSendNoLargeBurst)
{
  fleet quiet(72);
  quiet.Tell(1.0, kStart);
  EXPECT_LE(quiet.RunBusy(kStart + seconds(60), kStart + seconds(70)),
            Allowed(1.0));
}

// Guards against nodes that start with a full allowance whenever the fleet
// changes.
TEST(ServerRateLimitsTest, ChangesOfTheFleetAddNoRequests)
{
  std::mt19937 random(7);
  fleet changing(7);
  changing.Tell(1.0, kStart);
  std::deque<time_point> sent;
  for (time_point now = kStart; now < kStart + seconds(60);
       now += milliseconds(100)) {
    if (random() % 10 == 0) {
      const unsigned missing = random() % 7;
      for (unsigned i = 0; i < 7; ++i) {
        std::vector<std::string> peers;
        for (unsigned peer = 0; peer < 7; ++peer) {
          if (peer != i && peer != missing) {
            peers.push_back(fleet::Address(peer));
          }
        }
        changing.mLimits[i].SetNodes(fleet::Address(i), peers, now);
      }
    }
    for (server_rate_limits& limits : changing.mLimits) {
      while (limits.MaySend(kServer, now)) {
        limits.OnSend(kServer, now);
        sent.push_back(now);
      }
    }
    while (!sent.empty() && sent.front() <= now - seconds(4)) {
      sent.pop_front();
    }
    ASSERT_LE(sent.size(), Allowed(1.0));
  }
}

// Guards against limits that change in each response and start the allowance
// anew.
TEST(ServerRateLimitsTest, ChangedLimitsAddNoRequests)
{
  fleet busy(7);
  std::size_t most = 0;
  for (unsigned i = 0; i < 100; ++i) {
    const time_point now = kStart + milliseconds(200 * i);
    busy.Tell(i % 2 == 0 ? 1.0 : 1.1, now);
    most = std::max(most, busy.RunBusy(now, now + milliseconds(200)));
  }
  EXPECT_LE(busy.mSent, 20 * 1.5 * 1.1 + 5);
  EXPECT_GT(busy.mSent, 10U);
}

// Guards against a limit that outlives the server's need, and against one that
// ends because of a response that the server sent before it named the limit.
TEST(ServerRateLimitsTest, ResponseWithoutLimitEndsIt)
{
  server_rate_limits limits;
  limits.SetNodes("a:1", { "b:1" }, kStart);
  EXPECT_TRUE(limits.OnResponse(Statement(1.0, kStart), kStart));
  EXPECT_FALSE(limits.OnResponse(Statement({}, kStart + seconds(1)),
                                 kStart - milliseconds(1)));
  EXPECT_TRUE(limits.Find(kServer));
  EXPECT_TRUE(
    limits.OnResponse(Statement({}, kStart + seconds(2)), kStart + seconds(1)));
  EXPECT_FALSE(limits.Find(kServer));
  EXPECT_TRUE(limits.MaySend(kServer, kStart + seconds(2)));
}

// Guards against nodes that do not learn of a limit, or of its end, because
// they send the server nothing.
TEST(ServerRateLimitsTest, StatementsReachOtherNodes)
{
  server_rate_limits teller;
  server_rate_limits listener;
  teller.OnResponse(Statement(1.0, kStart), kStart);
  for (const auto& statement : teller.OwnStatements(kStart)) {
    EXPECT_TRUE(listener.OnPeerStatement(statement, kStart));
  }
  ASSERT_TRUE(listener.Find(kServer));
  EXPECT_TRUE(listener.OwnStatements(kStart).empty());
  teller.OnResponse(Statement({}, kStart + seconds(2)), kStart + seconds(1));
  for (const auto& statement : teller.OwnStatements(kStart + seconds(2))) {
    EXPECT_TRUE(listener.OnPeerStatement(statement, kStart + seconds(2)));
  }
  EXPECT_FALSE(listener.Find(kServer));
  // An older statement of a third node changes nothing.
  EXPECT_FALSE(listener.OnPeerStatement(Statement(1.0, kStart + seconds(1)),
                                        kStart + seconds(2)));
}

// Guards against a limit that a server named before it started anew.
TEST(ServerRateLimitsTest, StartOfTheServerEndsItsLimit)
{
  server_rate_limits limits;
  limits.SetNodes("a:1", {}, kStart);
  limits.OnResponse(Statement(1.0, kStart), kStart);
  limits.OnServerStart(kServer, kIncarnation);
  EXPECT_TRUE(limits.Find(kServer));
  limits.OnServerStart(kServer, kIncarnation + 1);
  EXPECT_FALSE(limits.Find(kServer));
  EXPECT_TRUE(limits.MaySend(kServer, kStart));
}

// Guards against limits that change on the way to another node.
TEST(PeerDatagramTest, EncodesRateLimits)
{
  node_report report;
  report.mAddress = "a:1";
  report.mRateLimits = {
    { kServer, kIncarnation, 1.25, milliseconds(300) },
    { kServer + 1, kIncarnation, std::nullopt, milliseconds(20) }
  };
  const auto parsed = ParsePeerDatagram(WritePeerDatagram(report));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(std::get<node_report>(*parsed).mRateLimits, report.mRateLimits);
}
