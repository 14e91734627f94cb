#include "Gateway/GatewayNode.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "Common/Log.h"

namespace {

using std::chrono::milliseconds;

// Interval at which deadlines and waiting requests are checked.
constexpr milliseconds kRequestTickInterval(10);
// Interval of reports between nodes; loads change within a few hundred ms.
constexpr milliseconds kFleetTickInterval(200);
// Interval of clean-up, connection limits and metrics.
constexpr milliseconds kMaintenanceInterval(250);

// Long poll and delay between polls per table. Changes of the configuration
// must be in force within 2 s.
constexpr milliseconds kConfigLongPollTime(1000);
constexpr milliseconds kConfigPollInterval(20);
// Servers write their rows every 1.2 s; a leaving server must be known within
// 2 s.
constexpr milliseconds kUpstreamLongPollTime(1000);
constexpr milliseconds kUpstreamPollInterval(400);
constexpr milliseconds kFleetTableLongPollTime(1000);
constexpr milliseconds kFleetTablePollInterval(500);
// After this long without contact to the store a newer configuration may be in
// force.
constexpr milliseconds kConfigStaleTimeout(2600);
// A server whose row was removed serves only if no other is usable, for at most
// this time and this share of the limit for leaving servers. The second pair
// holds for removals that may be an effect of a store outage.
constexpr milliseconds kRemovalGracePeriod(1200);
constexpr milliseconds kTentativeRemovalGracePeriod(1900);
constexpr double kRemovalGraceShare = 0.6;
constexpr double kTentativeRemovalGraceShare = 0.95;
// Interval of snapshot requests while the store is unreachable.
constexpr milliseconds kSnapshotInterval(1000);
// Connections to a server break after this long without TCP acknowledgements.
constexpr tcp_liveness kUpstreamLiveness{ milliseconds(3000) };
// Share of the memory that bodies of open requests may take. The process itself
// needs about 6 MB; responses and connection buffers need the rest.
constexpr double kBodyMemoryShare = 0.3;

// Phases of a graceful stop as shares of the grace period: the node takes new
// requests while clients still hold its address, then refuses them, and ends
// before it is killed.
constexpr double kAcceptShare = 0.5;
constexpr double kShutdownShare = 0.93;
// Time for the requests of clients whose connections were accepted last.
constexpr milliseconds kLastRequestTimeout(300);

std::uint64_t RandomRun()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

node_report SelfReport(const gateway_settings& aSettings, std::uint64_t aRun)
{
  node_report report;
  report.mAddress = FormatTcpAddress(aSettings.mPeer);
  report.mName = aSettings.mName;
  report.mClientAddress = FormatTcpAddress(aSettings.mClientAddress);
  report.mRun = aRun;
  report.mCapacity = aSettings.mCapacity;
  return report;
}

} // namespace

gateway_node::gateway_node(const gateway_settings& aSettings,
                           const gateway_codec& aCodec,
                           row_store& aStore,
                           const time_source& aTime,
                           std::function<void()> aOnStopped)
  : mSettings(aSettings)
  , mCodec(aCodec)
  , mStore(aStore)
  , mTime(aTime)
  , mOnStopped(std::move(aOnStopped))
  , mRun(fmt::format("{:016x}", RandomRun()))
  , mUpstreamRegistry(aSettings.mUpstreamRegistry)
  , mPool(kUpstreamLiveness)
  , mTokenAllowance(mRun, aSettings.mTokenAllowance)
  , mRetries(aSettings.mRetries)
  , mFleet(SelfReport(aSettings, std::stoull(mRun, nullptr, 16)))
  , mCrashExchange(mCrashes, mMetrics, mStore, mTime, mRun)
  , mAllowanceWriter(mTokenAllowance,
                     mStore,
                     mTime,
                     FormatTcpAddress(mSettings.mPeer))
  , mRows(mFleet, mCrashExchange, mStore, mTime, mRun)
  , mContext{
    .mSettings = mSettings,
    .mCodec = mCodec,
    .mTime = mTime,
    .mUpstreamRegistry = mUpstreamRegistry,
    .mPool = mPool,
    .mTokenAllowance = mTokenAllowance,
    .mRetries = mRetries,
    .mCrashes = mCrashes,
    .mUnanswered = mUnanswered,
    .mFleet = mFleet,
    .mMetrics = mMetrics,
    .mReportCrash =
      [this](const crash_report& aReport) { mCrashExchange.Report(aReport); },
    .mReportServed =
      [this](const content_id& aRequest) { mCrashExchange.OnServed(aRequest); }
  }
  , mPeerTransport(mFleet,
                   mTokenAllowance,
                   mCrashExchange,
                   mTime,
                   [this] { return SnapshotRows(); })
  , mLinkOverload(mSettings.mLinkBytesPerSecond)
  , mStalls(mTime.Now())
  , mConfigTable(mStore,
                 mTime,
                 mCodec.ConfigTable(),
                 kConfigLongPollTime,
                 kConfigPollInterval,
                 *this)
  , mUpstreamTable(mStore,
                   mTime,
                   mCodec.UpstreamTable(),
                   kUpstreamLongPollTime,
                   kUpstreamPollInterval,
                   *this)
  , mFleetTable(mStore,
                mTime,
                fleet_rows::kFleetTableName,
                kFleetTableLongPollTime,
                kFleetTablePollInterval,
                *this)
  , mEndpoints(mCodec, mFleet, mMetrics, mTime, [this] { return Ready(); })
{
  mContext.mMaxBodyBytes = static_cast<std::size_t>(
    static_cast<double>(mSettings.mMemoryBytes) * kBodyMemoryShare);
  for (const std::string& seed : mSettings.mSeeds) {
    mFleet.AddCandidate(seed);
  }
}

