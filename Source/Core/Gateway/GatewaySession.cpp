#include "Gateway/GatewaySession.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Net/HttpStatus.h"

namespace {

using std::chrono::milliseconds;

// Longest wait for prepaid tokens that are being fetched: two transactions of a
// store that is not slowed down.
constexpr milliseconds kTokenWaitTimeout(150);
// Retry-After of a refusal for lack of tokens: the time until a grant is
// likely.
constexpr milliseconds kTokenRetryDelay(2000);
// Longest wait for a reply of the store or of a peer while the state is too old
// to act on. A process that was paused has recent state again within a few ms.
constexpr milliseconds kStateWaitTimeout(100);
constexpr milliseconds kBlockedRetryDelay(5000);
// Retry-After of a resumption whose software version has no server left. Its
// servers do not come back within the time of a stream.
constexpr milliseconds kVersionGoneRetryDelay(5000);
// Retry-After while another copy of a suspect is in progress: the time in which
// a silent server is noticed.
constexpr milliseconds kSuspectRetryDelay(2000);

constexpr unsigned kClientClosedRequest = 499;

// Segments of a prompt that are watched for crashes. Clients choose their
// number.
constexpr std::size_t kMaxWatchedSegments = 32;

/// Identities of all segments but the last one, which belongs to the request
/// alone.
std::vector<segment_id> SharedSegments(
  const std::vector<prompt_segment>& aPrompt)
{
  std::vector<segment_id> segments;
  for (std::size_t i = 0;
       i + 1 < aPrompt.size() && segments.size() < kMaxWatchedSegments;
       ++i) {
    const segment_id segment = MakeSegmentId(aPrompt[i].mId);
    if (std::ranges::find(segments, segment) == segments.end()) {
      segments.push_back(segment);
    }
  }
  return segments;
}

} // namespace

gateway_session::gateway_session(gateway_context& aContext,
                                 http_server_connection& aClient,
                                 gateway_request aRequest)
  : mContext(aContext)
  , mClient(&aClient)
  , mRequest(std::move(aRequest))
  , mRoutes(aContext.mRoutes)
  , mArrived(aContext.mTime.Now())
{
  mRouteDeadline = mArrived;
  mDeadline = mArrived;
  mContext.mBodyBytes += mRequest.mBody.size();
  Begin();
}

gateway_session::~gateway_session()
{
  mContext.mBodyBytes -= mRequest.mBody.size();
  if (mConnection) {
    mConnection->Cancel();
  }
}

void gateway_session::Begin()
{
  if (!mRoutes || mContext.mRefusingRequests) {
    Refuse(mRoutes ? "node_leaving" : "no_configuration", kRefusalRetryDelay);
    return;
  }
  if (mContext.mBodyBytes > mContext.mMaxBodyBytes) {
    Refuse("memory_full", kRefusalRetryDelay);
    return;
  }
  if (mContext.mState == state_verdict::Outdated) {
    mStage = stage::NeedState;
    return;
  }
  mRoute = mRoutes->FindRoute(mRequest.mHost, mRequest.mPath);
  if (mRoute == nullptr) {
    if (mContext.mConfigMayBeStale) {
      Refuse("route_unknown_to_old_configuration", kRefusalRetryDelay);
    } else {
      Answer(http_status::kNotFound, "no_route", std::nullopt);
    }
    return;
  }
  if (mRoutes->HasAccounts() && !mRoute->mPublic) {
    mAccount = mRoutes->FindAccount(mRequest.mKey);
    if (mAccount == nullptr) {
      if (mContext.mConfigMayBeStale) {
        Refuse("key_unknown_to_old_configuration", kRefusalRetryDelay);
      } else {
        Answer(http_status::kUnauthorized, "unknown_key", std::nullopt);
      }
      return;
    }
  }
  mRouteDeadline = mArrived + mRoute->mTimeout;
  mDeadline =
    std::min(mRouteDeadline, mRequest.mDeadline.value_or(mRouteDeadline));
  mPriority = mAccount != nullptr && mAccount->mPriority ? *mAccount->mPriority
                                                         : mRoute->mPriority;
  if (CanBeRelayed()) {
    mStage = stage::NeedRelay;
    return;
  }
  mService = ChooseService(*mRoute, mRequest.mId);
  mContext.mRetries.OnRequest(mService.mName, mArrived);
  const std::string account =
    mAccount == nullptr ? std::string() : mAccount->mName.mName;
  mFingerprint = { MakeContentId(account_id{ account + mRequest.mTarget },
                                 mRequest.mBody),
                   SharedSegments(mRequest.mPrompt) };
  if (EndIfSuspect(mArrived)) {
    return;
  }
  if (IsResumption()) {
    mStage = stage::NeedOrigin;
  }
  Advance(mArrived);
}

