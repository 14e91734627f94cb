#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"
#include "Gateway/TokenEscrow.h"
#include "Gateway/UpstreamRoster.h"

/// The nodes of the fleet as this node sees them.

/// What a node says of itself in each report.
struct node_report
{
  /// Address for datagrams, `IP:port`; identifies the node.
  std::string mAddress;
  std::string mName;
  /// Address for clients.
  std::string mFront;
  std::uint64_t mRun = 0;
  bool mReady = false;
  bool mLeaving = false;
  /// Other nodes, by `NodeKey`, with the age of the last news of them.
  std::vector<std::pair<std::uint32_t, std::chrono::milliseconds>> mPeers;
  /// Addresses of some of them, so that all nodes learn all addresses in time.
  std::vector<std::string> mNamed;
  std::vector<std::pair<std::uint32_t, upstream_work>> mWork;
  std::uint64_t mConfigVersion = 0;
  /// Capacity relative to other nodes.
  double mCapacity = 1.0;
  /// Free prepaid tokens of this node, by `AccountKey`.
  std::vector<std::pair<std::uint32_t, std::int64_t>> mHeld;
};

/// Short key of a node in the reports of others.
std::uint32_t NodeKey(const std::string& aAddress);

class fleet_view
{
public:
  explicit fleet_view(node_report aSelf);

  node_report& Self() { return mSelf; }
  const node_report& Self() const { return mSelf; }

  /// An address at which a node may run: a seed or a row of the store.
  void AddCandidate(const std::string& aAddress);
  void OnReport(const node_report& aReport, time_point aNow);

  /// This node's report with what it knows of the others.
  node_report ComposeReport(std::uint64_t aRound, time_point aNow) const;
  /// Addresses to send the report to in this round; a bounded number.
  std::vector<std::string> Targets(std::uint64_t aRound) const;

  /// Addresses for clients. A node that hears nobody names everyone it knew:
  /// it is more likely cut off than alone.
  /// In a large fleet small nodes are named to the clients of some zones only,
  /// so that they get a share that fits them.
  std::vector<std::string> ClientAddresses(time_point aNow,
                                           const std::string& aZone) const;
  /// Nodes that live, this one included.
  std::size_t LiveNodes(time_point aNow) const;
  /// Addresses of live peers.
  std::vector<std::string> LivePeers(time_point aNow) const;
  /// Work of the other nodes by server. When only some nodes report here, the
  /// sum is scaled to the whole fleet.
  std::unordered_map<std::uint32_t, upstream_work> PeerWork(
    time_point aNow) const;
  token_holders TokenHolders(time_point aNow) const;

private:
  struct peer_state
  {
    std::optional<node_report> mReport;
    /// Last news, direct or relayed.
    time_point mHeard;
    /// Last report from the node itself.
    time_point mReported;
  };

  bool Alive(const peer_state& aPeer, time_point aNow) const;
  peer_state& Peer(const std::string& aAddress);

  node_report mSelf;
  std::map<std::string, peer_state> mPeers;
  std::unordered_map<std::uint32_t, std::string> mAddresses;
};
