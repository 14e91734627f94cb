#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Time.h"
#include "Endpoints/EndpointChoice.h"
#include "Gateway/HomeRegions.h"
#include "Gateway/LoadNotices.h"
#include "Gateway/StoreContact.h"
#include "Gateway/TokenAllowance.h"
#include "Gateway/UpstreamRegistry.h"

/// State of the fleet's nodes as this node knows it.

/// A `rate_limit_statement` for another node, with the time since it was made,
/// because the clocks of nodes differ.
struct aged_rate_limit
{
  std::uint32_t mServer = 0;
  std::uint64_t mIncarnation = 0;
  /// Requests a second from all nodes; nothing if there is no limit any more.
  std::optional<double> mRequestsPerSecond;
  std::chrono::milliseconds mAge{ 0 };
  auto operator<=>(const aged_rate_limit&) const = default;
};

/// Servers, by the hash of their identity, with the time for which they are to
/// get no further requests.
using server_pauses =
  std::vector<std::pair<std::uint32_t, std::chrono::milliseconds>>;

/// What a node states of its readiness for clients, by its own load.
enum class client_state : std::uint8_t
{
  /// Nodes that do not state it.
  Unknown,
  Accepting,
  /// Close to its limit: answers should leave it out.
  LeftAnswers,
  /// Refuses new connections.
  Refusing,
};

/// State that a node reports to the others in each round.
struct node_report
{
  /// Address for datagrams, `IP:port`; identifies the node.
  std::string mAddress;
  std::string mName;
  /// Address for clients, `IP:port`.
  std::string mClientAddress;
  std::uint64_t mRun = 0;
  bool mReady = false;
  bool mLeaving = false;
  /// Other live nodes by `NodeKey`, with the time since they were last heard
  /// of.
  std::vector<std::pair<std::uint32_t, std::chrono::milliseconds>> mPeers;
  /// Addresses of some of them, different ones in each round, so that all nodes
  /// learn all addresses.
  std::vector<std::string> mKnownAddresses;
  std::vector<std::pair<std::uint32_t, upstream_work>> mWork;
  std::uint64_t mConfigVersion = 0;
  /// Capacity relative to other nodes, see `gateway_settings`.
  double mCapacity = 1.0;
  /// Free prepaid tokens of this node, by `AccountKey`.
  std::vector<std::pair<std::uint32_t, std::int64_t>> mFreeTokens;
  /// What servers told this node of their rate limits.
  std::vector<aged_rate_limit> mRateLimits;
  /// Whether the node has lost its links to all servers.
  bool mCutOff = false;
  /// Brittle servers that had no room for a request of the node.
  server_pauses mPauses;
  /// Time since the node's copies of configuration and server entries were
  /// current; nothing if it has none.
  std::optional<std::chrono::milliseconds> mConfigAge;
  std::optional<std::chrono::milliseconds> mServersAge;
  /// Empty if the node does not state them.
  zone_id mZone;
  region_id mRegion;
  /// Use of the busier direction of the link, and of the processor, as a share
  /// of what the host has; nothing if not stated.
  std::optional<double> mLinkUse;
  std::optional<double> mProcessorUse;
  /// Open connections of clients; nothing if not stated.
  std::optional<std::uint32_t> mClientConnections;
  client_state mClientState = client_state::Unknown;
  store_contact mStoreContact;
};

/// Hash of a node's datagram address, its key in the reports of others.
std::uint32_t NodeKey(const std::string& aAddress);

/// Tells other nodes at once that brittle servers had no room.
struct pause_notice
{
  server_pauses mPauses;
  bool operator==(const pause_notice&) const = default;
};

class fleet_view
{
public:
  explicit fleet_view(node_report aSelf);

  node_report& Self() { return mSelf; }
  const node_report& Self() const { return mSelf; }

  /// Adds an address at which a node may run: a seed or a row of the store.
  void AddCandidate(const std::string& aAddress);
  void OnReport(const node_report& aReport, time_point aNow);
  /// Another node pauses for brittle servers.
  void OnPauses(const server_pauses& aPauses, time_point aNow);

  /// Another node tells its load. It is ignored if it is older than what is
  /// known, or if no report of the node's run is known. Returns by how much the
  /// sum of `PeerWork` changes.
  std::vector<std::pair<std::uint32_t, upstream_work>> OnLoad(
    const load_notice& aNotice,
    time_point aNow);

  /// Report of this node, with what it knows of the others.
  node_report ComposeReport(std::uint64_t aRound, time_point aNow) const;
  /// Datagram addresses to which the report is sent in this round, which is
  /// counted from the start of the process: at most 16, and fewer, most of them
  /// in the own zone, if a node of a large fleet has no news.
  std::vector<std::string> ReportTargets(std::uint64_t aRound) const;

