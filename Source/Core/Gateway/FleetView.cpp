#include "Gateway/FleetView.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

// A node that was not heard of for this long counts as dead. It covers six
// rounds of reports, so that single lost datagrams do not matter.
constexpr milliseconds kPeerTimeout(1300);
// Reported work older than this is ignored.
constexpr milliseconds kWorkTimeout(1000);
// Limit of the nodes that one round of reports goes to. A smaller fleet reports
// to everyone.
constexpr std::size_t kMostTargets = 16;
// Limit of the peers in one report, so that it fits a datagram.
constexpr std::size_t kMostPeersNamed = 400;
// Limit of the peers whose address a report holds in full.
constexpr std::size_t kAddressesPerReport = 4;
// Number of steps when a hash is mapped to the range 0 to 1.
constexpr std::uint64_t kHashPoints = 1000;

} // namespace

std::uint32_t NodeKey(const std::string& aAddress)
{
  return static_cast<std::uint32_t>(StableHash(aAddress));
}

fleet_view::fleet_view(node_report aSelf)
  : mSelf(std::move(aSelf))
{
}

void fleet_view::AddCandidate(const std::string& aAddress)
{
  if (aAddress != mSelf.mAddress) {
    Peer(aAddress);
  }
}

fleet_view::peer_state& fleet_view::Peer(const std::string& aAddress)
{
  const auto [found, added] = mPeers.try_emplace(aAddress);
  if (added) {
    mAddresses[NodeKey(aAddress)] = aAddress;
  }
  return found->second;
}

void fleet_view::OnReport(const node_report& aReport, time_point aNow)
{
  if (aReport.mAddress == mSelf.mAddress) {
    return;
  }
  peer_state& sender = Peer(aReport.mAddress);
  sender.mReport = aReport;
  sender.mHeard = aNow;
  sender.mReported = aNow;
  for (const std::string& address : aReport.mNamed) {
    AddCandidate(address);
  }
  for (const auto& [key, age] : aReport.mPeers) {
    const auto address = mAddresses.find(key);
    if (address != mAddresses.end()) {
      peer_state& peer = Peer(address->second);
      peer.mHeard = std::max(peer.mHeard, aNow - age);
    }
  }
}

bool fleet_view::Alive(const peer_state& aPeer, time_point aNow) const
{
  return aPeer.mHeard != time_point() && aNow < aPeer.mHeard + kPeerTimeout;
}

node_report fleet_view::ComposeReport(std::uint64_t aRound,
                                      time_point aNow) const
{
  node_report report = mSelf;
  std::vector<std::string> live;
  for (const auto& [address, peer] : mPeers) {
    if (Alive(peer, aNow) && report.mPeers.size() < kMostPeersNamed) {
      report.mPeers.emplace_back(
        NodeKey(address),
        std::chrono::duration_cast<milliseconds>(aNow - peer.mHeard));
      live.push_back(address);
    }
  }
  const std::size_t named = std::min(kAddressesPerReport, live.size());
  for (std::size_t i = 0; i < named; ++i) {
    report.mNamed.push_back(live[(aRound * named + i) % live.size()]);
  }
  return report;
}

std::vector<std::string> fleet_view::Targets(std::uint64_t aRound) const
{
  std::vector<std::pair<std::uint64_t, std::string>> order;
  order.reserve(mPeers.size());
  for (const auto& [address, peer] : mPeers) {
    order.emplace_back(StableHash(address + mSelf.mAddress, aRound), address);
  }
  const std::size_t count = std::min(kMostTargets, order.size());
  std::ranges::partial_sort(order,
                            order.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<std::string> targets;
  for (std::size_t i = 0; i < count; ++i) {
    targets.push_back(std::move(order[i].second));
  }
  return targets;
}

std::vector<std::string> fleet_view::ClientAddresses(
  time_point aNow,
  const std::string& aZone) const
{
  std::vector<const node_report*> live;
  std::vector<const node_report*> known;
  bool heardAny = false;
  for (const auto& [address, peer] : mPeers) {
    heardAny = heardAny || Alive(peer, aNow);
    if (!peer.mReport || peer.mReport->mFront.empty() ||
        !peer.mReport->mReady || peer.mReport->mLeaving) {
      continue;
    }
    known.push_back(&*peer.mReport);
    if (Alive(peer, aNow)) {
      live.push_back(&*peer.mReport);
    }
  }
  std::vector<const node_report*> nodes = heardAny ? live : known;
  if (mSelf.mReady && !mSelf.mLeaving) {
    nodes.push_back(&mSelf);
  }
  double most = 0.0;
  for (const node_report* node : nodes) {
    most = std::max(most, node->mCapacity);
  }
  const bool weigh = nodes.size() > kMostTargets;
  std::vector<std::string> addresses;
  for (const node_report* node : nodes) {
    // The choice depends on zone and node only, because clients drop
    // connections to addresses that a new answer lacks.
    const double point =
      static_cast<double>(StableHash(aZone + node->mAddress) % kHashPoints) /
      kHashPoints;
    if (!weigh || point * most < node->mCapacity) {
      addresses.push_back(node->mFront);
    }
  }
  return addresses;
}

std::size_t fleet_view::LiveNodes(time_point aNow) const
{
  const auto live = std::ranges::count_if(
    mPeers, [&](const auto& aPair) { return Alive(aPair.second, aNow); });
  return static_cast<std::size_t>(live) + 1;
}

std::vector<std::string> fleet_view::LivePeers(time_point aNow) const
{
  std::vector<std::string> peers;
  for (const auto& [address, peer] : mPeers) {
    if (Alive(peer, aNow)) {
      peers.push_back(address);
    }
  }
  return peers;
}

token_holders fleet_view::TokenHolders(time_point aNow) const
{
  token_holders holders;
  for (const auto& [address, peer] : mPeers) {
    if (!peer.mReport || !Alive(peer, aNow)) {
      continue;
    }
    for (const auto& [account, tokens] : peer.mReport->mHeld) {
      holders[account].push_back({ address, tokens });
    }
  }
  for (auto& [account, entries] : holders) {
    std::ranges::sort(entries, std::greater(), &token_holder::mTokens);
  }
  return holders;
}

std::unordered_map<std::uint32_t, upstream_work> fleet_view::PeerWork(
  time_point aNow) const
{
  std::unordered_map<std::uint32_t, upstream_work> sum;
  std::int64_t reporting = 0;
  std::int64_t live = 0;
  for (const auto& [address, peer] : mPeers) {
    if (!Alive(peer, aNow)) {
      continue;
    }
    ++live;
    if (!peer.mReport || aNow > peer.mReported + kWorkTimeout) {
      continue;
    }
    ++reporting;
    for (const auto& [key, work] : peer.mReport->mWork) {
      sum[key] += work;
    }
  }
  if (reporting == 0 || reporting == live) {
    return sum;
  }
  for (auto& [key, work] : sum) {
    work.mRequests = work.mRequests * live / reporting;
    work.mPrefillTokens = work.mPrefillTokens * live / reporting;
    work.mKvTokens = work.mKvTokens * live / reporting;
  }
  return sum;
}