bool gateway_session::IsResumption() const
{
  return mRoute->mKind == request_kind::Streaming &&
         (!mRequest.mLastEventId.empty() ||
          !mRequest.mResumedRequestId.empty());
}

void gateway_session::Advance(time_point aNow)
{
  if (mStage == stage::NeedState) {
    AdvanceState(aNow);
    return;
  }
  if (mStage == stage::NeedOrigin) {
    AdvanceOrigin(aNow);
  }
  if (mStage == stage::NeedTokens) {
    AdvanceTokens(aNow);
  }
  if (mStage == stage::NeedServer) {
    AdvanceServer(aNow);
  }
  if (mStage == stage::Sent) {
    AdvanceSent(aNow);
  }
}

void gateway_session::AdvanceState(time_point aNow)
{
  if (HasRecentState(aNow)) {
    mRoutes = mContext.mRoutes;
    mStage = stage::NeedTokens;
    Begin();
  }
}

bool gateway_session::HasRecentState(time_point aNow)
{
  if (mContext.mState != state_verdict::Outdated) {
    mStateWaitUntil.reset();
    return true;
  }
  if (!mStateWaitUntil) {
    mStateWaitUntil = aNow + kStateWaitTimeout;
  }
  if (aNow >= *mStateWaitUntil) {
    SendClientElsewhere();
    EndUnsent("state_outdated", kRefusalRetryDelay);
  }
  return false;
}

void gateway_session::AdvanceOrigin(time_point aNow)
{
  std::vector<service_id> services;
  for (const service_share& share : mRoute->mServices) {
    services.push_back(share.mService);
  }
  const stream_lookup found = mContext.mStreamOrigins.Lookup(
    StreamKey(mRequest.mResumedRequestId), services, mArrived, aNow);
  if (found.mState == stream_lookup::state::Pending) {
    return;
  }
  if (found.mState == stream_lookup::state::Unknown) {
    mContext.mMetrics.OnStreamResumption("unknown");
    Refuse("stream_version_unknown", kRefusalRetryDelay);
    return;
  }
  const auto service =
    std::ranges::find_if(services, [&](const service_id& aService) {
      return mContext.mUpstreamRegistry.HasUsable(
        aService, aNow, found.mSoftware);
    });
  if (service == services.end()) {
    mContext.mMetrics.OnStreamResumption("version_gone");
    Refuse("stream_version_gone", kVersionGoneRetryDelay);
    return;
  }
  mContext.mMetrics.OnStreamResumption(found.mSource);
  mService = *service;
  mPinnedSoftware = found.mSoftware;
  mStage = stage::NeedTokens;
}

void gateway_session::PinStream(time_point aNow)
{
  if (mPinnedSoftware) {
    return;
  }
  mPinnedSoftware = SoftwareKey(mService, mSoftware);
  mContext.mStreamOrigins.Record(
    StreamKey(mRequest.mId), mService, *mPinnedSoftware, aNow);
}

void gateway_session::AdvanceTokens(time_point aNow)
{
  const std::int64_t need = mRequest.mPromptTokens + mRequest.mMaxOutputTokens;
  if (mAccount == nullptr || !mAccount->mPrepaidTokens || need == 0) {
    mStage = stage::NeedServer;
    return;
  }
  const reserve_verdict verdict =
    mContext.mTokenAllowance.Reserve(mAccount->mName, need, aNow);
  if (verdict == reserve_verdict::Granted) {
    mReserved = need;
    mStage = stage::NeedServer;
  } else if (need > *mAccount->mPrepaidTokens) {
    Answer(http_status::kPaymentRequired, "larger_than_prepaid", std::nullopt);
  } else if (verdict == reserve_verdict::Exhausted ||
             aNow >= mArrived + kTokenWaitTimeout) {
    if (verdict == reserve_verdict::Awaiting) {
      mContext.mTokenAllowance.OnUnmetDemand(mAccount->mName, need, aNow);
    }
    Refuse(verdict == reserve_verdict::Exhausted ? "prepaid_exhausted"
                                                 : "prepaid_unavailable",
           kTokenRetryDelay);
  }
}

placement_query gateway_session::Query() const
{
  placement_query query;
  query.mService = mService;
  query.mSoftware = mPinnedSoftware;
  query.mZone = mContext.mSettings.mZone;
  query.mPromptTokens = mRequest.mPromptTokens;
  query.mOutputTokens = mRequest.mMaxOutputTokens;
  query.mPrompt = mRequest.mPrompt.empty() ? nullptr : &mRequest.mPrompt;
  query.mExcluded = mTriedUpstreams;
  return query;
}