gateway_node::~gateway_node()
{
  mSessions.clear();
}

std::unique_ptr<gateway_node> gateway_node::Start(
  const gateway_settings& aSettings,
  const gateway_codec& aCodec,
  row_store& aStore,
  const time_source& aTime,
  std::function<void()> aOnStopped,
  std::string& aError)
{
  auto node = std::unique_ptr<gateway_node>(
    new gateway_node(aSettings, aCodec, aStore, aTime, std::move(aOnStopped)));
  if (!node->Listen(aError)) {
    return nullptr;
  }
  node->mConfigTable.Start();
  node->mUpstreamTable.Start();
  node->mFleetTable.Start();
  node->mRequestTimer.Every(kRequestTickInterval,
                            [raw = node.get()] { raw->OnRequestTick(); });
  node->mFleetTimer.Every(kFleetTickInterval,
                          [raw = node.get()] { raw->OnFleetTick(); });
  node->mMaintenanceTimer.Every(
    kMaintenanceInterval, [raw = node.get()] { raw->OnMaintenanceTick(); });
  node->mPeerTransport.SendReports();
  Log(log_level::Info,
      "gateway_started",
      { Field("node", aSettings.mName),
        Field("run", node->mRun),
        Field("clients", FormatTcpAddress(aSettings.mClientAddress)) });
  return node;
}

bool gateway_node::Listen(std::string& aError)
{
  mClientListener =
    http_listener::Listen(mSettings.mClientAddress, *this, mTime, aError);
  mReadiness =
    http_listener::Listen(mSettings.mReadiness, mEndpoints, mTime, aError);
  mDirectory =
    http_listener::Listen(mSettings.mDirectory, mEndpoints, mTime, aError);
  if (!mClientListener || !mReadiness || !mDirectory) {
    return false;
  }
  if (mSettings.mMetrics.mPort != 0) {
    std::string reason;
    mMetricsListener =
      http_listener::Listen(mSettings.mMetrics, mEndpoints, mTime, reason);
    if (!mMetricsListener) {
      Log(log_level::Warning,
          "metrics_unavailable",
          { Field("address", FormatTcpAddress(mSettings.mMetrics)),
            Field("error", reason) });
    }
  }
  return mPeerTransport.Start(mSettings.mPeer, aError);
}

bool gateway_node::Ready() const
{
  return mContext.mRoutes && mUpstreamRegistry.Size() > 0 && !mStopStartedAt;
}

void gateway_node::OnRequest(http_server_connection& aConnection,
                             http_server_request aRequest)
{
  mContext.mConfigConfirmedAt = mConfigTable.LastContact();
  mContext.mConfigMayBeStale =
    !mConfigTable.IsLoaded() ||
    mTime.Now() > mConfigTable.LastContact() + kConfigStaleTimeout;
  if (mLinkOverload.IsOverloaded()) {
    // The client reconnects and finds a host with free capacity.
    aConnection.SetCloseAfterResponse();
  }
  auto session = std::make_unique<gateway_session>(
    mContext,
    aConnection,
    mCodec.ReadRequest(std::move(aRequest), mTime.Now()));
  if (!session->Finished()) {
    mSessions[&aConnection] = std::move(session);
  }
}

void gateway_node::OnClientDisconnected(http_server_connection& aConnection)
{
  const auto found = mSessions.find(&aConnection);
  if (found != mSessions.end()) {
    found->second->Cancel();
  }
}

