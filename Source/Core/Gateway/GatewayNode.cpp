#include "Gateway/GatewayNode.h"

#include <algorithm>
#include <random>
#include <utility>

#include <fmt/format.h>

#include "Common/Log.h"

namespace {

using std::chrono::milliseconds;

// Interval at which deadlines and waiting requests are checked.
constexpr milliseconds kRequestPeriod(10);
// Interval of reports between nodes; loads change within a few hundred ms.
constexpr milliseconds kFleetPeriod(200);
// Interval of clean-up, connection limits and metrics.
constexpr milliseconds kHousePeriod(250);

// Long poll and delay between polls per table. Changes of the configuration
// must be in force within 2 s.
constexpr milliseconds kConfigWait(1000);
constexpr milliseconds kConfigPause(20);
// Servers write their rows every 1.2 s; a leaving server must be known within 2
// s.
constexpr milliseconds kUpstreamWait(1000);
constexpr milliseconds kUpstreamPause(400);
constexpr milliseconds kOwnWait(1000);
constexpr milliseconds kOwnPause(500);
// After this long without contact to the store a newer configuration may be in
// force.
constexpr milliseconds kConfigDoubt(2600);
// A server whose row was removed serves only if no other is usable, for at most
// this time and this share of the limit for leaving servers. The second pair
// holds for removals that may be an effect of a store outage.
constexpr milliseconds kLastResort(1200);
constexpr milliseconds kLastResortInDoubt(1900);
constexpr double kLastResortPart = 0.6;
constexpr double kLastResortPartInDoubt = 0.95;
// Interval of snapshot requests while the store is unreachable.
constexpr milliseconds kSnapshotPause(1000);
// Connections to a server break after this long without TCP acknowledgements.
constexpr tcp_liveness kUpstreamLiveness{ milliseconds(3000) };
// Share of the memory that bodies of open requests may take. The process itself
// needs about 6 MB; responses and connection buffers need the rest.
constexpr double kBodyMemoryShare = 0.3;

// Phases of a graceful stop as shares of the grace period: the node takes new
// requests while clients still hold its address, then refuses them, and ends
// before it is killed.
constexpr double kAcceptPart = 0.5;
constexpr double kEndPart = 0.93;

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
  report.mFront = FormatTcpAddress(aSettings.mFront);
  report.mRun = aRun;
  report.mCapacity = aSettings.mCapacity;
  return report;
}

} // namespace