admission_query gateway_session::AdmissionQuery() const
{
  admission_query query;
  query.mArrived = mArrived;
  query.mDeadline = mDeadline;
  query.mObjective = mRoute == nullptr ? milliseconds(0) : mRoute->mObjective;
  return query;
}

bool gateway_session::EndIfSuspect(time_point aNow)
{
  const auto& [content, segments] = mFingerprint;
  if (mContext.mCrashes.Blocked(content, aNow)) {
    EndUnsent("request_crashes_servers", kBlockedRetryDelay);
    return true;
  }
  const segment_judgement judgement =
    mContext.mSegmentCrashes.Judge(segments, aNow);
  mSegmentVerdict = judgement.mVerdict;
  if (mSegmentVerdict == segment_verdict::Refuse) {
    EndUnsent("prompt_crashes_servers", kBlockedRetryDelay);
    return true;
  }
  if ((mContext.mCrashes.IsLastAttempt(content, aNow) &&
       mContext.mUnanswered.Contains(content)) ||
      mContext.mUnanswered.ContainsAny(judgement.mSuspects)) {
    EndUnsent("suspect_in_progress", kSuspectRetryDelay);
    return true;
  }
  return false;
}

void gateway_session::EndUnsent(const char* aReason, milliseconds aRetryAfter)
{
  if (mMayHaveRun) {
    Fail(http_status::kBadGateway, aReason);
  } else {
    Refuse(aReason, aRetryAfter);
  }
}

std::optional<placement> gateway_session::ChooseServer(time_point aNow) const
{
  placement_query query = Query();
  if (mContext.mCrashes.CrashCount(mFingerprint.mContent, aNow) > 0) {
    std::ranges::copy(mContext.mUnanswered.ServersOfSuspects(
                        mContext.mCrashes, mFingerprint.mContent, aNow),
                      std::back_inserter(query.mExcluded));
    if (auto chosen = mContext.mUpstreamRegistry.Choose(query, aNow)) {
      return chosen;
    }
  }
  return mContext.mUpstreamRegistry.Choose(Query(), aNow);
}

void gateway_session::AdvanceServer(time_point aNow)
{
  // State may have become old, or crashes known, since the request arrived or
  // was sent.
  if (!HasRecentState(aNow)) {
    return;
  }
  if (CanBeRelayed()) {
    mStage = stage::NeedRelay;
    return;
  }
  if (EndIfSuspect(aNow)) {
    return;
  }
  auto chosen = ChooseServer(aNow);
  if (!chosen && !mTriedUpstreams.empty()) {
    // No other server is left; one that failed before is better than none.
    placement_query query = Query();
    query.mExcluded.clear();
    chosen = mContext.mUpstreamRegistry.Choose(query, aNow);
  }
  admission_query query = AdmissionQuery();
  const time_point leavesAt = LeavesAt(aNow);
  const bool linkFull = leavesAt > mContext.mLatestLeavesAt;
  query.mHasPlacement = chosen && !linkFull;
  if (chosen) {
    const double linkMs =
      std::chrono::duration<double, std::milli>(leavesAt - aNow).count();
    query.mExpectedMs = chosen->mExpectedMs + linkMs;
    query.mWaitMs = chosen->mWaitMs + linkMs;
    query.mOutputMs = chosen->mOutputMs;
  } else {
    placement_query all = Query();
    all.mExcluded.clear();
    query.mLimitedUntil = mContext.mUpstreamRegistry.LimitedUntil(all, aNow);
  }
  admission_verdict verdict = Admit(query, aNow);
  if (verdict == admission_verdict::Wait &&
      !mContext.mUpstreamRegistry.HasUsable(mService, aNow, mPinnedSoftware)) {
    verdict = admission_verdict::Refuse;
  }
  if (verdict == admission_verdict::Send) {
    Send(*chosen, aNow);
  } else if (verdict == admission_verdict::Refuse) {
    const char* reason = chosen ? "too_late" : "servers_full";
    if (aNow < query.mLimitedUntil) {
      reason = "servers_limited";
    }
    if (chosen && linkFull) {
      reason = "link_full";
      SendClientElsewhere();
    }
    EndUnsent(mMayHaveRun ? "no_server_for_repeat" : reason,
              RetryAfter(query, aNow, StableHash(mRequest.mId)));
  }
}

void gateway_session::SendClientElsewhere()
{
  if (mClient != nullptr) {
    mClient->SetCloseAfterResponse();
  }
}

