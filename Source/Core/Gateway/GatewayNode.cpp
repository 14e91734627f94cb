#include "Gateway/GatewayNode.h"

#include <algorithm>
#include <random>
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
// Limit of the values of entries of servers and nodes, which have a few hundred
// bytes; those of other writers may have the largest size of the store, and
// thousands of them exceed the memory of a node.
constexpr std::size_t kMaxEntryBytes = 8192;
// A server whose row was removed serves only if no other is usable, for at most
// this time and this share of the limit for leaving servers. The second pair
// holds for removals that may be an effect of a store outage.
constexpr milliseconds kRemovalGracePeriod(1200);
constexpr milliseconds kTentativeRemovalGracePeriod(1900);
constexpr double kRemovalGraceShare = 0.6;
constexpr double kTentativeRemovalGraceShare = 0.95;
// Time after an outage of the store in which removals may be its effect: the
// platform restores the entries of live servers within two seconds.
constexpr milliseconds kTentativeRemovalWindow(3500);
// Readiness, addresses and metrics are asked for without a body.
constexpr std::uint64_t kMaxEndpointBodyBytes = 1024;
// Connections to a server break after this long without TCP acknowledgements.
constexpr tcp_liveness kUpstreamLiveness{ milliseconds(3000) };

milliseconds Share(milliseconds aTime, double aShare)
{
  return std::chrono::duration_cast<milliseconds>(aTime * aShare);
}

state_bounds Bounds(const gateway_settings& aSettings)
{
  return { aSettings.mLeaveTimeout,
           aSettings.mConfigTimeout,
           aSettings.mEvacuationTimeout };
}

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
  report.mZone = aSettings.mZone;
  report.mRegion = aSettings.mRegion;
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
  , mLinkQueue(aSettings.mLinkBytesPerSecond)
  , mProbe([this](const auto& aTarget, const auto& aResponse) {
    OnProbeResponse(aTarget, aResponse);
  })
  , mFleet(SelfReport(aSettings, std::stoull(mRun, nullptr, 16)))
  , mStreamOrigins(FormatTcpAddress(aSettings.mPeer))
  , mHeld(aSettings.mMemoryBytes)
  , mCrashExchange(mCrashes, mSegmentCrashes, mMetrics, mStore, mTime, mRun)
  , mHomes(mSettings.mZoneRegions)
  , mEvacuationRows(mCodec, mUpstreamRegistry, mMetrics)
  , mAllowanceWriter(mTokenAllowance,
                     mStore,
                     mTime,
                     FormatTcpAddress(mSettings.mPeer))
  , mRows(mFleet, mCrashExchange, mStore, mTime, mSettings.mRegion, mRun)
  , mContext{ .mSettings = mSettings,
              .mCodec = mCodec,
              .mTime = mTime,
              .mUpstreamRegistry = mUpstreamRegistry,
              .mPool = mPool,
              .mTokenAllowance = mTokenAllowance,
              .mRetries = mRetries,
              .mCrashes = mCrashes,
              .mSegmentCrashes = mSegmentCrashes,
              .mCrashExchange = mCrashExchange,
              .mUnanswered = mUnanswered,
              .mReachability = mReachability,
              .mLinkQueue = mLinkQueue,
              .mDurations = mDurations,
              .mFleet = mFleet,
              .mHomes = mHomes,
              .mStreamOrigins = mStreamOrigins,
              .mAdmission = mAdmission,
              .mStore = mStore,
              .mHeld = mHeld,
              .mMetrics = mMetrics }
  , mPeerTransport(mFleet,
                   mTokenAllowance,
                   mCrashExchange,
                   mStreamOrigins,
                   mAdmission,
                   mTime,
                   aSettings.mLinkBytesPerSecond,
                   [this] { return Snapshot(); })
  , mMaxStateAge(MaxStateAge(Bounds(aSettings)))
  , mLinkOverload(mSettings.mLinkBytesPerSecond)
  , mHostLoad(FormatTcpAddress(mSettings.mPeer))
  , mProcessor(mSettings.mCores)
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
                   *this,
                   kMaxEntryBytes)
  , mFleetTable(mStore,
                mTime,
                fleet_rows::kFleetTableName,
                kFleetTableLongPollTime,
                kFleetTablePollInterval,
                *this,
                kMaxEntryBytes)
  , mEndpoints(
      mCodec,
      mFleet,
      mMetrics,
      mHeld,
      mTime,
      [this] { return Ready(); },
      [this](const auto& aHost, const auto& aRegion) {
        return AddressRegions(aHost, aRegion);
      })
{
  for (const std::string& seed : mSettings.mSeeds) {
    mFleet.AddCandidate(seed);
  }
  mUpstreamRegistry.RateLimits().SetColdBound(mSettings.mColdBound);
  mFleet.SetRegion(mFleet.Self().mAddress, mSettings.mRegion);
}

