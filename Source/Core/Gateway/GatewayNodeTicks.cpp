// Parts of `gateway_node` that run periodically: requests in progress, exchange
// with other nodes, maintenance and the graceful stop.

#include "Gateway/GatewayNode.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "Common/CallbackGuard.h"
#include "Common/Hash.h"
#include "Common/Log.h"
#include "Gateway/StoreEra.h"

namespace {

using std::chrono::milliseconds;

// Sound servers may be silent under a request for a second.
constexpr milliseconds kSilenceTime(1000);
// Interval of snapshot requests while the store is unreachable.
constexpr milliseconds kSnapshotInterval(1000);
// The same while peers are in contact with the store.
constexpr milliseconds kRefreshInterval(500);
// Share of the age limit from which on state is requested from peers. It is
// above the 1,420 ms that pass between two reads of a store in contact, and
// leaves time for three attempts.
constexpr double kRefreshAgeShare = 0.7;
// Time for the requests of clients whose connections were accepted last.
constexpr milliseconds kLastRequestTimeout(300);

std::optional<milliseconds> AgeOf(const table_follower& aTable, time_point aNow)
{
  if (aTable.CurrentAt() == time_point()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<milliseconds>(aNow - aTable.CurrentAt());
}

server_pauses TimesLeft(
  const std::vector<std::pair<std::uint32_t, time_point>>& aPauses,
  time_point aNow)
{
  server_pauses left;
  for (const auto& [server, until] : aPauses) {
    left.emplace_back(server,
                      std::chrono::duration_cast<milliseconds>(until - aNow));
  }
  return left;
}

} // namespace

void gateway_node::OnRequestTick()
{
  const time_point now = mTime.Now();
  mStalls.OnTick(now);
  mContext.mDiscardedConnections.clear();
  JudgeState(now);
  UpdateReachability(now);
  mUpstreamRegistry.SetPeerPauses(mFleet.PeerPauses(now));
  SendLoad(now);
  if (mStalls.MustReadFirst(now)) {
    return;
  }
  if (mTokenAllowance.NeedsContacts(now)) {
    mTokenAllowance.SetPeerContacts(mFleet.StoreContacts(now));
  }
  AdvanceWaiting(now);
  if (mContext.mRoutes) {
    mAllowanceWriter.WriteChanges(now);
  }
  mAllowanceWriter.WriteClaim(now);
  mPeerTransport.SendTokenRequests();
  mPeerTransport.SendCrashNews();
  mPeerTransport.SendPauses(TimesLeft(mUpstreamRegistry.TakeNewPauses(), now));
  mPeerTransport.SendStreamMessages();
  StartRelays();
  for (const auto& [connection, relay] : mRelays) {
    relay->Advance(now);
  }
  std::erase_if(mSessions,
                [](const auto& aPair) { return aPair.second->Finished(); });
  std::erase_if(mRelays,
                [](const auto& aPair) { return aPair.second->Finished(); });
  UpdateHeldBytes();
  if (mContext.mStop) {
    ContinueStop(*mContext.mStop, now);
  }
}

void gateway_node::RecordProgress(time_point aNow)
{
  mDurations.ClearExpected();
  for (const auto& [connection, session] : mSessions) {
    session->RecordProgress(aNow);
  }
  for (const auto& [connection, relay] : mRelays) {
    relay->RecordProgress(aNow);
  }
}

void gateway_node::AdvanceWaiting(time_point aNow)
{
  if (mContext.mStop) {
    RecordProgress(aNow);
  }
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

void gateway_node::UpdateReachability(time_point aNow)
{
  // What arrived while the process was suspended may not be read yet.
  if (mStalls.CanJudgeSilence(aNow)) {
    mReachability.Update(mUpstreamRegistry.Size(), aNow);
    mCrashExchange.ReviewSuspected(
      mReachability.LastByteAt(),
      mReachability.IsCutOff(),
      [this](const server_run& aRun) { return RunsOn(aRun); });
  }
  const bool cutOff = mReachability.IsCutOff();
  if (std::exchange(mFleet.Self().mCutOff, cutOff) != cutOff) {
    Log(cutOff ? log_level::Warning : log_level::Info,
        cutOff ? "servers_lost" : "servers_regained",
        { Field("failed_servers", mReachability.FailedServers()),
          Field("last_byte_age_ms",
                std::chrono::duration_cast<milliseconds>(
                  aNow - mReachability.LastByteAt())
                  .count()),
          Field("open_requests", mSessions.size()) });
  }
  if (cutOff) {
    mProbe.OnTick(mUpstreamRegistry, aNow);
  } else {
    mProbe.Stop();
  }
  // If no node reaches servers, the fault is with the servers.
  const bool relaying = cutOff && mFleet.HasRelayTarget(aNow);
  if (std::exchange(mContext.mRelaying, relaying) != relaying) {
    mMetrics.SetRelaying(relaying ? 1.0 : 0.0);
    Log(log_level::Info, "relaying_changed", { Field("relaying", relaying) });
  }
}

bool gateway_node::RunsOn(const server_run& aRun) const
{
  // The end of a server breaks all connections to it.
  const server_entry* entry = mUpstreamRegistry.Find(aRun.mUpstream);
  return entry != nullptr && entry->mIncarnation == aRun.mIncarnation &&
         mPool.HasIdle(entry->mAddress);
}

void gateway_node::StartRelays()
{
  for (const auto& [connection, session] : mSessions) {
    if (session->NeedsRelay()) {
      StartRelay(*connection, *session);
    }
  }
}

void gateway_node::StartRelay(http_server_connection& aConnection,
                              gateway_session& aSession)
{
  relay_request request = aSession.TakeForRelay();
  std::vector<tcp_address> peers;
  for (const std::string& target : mFleet.RelayTargets(
         StableHash(request.mRequest.mId), mTime.Now(), request.mRegions)) {
    if (const auto address = ParseTcpAddress(target)) {
      peers.push_back(*address);
    }
  }
  auto relay = std::make_unique<request_relay>(
    mContext, aConnection, std::move(request), std::move(peers));
  if (!relay->Finished()) {
    mRelays[&aConnection] = std::move(relay);
  }
}

void gateway_node::ReportSilentServers(time_point aNow)
{
  std::set<upstream_id> servers;
  for (const observed_crash& crash : mUnanswered.TakeSilent(
         mUpstreamRegistry, mUpstreamTable.LastContact(), aNow)) {
    if (mReachability.IsCutOff() ||
        crash.mObservedAt <= mReachability.LastCutOffAt()) {
      continue;
    }
    Log(log_level::Info,
        "server_silent",
        { Field("fingerprint", FormatWide(crash.mRequest.mContent)),
          Field("server_run", FormatServerRun(crash.mServer)) });
    mCrashExchange.Suspect(crash);
    servers.insert(crash.mServer.mUpstream);
  }
  for (const upstream_id& server : servers) {
    mUpstreamRegistry.OnFailure(server, aNow);
  }
}

void gateway_node::UpdateRateLimits(const std::vector<std::string>& aPeers,
                                    time_point aNow)
{
  server_rate_limits& limits = mUpstreamRegistry.RateLimits();
  limits.AddPossibleNodes(mFleet.KnownAddresses(), aNow);
  limits.SetNodes(mFleet.Self().mAddress, aPeers, aNow);
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

void gateway_node::LogColdServers(time_point aNow)
{
  const server_rate_limits& limits = mUpstreamRegistry.RateLimits();
  for (const upstream_id& server : mUpstreamRegistry.TakeNewCold()) {
    const auto cold = limits.FindCold(upstream_registry::KeyOf(server));
    if (!cold) {
      continue;
    }
    Log(log_level::Info,
        "server_cold",
        { Field("server", server.mName),
          Field("cold_ms",
                std::chrono::duration_cast<milliseconds>(cold->mUntil - aNow)
                  .count()),
          Field("per_second", cold->mRequestsPerSecond),
          Field("own_per_second",
                fmt::format("{:.3f}", limits.OwnRate(cold->mServer))) });
  }
}

void gateway_node::OnProbeResponse(const probe_target& aTarget,
                                   const http_client_response& aResponse)
{
  const time_point now = mTime.Now();
  mReachability.OnByte(now);
  const upstream_answer answer = mCodec.ReadAnswer(aResponse);
  if (answer.mColdTimeLeft && !answer.mMisdirected) {
    mUpstreamRegistry.OnColdStated(
      aTarget.mServer, aTarget.mIncarnation, *answer.mColdTimeLeft, now);
  }
}

void gateway_node::OnFleetTick()
{
  const time_point now = mTime.Now();
  mStalls.OnTick(now);
  UpdateLinkOverload(now);
  UpdateHostLoad(now);
  EndSlowReaders(now);
  EndOverdueRequests(now);
  if (mStalls.CanJudgeSilence(now)) {
    for (const upstream_id& server :
         mUpstreamRegistry.SilentFor(kSilenceTime, now)) {
      mReachability.OnSilence(server, now);
    }
    ReportSilentServers(now);
  }
  const bool ready = Ready();
  if (std::exchange(mFleet.Self().mReady, ready) != ready) {
    Log(log_level::Info, "readiness_changed", { Field("ready", ready) });
  }
  mFleet.Self().mConfigAge = AgeOf(mConfigTable, now);
  mFleet.Self().mServersAge = AgeOf(mUpstreamTable, now);
  mFleet.Self().mWork = mUpstreamRegistry.LocalWork();
  mFleet.Self().mFreeTokens = mTokenAllowance.AllFreeTokens(now);
  StateStoreContact(now);
  mTokenAllowance.SetHolders(mFleet.TokenHolders(now));
  mTokenAllowance.SetPeerContacts(mFleet.StoreContacts(now));
  ReviewFleetOfEra(now);
  mAllowanceWriter.RecoverClaims(mFleet.LostPeers(now), now);
  mMetrics.SetEarlierTokens(mAllowanceWriter.EarlierRun().mTakenOver,
                            mAllowanceWriter.EarlierRun().mLost);
  const auto peers = mFleet.LivePeerAddresses(now);
  UpdateRateLimits(peers, now);
  LogColdServers(now);
  mFleet.Self().mPauses = TimesLeft(mUpstreamRegistry.Pauses(now), now);
  mUpstreamRegistry.SetNodes(mFleet.LiveNodeCount(now));
  UpdateEndpoints(now);
  mStreamOrigins.SetPeers(peers, now);
  mSegmentCrashes.SetNodes(mFleet.Self().mAddress, peers);
  mPeerTransport.SendReports();
  mUpstreamRegistry.SetPeerWork(mFleet.PeerWork(now));
  UpdateServerEstimates(now);
  UpdateAdmission(now);
  if (mTokenAllowance.KnowsFleet(now)) {
    mTokenAllowance.SetNodes(mFleet.LiveNodeCount(now));
  }
  RefreshStateFromPeers(now);
}

void gateway_node::StateStoreContact(time_point aNow)
{
  const bool claimLost = mTokenAllowance.IsStoreLost(aNow);
  const bool tableLost = mConfigTable.StoreUnreachable();
  const store_contact contact =
    mContactRecord.State(claimLost || tableLost, mStore.Clock());
  const store_contact before =
    std::exchange(mFleet.Self().mStoreContact, contact);
  if (before.IsLost() != contact.IsLost()) {
    Log(log_level::Info,
        "store_contact_changed",
        { Field("lost", contact.IsLost()),
          Field("claim", claimLost),
          Field("config_table", tableLost) });
  }
}

void gateway_node::ReviewFleetOfEra(time_point aNow)
{
  const auto live = mFleet.LiveRuns(aNow);
  for (const auto& [address, run] : live) {
    mRecentRuns[{ address, run }] = aNow;
  }
  std::erase_if(mRecentRuns, [aNow](const auto& aPair) {
    return aNow > aPair.second + kMaxStoreCopyAge;
  });
  const std::uint64_t era = mStore.Era();
  const std::uint64_t previous = std::exchange(mStoreEra, era);
  if (era != previous && previous != 0) {
    mMetrics.OnStoreRestored();
    mRunsBeforeEra.clear();
    for (const auto& [run, lastSeenAt] : mRecentRuns) {
      mRunsBeforeEra.push_back(run);
    }
  }
  // A run that has not reported here is known by its address alone.
  mTokenAllowance.SetFleetWhole(
    std::ranges::all_of(mRunsBeforeEra, [&live](const auto& aRun) {
      const auto found = live.find(aRun.first);
      return found != live.end() &&
             (aRun.second == 0 || found->second == aRun.second);
    }));
}

void gateway_node::RefreshStateFromPeers(time_point aNow)
{
  const bool stateMissing =
    !mContext.mRoutes ||
    (!mUpstreamTable.IsLoaded() && mUpstreamRegistry.Size() == 0);
  const bool stateOld =
    aNow > OldestStateAt() + std::chrono::duration_cast<milliseconds>(
                               mMaxStateAge * kRefreshAgeShare);
  if (!stateMissing && (!stateOld || aNow < mNextSnapshotAt)) {
    return;
  }
  const auto peerCurrentAt = std::min(mFleet.PeerConfigCurrentAt(aNow),
                                      mFleet.PeerServersCurrentAt(aNow));
  const bool peersAreCurrent =
    peerCurrentAt && aNow <= *peerCurrentAt + mMaxStateAge;
  mNextSnapshotAt =
    aNow + (peersAreCurrent ? kRefreshInterval : kSnapshotInterval);
  mPeerTransport.FetchSnapshot(
    stateMissing ? time_point() : OldestStateAt(),
    [this](const state_snapshot& aSnapshot) { ApplySnapshot(aSnapshot); });
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
  mUnusableEntries.OnTick(now);
  if (mUpstreamTable.IsLoaded() || mUpstreamRegistry.Size() > 0) {
    mEvacuationRows.LogUnknownZones(mSettings.mZone);
  }
  for (const auto& [service, software] : mUpstreamRegistry.Software()) {
    mStreamOrigins.OnServer(service, software, now);
  }
  mStreamOrigins.OnTick(mUpstreamTable.LastContact(), now);
  mDurations.Expire(now);
  mPool.Expire(now);
  mClientListener->CheckDeadlines(now);
  mReadiness->CheckDeadlines(now);
  mDirectory->CheckDeadlines(now);
  if (mMetricsListener) {
    mMetricsListener->CheckDeadlines(now);
  }
  mPeerTransport.CheckDeadlines(now);
  mMetrics.SetLinkWait(
    std::chrono::duration<double>(mLinkQueue.LeavesAt(0, now) - now).count());
  mMetrics.SetCallbackFailures(static_cast<double>(CallbackFailures()));
  for (const held_kind kind : kHeldKinds) {
    mMetrics.SetHeldBytes(HeldKindName(kind),
                          static_cast<double>(mHeld.Of(kind)));
  }
  mMetrics.SetUnreadClients(static_cast<double>(mSlowReaders.UnreadCount()));
  mMetrics.SetOpenRequests(static_cast<double>(mSessions.size()));
  mMetrics.SetLiveNodes(static_cast<double>(mFleet.LiveNodeCount(now)));
  mMetrics.SetOpenedConnections(static_cast<double>(mPool.Opened()));
  mMetrics.SetRateLimitedServers(
    static_cast<double>(mUpstreamRegistry.RateLimits().LimitedCount()));
  mMetrics.SetColdServers(
    static_cast<double>(mUpstreamRegistry.RateLimits().ColdCount(now)));
  mMetrics.SetStoreAge(
    std::chrono::duration<double>(now - OldestStateAt()).count());
}

void gateway_node::Stop()
{
  if (mContext.mStop) {
    return;
  }
  const time_point now = mTime.Now();
  // The process is killed by the time of the signal, which may have come while
  // the loop did not run.
  const stop_schedule schedule = ScheduleStop(
    mStalls.EarliestEventAt(now), mSettings.mGracePeriod, kAddressHoldTime);
  mContext.mStop = schedule;
  RecordProgress(now);
  mFleet.Self().mLeaving = true;
  mFleet.Self().mReady = false;
  mPeerTransport.SendReports();
  mClientListener->SetCloseAfterResponse();
  Log(log_level::Info,
      "stop_began",
      { Field("open_requests", mSessions.size()),
        Field("relayed_requests", mRelays.size()),
        Field("grace_ms", mSettings.mGracePeriod.count()),
        Field("refuses_after_ms", MsBetween(now, schedule.mRefusesFrom)),
        Field("ends_after_ms", MsBetween(now, schedule.mEndsAt)) });
}

void gateway_node::ContinueStop(const stop_schedule& aSchedule, time_point aNow)
{
  if (mStopped || aNow < aSchedule.mRefusesFrom) {
    return;
  }
  if (!std::exchange(mRefusing, true)) {
    mClientListener->CloseIdle();
    mTokenAllowance.ReturnAll();
  }
  const bool closes =
    IsIdle() || aNow + kLastRequestTimeout >= aSchedule.mEndsAt;
  if (closes && !mLastRequestsUntil) {
    std::string error;
    mClientListener->SetAccepting(false, error);
    mLastRequestsUntil = aNow + kLastRequestTimeout;
  }
  const bool done = mLastRequestsUntil && aNow >= *mLastRequestsUntil &&
                    IsIdle() && !mClientListener->HasWork();
  if (!done && aNow < aSchedule.mEndsAt) {
    return;
  }
  mStopped = true;
  Log(log_level::Info,
      "gateway_stopped",
      { Field("open_requests", mSessions.size()),
        Field("relayed_requests", mRelays.size()),
        Field("unsent_responses", mClientListener->HasWork()),
        Field("stop_ms", MsBetween(aSchedule.mBeganAt, aNow)) });
  for (const auto& [connection, session] : mSessions) {
    session->EndAtStop();
  }
  for (const auto& [connection, relay] : mRelays) {
    relay->EndAtStop();
  }
  mOnStopped();
}

bool gateway_node::IsIdle() const
{
  return mSessions.empty() && mRelays.empty() &&
         !mTokenAllowance.HasPendingChanges();
}
