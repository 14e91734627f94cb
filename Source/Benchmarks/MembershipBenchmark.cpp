#include <benchmark/benchmark.h>

#include "Common/EventLoop.h"
#include "Peer/PeerClient.h"
#include "Peer/PeerServer.h"

#include "../UnitTests/Membership/MembershipNetwork.h"

namespace {

using std::chrono::seconds;

constexpr std::size_t kZones = 4;
constexpr std::size_t kBaseNodes = 8;
/// Simulated time after which every node knows the state of all others.
constexpr seconds kConvergenceTime{ 400 };
/// Simulated time over which traffic is averaged.
constexpr seconds kMeasurementTime{ 30 };

/// Peer that replies to every message at once.
class echo_handler final : public peer_call_handler
{
public:
  heartbeat OnHeartbeat(const node_id& /*aFrom*/,
                        const heartbeat& aMessage) override
  {
    return aMessage;
  }
  hold_charges_reply OnHoldCharges(
    const node_id& /*aFrom*/,
    const hold_charges_request& /*aMessage*/) override
  {
    return {};
  }
  void OnDropCharges(const node_id& /*aFrom*/,
                     const drop_charges_request& /*aMessage*/) override
  {
  }
  void OnQuarantine(const node_id& /*aFrom*/,
                    const quarantine_message& /*aMessage*/) override
  {
  }
};

/// Peer server and a client connected to it, on one event loop.
struct loopback
{
  loopback()
  {
    const peer_key_ring keys(std::vector<peer_key>{ { "k1", "secret" } });
    peer_server_settings server;
    server.mSelf = { "b" };
    server.mAddress = "127.0.0.1:0";
    mServer = std::move(peer_server::Listen(server, keys, mHandler)).value();
    peer_client_settings client;
    client.mSelf = { "a" };
    mClient = std::make_unique<peer_client>(client, keys);
    mTarget = { { "b" }, mServer->Address() };
  }

  /// Sends a heartbeat and waits for the reply.
  void ExchangeHeartbeat(const heartbeat& aMessage)
  {
    bool replied = false;
    mClient->Heartbeat(
      mTarget, aMessage, [&replied](const auto&) { replied = true; });
    while (!replied) {
      g_main_context_iteration(nullptr, TRUE);
    }
  }

  echo_handler mHandler;
  std::unique_ptr<peer_server> mServer;
  std::unique_ptr<peer_client> mClient;
  peer_target mTarget;
};

/// Bytes of a heartbeat exchange (request and reply) in addition to the two
/// encoded messages.
double ExchangeOverhead()
{
  constexpr int kCalls = 100;
  loopback pair;
  pair.ExchangeHeartbeat({});
  const auto before = pair.mClient->Counters();
  for (int i = 0; i < kCalls; ++i) {
    pair.ExchangeHeartbeat({});
  }
  const auto& after = pair.mClient->Counters();
  const auto bytes =
    after.mBytesIn - before.mBytesIn + after.mBytesOut - before.mBytesOut;
  return static_cast<double>(bytes) / kCalls -
         2 * static_cast<double>(EncodeMessage(heartbeat{}).size());
}

/// Returns a fleet in which every node knows the state of all others. Created
/// once per size.
membership_network& ConvergedNetwork(std::size_t aNodes)
{
  static std::map<std::size_t, std::unique_ptr<membership_network>> sNetworks;
  auto& network = sNetworks[aNodes];
  if (!network) {
    network = std::make_unique<membership_network>(aNodes, kZones);
    network->Run(kConvergenceTime);
  }
  network->mOnMessage = {};
  return *network;
}

/// Bytes that a node sends per second, averaged over the nodes and over
/// `aTime`.
double BytesPerSecond(membership_network& aNetwork, seconds aTime)
{
  static const double sOverhead = ExchangeOverhead();
  double bytes = 0;
  aNetwork.mOnMessage = [&](const heartbeat& aMessage) {
    bytes +=
      static_cast<double>(EncodeMessage(aMessage).size()) + sOverhead / 2;
  };
  aNetwork.Run(aTime);
  aNetwork.mOnMessage = {};
  return bytes / static_cast<double>(aNetwork.mNodes.size()) /
         static_cast<double>(aTime.count());
}

/// Time of one tick of a node, including the handling of its messages but not
/// their encoding.
void MembershipTick(benchmark::State& aState)
{
  const auto nodes = static_cast<std::size_t>(aState.range(0));
  membership_network& network = ConvergedNetwork(nodes);
  std::int64_t messages = 0;
  network.mOnMessage = [&](const heartbeat&) { ++messages; };
  const auto start = std::chrono::steady_clock::now();
  for (auto _ : aState) {
    network.Run(membership_network::kStep);
  }
  const std::chrono::duration<double, std::micro> time =
    std::chrono::steady_clock::now() - start;
  const auto ticks =
    static_cast<double>(aState.iterations()) * static_cast<double>(nodes);
  aState.counters["us_per_tick"] = time.count() / ticks;
  aState.counters["messages_per_tick"] = static_cast<double>(messages) / ticks;
}

/// Encodes and decodes a heartbeat of a converged fleet.
void MembershipMessage(benchmark::State& aState)
{
  membership_network& network =
    ConvergedNetwork(static_cast<std::size_t>(aState.range(0)));
  heartbeat message;
  network.mOnMessage = [&](const heartbeat& aMessage) { message = aMessage; };
  network.Run(seconds(5));
  network.mOnMessage = {};
  heartbeat decoded;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DecodeMessage(EncodeMessage(message), decoded));
  }
  aState.counters["bytes"] = static_cast<double>(EncodeMessage(message).size());
}

