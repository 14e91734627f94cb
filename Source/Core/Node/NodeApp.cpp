#include "Node/NodeApp.h"

#include <algorithm>
#include <random>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Node/AdminApi.h"
#include "Node/ChatAdmission.h"
#include "Node/ChatReply.h"
#include "Node/NodeSetup.h"
#include "Node/NodeStatus.h"
#include "Remote/HttpHostList.h"
#include "Remote/HttpTableService.h"

namespace {

using std::chrono::milliseconds;

// Deadlines of waiting requests are checked this often; events trigger a tick
// earlier.
constexpr milliseconds kFastTickInterval(20);
constexpr milliseconds kSlowTickInterval(250);

std::uint64_t RandomSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// The configured address, or the listener's actual address when the
/// configured port is 0.
std::string AdvertisedAddress(const socket_address& aAdvertised,
                              const std::string& aListening)
{
  return aAdvertised.mPort == 0 ? aListening : FormatSocketAddress(aAdvertised);
}

} // namespace

result<std::unique_ptr<node_app>, node_start_error> node_app::Start(
  const node_settings& aSettings,
  std::function<void()> aOnStopped)
{
  std::unique_ptr<node_app> app(new node_app(aSettings, std::move(aOnStopped)));
  const auto listening = app->Listen();
  if (!listening) {
    return listening.error();
  }
  app->CreateSystems();
  app->AddRoutes();
  app->mFastTimer.Every(kFastTickInterval,
                        [self = app.get()] { self->TickFast(); });
  app->mSlowTimer.Every(kSlowTickInterval,
                        [self = app.get()] { self->TickSlow(); });
  app->Wake();
  Log(log_level::Info,
      "node_started",
      { Field("node", aSettings.mName.mName),
        Field("zone", aSettings.mZone.mName),
        Field("http", app->HttpAddress()),
        Field("peer", app->mPeerServer->Address()) });
  return app;
}

node_app::node_app(const node_settings& aSettings,
                   std::function<void()> aOnStopped)
  : mSettings(aSettings)
  , mOnStopped(std::move(aOnStopped))
  , mSeed(RandomSeed())
  , mIncarnation(NewIncarnation(mTime))
  , mServer({ aSettings.mLimits.mBodyBytes,
              aSettings.mLimits.mHeaderBytes,
              aSettings.mLimits.mBodyTimeout })
  , mTracer(aSettings.mTrace.mSampling, mSeed)
  , mDispatch(dispatch_settings{})
{
}

node_app::~node_app() = default;

result<void, node_start_error> node_app::Listen()
{
  const auto http =
    mServer.Listen(FormatSocketAddress(mSettings.mListen.mHttp));
  if (!http) {
    return node_start_error{ fmt::format(
      "listen.http {}: {}", http.error().mAddress, http.error().mMessage) };
  }
  mPeerBridge = std::make_unique<peer_bridge>();
  peer_server_settings settings;
  settings.mSelf = mSettings.mName;
  settings.mAddress = FormatSocketAddress(mSettings.mListen.mPeer);
  auto peer =
    peer_server::Listen(settings, MakePeerKeys(mSettings), *mPeerBridge);
  if (!peer) {
    return node_start_error{ fmt::format(
      "listen.peer {}: cannot listen: not an IP "
      "address and port of this host, or the port is in use",
      settings.mAddress) };
  }
  mPeerServer = std::move(peer.value());
  return success();
}