void gateway_node::OnClientDrained(http_server_connection& aConnection)
{
  const auto found = mSessions.find(&aConnection);
  if (found != mSessions.end()) {
    found->second->OnClientDrained();
  }
}

void gateway_node::OnConnectionClosed(http_server_connection&) {}

void gateway_node::OnRow(const stored_row& aRow)
{
  const time_point now = mTime.Now();
  if (aRow.mKey.mTable == mCodec.ConfigTable()) {
    if (aRow.mKey.mKey == mCodec.ConfigKey()) {
      ApplyConfig(aRow);
    }
    return;
  }
  if (aRow.mKey.mTable == fleet_rows::kFleetTableName) {
    mRows.Apply(aRow);
    return;
  }
  const auto entry = mCodec.ReadUpstream(aRow);
  if (!entry) {
    Log(log_level::Info,
        "server_entry_unusable",
        { Field("server", aRow.mKey.mKey), Field("version", aRow.mVersion) });
    mUpstreamRegistry.Remove(upstream_id{ aRow.mKey.mKey },
                             now + RemovalGracePeriod(false));
    return;
  }
  const server_entry* previous = mUpstreamRegistry.Find(entry->mId);
  if (previous == nullptr || previous->mState != entry->mState ||
      previous->mIncarnation != entry->mIncarnation) {
    Log(log_level::Info,
        "server_changed",
        { Field("server", entry->mId.mName),
          Field("service", entry->mService.mName),
          Field("address", FormatTcpAddress(entry->mAddress)),
          Field("state",
                entry->mState == server_state::Ready ? "ready" : "leaving"),
          Field("version", aRow.mVersion) });
  }
  mUpstreamRegistry.Apply(*entry, now);
  mCrashes.OnServerEntry(*entry, now);
}

milliseconds gateway_node::RemovalGracePeriod(bool aTentative) const
{
  const auto share = std::chrono::duration_cast<milliseconds>(
    mSettings.mLeaveTimeout *
    (aTentative ? kTentativeRemovalGraceShare : kRemovalGraceShare));
  return std::min(
    aTentative ? kTentativeRemovalGracePeriod : kRemovalGracePeriod, share);
}

void gateway_node::OnRowRemoved(const row_key& aKey, bool aTentative)
{
  if (aKey.mTable != mCodec.UpstreamTable()) {
    return;
  }
  Log(log_level::Info,
      "server_removed",
      { Field("server", aKey.mKey), Field("doubtful", aTentative) });
  mUpstreamRegistry.Remove(upstream_id{ aKey.mKey },
                           mTime.Now() + RemovalGracePeriod(aTentative));
}

void gateway_node::OnTableLoaded()
{
  mFleet.Self().mReady = Ready();
}

void gateway_node::ApplyConfig(const stored_row& aRow)
{
  auto config = mCodec.ReadConfig(aRow.mValue);
  if (!config) {
    Log(log_level::Error,
        "configuration_unreadable",
        { Field("version", aRow.mVersion) });
    return;
  }
  if (mContext.mRoutes && config->mVersion <= mContext.mRoutes->Version()) {
    return;
  }
  Log(log_level::Info,
      "configuration_applied",
      { Field("version", config->mVersion),
        Field("routes", config->mRoutes.size()),
        Field("accounts", config->mAccounts.size()) });
  for (const gateway_service& service : config->mServices) {
    mUpstreamRegistry.SetService(service);
  }
  for (const gateway_account& account : config->mAccounts) {
    if (account.mPrepaidTokens) {
      mTokenAllowance.SetTotal(account.mName, *account.mPrepaidTokens);
    }
  }
  mClientListener->SetLimits(config->mLimits);
  mFleet.Self().mConfigVersion = config->mVersion;
  mMetrics.SetConfigVersion(static_cast<double>(config->mVersion));
  mContext.mRoutes = std::make_shared<route_table>(std::move(*config));
}

std::vector<stored_row> gateway_node::SnapshotRows() const
{
  std::vector<stored_row> rows;
  for (const auto& [key, row] : mConfigTable.Rows()) {
    rows.push_back(row);
  }
  for (const auto& [key, row] : mUpstreamTable.Rows()) {
    rows.push_back(row);
  }
  return rows;
}

