#include <gtest/gtest.h>

#include <fmt/format.h>

#include "Gateway/FleetView.h"

namespace {

using std::chrono::milliseconds;

constexpr unsigned kZones = 6;
// Hosts with work: the large ones of a fleet, and a few that callers keep to.
constexpr unsigned kNodesPerBusyNode = 10;
constexpr milliseconds kRound(200);
constexpr std::uint32_t kServer = 7;
constexpr std::int64_t kRequestsPerBusyNode = 20;
// Rounds until nodes without news report to fewer nodes.
constexpr std::uint64_t kFirstRound = 60;

/// The reports of a fleet. Each node knows the address of all others.
class large_fleet_test : public testing::TestWithParam<unsigned>
{
protected:
  void SetUp() override
  {
    for (unsigned i = 0; i < GetParam(); ++i) {
      node_report report;
      report.mAddress = fmt::format("10.{}.0.{}:7000", i % kZones, i / kZones);
      report.mClientAddress =
        fmt::format("10.{}.0.{}:80", i % kZones, i / kZones);
      report.mZone = zone_id{ fmt::format("z{}", i % kZones) };
      report.mReady = true;
      report.mClientState = client_state::Accepting;
      if (IsBusy(i)) {
        report.mWork = { { kServer, { kRequestsPerBusyNode, 0, 0 } } };
      }
      mIndex[report.mAddress] = i;
      mNodes.emplace_back(std::move(report));
    }
    for (fleet_view& node : mNodes) {
      for (const fleet_view& other : mNodes) {
        node.OnReport(other.Self(), mNow);
      }
    }
  }

  static bool IsBusy(unsigned aNode) { return aNode % kNodesPerBusyNode == 0; }

  /// Every node reports once, without loss.
  void Round()
  {
    mNow += kRound;
    ++mRound;
    std::vector<std::pair<unsigned, node_report>> datagrams;
    for (unsigned i = 0; i < mNodes.size(); ++i) {
      const node_report report = mNodes[i].ComposeReport(mRound, mNow);
      for (const std::string& target : mNodes[i].ReportTargets(mRound)) {
        const unsigned to = mIndex.at(target);
        mBetweenZones += to % kZones == i % kZones ? 0 : 1;
        datagrams.emplace_back(to, report);
      }
    }
    for (const auto& [to, report] : datagrams) {
      mNodes[to].OnReport(report, mNow);
    }
  }

  std::vector<fleet_view> mNodes;
  std::map<std::string, unsigned> mIndex;
  std::uint64_t mRound = kFirstRound;
  std::uint64_t mBetweenZones = 0;
  time_point mNow{ std::chrono::seconds(100) };
};

} // namespace

// Guards against reports between zones that grow with the hosts and not with
// the load: on a calm day with 295 hosts they were most of 2.6 GB, a tenth of
// the day's worth.
TEST_P(large_fleet_test, NodesWithoutNewsReportWithinTheirZone)
{
  constexpr unsigned kRounds = 10;
  for (unsigned i = 0; i < kRounds; ++i) {
    Round();
  }
  // To 16 nodes each, five sixths of them in other zones.
  const double full = GetParam() * 16.0 * (kZones - 1) / kZones * kRounds;
  EXPECT_LT(static_cast<double>(mBetweenZones), full / 2);
  EXPECT_GT(mBetweenZones, 0U);
}

// Guards against nodes that are taken for dead because they report to few
// nodes.
TEST_P(large_fleet_test, AllNodesStayAlive)
{
  std::size_t missing = 0;
  constexpr unsigned kRounds = 12;
  for (unsigned i = 0; i < kRounds; ++i) {
    Round();
    for (const fleet_view& node : mNodes) {
      missing += mNodes.size() - node.LiveNodeCount(mNow);
    }
  }
  EXPECT_EQ(missing, 0U);
}

// Guards against work that is estimated too high because nodes without work
// report less often than those that have some.
TEST_P(large_fleet_test, WorkOfOthersIsEstimatedWithoutBias)
{
  double estimated = 0.0;
  constexpr unsigned kRounds = 10;
  for (unsigned i = 0; i < kRounds; ++i) {
    Round();
  }
  // Nodes report at different times, so a mean time after the last report.
  mNow += kRound / 2;
  for (const fleet_view& node : mNodes) {
    const auto work = node.PeerWork(mNow);
    const auto found = work.find(kServer);
    estimated +=
      found == work.end() ? 0.0 : static_cast<double>(found->second.mRequests);
  }
  const double busy = std::ceil(GetParam() / double(kNodesPerBusyNode));
  const double actual = busy * double(kRequestsPerBusyNode);
  EXPECT_NEAR(estimated / GetParam() / actual, 1.0, 0.1);
}

// Guards against news that reach other zones late.
TEST_P(large_fleet_test, NodesWithNewsReportToAllZones)
{
  fleet_view& idle = mNodes[1];
  EXPECT_LE(idle.ReportTargets(kFirstRound).size(), 8U);
  EXPECT_EQ(idle.ReportTargets(1).size(), 16U) << "others do not know it yet";
  const auto full = [&](const char* aNews) {
    EXPECT_EQ(idle.ReportTargets(kFirstRound).size(), 16U) << aNews;
  };
  const node_report before = idle.Self();
  idle.Self().mLeaving = true;
  full("leaving");
  idle.Self() = before;
  idle.Self().mReady = false;
  full("not ready");
  idle.Self() = before;
  idle.Self().mCutOff = true;
  full("cut off");
  idle.Self() = before;
  idle.Self().mClientState = client_state::LeftAnswers;
  full("close to its limit");
  idle.Self() = before;
  idle.Self().mFreeTokens = { { 1, 100 } };
  full("has tokens");
}

#ifdef __SANITIZE_ADDRESS__
INSTANTIATE_TEST_SUITE_P(fleets, large_fleet_test, testing::Values(180U));
#else
INSTANTIATE_TEST_SUITE_P(fleets, large_fleet_test, testing::Values(180U, 300U));
#endif

// Guards against changed reports in fleets of the size that each node may hear
// of directly.
TEST(ReportTargetsTest, SmallerFleetsReportAsBefore)
{
  node_report self;
  self.mAddress = "10.0.0.250:7000";
  self.mReady = true;
  self.mClientState = client_state::Accepting;
  fleet_view view(self);
  for (unsigned i = 0; i < 100; ++i) {
    view.AddCandidate(fmt::format("10.0.0.{}:7000", i));
  }
  EXPECT_EQ(view.ReportTargets(kFirstRound).size(), 16U);
}