/// Bytes that a node sends per second, and the increase per additional node.
void MembershipTraffic(benchmark::State& aState)
{
  const auto nodes = static_cast<std::size_t>(aState.range(0));
  double bytes = 0;
  for (auto _ : aState) {
    bytes = BytesPerSecond(ConvergedNetwork(nodes), kMeasurementTime);
  }
  aState.counters["bytes_per_s"] = bytes;
  if (nodes > kBaseNodes) {
    aState.counters["slope_per_node"] =
      (bytes - BytesPerSecond(ConvergedNetwork(kBaseNodes), kMeasurementTime)) /
      static_cast<double>(nodes - kBaseNodes);
  }
}

/// Whether every node sees all nodes of the other half of the zones as dead and
/// all nodes of its own half as not dead.
bool AllSeePartition(const membership_network& aNetwork)
{
  for (std::size_t i = 0; i < aNetwork.mNodes.size(); ++i) {
    for (std::size_t j = 0; j < aNetwork.mNodes.size(); ++j) {
      const bool separated = (i % kZones < 2) != (j % kZones < 2);
      if ((aNetwork.StateAt(i, j) == member_state::Dead) != separated) {
        return false;
      }
    }
  }
  return true;
}

/// Partitions the fleet into halves, heals the partition, then stops one node.
/// Measures, in seconds of simulated time, how long it takes until all nodes
/// have detected the partition, see each other as alive again, and see the
/// stopped node as dead. Also measures the traffic during the first two phases.
void MembershipFailures(benchmark::State& aState)
{
  const auto nodes = static_cast<std::size_t>(aState.range(0));
  for (auto _ : aState) {
    membership_network network(nodes, kZones);
    network.Run(seconds(30));
    network.mCanDeliver = [](std::size_t aFrom, std::size_t aTo) {
      return (aFrom % kZones < 2) == (aTo % kZones < 2);
    };
    aState.counters["split_bytes_per_s"] =
      BytesPerSecond(network, kMeasurementTime);
    const std::chrono::duration<double> splitTime =
      network.RunUntil([&] { return AllSeePartition(network); }, seconds(120));
    network.Run(seconds(30));
    network.mCanDeliver = [](std::size_t, std::size_t) { return true; };
    const time_point healStart = network.mNow;
    aState.counters["heal_bytes_per_s"] = BytesPerSecond(network, seconds(10));
    network.RunUntil([&] { return network.AllNodesSeeAllAlive(); },
                     seconds(300));
    const std::chrono::duration<double> healTime = network.mNow - healStart;
    network.mNodes[3].mRuns = false;
    const std::chrono::duration<double> detectionTime = network.RunUntil(
      [&] { return network.AllSee(3, member_state::Dead); }, seconds(120));
    aState.counters["split_s"] =
      splitTime.count() + static_cast<double>(kMeasurementTime.count());
    // split_s and heal_s include the time over which the traffic is measured,
    // so they are at least 30 s and 10 s.
    aState.counters["heal_s"] = healTime.count();
    aState.counters["death_s"] = detectionTime.count();
  }
}

void EndpointSelection(benchmark::State& aState)
{
  const membership_network network(static_cast<std::size_t>(aState.range(0)),
                                   kZones);
  endpoint_selector selector;
  selector.SetMembers(network.mNodes.front().mSystem->Members());
  std::uint64_t account = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(selector.Select(
      { { fmt::format("account-{}", ++account) }, 0.01, zone_id{ "zone-1" } }));
  }
}

void PeerCall(benchmark::State& aState)
{
  loopback pair;
  heartbeat message;
  message.mFrom.mNode = { "entry-001" };
  for (auto _ : aState) {
    pair.ExchangeHeartbeat(message);
  }
}

/// Time per call that holds the charges of 16 requests, with 32 calls in
/// flight.
void PeerHoldCharges(benchmark::State& aState)
{
  constexpr int kInFlight = 32;
  constexpr std::size_t kCharges = 16;
  loopback pair;
  hold_charges_request message;
  message.mCharges.resize(kCharges);
  const auto start = std::chrono::steady_clock::now();
  for (auto _ : aState) {
    int replies = 0;
    for (int i = 0; i < kInFlight; ++i) {
      pair.mClient->HoldCharges(
        pair.mTarget, message, [&replies](const auto&) { ++replies; });
    }
    while (replies < kInFlight) {
      g_main_context_iteration(nullptr, TRUE);
    }
  }
  const std::chrono::duration<double, std::micro> time =
    std::chrono::steady_clock::now() - start;
  aState.counters["us_per_call"] =
    time.count() / static_cast<double>(aState.iterations() * kInFlight);
}

} // namespace

BENCHMARK(MembershipTick)->Arg(8)->Arg(64)->Arg(340);
BENCHMARK(MembershipMessage)->Arg(8)->Arg(64)->Arg(340);
BENCHMARK(MembershipTraffic)->Arg(8)->Arg(64)->Arg(340)->Iterations(1);
BENCHMARK(MembershipFailures)->Arg(8)->Arg(64)->Arg(340)->Iterations(1);
BENCHMARK(EndpointSelection)->Arg(8)->Arg(340);
BENCHMARK(PeerCall);
BENCHMARK(PeerHoldCharges);