void gateway_node::OnRequestTick()
{
  const time_point now = mTime.Now();
  mStalls.OnTick(now);
  mContext.mDiscardedConnections.clear();
  if (mStalls.MustReadFirst(now)) {
    return;
  }
  AdvanceWaiting(now);
  if (mContext.mRoutes) {
    mAllowanceWriter.WriteChanges(now);
  }
  mAllowanceWriter.WriteClaim(now);
  mPeerTransport.SendTokenRequests();
  mPeerTransport.SendCrashNews();
  std::erase_if(mSessions,
                [](const auto& aPair) { return aPair.second->Finished(); });
  if (mStopStartedAt) {
    ContinueStop(now);
  }
}

void gateway_node::AdvanceWaiting(time_point aNow)
{
  std::vector<gateway_session*> waiting;
  std::vector<gateway_session*> others;
  for (const auto& [connection, session] : mSessions) {
    (session->WaitsForServer() ? waiting : others).push_back(session.get());
  }
  for (gateway_session* session : others) {
    if (!session->Finished()) {
      session->Advance(aNow);
    }
  }
  std::ranges::sort(waiting, {}, &gateway_session::QueueOrder);
  for (gateway_session* session : waiting) {
    session->Advance(aNow);
  }
}

void gateway_node::UpdateLinkOverload(time_point aNow)
{
  const bool wasBusy = mLinkOverload.IsOverloaded();
  mLinkOverload.Update(ProcessTraffic(), aNow);
  const bool busy = mLinkOverload.IsOverloaded();
  if (busy != wasBusy) {
    Log(log_level::Info,
        busy ? "link_full" : "link_free",
        { Field("use", fmt::format("{:.2f}", mLinkOverload.Utilization())),
          Field("open_requests", mSessions.size()) });
  }
  std::string error;
  if (!mLastRequestsUntil && !mClientListener->SetAccepting(!busy, error)) {
    Log(log_level::Error, "clients_address_lost", { Field("error", error) });
  }
}

void gateway_node::ReportSilentServers(time_point aNow)
{
  std::set<upstream_id> servers;
  for (const crash_report& report : mUnanswered.TakeSilent(
         mUpstreamRegistry, mUpstreamTable.LastContact(), aNow)) {
    Log(log_level::Info,
        "server_silent",
        { Field("fingerprint", FormatWide(report.mRequest)),
          Field("server_run", FormatServerRun(report.mServer)) });
    mCrashExchange.Report(report);
    servers.insert(report.mServer.mUpstream);
  }
  for (const upstream_id& server : servers) {
    mUpstreamRegistry.OnFailure(server, aNow);
  }
}

void gateway_node::UpdateRateLimits(time_point aNow)
{
  server_rate_limits& limits = mUpstreamRegistry.RateLimits();
  limits.SetNodes(mFleet.Self().mAddress, mFleet.LivePeerAddresses(aNow), aNow);
  for (const rate_limit_statement& statement : mFleet.PeerRateLimits()) {
    if (limits.OnPeerStatement(statement, aNow)) {
      Log(log_level::Info,
          "rate_limit_reported",
          { Field("server_key", fmt::format("{:08x}", statement.mServer)),
            Field("per_second", FormatRate(statement.mRequestsPerSecond)) });
    }
  }
  mFleet.Self().mRateLimits.clear();
  for (const rate_limit_statement& statement : limits.OwnStatements(aNow)) {
    mFleet.Self().mRateLimits.push_back(
      { statement.mServer,
        statement.mIncarnation,
        statement.mRequestsPerSecond,
        std::chrono::duration_cast<milliseconds>(aNow - statement.mStatedAt) });
  }
}

void gateway_node::OnFleetTick()
{
  const time_point now = mTime.Now();
  mStalls.OnTick(now);
  UpdateLinkOverload(now);
  if (mStalls.CanJudgeSilence(now)) {
    ReportSilentServers(now);
  }
  const bool ready = Ready();
  if (std::exchange(mFleet.Self().mReady, ready) != ready) {
    Log(log_level::Info, "readiness_changed", { Field("ready", ready) });
  }
  mFleet.Self().mWork = mUpstreamRegistry.LocalWork();
  mFleet.Self().mFreeTokens = mTokenAllowance.AllFreeTokens(now);
  mTokenAllowance.SetHolders(mFleet.TokenHolders(now));
  UpdateRateLimits(now);
  mPeerTransport.SendReports();
  mUpstreamRegistry.SetPeerWork(mFleet.PeerWork(now));
  mTokenAllowance.SetNodes(mFleet.LiveNodeCount(now));
  const bool stateMissing =
    !mContext.mRoutes ||
    (!mUpstreamTable.IsLoaded() && mUpstreamRegistry.Size() == 0);
  const bool storeUnreachable =
    now > mConfigTable.LastContact() + kConfigStaleTimeout;
  if (stateMissing || (storeUnreachable && now >= mNextSnapshotAt)) {
    mNextSnapshotAt = now + kSnapshotInterval;
    mPeerTransport.FetchSnapshot([this](const std::vector<stored_row>& aRows) {
      Log(log_level::Info, "snapshot_read", { Field("rows", aRows.size()) });
      for (const stored_row& row : aRows) {
        if (row.mKey.mTable == mCodec.ConfigTable()) {
          mConfigTable.AddPeerRow(row);
        } else if (row.mKey.mTable == mCodec.UpstreamTable()) {
          mUpstreamTable.AddPeerRow(row);
        }
      }
    });
  }
}