bool gateway_session::CanBeRelayed() const
{
  return mContext.mRelaying && !mRequest.mRelayed && !mResponseStarted &&
         (!mMayHaveRun || IsRetryable());
}

relay_request gateway_session::TakeForRelay()
{
  FinishReservation();
  mStage = stage::Finished;
  mClient = nullptr;
  mContext.mBodyBytes -= mRequest.mBody.size();
  relay_request relay{
    std::move(mRequest), mRoute->mName, mArrived, mDeadline
  };
  mRequest.mBody.clear();
  return relay;
}

void gateway_session::Cancel()
{
  mClient = nullptr;
  AbandonUpstream("client_gone");
  Finish(kClientClosedRequest, "client_gone");
}

void gateway_session::EndAtStop()
{
  if (!Finished()) {
    EndWithoutServer("node_stopped", "node_leaving");
  }
}

void gateway_session::Refuse(const char* aReason, milliseconds aRetryAfter)
{
  Answer(http_status::kServiceUnavailable, aReason, aRetryAfter);
}

void gateway_session::Fail(unsigned aStatus, const char* aReason)
{
  Answer(aStatus, aReason, std::nullopt);
}

void gateway_session::Answer(unsigned aStatus,
                             const char* aReason,
                             std::optional<milliseconds> aRetryAfter)
{
  if (mResponseStarted) {
    // A response that has begun can only be broken off.
    AbortClient(aReason);
    return;
  }
  http_server_connection* client = std::exchange(mClient, nullptr);
  http_server_response response;
  response.mStatus = aStatus;
  response.mHeaders.emplace_back("Content-Type", "application/json");
  if (aRetryAfter) {
    response.mHeaders.emplace_back(
      "Retry-After",
      fmt::format("{:.3f}",
                  std::chrono::duration<double>(*aRetryAfter).count()));
  }
  Finish(aStatus, aReason);
  client->Respond(response, fmt::format("{{\"error\":\"{}\"}}", aReason));
}

void gateway_session::AbortClient(const char* aReason)
{
  http_server_connection* client = std::exchange(mClient, nullptr);
  Finish(http_status::kBadGateway, aReason);
  client->Abort();
}

void gateway_session::Finish(unsigned aStatus, const char* aReason)
{
  if (mStage == stage::Finished) {
    return;
  }
  const std::int64_t reserved = mReserved;
  const std::int64_t used = FinishReservation();
  mStage = stage::Finished;
  const time_point now = mContext.mTime.Now();
  mContext.mMetrics.OnAnswer(
    mRoute == nullptr ? "none" : mRoute->mName, aStatus, aReason);
  Log(
    log_level::Info,
    "request_done",
    { Field("id", mRequest.mId),
      Field("route", mRoute == nullptr ? "none" : mRoute->mName),
      Field("account", mAccount == nullptr ? "" : mAccount->mName.mName),
      Field("status", aStatus),
      Field("reason", aReason),
      Field("server", mPlacement.mUpstream.mName),
      Field("software", mSoftware.mName),
      Field("attempts", mAttempts),
      Field("events", mEvents.Events()),
      Field("reserved", reserved),
      Field("used", used),
      Field("expected_ms", static_cast<int>(mPlacement.mExpectedMs)),
      Field(
        "link_ms",
        std::chrono::duration_cast<milliseconds>(mLeavesAt - mSentAt).count()),
      Field("took_ms",
            std::chrono::duration_cast<milliseconds>(now - mArrived).count()),
      Field("config", mRoutes ? mRoutes->Version() : 0),
      Field("config_age_ms",
            std::chrono::duration_cast<milliseconds>(now -
                                                     mContext.mConfigCurrentAt)
              .count()),
      Field("servers_age_ms",
            std::chrono::duration_cast<milliseconds>(now -
                                                     mContext.mServersCurrentAt)
              .count()) });
}

std::int64_t gateway_session::FinishReservation()
{
  if (mReserved == 0) {
    return 0;
  }
  std::int64_t used = 0;
  if (mMayHaveRun || mAttempts > 0) {
    // The last event may hold fewer tokens; counting it as full cannot
    // overspend.
    used =
      mRequest.mPromptTokens +
      std::min(mRequest.mMaxOutputTokens,
               static_cast<std::int64_t>(mEvents.Events()) * TokensPerEvent());
  }
  if (!mMayHaveRun && mHasResponse && mAnswer.mNotRun) {
    used = 0;
  }
  mContext.mTokenAllowance.FinishReservation(
    mAccount->mName, std::exchange(mReserved, 0), used, mContext.mTime.Now());
  return used;
}