void node_app::CreateSystems()
{
  mTable = std::make_unique<http_table_service>(
    mClient, ParsePlatformEndpoint(mSettings.mPlatform.mTable));
  mHostList = std::make_unique<http_host_list>(
    mClient, ParsePlatformEndpoint(mSettings.mPlatform.mHosts));
  mTableDriver =
    std::make_unique<table_driver>(*mTable, mTime, [this] { Wake(); });

  config_follower_options follower;
  follower.mPollInterval = mSettings.mTiming.mConfigPollInterval;
  follower.mSeed = StableHash(mSettings.mName.mName);
  mConfig = std::make_shared<config_follower>(follower);

  peer_client_settings client;
  client.mSelf = mSettings.mName;
  mPeerClient = std::make_unique<peer_client>(client, MakePeerKeys(mSettings));

  endpoint_settings endpoints;
  endpoints.mTimeToLive = std::chrono::ceil<std::chrono::seconds>(
    mSettings.mTiming.mEndpointCacheTtl);
  mSelector = endpoint_selector(endpoints);

  CreateIncarnationSystems();
  mServiceCalls = std::make_shared<service_call_system>(
    incarnation_id{ mSettings.mName, mIncarnation }, service_call_settings{});
  mCallSweep = std::make_shared<call_sweep_system>(
    incarnation_id{ mSettings.mName, mIncarnation }, call_sweep_settings{});
  mChat = std::make_unique<chat_system>(chat_context{ mBudget.get(),
                                                      &mDispatch,
                                                      &mClient,
                                                      &mMetrics,
                                                      &mTracer,
                                                      &mTime,
                                                      [this] { Wake(); } },
                                        mSettings.mLimits.mMaxOpenStreams,
                                        mSeed + 1);
  mServiceProxy = std::make_unique<service_proxy>(service_context{
    mServiceCalls.get(), &mClient, &mMetrics, &mTracer, &mTime, [this] {
      Wake();
    } });
  mUpstreamWatch =
    std::make_unique<upstream_watch>(*mHostList, mClient, mTime, *this);
  mHolderSweep = std::make_unique<holder_sweep>(
    *mTable, mTime, [this](const incarnation_id& aHolder) {
      if (aHolder.mNode != mSettings.mName) {
        HandleDeadRun(aHolder);
      }
    });
  mAdminApi = std::make_unique<admin_api>(*this);
}

/// Creates the systems that are bound to the current incarnation.
void node_app::CreateIncarnationSystems()
{
  const incarnation_id self{ mSettings.mName, mIncarnation };
  mBudget = std::make_shared<budget_system>(self, budget_settings{}, mSeed + 2);
  mBackup = std::make_shared<charge_backup>(self, budget_settings{}, mSeed + 3);
  local_member member;
  member.mId = mSettings.mName;
  member.mIncarnation = mIncarnation;
  member.mDescriptor = {
    mSettings.mZone,
    mSettings.mRegion,
    AdvertisedAddress(mSettings.mListen.mAdvertisedHttp, mServer.Address()),
    AdvertisedAddress(mSettings.mListen.mAdvertisedPeer, mPeerServer->Address())
  };
  mMembership = std::make_unique<membership_system>(
    member, membership_settings{}, mSeed + 4);
  mMembersVersion = 0;
  ConnectPeers();
}

void node_app::ConnectPeers()
{
  mPeerBridge->Connect({ mMembership.get(),
                         mBackup.get(),
                         &mDispatch,
                         mConfig.get(),
                         mPeerClient.get(),
                         &mTime,
                         [this] { Wake(); } });
}

void node_app::AddRoutes()
{
  mServer.Route(
    "/v1/chat/completions", [this](const http_server_exchange_ptr& aExchange) {
      if (aExchange->Method() != "POST") {
        ReplyRequestError(*aExchange, MethodNotAllowedError("POST"));
        return;
      }
      mChat->Accept(aExchange);
    });
  mServer.Route("/v1/services",
                [this](const http_server_exchange_ptr& aExchange) {
                  mServiceProxy->Accept(aExchange);
                });
  mServer.Route("/v1/endpoints",
                [this](const http_server_exchange_ptr& aExchange) {
                  ServeEndpoints(*aExchange);
                });
  mServer.Route("/metrics", [this](const http_server_exchange_ptr& aExchange) {
    UpdateNodeMetrics(*this, mMetrics);
    aExchange->Reply(
      SOUP_STATUS_OK, "text/plain; version=0.0.4", mMetrics.Render());
  });
  mServer.Route("/healthz", [](const http_server_exchange_ptr& aExchange) {
    aExchange->Reply(SOUP_STATUS_OK, "text/plain", "ok\n");
  });
  mServer.Route("/readyz", [this](const http_server_exchange_ptr& aExchange) {
    ServeReadiness(*aExchange);
  });
  mServer.Route("/traces", [this](const http_server_exchange_ptr& aExchange) {
    aExchange->Reply(SOUP_STATUS_OK, "application/x-ndjson", mTracer.Dump());
  });
  mServer.Route("/admin/v1", [this](const http_server_exchange_ptr& aExchange) {
    mAdminApi->Accept(aExchange);
  });
}