gateway_node::gateway_node(const gateway_settings& aSettings,
                           const gateway_dialect& aDialect,
                           row_store& aStore,
                           const time_source& aTime,
                           std::function<void()> aEnded)
  : mSettings(aSettings)
  , mDialect(aDialect)
  , mStore(aStore)
  , mTime(aTime)
  , mEnded(std::move(aEnded))
  , mRun(fmt::format("{:016x}", RandomRun()))
  , mRoster(aSettings.mRoster)
  , mPool(kUpstreamLiveness)
  , mEscrow(mRun, aSettings.mEscrow)
  , mRetries(aSettings.mRetries)
  , mFleet(SelfReport(aSettings, std::stoull(mRun, nullptr, 16)))
  , mEscrowWriter(mEscrow, mStore, mTime, FormatTcpAddress(mSettings.mPeer))
  , mRows(mFleet, mCrashes, mStore, mTime, mRun)
  , mContext{ .mSettings = mSettings,
              .mDialect = mDialect,
              .mTime = mTime,
              .mRoster = mRoster,
              .mPool = mPool,
              .mEscrow = mEscrow,
              .mRetries = mRetries,
              .mCrashes = mCrashes,
              .mFleet = mFleet,
              .mMetrics = mMetrics,
              .mReportCrash =
                [this](const std::string& aFingerprint,
                       const std::string& aServerRun) {
                  mRows.WriteCrash(aFingerprint, aServerRun);
                } }
  , mLink(mFleet, mEscrow, mTime, [this] { return SnapshotRows(); })
  , mLinkGuard(mSettings.mLinkBytesPerSecond)
  , mConfigTable(mStore,
                 mTime,
                 mDialect.ConfigTable(),
                 kConfigWait,
                 kConfigPause,
                 *this)
  , mUpstreamTable(mStore,
                   mTime,
                   mDialect.UpstreamTable(),
                   kUpstreamWait,
                   kUpstreamPause,
                   *this)
  , mOwnTable(mStore,
              mTime,
              fleet_rows::kOwnTableName,
              kOwnWait,
              kOwnPause,
              *this)
  , mCalls(mDialect, mFleet, mMetrics, mTime, [this] { return Ready(); })
{
  mContext.mMostBodyBytes = static_cast<std::size_t>(
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
  const gateway_dialect& aDialect,
  row_store& aStore,
  const time_source& aTime,
  std::function<void()> aEnded,
  std::string& aError)
{
  auto node = std::unique_ptr<gateway_node>(
    new gateway_node(aSettings, aDialect, aStore, aTime, std::move(aEnded)));
  if (!node->Listen(aError)) {
    return nullptr;
  }
  node->mConfigTable.Start();
  node->mUpstreamTable.Start();
  node->mOwnTable.Start();
  node->mRequestTimer.Every(kRequestPeriod,
                            [raw = node.get()] { raw->OnRequestTick(); });
  node->mFleetTimer.Every(kFleetPeriod,
                          [raw = node.get()] { raw->OnFleetTick(); });
  node->mHouseTimer.Every(kHousePeriod,
                          [raw = node.get()] { raw->OnHouseTick(); });
  node->mLink.SendReports();
  Log(log_level::Info,
      "gateway_started",
      { Field("node", aSettings.mName),
        Field("run", node->mRun),
        Field("clients", FormatTcpAddress(aSettings.mFront)) });
  return node;
}

bool gateway_node::Listen(std::string& aError)
{
  mFront = http_listener::Listen(mSettings.mFront, *this, mTime, aError);
  mReadiness =
    http_listener::Listen(mSettings.mReadiness, mCalls, mTime, aError);
  mDirectory =
    http_listener::Listen(mSettings.mDirectory, mCalls, mTime, aError);
  if (!mFront || !mReadiness || !mDirectory) {
    return false;
  }
  if (mSettings.mMetrics.mPort != 0) {
    std::string reason;
    mMetricsListener =
      http_listener::Listen(mSettings.mMetrics, mCalls, mTime, reason);
    if (!mMetricsListener) {
      Log(log_level::Warning,
          "metrics_unavailable",
          { Field("address", FormatTcpAddress(mSettings.mMetrics)),
            Field("error", reason) });
    }
  }
  return mLink.Start(mSettings.mPeer, aError);
}

bool gateway_node::Ready() const
{
  return mContext.mRoutes && mRoster.Size() > 0 && !mStopBegan;
}

void gateway_node::OnRequest(http_server_connection& aConnection,
                             http_server_request aRequest)
{
  mContext.mConfigSeen = mConfigTable.LastContact();
  mContext.mConfigDoubtful =
    !mConfigTable.Read() ||
    mTime.Now() > mConfigTable.LastContact() + kConfigDoubt;
  if (mLinkGuard.Busy()) {
    // The client reconnects and finds a host with free capacity.
    aConnection.SetClosing();
  }
  auto session = std::make_unique<gateway_session>(
    mContext,
    aConnection,
    mDialect.ReadRequest(std::move(aRequest), mTime.Now()));
  if (!session->Done()) {
    mSessions[&aConnection] = std::move(session);
  }
}

void gateway_node::OnClientGone(http_server_connection& aConnection)
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
  if (aRow.mKey.mTable == mDialect.ConfigTable()) {
    if (aRow.mKey.mKey == mDialect.ConfigKey()) {
      ApplyConfig(aRow);
    }
    return;
  }
  if (aRow.mKey.mTable == fleet_rows::kOwnTableName) {
    mRows.Apply(aRow);
    return;
  }
  const auto entry = mDialect.ReadUpstream(aRow);
  if (!entry) {
    Log(log_level::Info,
        "server_entry_unusable",
        { Field("server", aRow.mKey.mKey), Field("version", aRow.mVersion) });
    mRoster.Remove(upstream_id{ aRow.mKey.mKey }, now + LastResort(false));
    return;
  }
  const server_entry* known = mRoster.Find(entry->mId);
  if (known == nullptr || known->mState != entry->mState ||
      known->mBorn != entry->mBorn) {
    Log(log_level::Info,
        "server_changed",
        { Field("server", entry->mId.mName),
          Field("service", entry->mService.mName),
          Field("address", FormatTcpAddress(entry->mAddress)),
          Field("state",
                entry->mState == server_state::Ready ? "ready" : "leaving"),
          Field("version", aRow.mVersion) });
  }
  mRoster.Apply(*entry, now);
}

