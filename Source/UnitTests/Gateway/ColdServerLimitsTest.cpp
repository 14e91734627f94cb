#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include "Gateway/ServerRateLimits.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{ seconds(100) };
constexpr milliseconds kStep(10);
// Longest way of a request to a server.
constexpr milliseconds kDelay(100);
// Interval at which nodes learn of each other.
constexpr milliseconds kRound(200);
// Bound of the deployment with cold servers.
constexpr double kColdPerSecond = 8.1;
constexpr cold_bound kBound{ 1.5, 5.0 };
constexpr std::size_t kAllowed = 17;

std::string Address(unsigned aNode)
{
  return "10.0." + std::to_string(aNode / 200) + "." +
         std::to_string(aNode % 200) + ":7000";
}

/// Nodes with more requests than cold servers take. Each server counts what
/// arrives in any second.
class cold_fleet
{
public:
  cold_fleet(unsigned aNodes, unsigned aServers)
    : mNodes(aNodes)
    , mServers(aServers)
    , mArrivals(aServers)
  {
    for (unsigned i = 0; i < aNodes; ++i) {
      for (unsigned peer = 0; peer < aNodes; ++peer) {
        if (peer != i) {
          mViews[i].push_back(Address(peer));
        }
      }
      Restart(i, kStart);
    }
  }

  /// A new run of the node, which knows the addresses of all nodes as seeds.
  void Restart(unsigned aNode, time_point aNow)
  {
    server_rate_limits limits;
    limits.SetColdBound(kBound);
    std::vector<std::string> seeds;
    for (unsigned i = 0; i < mNodes; ++i) {
      seeds.push_back(Address(i));
    }
    limits.AddPossibleNodes(seeds, aNow);
    limits.SetNodes(Address(aNode), mViews[aNode], aNow);
    mLimits[aNode] = std::move(limits);
    SetCold(aNode, aNow);
  }

  void SetCold(unsigned aNode, time_point aNow)
  {
    for (unsigned server = 0; server < mServers; ++server) {
      mLimits[aNode].SetCold({ server, kColdPerSecond, mColdUntil }, aNow);
    }
  }

  /// Every node sends whenever it may. `aRound` is called in each round.
  template<class round>
  void Run(time_point aFrom, time_point aUntil, round aRound)
  {
    for (time_point now = aFrom; now < aUntil; now += kStep) {
      if ((now - aFrom) % kRound == milliseconds(0)) {
        aRound(now);
        for (auto& [node, limits] : mLimits) {
          limits.SetNodes(Address(node), mViews[node], now);
        }
      }
      for (auto& [node, limits] : mLimits) {
        for (unsigned server = 0; server < mServers; ++server) {
          while (limits.MaySend(server, now)) {
            limits.OnSend(server, now);
            Count(server, now);
          }
        }
      }
    }
  }

  void Run(time_point aFrom, time_point aUntil)
  {
    Run(aFrom, aUntil, [](time_point) {});
  }

  /// The request reaches the server up to `kDelay` after it was sent.
  void Count(unsigned aServer, time_point aNow)
  {
    mArrivals[aServer].push_back(
      aNow + milliseconds(static_cast<int>(mRandom() % kDelay.count())));
    ++mTotal;
  }

  /// The most requests that reached a server in any second.
  std::size_t Most()
  {
    std::size_t most = 0;
    for (std::vector<time_point>& arrivals : mArrivals) {
      std::ranges::sort(arrivals);
      std::size_t first = 0;
      for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[first] <= arrivals[last] - seconds(1)) {
          ++first;
        }
        most = std::max(most, last - first + 1);
      }
    }
    return most;
  }

  unsigned mNodes;
  unsigned mServers;
  time_point mColdUntil = kStart + seconds(600);
  std::map<unsigned, server_rate_limits> mLimits;
  /// Peers that each node takes for alive.
  std::map<unsigned, std::vector<std::string>> mViews;
  std::vector<std::vector<time_point>> mArrivals;
  std::mt19937 mRandom{ 3 };
  std::size_t mTotal = 0;
};

/// Adds the figure to the report of the test.
std::size_t Recorded(std::size_t aMost)
{
  static unsigned sCount = 0;
  testing::Test::RecordProperty("most_in_second_" + std::to_string(++sCount),
                                static_cast<int>(aMost));
  return aMost;
}

} // namespace

// Guards against servers that crash because nodes that each keep to the limit
// exceed it together in some second, and against limits that are not used.
TEST(ColdServerLimitsTest, NodesTogetherKeepToTheBoundInAnySecond)
{
  for (const unsigned nodes : { 1U, 2U, 6U, 7U, 8U, 9U, 11U, 72U }) {
    constexpr unsigned kServers = 5;
    cold_fleet fleet(nodes, kServers);
    fleet.Run(kStart, kStart + seconds(20));
    EXPECT_LE(Recorded(fleet.Most()), kAllowed) << nodes;
    EXPECT_GE(static_cast<double>(fleet.mTotal),
              0.85 * kColdPerSecond * 18.5 * kServers)
      << nodes;
  }
}

// Guards against nodes that saved up requests while a whole zone of servers was
// out of service and send them when all come back at once.
TEST(ColdServerLimitsTest, ZoneThatComesBackGetsNoBurst)
{
  constexpr unsigned kServers = 30;
  cold_fleet fleet(72, kServers);
  fleet.Run(kStart + seconds(60), kStart + seconds(70));
  EXPECT_LE(Recorded(fleet.Most()), kAllowed);
}

