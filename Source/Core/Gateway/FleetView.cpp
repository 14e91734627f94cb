#include "Gateway/FleetView.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include "Common/Hash.h"
#include "Gateway/Fleet.capnp.h"

namespace {

using std::chrono::milliseconds;

// A node that was not heard of for this long is taken for dead: six rounds of
// reports, so that single lost datagrams do not matter.
constexpr milliseconds kPeerTimeout(1300);
// Reports of work older than this say nothing any more.
constexpr milliseconds kWorkTimeout(1000);
// Targets of one round. A small fleet reports to everyone.
constexpr std::size_t kMostTargets = 16;
// Peers named in one report, so that it fits a datagram.
constexpr std::size_t kMostPeersNamed = 400;
constexpr std::int64_t kMostUint32 = 0xffffffff;

std::uint32_t Narrow(std::int64_t aValue)
{
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(aValue, 0, kMostUint32));
}

template<class Text>
std::string ReadText(const Text& aText)
{
  return { aText.begin(), aText.size() };
}

} // namespace

std::string WriteNodeReport(const node_report& aReport)
{
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<fleet_wire::NodeReport>();
  root.setAddress(aReport.mAddress);
  root.setName(aReport.mName);
  root.setFront(aReport.mFront);
  root.setRun(aReport.mRun);
  root.setReady(aReport.mReady);
  root.setLeaving(aReport.mLeaving);
  root.setConfigVersion(aReport.mConfigVersion);
  auto peers = root.initPeers(static_cast<unsigned>(aReport.mPeers.size()));
  for (unsigned i = 0; i < peers.size(); ++i) {
    peers[i].setAddress(aReport.mPeers[i].first);
    peers[i].setAgeMs(Narrow(aReport.mPeers[i].second.count()));
  }
  auto work = root.initWork(static_cast<unsigned>(aReport.mWork.size()));
  for (unsigned i = 0; i < work.size(); ++i) {
    work[i].setKey(aReport.mWork[i].first);
    work[i].setRequests(Narrow(aReport.mWork[i].second.mRequests));
    work[i].setPrefillTokens(Narrow(aReport.mWork[i].second.mPrefillTokens));
    work[i].setKvTokens(Narrow(aReport.mWork[i].second.mKvTokens));
  }
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

std::optional<node_report> ParseNodeReport(std::string_view aBytes)
{
  const std::size_t words = aBytes.size() / sizeof(capnp::word);
  if (words == 0 || aBytes.size() % sizeof(capnp::word) != 0) {
    return std::nullopt;
  }
  auto aligned = kj::heapArray<capnp::word>(words);
  std::memcpy(aligned.begin(), aBytes.data(), aBytes.size());
  node_report report;
  const auto failure = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(aligned);
    const auto root = reader.getRoot<fleet_wire::NodeReport>();
    report.mAddress = ReadText(root.getAddress());
    report.mName = ReadText(root.getName());
    report.mFront = ReadText(root.getFront());
    report.mRun = root.getRun();
    report.mReady = root.getReady();
    report.mLeaving = root.getLeaving();
    report.mConfigVersion = root.getConfigVersion();
    for (const auto peer : root.getPeers()) {
      report.mPeers.emplace_back(ReadText(peer.getAddress()),
                                 milliseconds(peer.getAgeMs()));
    }
    for (const auto work : root.getWork()) {
      report.mWork.emplace_back(work.getKey(),
                                upstream_work{ work.getRequests(),
                                               work.getPrefillTokens(),
                                               work.getKvTokens() });
    }
  });
  if (failure != nullptr || report.mAddress.empty()) {
    return std::nullopt;
  }
  return report;
}

fleet_view::fleet_view(node_report aSelf)
  : mSelf(std::move(aSelf))
{
}

void fleet_view::AddCandidate(const std::string& aAddress)
{
  if (aAddress != mSelf.mAddress) {
    mPeers.try_emplace(aAddress);
  }
}

void fleet_view::OnReport(const node_report& aReport, time_point aNow)
{
  if (aReport.mAddress == mSelf.mAddress) {
    return;
  }
  peer_state& sender = mPeers[aReport.mAddress];
  sender.mReport = aReport;
  sender.mHeard = aNow;
  sender.mReported = aNow;
  for (const auto& [address, age] : aReport.mPeers) {
    if (address == mSelf.mAddress) {
      continue;
    }
    peer_state& peer = mPeers[address];
    peer.mHeard = std::max(peer.mHeard, aNow - age);
  }
}

bool fleet_view::Alive(const peer_state& aPeer, time_point aNow) const
{
  return aPeer.mHeard != time_point() && aNow < aPeer.mHeard + kPeerTimeout;
}

node_report fleet_view::ComposeReport(time_point aNow) const
{
  node_report report = mSelf;
  for (const auto& [address, peer] : mPeers) {
    if (Alive(peer, aNow) && report.mPeers.size() < kMostPeersNamed) {
      report.mPeers.emplace_back(
        address, std::chrono::duration_cast<milliseconds>(aNow - peer.mHeard));
    }
  }
  return report;
}

std::vector<std::string> fleet_view::Targets(std::uint64_t aRound) const
{
  std::vector<std::string> targets;
  for (const auto& [address, peer] : mPeers) {
    targets.push_back(address);
  }
  if (targets.size() <= kMostTargets) {
    return targets;
  }
  std::ranges::sort(targets, {}, [&](const std::string& aAddress) {
    return StableHash(aAddress + mSelf.mAddress, aRound);
  });
  targets.resize(kMostTargets);
  return targets;
}

std::vector<std::string> fleet_view::ClientAddresses(time_point aNow) const
{
  std::vector<std::string> live;
  std::vector<std::string> known;
  bool heardAny = false;
  for (const auto& [address, peer] : mPeers) {
    heardAny = heardAny || Alive(peer, aNow);
    if (!peer.mReport || peer.mReport->mFront.empty() ||
        !peer.mReport->mReady || peer.mReport->mLeaving) {
      continue;
    }
    known.push_back(peer.mReport->mFront);
    if (Alive(peer, aNow)) {
      live.push_back(peer.mReport->mFront);
    }
  }
  std::vector<std::string> addresses = heardAny ? live : known;
  if (mSelf.mReady && !mSelf.mLeaving) {
    addresses.push_back(mSelf.mFront);
  }
  return addresses;
}

std::size_t fleet_view::LiveNodes(time_point aNow) const
{
  return LivePeers(aNow).size() + 1;
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
