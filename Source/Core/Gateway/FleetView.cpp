#include "Gateway/FleetView.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

// A node that was not heard of for this long counts as dead. It covers six
// rounds of reports, so that single lost datagrams do not matter.
constexpr milliseconds kPeerTimeout(1300);
// A node that was not heard of for this long counts as lost. It is longer than
// the restart of a process takes.
constexpr milliseconds kPeerLostTimeout(5000);
// Time that a relayed age loses between two nodes: the way of the datagram, and
// fractions of a millisecond. Without it a dead node that is relayed from node
// to node would age more slowly than the clock.
constexpr milliseconds kRelayTime(20);
// Reported work older than this is ignored.
constexpr milliseconds kWorkReportTimeout(1000);
// Nodes that send load notices send all changes, and one a second without
// changes. Their work holds for as long as they count as alive.
constexpr milliseconds kLoadTimeout = kPeerTimeout;
// Limit of the servers that notices may add to the work of a node.
constexpr std::size_t kMaxLoadServers = 1000;
// Limit of the nodes that one round of reports goes to. A smaller fleet reports
// to everyone.
constexpr std::size_t kMaxReportTargets = 16;
// In a fleet with more peers, nodes without news report to fewer nodes, most of
// them in their own zone. Others relay that they run before they count as dead.
constexpr std::size_t kMaxFullReportPeers = 128;
constexpr std::size_t kIdleZoneTargets = 5;
constexpr std::size_t kIdleOtherTargets = 3;
// Rounds of a run in which all nodes get to know it.
constexpr std::uint64_t kIntroductionRounds = 50;
// Rounds of reports within `kWorkReportTimeout`.
constexpr int kWorkReportRounds = 5;
// Limit of the peers in one report, so that it fits a datagram.
constexpr std::size_t kMaxPeersPerReport = 400;
// Limit of the peers whose address a report holds in full.
constexpr std::size_t kMaxAddressesPerReport = 4;
// Limit of the nodes to which one request is passed on.
constexpr std::size_t kMaxRelayTargets = 3;
// Age by which a peer's copies must be newer than the own ones to be fetched.
// Nodes that lost the store together have copies of nearly the same age.
constexpr milliseconds kMinStateGain(300);
// Number of steps when a hash is mapped to the range 0 to 1.
constexpr std::uint64_t kHashSteps = 1000;

} // namespace

std::uint32_t NodeKey(const std::string& aAddress)
{
  return static_cast<std::uint32_t>(StableHash(aAddress));
}

fleet_view::fleet_view(node_report aSelf)
  : mSelf(std::move(aSelf))
  , mEndpoints(mSelf.mAddress)
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
  if (sender.mReport && sender.mReport->mRun != aReport.mRun) {
    sender.mLastLoadAt = {};
    sender.mLoadSequence = 0;
  }
  sender.mReport = aReport;
  sender.mLastSeen = aNow;
  sender.mLastReportAt = aNow;
  sender.mConfigCurrentAt =
    aReport.mConfigAge ? aNow - *aReport.mConfigAge : time_point();
  sender.mServersCurrentAt =
    aReport.mServersAge ? aNow - *aReport.mServersAge : time_point();
  OnPauses(aReport.mPauses, aNow);
  for (const std::string& address : aReport.mKnownAddresses) {
    AddCandidate(address);
  }
  if (aNow > mLastPeerReportAt + kWorkReportTimeout) {
    mPeersReportSince = aNow;
  }
  mLastPeerReportAt = aNow;
  const std::uint32_t ownKey = NodeKey(mSelf.mAddress);
  for (const auto& [key, age] : aReport.mPeers) {
    if (key == ownKey) {
      mHeardByPeersAt = std::max(mHeardByPeersAt, aNow - age - kRelayTime);
    }
    const auto address = mAddresses.find(key);
    if (address != mAddresses.end()) {
      peer_state& peer = Peer(address->second);
      peer.mLastSeen = std::max(peer.mLastSeen, aNow - age - kRelayTime);
    }
  }
}

