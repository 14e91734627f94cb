#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Common/EventLoop.h"
#include "Endpoints/HostLoad.h"
#include "Endpoints/ProcessorMeter.h"
#include "Gateway/AllowanceWriter.h"
#include "Gateway/EvacuationRows.h"
#include "Gateway/FleetRows.h"
#include "Gateway/GatewayEndpoints.h"
#include "Gateway/GatewaySession.h"
#include "Gateway/HomeRegions.h"
#include "Gateway/LinkOverloadDetector.h"
#include "Gateway/PeerTransport.h"
#include "Gateway/RequestRelay.h"
#include "Gateway/ServerProbe.h"
#include "Gateway/SlowReaders.h"
#include "Gateway/StallDetector.h"
#include "Gateway/TableFollower.h"
#include "Gateway/UnusableEntries.h"
#include "Net/HttpListener.h"

/// One gateway process: its listeners, store tables, peers and the requests in
/// progress.
class gateway_node final
  : private http_request_handler
  , private table_follower::listener
{
public:
  /// Returns null and sets `aError` if an address cannot be bound. `aOnStopped`
  /// is called once the node has stopped.
  static std::unique_ptr<gateway_node> Start(const gateway_settings& aSettings,
                                             const gateway_codec& aCodec,
                                             row_store& aStore,
                                             const time_source& aTime,
                                             std::function<void()> aOnStopped,
                                             std::string& aError);
  ~gateway_node() override;

  /// Applies retry limits, grace period and seeds; logs a warning if an address
  /// that needs a restart changed.
  void Reload(const gateway_settings& aSettings);
  /// Begins a graceful stop, which ends within the grace period.
  void Stop();
  /// Whether the node takes requests.
  bool Ready() const;
  const tcp_address& ClientAddress() const
  {
    return mClientListener->Address();
  }

private:
  gateway_node(const gateway_settings& aSettings,
               const gateway_codec& aCodec,
               row_store& aStore,
               const time_source& aTime,
               std::function<void()> aOnStopped);
  bool Listen(std::string& aError);

  void OnRequest(http_server_connection& aConnection,
                 http_server_request aRequest) override;
  void OnClientDisconnected(http_server_connection& aConnection) override;
  void OnClientDrained(http_server_connection& aConnection) override;
  void OnConnectionClosed(http_server_connection& aConnection) override;
  bool MayHold(std::size_t aHeld, std::size_t aMore) override;
  void OnHeld(std::size_t aBytes) override;
  std::size_t UnsentLimit() override;
  std::pair<http_server_response, std::string> RefuseInput() override;

  void OnRow(const stored_row& aRow) override;
  void OnRowRemoved(const row_key& aKey) override;
  void OnTableLoaded() override;

  void ApplyConfig(const stored_row& aRow);
  /// Logs values of a row that count as missing.
  static void LogIgnored(const std::vector<ignored_field>& aFields,
                         const std::string& aRow,
                         std::uint64_t aVersion);
  /// Regions of the nodes that an address answer may name.
  allowed_regions AddressRegions(const std::string& aHost,
                                 const region_id& aClientRegion) const;
  /// Until when a server whose row was removed may be used if no other server
  /// is usable. A removal is tentative if it may be an effect of an outage of
  /// the store.
  time_point RemovedUsableUntil(bool aTentative, time_point aNow) const;
  /// The tables of the store that other nodes need as well.
  state_snapshot Snapshot() const;
  void ApplySnapshot(const state_snapshot& aSnapshot);
  /// Decides whether requests may be handled by the state that the node has,
  /// and by when they must have left the host.
  void JudgeState(time_point aNow);
  void UpdateStateVerdict(time_point aNow);
  /// When the older one of configuration and server entries was current.
  time_point OldestStateAt() const;
  /// Requests the tables of a peer if the own ones are old.
  void RefreshStateFromPeers(time_point aNow);

  /// A server answered a request for its health.
  void OnProbeResponse(const probe_target& aTarget,
                       const http_client_response& aResponse);

  void OnRequestTick();
  void OnFleetTick();
  void OnMaintenanceTick();
  /// Accepts no new connections while the link of the host is overloaded.
  void UpdateLinkOverload(time_point aNow);
  /// Decides whether the host leaves the address answers, and states its load
  /// in the report.
  void UpdateHostLoad(time_point aNow);
  /// Sums the bytes that are held for clients and servers.
  void UpdateHeldBytes();
  /// The listeners of clients, readiness, addresses and metrics.
  std::vector<const http_listener*> Listeners() const;
  /// Refuses requests that do not arrive in full while memory is short.
  void EndOverdueRequests(time_point aNow);
  /// Ends streams of clients that do not read.
  void EndSlowReaders(time_point aNow);
  std::vector<client_sample> SampleClients(time_point aNow) const;
  void EndSlowReader(http_server_connection& aConnection,
                     const client_to_end& aClient,
                     time_point aNow);
  /// Adapts the hosts that address answers name.
  void UpdateEndpoints(time_point aNow);
  /// Whether the host has left the address answers of a fleet that chooses
  /// hosts, so that connections are closed after their response.
  bool SendsClientsElsewhere() const;
  /// Records how long the requests in progress take; they show first that
  /// servers have become slow.
  void RecordProgress(time_point aNow);
  void AdvanceWaiting(time_point aNow);
  /// Decides whether the host is cut off from all servers, and probes them
  /// while it is.
  void UpdateReachability(time_point aNow);
  /// Decides whether all nodes that ran before the store was restored still
  /// run.
  void ReviewFleetOfEra(time_point aNow);
  /// States to the other nodes whether this one reaches the store.
  void StateStoreContact(time_point aNow);
  /// Whether a connection shows that the server run goes on.
  bool RunsOn(const server_run& aRun) const;
  /// Passes on the requests that wait for it.
  void StartRelays();
  void StartRelay(http_server_connection& aConnection,
                  gateway_session& aSession);
  /// Learns the rate limits of servers from other nodes, and divides all limits
  /// among the live nodes.
  void UpdateRateLimits(const std::vector<std::string>& aPeers,
                        time_point aNow);
  /// Logs the servers that became cold.
  void LogColdServers(time_point aNow);
  /// Sends this node's load if it changed and the setting is on.
  void SendLoad(time_point aNow);
  void UpdateServerEstimates(time_point aNow);
  /// Reports crashes of servers that fell silent, and avoids these servers.
  void ReportSilentServers(time_point aNow);
  /// Exchanges the costs that clients offer, and adapts what overloaded
  /// services admit.
  void UpdateAdmission(time_point aNow);
  void ContinueStop(const stop_schedule& aSchedule, time_point aNow);
  /// Whether no request is in progress and all prepaid tokens are returned.
  bool IsIdle() const;

  gateway_settings mSettings;
  const gateway_codec& mCodec;
  row_store& mStore;
  const time_source& mTime;
  std::function<void()> mOnStopped;
  std::string mRun;

  upstream_registry mUpstreamRegistry;
  upstream_pool mPool;
  token_allowance mTokenAllowance;
  store_contact_record mContactRecord;
  retry_window mRetries;
  crash_history mCrashes;
  segment_crash_history mSegmentCrashes{ mCrashes.Liveness() };
  unanswered_requests mUnanswered;
  server_reachability mReachability;
  link_queue mLinkQueue;
  request_durations mDurations;
  server_probe mProbe;
  fleet_view mFleet;
  stream_origins mStreamOrigins;
  admission_control mAdmission;
  held_bytes mHeld;
  slow_readers mSlowReaders;
  gateway_metrics mMetrics;
  crash_exchange mCrashExchange;
  home_regions mHomes;
  evacuation_rows mEvacuationRows;
  allowance_writer mAllowanceWriter;
  fleet_rows mRows;
  unusable_entries mUnusableEntries{ mMetrics };
  gateway_context mContext;
  peer_transport mPeerTransport;
  load_sender mLoadSender;
  /// Number of updates of the estimates.
  std::uint64_t mEstimateRound = 0;
  /// Age up to which state counts as recent.
  std::chrono::milliseconds mMaxStateAge;
  link_overload_detector mLinkOverload;
  host_load mHostLoad;
  processor_meter mProcessor;
  stall_detector mStalls;

  table_follower mConfigTable;
  table_follower mUpstreamTable;
  table_follower mFleetTable;

  gateway_endpoints mEndpoints;
  std::unique_ptr<http_listener> mClientListener;
  std::unique_ptr<http_listener> mReadiness;
  std::unique_ptr<http_listener> mDirectory;
  std::unique_ptr<http_listener> mMetricsListener;

  std::map<http_server_connection*, std::unique_ptr<gateway_session>> mSessions;
  /// Requests that are passed on to other nodes.
  std::map<http_server_connection*, std::unique_ptr<request_relay>> mRelays;
  loop_timer mRequestTimer;
  loop_timer mFleetTimer;
  loop_timer mMaintenanceTimer;

  std::uint64_t mStoreEra = 0;
  /// Address and run of the nodes that were alive lately, with the last time.
  std::map<std::pair<std::string, std::uint64_t>, time_point> mRecentRuns;
  /// Those that were alive in the time that the restored store lacks.
  std::vector<std::pair<std::string, std::uint64_t>> mRunsBeforeEra;
  time_point mNextSnapshotAt;
  /// Until when removals may be an effect of an outage of the store.
  time_point mRemovalsTentativeUntil;
  /// Whether a stop has reached the time from which on requests are refused.
  bool mRefusing = false;
  /// Set once the node accepts no more connections in a stop: requests on the
  /// accepted ones are awaited until then.
  std::optional<time_point> mLastRequestsUntil;
  bool mStopped = false;
};
