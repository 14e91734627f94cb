#include <gtest/gtest.h>

#include <deque>

#include <fmt/format.h>

#include "Gateway/FleetView.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick(100);
// A host with a link of 10 Mbit/s that sends copies of 50 KB with a quarter of
// the link can send one in this time.
constexpr milliseconds kTimePerCopy(160);
// Ages at which a node asks for a copy and from which it refuses requests.
constexpr milliseconds kRefreshAge(1470);
constexpr milliseconds kMaxAge(2100);

/// Nodes of which most have lost the store and a few have not.
class cut_fleet
{
public:
  cut_fleet(unsigned aNodes, unsigned aInContact)
    : mInContact(aInContact)
  {
    for (unsigned i = 0; i < aNodes; ++i) {
      node_report self;
      self.mAddress = fmt::format("10.0.0.{}:7000", i);
      mIndex[self.mAddress] = i;
      mNodes.push_back({ fleet_view(self), mNow, {}, {} });
    }
  }

  /// Returns the share of the time for which nodes without the store had copies
  /// that are too old.
  double Run(milliseconds aTime)
  {
    unsigned outdated = 0;
    unsigned samples = 0;
    for (const time_point end = mNow + aTime; mNow < end; mNow += kTick) {
      for (std::size_t i = 0; i < mInContact; ++i) {
        mNodes[i].mCurrentAt = mNow - milliseconds(600);
      }
      if (++mRound % 2 == 0) {
        SendReports();
      }
      for (std::size_t i = mInContact; i < mNodes.size(); ++i) {
        Refresh(mNodes[i]);
        outdated += mNow > mNodes[i].mCurrentAt + kMaxAge ? 1U : 0U;
        ++samples;
      }
    }
    return static_cast<double>(outdated) / samples;
  }

private:
  struct node
  {
    fleet_view mView;
    time_point mCurrentAt;
    time_point mNextCopyAt;
    time_point mNextFetchAt;
  };

  void SendReports()
  {
    for (node& sender : mNodes) {
      const auto age =
        std::chrono::duration_cast<milliseconds>(mNow - sender.mCurrentAt);
      sender.mView.Self().mConfigAge = age;
      sender.mView.Self().mServersAge = age;
      const node_report report = sender.mView.ComposeReport(mRound, mNow);
      for (node& receiver : mNodes) {
        if (mRound <= 4) {
          receiver.mView.OnReport(report, mNow);
        }
      }
      for (const std::string& target : sender.mView.ReportTargets(mRound)) {
        mNodes[mIndex.at(target)].mView.OnReport(report, mNow);
      }
    }
  }

  void Refresh(node& aNode)
  {
    if (mNow <= aNode.mCurrentAt + kRefreshAge || mNow < aNode.mNextFetchAt) {
      return;
    }
    aNode.mNextFetchAt = mNow + milliseconds(200);
    const auto sources =
      aNode.mView.StateSources(aNode.mCurrentAt, mRound, mNow);
    if (sources.empty()) {
      return;
    }
    node& source = mNodes[mIndex.at(sources.front())];
    if (mNow >= source.mNextCopyAt) {
      source.mNextCopyAt = mNow + kTimePerCopy;
      aNode.mCurrentAt = std::max(aNode.mCurrentAt, source.mCurrentAt);
    }
  }

  std::size_t mInContact;
  time_point mNow{ std::chrono::seconds(1000) };
  std::uint64_t mRound = 0;
  std::map<std::string, std::size_t> mIndex;
  std::deque<node> mNodes;
};

} // namespace

// Guards against nodes that refuse requests although peers have newer state,
// because they all ask the same few peers, or peers whose copies are as old as
// their own.
TEST(state_sources_test, CopiesSpreadFromAFewNodesInContact)
{
  cut_fleet fleet(71, 4);
  fleet.Run(milliseconds(3000));
  const double outdated = fleet.Run(milliseconds(10000));
  RecordProperty("outdated_share", fmt::format("{:.3f}", outdated));
  std::printf("share of the time with outdated state: %.3f\n", outdated);
  EXPECT_LE(outdated, 0.05);
}
