#include <gtest/gtest.h>

#include "../Membership/MembershipNetwork.h"
#include "Common/EventLoop.h"
#include "PeerFixture.h"

namespace {

using std::chrono::seconds;

/// Largest allowed control traffic that a node sends, in bytes per second.
constexpr double kMaxBytesPerSecond = 2048;

/// Measures over loopback how many bytes a heartbeat exchange needs besides the
/// two encoded messages.
double MeasureOverhead()
{
  constexpr int kCalls = 100;
  event_loop loop;
  recording_handler handler;
  const peer_key_ring keys(std::vector<peer_key>{ { "k1", "secret" } });
  const auto server = ListenOn("b", handler, keys);
  peer_client_settings settings;
  settings.mSelf = { "a" };
  peer_client client(settings, keys);
  const peer_target target{ { "b" }, server->Address() };
  int replies = 0;
  const auto exchangeHeartbeat = [&] {
    client.Heartbeat(target, {}, [&](const auto&) { ++replies; });
    const int before = replies;
    loop.RunUntil([&] { return replies > before; }, seconds(5));
  };
  exchangeHeartbeat();
  const auto before = client.Counters();
  for (int i = 0; i < kCalls; ++i) {
    exchangeHeartbeat();
  }
  const auto& after = client.Counters();
  const auto bytes =
    after.mBytesIn - before.mBytesIn + after.mBytesOut - before.mBytesOut;
  const std::size_t bodies = 2 * EncodeMessage(heartbeat{}).size();
  return static_cast<double>(bytes) / kCalls - static_cast<double>(bodies);
}

/// Average bytes per second that a node sends during `aTime`.
double MeasureTraffic(membership_network& aNetwork,
                      double aOverhead,
                      seconds aTime)
{
  double bytes = 0;
  aNetwork.mOnMessage = [&](const heartbeat& aMessage) {
    // Heartbeat and reply are two messages, so each gets half the overhead.
    bytes +=
      static_cast<double>(EncodeMessage(aMessage).size()) + aOverhead / 2;
  };
  aNetwork.Run(aTime);
  aNetwork.mOnMessage = {};
  return bytes / static_cast<double>(aNetwork.mNodes.size()) /
         static_cast<double>(aTime.count());
}

class peer_bytes : public testing::TestWithParam<std::size_t>
{};

} // namespace

INSTANTIATE_TEST_SUITE_P(Sizes, peer_bytes, testing::Values(8, 64, 340));

// Guards against control traffic that grows with the fleet. Checks the two
// situations with most membership updates: right after all nodes started, and
// after a node died.
TEST_P(peer_bytes, StayWithinTheTarget)
{
  const double overhead = MeasureOverhead();
  EXPECT_GT(overhead, 100);
  membership_network network(GetParam(), 4);
  network.Run(seconds(2));
  const double startBytes = MeasureTraffic(network, overhead, seconds(10));
  network.mNodes[1].mRuns = false;
  const double failureBytes = MeasureTraffic(network, overhead, seconds(12));
  RecordProperty("overhead", static_cast<int>(overhead));
  RecordProperty("starting", static_cast<int>(startBytes));
  RecordProperty("losing", static_cast<int>(failureBytes));
  EXPECT_LT(startBytes, kMaxBytesPerSecond);
  EXPECT_LT(failureBytes, kMaxBytesPerSecond);
}