// Guards against parts that are used by more nodes than intended because nodes
// know different nodes: each misses up to three tenths of the others for ever.
TEST(ColdServerLimitsTest, HoldsWhileNodesKnowDifferentNodes)
{
  for (const unsigned nodes : { 6U, 72U }) {
    std::mt19937 random(11);
    cold_fleet fleet(nodes, 30);
    fleet.mLimits.clear();
    for (auto& [node, view] : fleet.mViews) {
      const unsigned missing = random() % 4;
      std::erase_if(view, [&](const auto&) { return random() % 10 < missing; });
      server_rate_limits& limits = fleet.mLimits[node];
      limits.SetColdBound(kBound);
      limits.SetNodes(Address(node), view, kStart);
      fleet.SetCold(node, kStart);
    }
    fleet.Run(kStart, kStart + seconds(10));
    EXPECT_LE(Recorded(fleet.Most()), kAllowed) << nodes;
  }
}

// Guards against a part that is used twice: by nodes that start anew, and by
// nodes that take over the parts of others that they hear nothing of.
TEST(ColdServerLimitsTest, RestartsAndLostReportsAddNoRequests)
{
  for (const unsigned nodes : { 1U, 6U, 72U }) {
    std::mt19937 random(5);
    cold_fleet fleet(nodes, 10);
    const auto views = fleet.mViews;
    fleet.Run(kStart, kStart + seconds(40), [&](time_point aNow) {
      fleet.mViews = views;
      for (auto& [node, view] : fleet.mViews) {
        std::erase_if(view, [&](const auto&) { return random() % 4 == 0; });
      }
      if (random() % 3 == 0) {
        fleet.Restart(random() % nodes, aNow);
      }
    });
    EXPECT_LE(Recorded(fleet.Most()), kAllowed) << nodes;
  }
}

// Guards against parts that both sides of a cut use in full, also after the
// sides have forgotten each other, and with nodes that start while cut off.
TEST(ColdServerLimitsTest, CutOffNodesDoNotUseThePartsOfOthers)
{
#ifdef __SANITIZE_ADDRESS__
  // 72 nodes exceed the time limit of a test under the sanitizers.
  const std::vector<unsigned> fleets = { 6 };
#else
  const std::vector<unsigned> fleets = { 6, 72 };
#endif
  for (const unsigned nodes : fleets) {
    for (const unsigned share : { 3U, 6U }) {
      cold_fleet fleet(nodes, 20);
      const auto views = fleet.mViews;
      const unsigned cut = std::max(nodes * share / 18, 1U);
      fleet.Run(kStart, kStart + seconds(60), [&](time_point aNow) {
        fleet.mViews = views;
        if (aNow < kStart + seconds(5)) {
          return;
        }
        for (auto& [node, view] : fleet.mViews) {
          const bool inside = node < cut;
          std::erase_if(view, [&](const std::string& aPeer) {
            unsigned peer = 0;
            while (Address(peer) != aPeer) {
              ++peer;
            }
            return (peer < cut) != inside;
          });
        }
        if (aNow == kStart + seconds(20)) {
          fleet.Restart(0, aNow);
        }
      });
      EXPECT_LE(Recorded(fleet.Most()), kAllowed)
        << nodes << " nodes, cut " << cut;
    }
  }
}

// Guards against a cold time that never ends, or starts the limit anew with
// each entry of the server.
TEST(ColdServerLimitsTest, ColdTimeEndsAtItsDeadline)
{
  server_rate_limits limits;
  limits.SetColdBound(kBound);
  limits.SetNodes("a:1", {}, kStart);
  EXPECT_TRUE(limits.SetCold({ 3, 1.0, kStart + seconds(5) }, kStart));
  const time_point warmedUp = kStart + seconds(2);
  EXPECT_TRUE(limits.MaySend(3, warmedUp));
  limits.OnSend(3, warmedUp);
  EXPECT_FALSE(limits.SetCold({ 3, 1.0, kStart + seconds(4) }, warmedUp));
  EXPECT_FALSE(limits.MaySend(3, warmedUp + milliseconds(900)));
  EXPECT_EQ(limits.MaySendFrom(3), warmedUp + seconds(1));
  limits.OnSend(3, warmedUp + seconds(1));
  limits.OnSend(3, warmedUp + seconds(1));
  EXPECT_EQ(limits.MaySendFrom(3), kStart + seconds(4));
  EXPECT_EQ(limits.ColdCount(kStart + seconds(3)), 1U);
  EXPECT_EQ(limits.ColdCount(kStart + seconds(4)), 0U);
  EXPECT_TRUE(limits.MaySend(3, kStart + seconds(4)));
}

// Guards against a stated limit that a cold server loses, or that outlives its
// cold time changed.
TEST(ColdServerLimitsTest, LowerStatedLimitHolds)
{
  server_rate_limits limits;
  limits.SetColdBound(kBound);
  limits.SetNodes("a:1", {}, kStart);
  limits.SetCold({ 3, kColdPerSecond, kStart + seconds(10) }, kStart);
  limits.OnResponse({ 3, 1, 2.0, kStart }, kStart - milliseconds(1));
  EXPECT_EQ(limits.OwnRate(3), 2.0);
  limits.OnResponse({ 3, 1, 50.0, kStart + milliseconds(1) }, kStart);
  EXPECT_EQ(limits.OwnRate(3), kColdPerSecond);
  limits.SetNodes("a:1", {}, kStart + seconds(10));
  EXPECT_EQ(limits.OwnRate(3), 50.0);
}

// Guards against a bound of the platform that is below the servers' limit.
TEST(ColdServerLimitsTest, LowerBoundOfThePlatformHolds)
{
  server_rate_limits limits;
  limits.SetColdBound({ 0.5, 0.0 });
  limits.SetNodes("a:1", {}, kStart);
  limits.SetCold({ 3, kColdPerSecond, kStart + seconds(10) }, kStart);
  EXPECT_EQ(limits.OwnRate(3), 4.0);
}