void node_app::Wake()
{
  if (std::exchange(mWakePending, true)) {
    return;
  }
  mWakeTimer.Once(milliseconds(0), [this] {
    mWakePending = false;
    TickFast();
  });
}

void node_app::TickFast()
{
  if (mPhase == node_phase::Stopped) {
    return;
  }
  const time_point now = mTime.Now();
  TickBudget(now);
  mPeerBridge->BroadcastQuarantine(mChat->Tick(now));
  mUpstreamWatch->Tick(now);
  service_call_output calls = mServiceCalls->Tick(now, mTime.WallNow());
  mTableDriver->Run(mServiceCalls, calls);
  mServiceProxy->Apply(calls);
  CheckHolderFenced();
}

void node_app::TickBudget(time_point aNow)
{
  budget_output holderOutput = mBudget->Tick(aNow);
  mPeerBridge->SendChargeMessages(mBudget, holderOutput);
  mTableDriver->Run(mBudget, holderOutput);
  mChat->OnBudgetsChanged(holderOutput.mChanged);
  budget_output backup = mBackup->Tick(aNow);
  mTableDriver->Run(mBackup, backup);
  for (const auto& retired : mRetiredBackups) {
    budget_output output = retired->Tick(aNow);
    mTableDriver->Run(retired, output);
  }
  std::erase_if(mRetiredBackups,
                [](const auto& aBackup) { return aBackup->IsDrained(); });
}

void node_app::TickSlow()
{
  if (mPhase == node_phase::Stopped) {
    return;
  }
  const time_point now = mTime.Now();
  TickConfig(now);
  TickMembership(now);
  mAdminApi->Tick(now);
  TickCallSweep(now);
  if (mPhase != node_phase::Starting) {
    mHolderSweep->Tick(now);
  }
  if (mPhase == node_phase::Starting && mConfig->Ready() && mHostListReceived) {
    SetPhase(node_phase::Serving);
  }
  TickShutdown(now);
}

void node_app::TickConfig(time_point aNow)
{
  mTableDriver->Run(mConfig, mConfig->Tick(aNow));
  if (mConfig->Ready() && mConfig->Current().mVersion != mAppliedVersion) {
    ApplyDocument();
  }
}

void node_app::ApplyDocument()
{
  const config_snapshot& snapshot = mConfig->Current();
  mAppliedVersion = snapshot.mVersion;
  mMembership->SetConfigVersion(snapshot.mVersion);
  mChat->ApplyDocument(snapshot.mDocument);
  mServiceProxy->ApplyDocument(snapshot.mDocument);
  mDispatch.ApplySettings(MakeDispatchSettings(
    mSettings, snapshot.mDocument->Capacity(), FleetSize()));
  Log(log_level::Info,
      "config_applied",
      { Field("node", mSettings.mName.mName),
        Field("version", snapshot.mVersion) });
}

void node_app::RefreshConfig()
{
  mConfig->PollNow(mTime.Now());
}

void node_app::TickMembership(time_point aNow)
{
  mPeerBridge->SendHeartbeats(mMembership->Tick(aNow));
  HandleMemberEvents();
  if (mMembership->Version() != mMembersVersion) {
    ApplyMembers();
  }
}

void node_app::HandleMemberEvents()
{
  for (const member_event& event : mMembership->TakeEvents()) {
    const std::string run = FormatIncarnation(event.mRun);
    switch (event.mKind) {
      case member_event_kind::Joined:
        Log(log_level::Info, "member_joined", { Field("member", run) });
        break;
      case member_event_kind::Returned:
        Log(log_level::Info, "member_returned", { Field("member", run) });
        break;
      case member_event_kind::Leaving:
        Log(log_level::Info, "member_leaving", { Field("member", run) });
        break;
      case member_event_kind::Dead:
        if (event.mRun.mNode == mSettings.mName) {
          StopReplacedRun(event.mRun);
          return;
        }
        Log(log_level::Warning, "member_dead", { Field("member", run) });
        HandleDeadRun(event.mRun);
        break;
    }
  }
}