std::vector<std::pair<std::uint32_t, upstream_work>> fleet_view::OnLoad(
  const load_notice& aNotice,
  time_point aNow)
{
  std::vector<std::pair<std::uint32_t, upstream_work>> changes;
  const auto found = mPeers.find(aNotice.mAddress);
  if (found == mPeers.end() || !found->second.mReport ||
      found->second.mReport->mRun != aNotice.mRun ||
      aNotice.mSequence <= found->second.mLoadSequence) {
    return changes;
  }
  peer_state& sender = found->second;
  const bool counted = IsAlive(sender, aNow) && IsWorkKnown(sender, aNow);
  sender.mLoadSequence = aNotice.mSequence;
  sender.mLastLoadAt = aNow;
  sender.mLastSeen = std::max(sender.mLastSeen, aNow);
  auto& known = sender.mReport->mWork;
  for (const auto& [key, work] : aNotice.mWork) {
    auto entry = std::ranges::find(
      known, key, &std::pair<std::uint32_t, upstream_work>::first);
    if (entry == known.end()) {
      if (known.size() >= kMaxLoadServers) {
        continue;
      }
      entry = known.insert(known.end(), { key, upstream_work() });
    }
    upstream_work change = work;
    change -= std::exchange(entry->second, work);
    changes.emplace_back(key, change);
  }
  std::erase_if(known,
                [](const auto& aPair) { return aPair.second.mRequests <= 0; });
  if (!counted) {
    changes.clear();
  }
  return changes;
}

bool fleet_view::IsWorkKnown(const peer_state& aPeer, time_point aNow)
{
  return aPeer.mReport && (aNow <= aPeer.mLastReportAt + kWorkReportTimeout ||
                           aNow <= aPeer.mLastLoadAt + kLoadTimeout);
}

bool fleet_view::IsAlive(const peer_state& aPeer, time_point aNow) const
{
  return aPeer.mLastSeen != time_point() &&
         aNow < aPeer.mLastSeen + kPeerTimeout;
}

node_report fleet_view::ComposeReport(std::uint64_t aRound,
                                      time_point aNow) const
{
  node_report report = mSelf;
  std::vector<std::string> live;
  for (const auto& [address, peer] : mPeers) {
    if (IsAlive(peer, aNow) && report.mPeers.size() < kMaxPeersPerReport) {
      report.mPeers.emplace_back(
        NodeKey(address),
        std::chrono::duration_cast<milliseconds>(aNow - peer.mLastSeen));
      live.push_back(address);
    }
  }
  const std::size_t addressCount =
    std::min(kMaxAddressesPerReport, live.size());
  for (std::size_t i = 0; i < addressCount; ++i) {
    report.mKnownAddresses.push_back(
      live[(aRound * addressCount + i) % live.size()]);
  }
  return report;
}

bool fleet_view::HasNews(std::uint64_t aRound) const
{
  return aRound <= kIntroductionRounds || !mSelf.mReady || mSelf.mLeaving ||
         mSelf.mCutOff || mSelf.mClientState != client_state::Accepting ||
         !mSelf.mWork.empty() || !mSelf.mFreeTokens.empty() ||
         !mSelf.mRateLimits.empty() || !mSelf.mPauses.empty();
}

std::vector<std::string> fleet_view::ReportTargets(std::uint64_t aRound) const
{
  std::vector<std::pair<std::uint64_t, std::string>> near;
  std::vector<std::pair<std::uint64_t, std::string>> far;
  const bool fewer = mPeers.size() > kMaxFullReportPeers && !HasNews(aRound);
  for (const auto& [address, peer] : mPeers) {
    const bool sameZone =
      !fewer || (peer.mReport && peer.mReport->mZone == mSelf.mZone);
    (sameZone ? near : far)
      .emplace_back(StableHash(address + mSelf.mAddress, aRound), address);
  }
  std::vector<std::string> targets;
  const auto take = [&targets](auto& aFrom, std::size_t aMost) {
    const std::size_t count = std::min(aMost, aFrom.size());
    std::ranges::partial_sort(
      aFrom, aFrom.begin() + static_cast<std::ptrdiff_t>(count));
    for (std::size_t i = 0; i < count; ++i) {
      targets.push_back(std::move(aFrom[i].second));
    }
  };
  take(near, fewer ? kIdleZoneTargets : kMaxReportTargets);
  take(far, fewer ? kIdleOtherTargets : 0);
  return targets;
}

std::size_t fleet_view::LiveNodeCount(time_point aNow) const
{
  const auto live = std::ranges::count_if(
    mPeers, [&](const auto& aPair) { return IsAlive(aPair.second, aNow); });
  return static_cast<std::size_t>(live) + 1;
}

