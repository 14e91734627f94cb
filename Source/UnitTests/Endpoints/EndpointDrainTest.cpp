#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <set>

#include <fmt/format.h>

#include "Gateway/FleetView.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick(20);
constexpr unsigned kTicksPerRound = 10;
// Longest time for which an answer may name a node that was killed.
constexpr milliseconds kNamingLimit(3000);

#ifdef __SANITIZE_ADDRESS__
// The sanitizers take more than the time limit of a test for 340 nodes.
constexpr std::array kFleets{ 3U, 75U };
#else
constexpr std::array kFleets{ 3U, 75U, 340U };
#endif
// Longest time until all nodes know of nodes that came back.
constexpr milliseconds kReturnTime(2000);

/// Nodes that exchange reports. Datagrams take one tick, and a tenth is lost.
class drain_fleet
{
public:
  explicit drain_fleet(unsigned aNodes)
  {
    mNodes.resize(aNodes);
    for (unsigned i = 0; i < aNodes; ++i) {
      Start(i);
    }
  }

  void Start(unsigned aNode)
  {
    node_report self;
    self.mAddress = fmt::format("n{}:7000", aNode);
    self.mClientAddress = fmt::format("n{}", aNode);
    self.mRun = ++mRuns;
    self.mReady = true;
    self.mCapacity = aNode % 9 == 0 ? 0.5 : 0.05;
    self.mZone = zone_id{ fmt::format("z{}", aNode % 4) };
    mNodes[aNode] = std::make_unique<fleet_view>(self);
    for (unsigned i = 0; i < mNodes.size(); ++i) {
      mNodes[aNode]->AddCandidate(fmt::format("n{}:7000", i));
    }
  }
  void Kill(unsigned aNode) { mNodes[aNode].reset(); }

  void Run(milliseconds aTime)
  {
    for (const auto end = mNow + aTime; mNow < end;) {
      mNow += kTick;
      ++mTicks;
      auto arrived = std::move(mOnTheWay);
      mOnTheWay.clear();
      for (const auto& [to, report] : arrived) {
        if (mNodes[to]) {
          mNodes[to]->OnReport(*report, mNow);
        }
      }
      for (unsigned i = 0; i < mNodes.size(); ++i) {
        if (mNodes[i] && (mTicks + i) % kTicksPerRound == 0) {
          Report(i);
        }
      }
    }
  }

  /// Smallest number of nodes that a node takes for alive.
  std::size_t SmallestLiveCount() const
  {
    std::size_t smallest = mNodes.size();
    for (const auto& node : mNodes) {
      smallest = std::min(smallest, node ? node->LiveNodeCount(mNow) : 0);
    }
    return smallest;
  }

  /// Nodes that answers of running nodes name.
  std::set<std::string> Named() const
  {
    std::set<std::string> named;
    for (const auto& node : mNodes) {
      for (unsigned zone = 0; node && zone < 4; ++zone) {
        const auto addresses =
          node->ClientAddresses(mNow, fmt::format("z{}", zone));
        EXPECT_FALSE(addresses.empty());
        named.insert(addresses.begin(), addresses.end());
      }
    }
    return named;
  }

private:
  void Report(unsigned aNode)
  {
    fleet_view& node = *mNodes[aNode];
    node.UpdateEndpoints(mNow);
    const std::uint64_t round = mTicks / kTicksPerRound;
    const auto report =
      std::make_shared<const node_report>(node.ComposeReport(round, mNow));
    for (const std::string& target : node.ReportTargets(round)) {
      if (mLoss(mRandom)) {
        continue;
      }
      mOnTheWay.emplace_back(std::stoul(target.substr(1)), report);
    }
  }

  std::vector<std::unique_ptr<fleet_view>> mNodes;
  std::vector<std::pair<std::size_t, std::shared_ptr<const node_report>>>
    mOnTheWay;
  std::mt19937 mRandom{ 7 };
  std::bernoulli_distribution mLoss{ 0.1 };
  std::uint64_t mRuns = 0;
  unsigned mTicks = 0;
  time_point mNow{ std::chrono::seconds(100) };
};

class endpoint_drain_test : public testing::TestWithParam<unsigned>
{};

} // namespace

// Guards against answers that name nodes long after they were killed, also
// because nodes tell each other of them, and against nodes that are not named
// again once they come back under their address.
TEST_P(endpoint_drain_test, KilledNodesLeaveTheAnswersInTime)
{
  const unsigned nodes = GetParam();
  drain_fleet fleet(nodes);
  fleet.Run(kReturnTime);
  const auto before = fleet.Named();
  std::vector<unsigned> killed;
  for (unsigned i = 0; i < nodes; ++i) {
    // Two in three, and most of the large ones among them.
    if (i % 3 != 1 && (i < 3 || i % 27 != 0)) {
      killed.push_back(i);
      fleet.Kill(i);
    }
  }
  // Datagrams that were on the way still arrive.
  fleet.Run(kNamingLimit + 2 * kTick);
  const auto after = fleet.Named();
  for (const unsigned node : killed) {
    EXPECT_FALSE(after.contains(fmt::format("n{}", node))) << node;
  }
  for (const unsigned node : killed) {
    fleet.Start(node);
  }
  fleet.Run(kReturnTime);
  EXPECT_EQ(fleet.SmallestLiveCount(), nodes);
  if (nodes <= 16) {
    EXPECT_EQ(fleet.Named(), before) << "all nodes are named";
  }
}

INSTANTIATE_TEST_SUITE_P(fleets,
                         endpoint_drain_test,
                         testing::ValuesIn(kFleets));