/// Chooses live peers in other availability zones as charge backups, and one in
/// this zone for when the other zones cannot be reached.
std::vector<incarnation_id> node_app::ChooseBackups(
  const std::vector<member>& aMembers) const
{
  std::vector<member> candidates = mSelector.BackupCandidates(mSettings.mName);
  for (const member& member : aMembers) {
    const bool sameZone = member.mId != mSettings.mName &&
                          member.mDescriptor.mZone == mSettings.mZone &&
                          member.mState == member_state::Alive;
    if (sameZone) {
      candidates.push_back(member);
      break;
    }
  }
  std::vector<incarnation_id> backups;
  for (const member& candidate : candidates) {
    // Incarnation 0 marks a node that has not sent a heartbeat yet.
    if (candidate.mIncarnation != 0 &&
        candidate.mState == member_state::Alive) {
      backups.push_back({ candidate.mId, candidate.mIncarnation });
    }
  }
  return backups;
}

void node_app::ApplyMembers()
{
  mMembersVersion = mMembership->Version();
  const std::vector<member> members = mMembership->Members();
  mPeerBridge->SetMembers(members, mSettings.mName);
  mSelector.SetMembers(members);
  mHolderSweep->SetMembers(members);
  mUpstreamWatch->SetNodeCount(members.size());
  mBudget->SetBackups(ChooseBackups(members));
  if (mConfig->Ready()) {
    mDispatch.ApplySettings(MakeDispatchSettings(
      mSettings, mConfig->Current().mDocument->Capacity(), FleetSize()));
  }
}

fleet_size node_app::FleetSize() const
{
  return { mMembership->Members().size(), mEngineCount };
}

void node_app::OnHosts(const host_list_snapshot& aListing)
{
  const time_point now = mTime.Now();
  mHostListReceived = true;
  mMembership->OnHostList(aListing, now);
  hosts_by_role tables = GroupHostsByRole(aListing);
  mEngineCount = tables.mUpstreams.size();
  mDispatch.SetUpstreams(tables.mUpstreams, now);
  mUpstreamWatch->SetEngines(tables.mEngineAddresses);
  mChat->SetUpstreamAddresses(std::move(tables.mEngineAddresses));
  mServiceProxy->SetHosts(std::move(tables.mServiceHosts));
  Wake();
}

void node_app::OnLoad(const upstream_id& aUpstream, const load_report& aReport)
{
  mDispatch.OnLoadReport(aUpstream, aReport, mTime.Now());
}

void node_app::OnCache(const upstream_id& aUpstream,
                       const cache_events& aEvents)
{
  mDispatch.OnCacheEvents(aUpstream, aEvents, mTime.Now());
}

/// Deletes rows of finished service calls. Only the first live member does
/// this; two at once do no harm, so no coordination is needed.
void node_app::TickCallSweep(time_point aNow)
{
  if (Ready() && IsCallSweeper()) {
    mTableDriver->Run(mCallSweep, mCallSweep->Tick(aNow, mTime.WallNow()));
  }
}

bool node_app::IsCallSweeper() const
{
  for (const member& member : mMembership->Members()) {
    if (member.mState == member_state::Alive) {
      return member.mId == mSettings.mName;
    }
  }
  return true;
}

void node_app::ServeEndpoints(http_server_exchange& aExchange)
{
  const auto document = mConfig->Current().mDocument;
  if (!mConfig->Ready()) {
    ReplyRequestError(aExchange, StartingError());
    return;
  }
  const auto account =
    Authenticate(*document, aExchange.Header("Authorization"));
  if (!account) {
    ReplyRequestError(aExchange, account.error());
    return;
  }
  endpoint_query query;
  query.mAccount = account.value()->mId;
  const std::string zone = aExchange.Query("zone");
  if (!zone.empty()) {
    query.mZone = zone_id{ zone };
  }
  aExchange.ReplyJson(SOUP_STATUS_OK, FormatEndpoints(mSelector.Select(query)));
}

void node_app::ServeReadiness(http_server_exchange& aExchange)
{
  const unsigned status =
    Ready() ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE;
  aExchange.Reply(
    status, "text/plain", fmt::format("{}\n", NodePhaseName(mPhase)));
}