std::map<std::string, std::uint64_t> fleet_view::LiveRuns(time_point aNow) const
{
  std::map<std::string, std::uint64_t> runs;
  for (const auto& [address, peer] : mPeers) {
    if (IsAlive(peer, aNow)) {
      runs[address] = peer.mReport ? peer.mReport->mRun : 0;
    }
  }
  return runs;
}

std::vector<std::string> fleet_view::LivePeerAddresses(time_point aNow) const
{
  std::vector<std::string> peers;
  for (const auto& [address, peer] : mPeers) {
    if (IsAlive(peer, aNow)) {
      peers.push_back(address);
    }
  }
  return peers;
}

std::vector<std::string> fleet_view::KnownAddresses() const
{
  std::vector<std::string> addresses;
  addresses.reserve(mPeers.size());
  for (const auto& [address, peer] : mPeers) {
    addresses.push_back(address);
  }
  return addresses;
}

token_holders fleet_view::TokenHolders(time_point aNow) const
{
  token_holders holders;
  for (const auto& [address, peer] : mPeers) {
    if (!peer.mReport || !IsAlive(peer, aNow)) {
      continue;
    }
    for (const auto& [account, tokens] : peer.mReport->mFreeTokens) {
      holders[account].push_back({ address, tokens });
    }
  }
  for (auto& [account, entries] : holders) {
    std::ranges::sort(entries, std::greater(), &token_holder::mTokens);
  }
  return holders;
}

store_contacts fleet_view::StoreContacts(time_point aNow) const
{
  store_contacts contacts;
  for (const auto& [address, peer] : mPeers) {
    if (peer.mReport && peer.mReport->mStoreContact.IsStated() &&
        IsAlive(peer, aNow)) {
      contacts[peer.mReport->mRun] = peer.mReport->mStoreContact;
    }
  }
  return contacts;
}

std::vector<std::string> fleet_view::LostPeers(time_point aNow)
{
  mWatchedSince = mWatchedSince.value_or(aNow);
  const std::vector<std::string> live = LivePeerAddresses(aNow);
  std::vector<std::string> lost;
  for (const auto& [address, peer] : mPeers) {
    if (aNow < std::max(peer.mLastSeen, *mWatchedSince) + kPeerLostTimeout) {
      continue;
    }
    const std::uint64_t seed = StableHash(address);
    const std::uint64_t own = StableHash(mSelf.mAddress, seed);
    if (std::ranges::all_of(live, [&](const std::string& aOther) {
          return StableHash(aOther, seed) >= own;
        })) {
      lost.push_back(address);
    }
  }
  return lost;
}

void fleet_view::SetRegion(const std::string& aAddress,
                           const region_id& aRegion)
{
  if (aAddress == mSelf.mAddress) {
    mSelfRegion = aRegion;
  } else {
    Peer(aAddress).mRegion = aRegion;
  }
}

std::map<std::string, region_id> fleet_view::ClientAddressRegions() const
{
  std::map<std::string, region_id> regions;
  if (mSelfRegion) {
    regions[mSelf.mClientAddress] = *mSelfRegion;
  }
  for (const auto& [address, peer] : mPeers) {
    if (peer.mReport && peer.mRegion) {
      regions[peer.mReport->mClientAddress] = *peer.mRegion;
    }
  }
  return regions;
}

bool fleet_view::IsRelayTarget(const peer_state& aPeer,
                               const allowed_regions& aRegions,
                               time_point aNow) const
{
  return IsAlive(aPeer, aNow) && aPeer.mReport && aPeer.mReport->mReady &&
         !aPeer.mReport->mLeaving && !aPeer.mReport->mCutOff &&
         (!aRegions || (aPeer.mRegion && aRegions->contains(*aPeer.mRegion))) &&
         !aPeer.mReport->mClientAddress.empty();
}

bool fleet_view::HasRelayTarget(time_point aNow,
                                const allowed_regions& aRegions) const
{
  return std::ranges::any_of(mPeers, [&](const auto& aPair) {
    return IsRelayTarget(aPair.second, aRegions, aNow);
  });
}