void gateway_node::OnMaintenanceTick()
{
  const time_point now = mTime.Now();
  mStalls.OnTick(now);
  if (mStalls.MustReadFirst(now)) {
    return;
  }
  mRows.OnMaintenanceTick(now);
  mCrashExchange.OnMaintenanceTick(now);
  mUpstreamRegistry.Expire(now);
  mPool.Expire(now);
  mClientListener->CheckDeadlines(now);
  mReadiness->CheckDeadlines(now);
  mDirectory->CheckDeadlines(now);
  if (mMetricsListener) {
    mMetricsListener->CheckDeadlines(now);
  }
  mPeerTransport.CheckDeadlines(now);
  mMetrics.SetOpenRequests(static_cast<double>(mSessions.size()));
  mMetrics.SetLiveNodes(static_cast<double>(mFleet.LiveNodeCount(now)));
  mMetrics.SetOpenedConnections(static_cast<double>(mPool.Opened()));
  mMetrics.SetRateLimitedServers(
    static_cast<double>(mUpstreamRegistry.RateLimits().LimitedCount()));
  mMetrics.SetStoreAge(
    std::chrono::duration<double>(now - mConfigTable.LastContact()).count());
}

void gateway_node::Reload(const gateway_settings& aSettings)
{
  mSettings.mRetries = aSettings.mRetries;
  mSettings.mGracePeriod = aSettings.mGracePeriod;
  mSettings.mSeeds = aSettings.mSeeds;
  mRetries.SetLimits(aSettings.mRetries);
  for (const std::string& seed : mSettings.mSeeds) {
    mFleet.AddCandidate(seed);
  }
  if (aSettings.mStore != mSettings.mStore ||
      aSettings.mClientAddress != mSettings.mClientAddress) {
    Log(log_level::Warning,
        "settings_need_restart",
        { Field("store", FormatTcpAddress(aSettings.mStore)),
          Field("clients", FormatTcpAddress(aSettings.mClientAddress)) });
  }
  Log(log_level::Info,
      "settings_reloaded",
      { Field("seeds", mSettings.mSeeds.size()) });
}

void gateway_node::Stop()
{
  if (mStopStartedAt) {
    return;
  }
  const time_point now = mTime.Now();
  mStopStartedAt = now;
  mFleet.Self().mLeaving = true;
  mFleet.Self().mReady = false;
  mPeerTransport.SendReports();
  mClientListener->SetCloseAfterResponse();
  Log(log_level::Info,
      "stop_began",
      { Field("open_requests", mSessions.size()) });
}

void gateway_node::ContinueStop(time_point aNow)
{
  const auto acceptDuration =
    std::chrono::duration_cast<std::chrono::microseconds>(
      mSettings.mGracePeriod * kAcceptShare);
  const auto stopDuration =
    std::chrono::duration_cast<std::chrono::microseconds>(
      mSettings.mGracePeriod * kShutdownShare);
  if (mStopped || aNow < *mStopStartedAt + acceptDuration) {
    return;
  }
  if (!std::exchange(mContext.mRefusingRequests, true)) {
    mClientListener->CloseIdle();
    mTokenAllowance.ReturnAll();
  }
  if (IsIdle() && !mLastRequestsUntil) {
    std::string error;
    mClientListener->SetAccepting(false, error);
    mLastRequestsUntil = aNow + kLastRequestTimeout;
  }
  const bool done = mLastRequestsUntil && aNow >= *mLastRequestsUntil &&
                    IsIdle() && !mClientListener->HasWork();
  if (!done && aNow < *mStopStartedAt + stopDuration) {
    return;
  }
  mStopped = true;
  Log(log_level::Info,
      "gateway_stopped",
      { Field("open_requests", mSessions.size()) });
  for (const auto& [connection, session] : mSessions) {
    session->EndAtStop();
  }
  mOnStopped();
}

bool gateway_node::IsIdle() const
{
  return mSessions.empty() && !mTokenAllowance.HasPendingChanges();
}
