#include <gtest/gtest.h>

#include <chrono>
#include <limits>
#include <string>

#include "Gateway/FleetView.h"
#include "Gateway/LoadNotices.h"
#include "Gateway/PeerDatagram.h"

namespace {

using std::chrono::milliseconds;
using work_list = std::vector<std::pair<std::uint32_t, upstream_work>>;

constexpr std::size_t kMaxDatagramBytes = 1400;
constexpr time_point kNow{ std::chrono::seconds(100) };
const std::string kPeer = "10.0.0.2:700";
constexpr std::uint64_t kRun = 1796363764122;

node_report Report(const std::string& aAddress, work_list aWork)
{
  node_report report;
  report.mAddress = aAddress;
  report.mRun = kRun;
  report.mWork = std::move(aWork);
  return report;
}

class load_view_test : public testing::Test
{
protected:
  load_view_test()
  {
    mView.OnReport(Report(kPeer, { { 5, { 2, 10, 20 } } }), kNow);
  }

  std::int64_t Requests(std::uint32_t aServer, time_point aNow) const
  {
    const auto work = mView.PeerWork(aNow);
    const auto found = work.find(aServer);
    return found == work.end() ? 0 : found->second.mRequests;
  }

  fleet_view mView{ Report("10.0.0.1:700", {}) };
};

} // namespace

// Guards against datagrams that another node reads differently, or that do not
// fit into a packet.
TEST(CapacityDatagramTest, RoundTripsTheLargestNotices)
{
  capacity_notice capacity;
  const auto large = std::numeric_limits<std::uint32_t>::max();
  for (std::size_t i = 0; i < server_estimates::kMaxNoticeObservations; ++i) {
    capacity.mObservations.push_back(
      { large - static_cast<std::uint32_t>(i),
        std::numeric_limits<std::uint64_t>::max() - i,
        i,
        { 1234.5, 23456.75, 34567.125, 4999.0, 65432.5 } });
  }
  const std::string capacityBytes = WritePeerDatagram(capacity);
  EXPECT_LE(capacityBytes.size(), kMaxDatagramBytes);
  EXPECT_EQ(std::get<capacity_notice>(*ParsePeerDatagram(capacityBytes)),
            capacity);

  load_notice load{ "255.255.255.255:65535", kRun, 77, {} };
  for (std::size_t i = 0; i < load_sender::kMaxServers; ++i) {
    load.mWork.emplace_back(large - static_cast<std::uint32_t>(i),
                            upstream_work{ 255, large, large });
  }
  const std::string loadBytes = WritePeerDatagram(load);
  EXPECT_LE(loadBytes.size(), kMaxDatagramBytes);
  EXPECT_EQ(std::get<load_notice>(*ParsePeerDatagram(loadBytes)), load);
  for (std::size_t size = 0; size < loadBytes.size(); ++size) {
    const auto cut = ParsePeerDatagram(loadBytes.substr(0, size));
    EXPECT_TRUE(!cut || std::get<load_notice>(*cut) != load);
  }
}

// Guards against work that is counted twice or lost when notices are lost,
// repeated or reordered, and against notices of a former run.
TEST_F(load_view_test, OlderNoticesAreIgnored)
{
  const load_notice newer{ kPeer, kRun, 2, { { 5, { 4, 0, 0 } } } };
  const auto changes = mView.OnLoad(newer, kNow);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().second, (upstream_work{ 2, -10, -20 }));
  EXPECT_TRUE(mView.OnLoad(newer, kNow).empty());
  EXPECT_TRUE(
    mView.OnLoad({ kPeer, kRun, 1, { { 5, { 9, 0, 0 } } } }, kNow).empty());
  EXPECT_TRUE(
    mView.OnLoad({ kPeer, kRun + 1, 3, { { 5, { 9, 0, 0 } } } }, kNow).empty());
  EXPECT_TRUE(
    mView.OnLoad({ "10.0.0.9:700", kRun, 3, { { 5, { 9, 0, 0 } } } }, kNow)
      .empty());
  EXPECT_EQ(Requests(5, kNow), 4);
  mView.OnReport(Report(kPeer, { { 5, { 3, 0, 0 } } }), kNow);
  EXPECT_EQ(Requests(5, kNow), 3);
}

// Guards against the work of a dead node that stays.
TEST_F(load_view_test, WorkOfADeadNodeIsDropped)
{
  mView.OnLoad({ kPeer, kRun, 1, { { 6, { 1, 0, 0 } } } }, kNow);
  EXPECT_EQ(Requests(6, kNow + milliseconds(1200)), 1);
  EXPECT_EQ(Requests(6, kNow + milliseconds(1300)), 0);
}

// Guards against more datagrams than a small host carries, and against changes
// that are never sent.
TEST(LoadSenderTest, KeepsToFourHundredDatagramsASecond)
{
  constexpr std::size_t kPeers = 79;
  load_sender sender;
  std::size_t datagrams = 0;
  std::int64_t sent = 0;
  time_point now = kNow;
  for (int i = 0; i < 1000; ++i, now += milliseconds(10)) {
    const work_list work{ { 5, { i / 5 + 1, 0, 0 } } };
    if (const auto notice = sender.Update(work, kPeers, now)) {
      datagrams += kPeers;
      sent = notice->mWork.front().second.mRequests;
    }
  }
  EXPECT_GT(sent, 190);
  EXPECT_LE(datagrams, 400U * 11U);
  EXPECT_FALSE(
    sender.Update({}, 150, now + std::chrono::seconds(2)).has_value());
  const auto last = sender.Update({}, kPeers, now + std::chrono::seconds(2));
  ASSERT_TRUE(last.has_value());
  EXPECT_EQ(last->mWork, (work_list{ { 5, {} } }));
}

// Guards against starts that wait as long as ends.
TEST(LoadSenderTest, SendsStartsSoonAndEndsLater)
{
  load_sender sender;
  sender.Update({}, 5, kNow);
  const time_point start = kNow + milliseconds(10);
  const work_list work{ { 5, { 1, 0, 0 } } };
  EXPECT_FALSE(sender.Update(work, 5, start));
  EXPECT_TRUE(sender.Update(work, 5, start + milliseconds(20)));
  const time_point end = start + milliseconds(100);
  EXPECT_FALSE(sender.Update({}, 5, end));
  EXPECT_FALSE(sender.Update({}, 5, end + milliseconds(100)));
  EXPECT_TRUE(sender.Update({}, 5, end + milliseconds(200)));
}