std::vector<std::string> fleet_view::RelayTargets(
  std::uint64_t aRequest,
  time_point aNow,
  const allowed_regions& aRegions) const
{
  std::vector<std::pair<double, std::string>> order;
  for (const auto& [address, peer] : mPeers) {
    if (!IsRelayTarget(peer, aRegions, aNow)) {
      continue;
    }
    const double point =
      static_cast<double>(StableHash(address, aRequest) % kHashSteps) /
      kHashSteps;
    order.emplace_back(point * peer.mReport->mCapacity,
                       peer.mReport->mClientAddress);
  }
  std::ranges::sort(order, std::greater());
  std::vector<std::string> targets;
  for (std::size_t i = 0; i < std::min(order.size(), kMaxRelayTargets); ++i) {
    targets.push_back(std::move(order[i].second));
  }
  return targets;
}

void fleet_view::OnPauses(const server_pauses& aPauses, time_point aNow)
{
  for (const auto& [server, left] : aPauses) {
    time_point& until = mPeerPauses[server];
    until = std::max(until, aNow + left);
  }
}

const std::unordered_map<std::uint32_t, time_point>& fleet_view::PeerPauses(
  time_point aNow)
{
  std::erase_if(mPeerPauses,
                [aNow](const auto& aPair) { return aNow >= aPair.second; });
  return mPeerPauses;
}

std::optional<time_point> fleet_view::Newest(time_point peer_state::*aMember,
                                             time_point aNow) const
{
  std::optional<time_point> newest;
  for (const auto& [address, peer] : mPeers) {
    if (peer.mReport && aNow <= peer.mLastReportAt + kWorkReportTimeout) {
      newest = std::max(newest.value_or(time_point()), peer.*aMember);
    }
  }
  return newest;
}

std::optional<time_point> fleet_view::PeerConfigCurrentAt(time_point aNow) const
{
  return Newest(&peer_state::mConfigCurrentAt, aNow);
}

std::optional<time_point> fleet_view::PeerServersCurrentAt(
  time_point aNow) const
{
  return Newest(&peer_state::mServersCurrentAt, aNow);
}

std::vector<std::string> fleet_view::StateSources(time_point aOwnCurrentAt,
                                                  std::uint64_t aRound,
                                                  time_point aNow) const
{
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const auto& [address, peer] : mPeers) {
    const time_point currentAt =
      std::min(peer.mConfigCurrentAt, peer.mServersCurrentAt);
    if (IsAlive(peer, aNow) && currentAt >= aOwnCurrentAt + kMinStateGain) {
      order.emplace_back(StableHash(address + mSelf.mAddress, aRound), address);
    }
  }
  std::ranges::sort(order);
  std::vector<std::string> peers;
  peers.reserve(order.size());
  for (auto& [point, address] : order) {
    peers.push_back(std::move(address));
  }
  return peers;
}

std::vector<rate_limit_statement> fleet_view::PeerRateLimits() const
{
  std::vector<rate_limit_statement> statements;
  for (const auto& [address, peer] : mPeers) {
    if (!peer.mReport) {
      continue;
    }
    for (const aged_rate_limit& limit : peer.mReport->mRateLimits) {
      statements.push_back({ limit.mServer,
                             limit.mIncarnation,
                             limit.mRequestsPerSecond,
                             peer.mLastReportAt - limit.mAge });
    }
  }
  return statements;
}

std::unordered_map<std::uint32_t, upstream_work> fleet_view::PeerWork(
  time_point aNow) const
{
  std::unordered_map<std::uint32_t, upstream_work> sum;
  std::int64_t reporting = 0;
  std::int64_t live = 0;
  for (const auto& [address, peer] : mPeers) {
    if (!IsAlive(peer, aNow)) {
      continue;
    }
    ++live;
    if (!IsWorkKnown(peer, aNow)) {
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
  double scale = static_cast<double>(live) / static_cast<double>(reporting);
  if (mPeers.size() > kMaxFullReportPeers) {
    // Nodes with work report to more nodes than those without.
    const double missed = 1.0 - static_cast<double>(kMaxReportTargets) /
                                  static_cast<double>(mPeers.size());
    scale = 1.0 / (1.0 - std::pow(missed, kWorkReportRounds));
  }
  const auto scaled = [scale](auto aValue) {
    return static_cast<decltype(aValue)>(
      std::llround(static_cast<double>(aValue) * scale));
  };
  for (auto& [key, work] : sum) {
    work.mRequests = scaled(work.mRequests);
    work.mPrefillTokens = scaled(work.mPrefillTokens);
    work.mKvTokens = scaled(work.mKvTokens);
  }
  return sum;
}