  /// Adapts the choice of hosts for clients to their use, and returns what
  /// changed; called in each round.
  std::vector<endpoint_change> UpdateEndpoints(time_point aNow);
  /// Client addresses of nodes for clients of a zone, see `endpoint_choice`. A
  /// node that has no live peer names peers up to 3 s after they were last
  /// heard of, and itself if it serves. If that leaves none, it names all that
  /// it ever knew, because it is more likely cut off than alone.
  std::vector<std::string> ClientAddresses(time_point aNow,
                                           const std::string& aZone) const;
  /// Whether answers name only hosts chosen by capacity and use.
  bool ChoosesEndpoints() const { return mEndpoints.IsSelective(); }
  /// Whether peers that report here say that they heard of this node lately;
  /// true if none reports.
  bool IsHeardByPeers(time_point aNow) const;
  /// Number of live nodes, this one included.
  std::size_t LiveNodeCount(time_point aNow) const;
  /// Datagram addresses at which other nodes may run, alive or not.
  std::vector<std::string> KnownAddresses() const;
  /// Runs of the live peers by their datagram addresses; 0 for peers that have
  /// not reported here.
  std::map<std::string, std::uint64_t> LiveRuns(time_point aNow) const;
  /// Datagram addresses of live peers.
  std::vector<std::string> LivePeerAddresses(time_point aNow) const;
  /// Work of the other nodes by server. If only some nodes report here, the sum
  /// is scaled to all live nodes, in a large fleet by the share of nodes with
  /// work that report here within the time for which their work counts.
  std::unordered_map<std::uint32_t, upstream_work> PeerWork(
    time_point aNow) const;
  token_holders TokenHolders(time_point aNow) const;
  /// What the live peers that reported here state of their contact to the
  /// store.
  store_contacts StoreContacts(time_point aNow) const;
  /// Datagram addresses of nodes that were not heard of for 5 s, or since the
  /// first call, and whose prepaid tokens this node is to take over. One live
  /// node is responsible for each.
  std::vector<std::string> LostPeers(time_point aNow);
  /// Client addresses of nodes that reach servers and take requests, in an
  /// order that depends on the request and prefers hosts of large capacity.
  /// With `aRegions`, only nodes that are known to be in one of them.
  std::vector<std::string> RelayTargets(
    std::uint64_t aRequest,
    time_point aNow,
    const allowed_regions& aRegions = {}) const;
  /// Whether `RelayTargets` names a node.
  bool HasRelayTarget(time_point aNow,
                      const allowed_regions& aRegions = {}) const;
  /// Sets the region of a node, this one or another, by its datagram address.
  void SetRegion(const std::string& aAddress, const region_id& aRegion);
  /// Regions of the nodes, as far as known, by their client addresses.
  std::map<std::string, region_id> ClientAddressRegions() const;
  /// Until when other nodes pause for brittle servers.
  const std::unordered_map<std::uint32_t, time_point>& PeerPauses(
    time_point aNow);
  /// When the newest copies of peers that reported lately were current; nothing
  /// if no peer reported.
  std::optional<time_point> PeerConfigCurrentAt(time_point aNow) const;
  std::optional<time_point> PeerServersCurrentAt(time_point aNow) const;
  /// Datagram addresses of the live peers whose copies of configuration and
  /// server entries are worth a transfer for a node whose own copies were
  /// current at `aOwnCurrentAt`, in an order that depends on this node and
  /// `aRound`, so that the nodes spread over the sources.
  std::vector<std::string> StateSources(time_point aOwnCurrentAt,
                                        std::uint64_t aRound,
                                        time_point aNow) const;
  /// What servers told the other nodes of their rate limits.
  std::vector<rate_limit_statement> PeerRateLimits() const;

private:
  struct peer_state
  {
    std::optional<node_report> mReport;
    /// Last time the node was heard of, directly or through another node.
    time_point mLastSeen;
    /// Last report received from the node itself.
    time_point mLastReportAt;
    /// Last load notice of the run that reported, and its number.
    time_point mLastLoadAt;
    std::uint64_t mLoadSequence = 0;
    /// When the node's copies of the tables were current.
    time_point mConfigCurrentAt;
    time_point mServersCurrentAt;
    /// Nothing if the node has not stated it.
    std::optional<region_id> mRegion;
  };

  /// Whether other nodes need to know more of this one than that it runs.
  bool HasNews(std::uint64_t aRound) const;
  bool IsAlive(const peer_state& aPeer, time_point aNow) const;
  bool IsRelayTarget(const peer_state& aPeer,
                     const allowed_regions& aRegions,
                     time_point aNow) const;
  /// Whether the node's work is known well enough to be counted.
  static bool IsWorkKnown(const peer_state& aPeer, time_point aNow);
  /// What is known of the nodes that were ready when they last reported.
  endpoint_view EndpointView(time_point aNow) const;
  /// Latest value of the member among the peers that reported lately.
  std::optional<time_point> Newest(time_point peer_state::*aMember,
                                   time_point aNow) const;
  peer_state& Peer(const std::string& aAddress);

  node_report mSelf;
  /// Time of the first call of `LostPeers`.
  std::optional<time_point> mWatchedSince;
  std::optional<region_id> mSelfRegion;
  std::map<std::string, peer_state> mPeers;
  std::unordered_map<std::uint32_t, std::string> mAddresses;
  std::unordered_map<std::uint32_t, time_point> mPeerPauses;
  endpoint_choice mEndpoints;
  /// Last time at which a peer had heard of this node, and the time since which
  /// peers report here without interruption.
  time_point mHeardByPeersAt;
  time_point mPeersReportSince;
  time_point mLastPeerReportAt;
};
