#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <glib.h>

#include "Admission/AdmissionControl.h"
#include "Common/EventLoop.h"
#include "Common/Time.h"
#include "Gateway/CrashExchange.h"
#include "Gateway/FleetView.h"
#include "Gateway/PeerDatagram.h"
#include "Gateway/TableFollower.h"
#include "Net/HttpListener.h"
#include "Remote/RowStore.h"

/// Sends and receives datagrams between nodes, and serves snapshots of the
/// store's rows to nodes that start while the store is unreachable.
class peer_transport final : private http_request_handler
{
public:
  using snapshot_source = std::function<state_snapshot()>;
  using snapshot_callback = std::function<void(const state_snapshot&)>;

  peer_transport(fleet_view& aView,
                 token_allowance& aTokenAllowance,
                 crash_exchange& aCrashes,
                 stream_origins& aStreams,
                 admission_control& aAdmission,
                 const time_source& aTime,
                 double aLinkBytesPerSecond,
                 snapshot_source aSnapshot);
  ~peer_transport() override;

  /// Returns false and sets `aError` if an address cannot be bound.
  bool Start(const tcp_address& aAddress, std::string& aError);
  /// Sends the report of this node, and its notices about crashed servers, to
  /// the targets of the next round.
  void SendReports();
  /// Sends the costs that clients offer at this node to the targets of the last
  /// report.
  void SendOfferedCosts(const std::vector<offered_cost>& aCosts);
  /// Sends news about crashed servers to all live nodes.
  void SendCrashNews();
  /// Sends pauses for brittle servers to all live nodes.
  void SendPauses(const server_pauses& aPauses);
  /// Sends records of streams that began to the nodes that keep copies, and
  /// queries about resumed streams.
  void SendStreamMessages();
  /// From now on, loads and observations of other nodes are passed to the
  /// registry. They are ignored otherwise.
  void LearnCapacity(upstream_registry& aServers) { mLearning = &aServers; }
  /// Sends the load of this node to all live nodes.
  void SendLoad(load_notice aNotice);
  /// Sends observations of servers to all live nodes, or to some of them in
  /// large fleets.
  void SendObservations(const capacity_notice& aNotice);
  /// Number of implausible observations of other nodes so far.
  std::size_t IgnoredObservations() const { return mIgnoredObservations; }
  /// Requests prepaid tokens from other nodes for accounts that lack them.
  void SendTokenRequests();
  /// Requests the tables of a live peer whose state is newer than that of
  /// `aOwnCurrentAt`; does nothing if there is no such peer or a request is
  /// open. The snapshot is empty if the peer gives none now.
  void FetchSnapshot(time_point aOwnCurrentAt, snapshot_callback aReply);
  void CheckDeadlines(time_point aNow);

private:
  class snapshot_fetch;

  void OnRequest(http_server_connection& aConnection,
                 http_server_request aRequest) override;
  void OnClientDisconnected(http_server_connection&) override {}
  void OnClientDrained(http_server_connection&) override {}
  void OnConnectionClosed(http_server_connection&) override {}
  void ReceiveDatagrams();
  void OnDatagram(const peer_datagram& aDatagram);
  void Send(const std::string& aTo, const std::string& aBytes);
  void SendToAll(const peer_datagram& aDatagram, time_point aNow);
  static gboolean OnReadable(gint aDescriptor,
                             GIOCondition aCondition,
                             gpointer aSelf);

  fleet_view& mView;
  token_allowance& mTokenAllowance;
  crash_exchange& mCrashes;
  stream_origins& mStreams;
  admission_control& mAdmission;
  const time_source& mTime;
  /// Null unless capacity is learned.
  upstream_registry* mLearning = nullptr;
  std::uint64_t mObservationRound = 0;
  std::size_t mIgnoredObservations = 0;
  double mLinkBytesPerSecond;
  snapshot_source mSnapshot;
  /// Snapshots are refused until this time, so that requests have most of the
  /// link.
  time_point mNextSnapshotAt;
  int mSocket = -1;
  guint mWatch = 0;
  std::uint64_t mRound = 0;
  std::unique_ptr<http_listener> mListener;
  std::unique_ptr<snapshot_fetch> mFetch;
};
