#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Common/EventLoop.h"
#include "Gateway/EscrowWriter.h"
#include "Gateway/FleetLink.h"
#include "Gateway/FleetRows.h"
#include "Gateway/GatewayCalls.h"
#include "Gateway/GatewaySession.h"
#include "Gateway/LinkGuard.h"
#include "Gateway/TableFollower.h"
#include "Net/HttpListener.h"

/// One gateway process: its listeners, store tables, peers and the requests in
/// progress.
class gateway_node final
  : private http_request_handler
  , private table_follower::listener
{
public:
  /// Returns null and sets `aError` if an address cannot be bound. `aEnded` is
  /// called once the node has stopped.
  static std::unique_ptr<gateway_node> Start(const gateway_settings& aSettings,
                                             const gateway_dialect& aDialect,
                                             row_store& aStore,
                                             const time_source& aTime,
                                             std::function<void()> aEnded,
                                             std::string& aError);
  ~gateway_node() override;

  /// Applies retry limits, grace period and seeds; logs a warning if an address
  /// that needs a restart changed.
  void Reload(const gateway_settings& aSettings);
  /// Begins a graceful stop, which ends within the grace period.
  void Stop();
  /// Whether the node takes requests.
  bool Ready() const;
  const tcp_address& FrontAddress() const { return mFront->Address(); }

private:
  gateway_node(const gateway_settings& aSettings,
               const gateway_dialect& aDialect,
               row_store& aStore,
               const time_source& aTime,
               std::function<void()> aEnded);
  bool Listen(std::string& aError);

  void OnRequest(http_server_connection& aConnection,
                 http_server_request aRequest) override;
  void OnClientGone(http_server_connection& aConnection) override;
  void OnClientDrained(http_server_connection& aConnection) override;
  void OnConnectionClosed(http_server_connection& aConnection) override;

  void OnRow(const stored_row& aRow) override;
  void OnRowRemoved(const row_key& aKey, bool aDoubtful) override;
  void OnTableRead() override;

  void ApplyConfig(const stored_row& aRow);
  /// Time for which a server whose row was removed may still be used if no
  /// other server is usable.
  std::chrono::milliseconds LastResort(bool aDoubtful) const;
  std::vector<stored_row> SnapshotRows() const;

  void OnRequestTick();
  void OnFleetTick();
  void OnHouseTick();
  /// Accepts no new connections while the link of the host is overloaded.
  void GuardLink(time_point aNow);
  void AdvanceWaiting(time_point aNow);
  void ContinueStop(time_point aNow);

  gateway_settings mSettings;
  const gateway_dialect& mDialect;
  row_store& mStore;
  const time_source& mTime;
  std::function<void()> mEnded;
  std::string mRun;

  upstream_roster mRoster;
  upstream_pool mPool;
  token_escrow mEscrow;
  retry_window mRetries;
  crash_register mCrashes;
  fleet_view mFleet;
  gateway_metrics mMetrics;
  escrow_writer mEscrowWriter;
  fleet_rows mRows;
  gateway_context mContext;
  fleet_link mLink;
  link_guard mLinkGuard;

  table_follower mConfigTable;
  table_follower mUpstreamTable;
  table_follower mOwnTable;

  gateway_calls mCalls;
  std::unique_ptr<http_listener> mFront;
  std::unique_ptr<http_listener> mReadiness;
  std::unique_ptr<http_listener> mDirectory;
  std::unique_ptr<http_listener> mMetricsListener;

  std::map<http_server_connection*, std::unique_ptr<gateway_session>> mSessions;
  loop_timer mRequestTimer;
  loop_timer mFleetTimer;
  loop_timer mHouseTimer;

  time_point mNextSnapshot;
  std::optional<time_point> mStopBegan;
  bool mStopped = false;
};
