#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Budget/BudgetSystem.h"
#include "Budget/ChargeBackup.h"
#include "Common/EventLoop.h"
#include "Common/Result.h"
#include "Config/ConfigFollower.h"
#include "Config/NodeSettings.h"
#include "Dispatch/DispatchSystem.h"
#include "Membership/EndpointSelector.h"
#include "Membership/MembershipSystem.h"
#include "Node/ChatSystem.h"
#include "Node/HolderSweep.h"
#include "Node/NodeMetrics.h"
#include "Node/NodeSetup.h"
#include "Node/PeerBridge.h"
#include "Node/ServiceProxy.h"
#include "Node/TableDriver.h"
#include "Node/Trace.h"
#include "Node/UpstreamWatch.h"
#include "Peer/PeerClient.h"
#include "Peer/PeerServer.h"
#include "Remote/HttpClient.h"
#include "Remote/HttpServer.h"

class admin_api;

/// Reason why a node could not start.
struct node_start_error
{
  std::string mMessage;
  auto operator<=>(const node_start_error&) const = default;
};

/// Lifecycle phase of a node, shown by `/readyz` and `/admin/v1/status`.
enum class node_phase : std::uint8_t
{
  /// Waits for the configuration and the host list.
  Starting,
  Serving,
  /// No longer listed by `/v1/endpoints`, but still accepts requests, since
  /// callers use cached answers.
  Leaving,
  /// Refuses new requests and finishes the open ones.
  Draining,
  /// All work has ended; the process may exit.
  Stopped,
};

std::string_view NodePhaseName(node_phase aPhase);

/// One node: creates all systems and connects them to the network and to each
/// other.
class node_app final : public upstream_watch_handler
{
public:
  static result<std::unique_ptr<node_app>, node_start_error> Start(
    const node_settings& aSettings,
    std::function<void()> aOnStopped);
  ~node_app() override;
  node_app(const node_app&) = delete;
  node_app& operator=(const node_app&) = delete;

  /// Starts a graceful stop. A second call aborts the open requests and stops
  /// at once.
  void Stop();

  const std::string& HttpAddress() const { return mServer.Address(); }
  const std::string& PeerAddress() const { return mPeerServer->Address(); }
  node_phase Phase() const { return mPhase; }
  bool Ready() const { return mPhase == node_phase::Serving; }
  const node_settings& Settings() const { return mSettings; }
  const config_follower& Config() const { return *mConfig; }
  const membership_system& Membership() const { return *mMembership; }
  budget_system& Budget() { return *mBudget; }
  const peer_client& PeerClient() const { return *mPeerClient; }
  const peer_server& PeerServer() const { return *mPeerServer; }
  const charge_backup& ChargeBackup() const { return *mBackup; }
  const dispatch_system& Dispatch() const { return mDispatch; }
  const chat_system& Chat() const { return *mChat; }
  table_service& Table() { return *mTable; }
  table_driver& TableDriver() { return *mTableDriver; }
  const time_source& Time() const { return mTime; }
  /// Polls the configuration now, after a change was committed through this
  /// node.
  void RefreshConfig();

  void OnHosts(const host_list_snapshot& aListing) override;
  void OnLoad(const upstream_id& aUpstream,
              const load_report& aReport) override;
  void OnCache(const upstream_id& aUpstream,
               const cache_events& aEvents) override;

private:
  node_app(const node_settings& aSettings, std::function<void()> aOnStopped);
  result<void, node_start_error> Listen();
  void CreateSystems();
  void CreateIncarnationSystems();
  void ConnectPeers();
  void AddRoutes();

  void Wake();
  void TickFast();
  void TickSlow();
  void TickBudget(time_point aNow);
  void TickConfig(time_point aNow);
  void TickMembership(time_point aNow);
  void TickCallSweep(time_point aNow);
  bool IsCallSweeper() const;
  void TickShutdown(time_point aNow);
  bool WorkFinished() const;
  void ForceStop();
  void ApplyDocument();
  void ApplyMembers();
  fleet_size FleetSize() const;
  std::vector<incarnation_id> ChooseBackups(
    const std::vector<member>& aMembers) const;
  void HandleMemberEvents();
  void CheckHolderFenced();
  void StartNewIncarnation(std::size_t aAborted);
  void HandleDeadRun(const incarnation_id& aRun);
  void StopReplacedRun(const incarnation_id& aRun);
  void UpdateMetrics();
  void SetPhase(node_phase aPhase);
  void ServeEndpoints(http_server_exchange& aExchange);
  void ServeReadiness(http_server_exchange& aExchange);

  node_settings mSettings;
  std::function<void()> mOnStopped;
  system_time_source mTime;
  std::uint64_t mSeed;
  std::uint64_t mIncarnation;
  http_client mClient;
  http_server mServer;
  node_metrics mMetrics;
  tracer mTracer;
  std::unique_ptr<table_service> mTable;
  std::unique_ptr<host_list> mHostList;

  std::shared_ptr<config_follower> mConfig;
  std::shared_ptr<budget_system> mBudget;
  std::shared_ptr<charge_backup> mBackup;
  /// Charge backups of earlier incarnations that still have charges to write.
  std::vector<std::shared_ptr<charge_backup>> mRetiredBackups;
  std::shared_ptr<service_call_system> mServiceCalls;
  std::shared_ptr<call_sweep_system> mCallSweep;
  std::unique_ptr<membership_system> mMembership;
  endpoint_selector mSelector;
  dispatch_system mDispatch;
  std::unique_ptr<table_driver> mTableDriver;
  std::unique_ptr<peer_client> mPeerClient;
  std::unique_ptr<peer_bridge> mPeerBridge;
  std::unique_ptr<peer_server> mPeerServer;
  std::unique_ptr<chat_system> mChat;
  std::unique_ptr<service_proxy> mServiceProxy;
  std::unique_ptr<upstream_watch> mUpstreamWatch;
  std::unique_ptr<holder_sweep> mHolderSweep;
  std::unique_ptr<admin_api> mAdminApi;

  loop_timer mFastTimer;
  loop_timer mSlowTimer;
  loop_timer mWakeTimer;
  node_phase mPhase = node_phase::Starting;
  bool mHostListReceived = false;
  std::size_t mEngineCount = 0;
  std::uint64_t mAppliedVersion = 0;
  std::uint64_t mMembersVersion = 0;
  bool mWakePending = false;
  /// Set at the end of draining, while grants are returned and charges are
  /// written.
  bool mReturningGrants = false;
  time_point mLeavingDeadline{};
  time_point mDrainDeadline{};
};