milliseconds gateway_node::LastResort(bool aDoubtful) const
{
  const auto part = std::chrono::duration_cast<milliseconds>(
    mSettings.mLeaveLimit *
    (aDoubtful ? kLastResortPartInDoubt : kLastResortPart));
  return std::min(aDoubtful ? kLastResortInDoubt : kLastResort, part);
}

void gateway_node::OnRowRemoved(const row_key& aKey, bool aDoubtful)
{
  if (aKey.mTable != mDialect.UpstreamTable()) {
    return;
  }
  Log(log_level::Info,
      "server_removed",
      { Field("server", aKey.mKey), Field("doubtful", aDoubtful) });
  mRoster.Remove(upstream_id{ aKey.mKey }, mTime.Now() + LastResort(aDoubtful));
}

void gateway_node::OnTableRead()
{
  mFleet.Self().mReady = Ready();
}

void gateway_node::ApplyConfig(const stored_row& aRow)
{
  auto config = mDialect.ReadConfig(aRow.mValue);
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
    mRoster.SetService(service);
  }
  for (const gateway_account& account : config->mAccounts) {
    if (account.mPrepaidTokens) {
      mEscrow.SetTotal(account.mName, *account.mPrepaidTokens);
    }
  }
  mFront->SetLimits(config->mLimits);
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
  mContext.mDiscarded.clear();
  AdvanceWaiting(now);
  if (mContext.mRoutes) {
    mEscrowWriter.WriteChanges(now);
  }
  mEscrowWriter.WriteStatement(now);
  mLink.SendTokenRequests();
  std::erase_if(mSessions,
                [](const auto& aPair) { return aPair.second->Done(); });
  if (mStopBegan) {
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
    if (!session->Done()) {
      session->Advance(aNow);
    }
  }
  std::ranges::sort(waiting, {}, &gateway_session::Order);
  for (gateway_session* session : waiting) {
    session->Advance(aNow);
  }
}

void gateway_node::GuardLink(time_point aNow)
{
  const bool wasBusy = mLinkGuard.Busy();
  mLinkGuard.Update(ProcessTraffic(), aNow);
  const bool busy = mLinkGuard.Busy();
  if (busy != wasBusy) {
    Log(log_level::Info,
        busy ? "link_full" : "link_free",
        { Field("use", fmt::format("{:.2f}", mLinkGuard.Use())),
          Field("open_requests", mSessions.size()) });
  }
  std::string error;
  if (!mFront->SetAccepting(!busy, error)) {
    Log(log_level::Error, "clients_address_lost", { Field("error", error) });
  }
}