gateway_node::~gateway_node()
{
  mSessions.clear();
  mRelays.clear();
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
  node->mTokenAllowance.SetStart(aTime.Now());
  if (aSettings.mLearnServerCapacity) {
    node->mUpstreamRegistry.LearnCapacity();
    node->mPeerTransport.LearnCapacity(node->mUpstreamRegistry);
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
  http_server_limits limits;
  limits.mBodyBytes = kMaxEndpointBodyBytes;
  mReadiness->SetLimits(limits);
  mDirectory->SetLimits(limits);
  if (mSettings.mMetrics.mPort != 0) {
    std::string reason;
    mMetricsListener =
      http_listener::Listen(mSettings.mMetrics, mEndpoints, mTime, reason);
    if (!mMetricsListener) {
      Log(log_level::Warning,
          "metrics_unavailable",
          { Field("address", FormatTcpAddress(mSettings.mMetrics)),
            Field("error", reason) });
    } else {
      mMetricsListener->SetLimits(limits);
    }
  }
  return mPeerTransport.Start(mSettings.mPeer, aError);
}

bool gateway_node::Ready() const
{
  return mContext.mRoutes && mUpstreamRegistry.Size() > 0 && !mContext.mStop &&
         mContext.mState != state_verdict::Outdated && !mContext.mRelaying;
}

void gateway_node::OnRequest(http_server_connection& aConnection,
                             http_server_request aRequest)
{
  JudgeState(mTime.Now());
  mContext.mConfigMayBeStale =
    !mConfigTable.IsLoaded() ||
    mTime.Now() > mConfigTable.CurrentAt() + mMaxStateAge;
  if (mLinkOverload.IsOverloaded() || SendsClientsElsewhere()) {
    // The client reconnects and finds a host with free capacity.
    aConnection.SetCloseAfterResponse();
  }
  // The body is counted with the request from now on, not as arriving until the
  // next sum of the held bytes.
  mHeld.Remove(
    held_kind::ArrivingRequests,
    std::min(aRequest.mBody.size(), mHeld.Of(held_kind::ArrivingRequests)));
  auto session = std::make_unique<gateway_session>(
    mContext,
    aConnection,
    mCodec.ReadRequest(std::move(aRequest), mTime.Now()));
  if (session->NeedsRelay()) {
    StartRelay(aConnection, *session);
  } else if (!session->Finished()) {
    mSessions[&aConnection] = std::move(session);
  }
}

void gateway_node::OnClientDisconnected(http_server_connection& aConnection)
{
  const auto found = mSessions.find(&aConnection);
  if (found != mSessions.end()) {
    found->second->Cancel();
  }
  const auto relay = mRelays.find(&aConnection);
  if (relay != mRelays.end()) {
    relay->second->Cancel();
  }
}

void gateway_node::OnClientDrained(http_server_connection& aConnection)
{
  const auto found = mSessions.find(&aConnection);
  if (found != mSessions.end()) {
    found->second->OnClientDrained();
  }
  const auto relay = mRelays.find(&aConnection);
  if (relay != mRelays.end()) {
    relay->second->OnClientDrained();
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
    mEvacuationRows.Apply(aRow);
    return;
  }
  if (aRow.mKey.mTable == fleet_rows::kFleetTableName) {
    mRows.Apply(aRow);
    return;
  }
  const auto entry = mCodec.ReadUpstream(aRow);
  if (!entry) {
    mUnusableEntries.OnEntry(aRow, now);
    mUpstreamRegistry.Remove(upstream_id{ aRow.mKey.mKey },
                             RemovedUsableUntil(false, now));
    return;
  }
  const server_entry* previous = mUpstreamRegistry.Find(entry->mId);
  if (previous == nullptr || previous->mIgnored != entry->mIgnored) {
    LogIgnored(entry->mIgnored, aRow.mKey.mKey, aRow.mVersion);
  }
  if (previous == nullptr || previous->mState != entry->mState ||
      previous->mIncarnation != entry->mIncarnation) {
    Log(log_level::Info,
        "server_changed",
        { Field("server", entry->mId.mName),
          Field("service", entry->mService.mName),
          Field("software", entry->mSoftware.mName),
          Field("address", FormatTcpAddress(entry->mAddress)),
          Field("state",
                entry->mState == server_state::Ready ? "ready" : "leaving"),
          Field("version", aRow.mVersion) });
  }
  mUpstreamRegistry.Apply(*entry, now);
  mStreamOrigins.OnServer(entry->mService, entry->mSoftware, now);
  mCrashes.OnServerEntry(*entry, now);
}

time_point gateway_node::RemovedUsableUntil(bool aTentative,
                                            time_point aNow) const
{
  const auto share =
    Share(mSettings.mLeaveTimeout,
          aTentative ? kTentativeRemovalGraceShare : kRemovalGraceShare);
  const time_point until =
    aNow +
    std::min(aTentative ? kTentativeRemovalGracePeriod : kRemovalGracePeriod,
             share);
  // The entry may have been removed right after the last read that had it.
  // After an outage, that read is too old to tell.
  const time_point lastReadAt = mUpstreamTable.CurrentAt();
  if (!aTentative) {
    return std::min(until, lastReadAt + mMaxStateAge);
  }
  return aNow <= lastReadAt + mMaxStateAge ? std::min(until, lastReadAt + share)
                                           : until;
}

void gateway_node::OnRowRemoved(const row_key& aKey)
{
  mEvacuationRows.Remove(aKey);
  if (aKey.mTable != mCodec.UpstreamTable()) {
    return;
  }
  const time_point now = mTime.Now();
  if (mUpstreamRegistry.Find(upstream_id{ aKey.mKey }) == nullptr) {
    // The entry was unusable.
    return;
  }
  const bool tentative = now < mRemovalsTentativeUntil;
  Log(log_level::Info,
      "server_removed",
      { Field("server", aKey.mKey),
        Field("doubtful", tentative),
        Field("known_age_ms", MsBetween(mUpstreamTable.CurrentAt(), now)) });
  mUpstreamRegistry.Remove(upstream_id{ aKey.mKey },
                           RemovedUsableUntil(tentative, now));
}

void gateway_node::OnTableLoaded()
{
  mFleet.Self().mReady = Ready();
}

state_snapshot gateway_node::Snapshot() const
{
  return { { mCodec.ConfigTable(), mConfigTable.Copy() },
           { mCodec.UpstreamTable(), mUpstreamTable.Copy() } };
}

void gateway_node::ApplySnapshot(const state_snapshot& aSnapshot)
{
  if (aSnapshot.empty()) {
    // The next round asks another peer.
    mNextSnapshotAt = {};
    return;
  }
  std::size_t rows = 0;
  for (const auto& [name, copy] : aSnapshot) {
    rows += copy.mRows.size();
    if (name != mCodec.ConfigTable() && name != mCodec.UpstreamTable()) {
      continue;
    }
    table_follower& table =
      name == mCodec.ConfigTable() ? mConfigTable : mUpstreamTable;
    if (copy.mVersion > 0) {
      table.ApplyPeerCopy(copy);
    } else {
      for (const stored_row& row : copy.mRows) {
        table.AddPeerRow(row, copy.mEra);
      }
    }
  }
  const time_point now = mTime.Now();
  Log(log_level::Info,
      "snapshot_read",
      { Field("rows", rows),
        Field("config_age_ms", MsBetween(mConfigTable.CurrentAt(), now)),
        Field("servers_age_ms", MsBetween(mUpstreamTable.CurrentAt(), now)) });
}

void gateway_node::JudgeState(time_point aNow)
{
  mContext.mConfigCurrentAt = mConfigTable.CurrentAt();
  mContext.mServersCurrentAt = mUpstreamTable.CurrentAt();
  UpdateStateVerdict(aNow);
  mContext.mLatestLeavesAt = LatestLeavesAt(Bounds(mSettings),
                                            mContext.mState,
                                            mConfigTable.CurrentAt(),
                                            mUpstreamTable.CurrentAt(),
                                            aNow);
}

void gateway_node::UpdateStateVerdict(time_point aNow)
{
  if (mContext.mState == state_verdict::Current &&
      aNow <= OldestStateAt() + mMaxStateAge) {
    return;
  }
  const state_evidence evidence{
    { mConfigTable.CurrentAt(), mFleet.PeerConfigCurrentAt(aNow) },
    { mUpstreamTable.CurrentAt(), mFleet.PeerServersCurrentAt(aNow) },
    mLinkOverload.LastOverloadedAt()
  };
  const state_verdict verdict = ::JudgeState(evidence, mMaxStateAge, aNow);
  if (verdict == state_verdict::StoreAway) {
    mRemovalsTentativeUntil = aNow + kTentativeRemovalWindow;
  }
  if (std::exchange(mContext.mState, verdict) == verdict) {
    return;
  }
  mMetrics.OnStateVerdict(StateVerdictName(verdict));
  Log(log_level::Info,
      "state_judged",
      { Field("verdict", StateVerdictName(verdict)),
        Field("config_age_ms", MsBetween(mConfigTable.CurrentAt(), aNow)),
        Field("servers_age_ms", MsBetween(mUpstreamTable.CurrentAt(), aNow)),
        Field("peer_config_age_ms",
              MsBetween(evidence.mConfig.mPeerCurrentAt.value_or(aNow), aNow)),
        Field("peer_servers_age_ms",
              MsBetween(evidence.mServers.mPeerCurrentAt.value_or(aNow), aNow)),
        Field("peers_report", evidence.mConfig.mPeerCurrentAt.has_value()),
        Field("link_use", fmt::format("{:.2f}", mLinkOverload.Utilization())),
        Field("open_requests", mSessions.size()) });
}

time_point gateway_node::OldestStateAt() const
{
  return std::min(mConfigTable.CurrentAt(), mUpstreamTable.CurrentAt());
}