void gateway_node::OnFleetTick()
{
  const time_point now = mTime.Now();
  GuardLink(now);
  const bool ready = Ready();
  if (std::exchange(mFleet.Self().mReady, ready) != ready) {
    Log(log_level::Info, "readiness_changed", { Field("ready", ready) });
  }
  mFleet.Self().mWork = mRoster.OwnWork();
  mFleet.Self().mHeld = mEscrow.AllHeld(now);
  mEscrow.SetHolders(mFleet.TokenHolders(now));
  mLink.SendReports();
  mRoster.SetPeerWork(mFleet.PeerWork(now));
  mEscrow.SetNodes(mFleet.LiveNodes(now));
  const bool lacksState =
    !mContext.mRoutes || (!mUpstreamTable.Read() && mRoster.Size() == 0);
  const bool outOfTouch = now > mConfigTable.LastContact() + kConfigDoubt;
  if (lacksState || (outOfTouch && now >= mNextSnapshot)) {
    mNextSnapshot = now + kSnapshotPause;
    mLink.FetchSnapshot([this](const std::vector<stored_row>& aRows) {
      Log(log_level::Info, "snapshot_read", { Field("rows", aRows.size()) });
      for (const stored_row& row : aRows) {
        if (row.mKey.mTable == mDialect.ConfigTable()) {
          mConfigTable.Seed(row);
        } else if (row.mKey.mTable == mDialect.UpstreamTable()) {
          mUpstreamTable.Seed(row);
        }
      }
    });
  }
}

void gateway_node::OnHouseTick()
{
  const time_point now = mTime.Now();
  mRows.OnHouseTick(now);
  mRoster.Expire(now);
  mPool.Expire(now);
  mCrashes.Expire(now);
  mFront->CheckDeadlines(now);
  mReadiness->CheckDeadlines(now);
  mDirectory->CheckDeadlines(now);
  if (mMetricsListener) {
    mMetricsListener->CheckDeadlines(now);
  }
  mLink.CheckDeadlines(now);
  mMetrics.SetOpenRequests(static_cast<double>(mSessions.size()));
  mMetrics.SetLiveNodes(static_cast<double>(mFleet.LiveNodes(now)));
  mMetrics.SetOpenedConnections(static_cast<double>(mPool.Opened()));
  mMetrics.SetStoreAge(
    std::chrono::duration<double>(now - mConfigTable.LastContact()).count());
}

void gateway_node::Reload(const gateway_settings& aSettings)
{
  mSettings.mRetries = aSettings.mRetries;
  mSettings.mGrace = aSettings.mGrace;
  mSettings.mSeeds = aSettings.mSeeds;
  mRetries.SetLimits(aSettings.mRetries);
  for (const std::string& seed : mSettings.mSeeds) {
    mFleet.AddCandidate(seed);
  }
  if (aSettings.mStore != mSettings.mStore ||
      aSettings.mFront != mSettings.mFront) {
    Log(log_level::Warning,
        "settings_need_restart",
        { Field("store", FormatTcpAddress(aSettings.mStore)),
          Field("clients", FormatTcpAddress(aSettings.mFront)) });
  }
  Log(log_level::Info,
      "settings_reloaded",
      { Field("seeds", mSettings.mSeeds.size()) });
}

void gateway_node::Stop()
{
  if (mStopBegan) {
    return;
  }
  const time_point now = mTime.Now();
  mStopBegan = now;
  mFleet.Self().mLeaving = true;
  mFleet.Self().mReady = false;
  mLink.SendReports();
  mFront->SetClosing();
  Log(log_level::Info,
      "stop_began",
      { Field("open_requests", mSessions.size()) });
}

void gateway_node::ContinueStop(time_point aNow)
{
  const auto accept = std::chrono::duration_cast<std::chrono::microseconds>(
    mSettings.mGrace * kAcceptPart);
  const auto end = std::chrono::duration_cast<std::chrono::microseconds>(
    mSettings.mGrace * kEndPart);
  if (mStopped || aNow < *mStopBegan + accept) {
    return;
  }
  if (!std::exchange(mContext.mRefusing, true)) {
    mFront->CloseIdle();
    mEscrow.ReturnAll();
  }
  const bool quiet = mSessions.empty() && !mEscrow.Busy();
  if (!quiet && aNow < *mStopBegan + end) {
    return;
  }
  mStopped = true;
  Log(log_level::Info,
      "gateway_stopped",
      { Field("open_requests", mSessions.size()) });
  mEnded();
}
