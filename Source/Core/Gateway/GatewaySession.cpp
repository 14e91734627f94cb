#include "Gateway/GatewaySession.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Gateway/Refusal.h"
#include "Net/HttpStatus.h"

namespace {

using std::chrono::milliseconds;

constexpr unsigned kClientClosedRequest = 499;

// Events of a stream from which on their rate tells when it ends.
constexpr std::int64_t kMinEventsForRate = 3;

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
  , mHeldShare(mContext.mHeld, held_kind::RequestBodies, RequestBytes(mRequest))
  , mRoutes(aContext.mRoutes)
  , mArrived(aContext.mTime.Now())
{
  mRouteDeadline = mArrived;
  mDeadline = mArrived;
  Begin();
}

gateway_session::~gateway_session()
{
  if (mConnection) {
    mConnection->Reset();
  }
}

void gateway_session::Begin()
{
  if (mContext.mStop && mArrived >= mContext.mStop->mRefusesFrom) {
    EndUnsentInStop(mArrived);
    return;
  }
  if (!mRoutes) {
    Refuse("no_configuration", kRefusalRetryDelay);
    return;
  }
  if (mContext.mHeld.IsFull()) {
    Refuse("memory_full", kRefusalRetryDelay);
    return;
  }
  if (!mRequest.mInvalidHeader.empty()) {
    Log(
      log_level::Info,
      "request_invalid",
      { Field("id", mRequest.mId), Field("header", mRequest.mInvalidHeader) });
    Answer(http_status::kBadRequest, "invalid_header", std::nullopt);
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
  if (IsResumption()) {
    mEvents.StartAfter(mRequest.mLastEventId);
  }
  mRegions = mContext.mHomes.Allowed(*mRoute, mAccount);
  mAllowedZones = mContext.mHomes.ZonesOf(mRegions);
  mRouteDeadline = mArrived + mRoute->mTimeout;
  mDeadline =
    std::min(mRouteDeadline, mRequest.mDeadline.value_or(mRouteDeadline));
  mPriority = mAccount != nullptr && mAccount->mPriority ? *mAccount->mPriority
                                                         : mRoute->mPriority;
  const time_point now = mContext.mTime.Now();
  if (!FitsBeforeStop(now)) {
    EndUnsentInStop(now);
    return;
  }
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

void gateway_session::PinStream(time_point aNow)
{
  if (mPinnedSoftware) {
    return;
  }
  mPinnedSoftware = SoftwareKey(mService, mSoftware);
  mContext.mStreamOrigins.Record(
    StreamKey(mRequest.mId), mService, *mPinnedSoftware, aNow);
}

void gateway_session::EndUnsent(const char* aReason,
                                std::optional<milliseconds> aRetryAfter)
{
  if (mMayHaveRun) {
    Fail(http_status::kBadGateway, aReason);
  } else {
    Answer(http_status::kServiceUnavailable, aReason, aRetryAfter);
  }
}

relay_request gateway_session::TakeForRelay()
{
  FinishReservation();
  mStage = stage::Finished;
  mClient = nullptr;
  mHeldShare.Release();
  return { std::move(mRequest), mRoute->mName, mRegions, mArrived, mDeadline };
}

void gateway_session::Cancel()
{
  mClient = nullptr;
  AbandonUpstream("client_gone");
  Finish(kClientClosedRequest, "client_gone");
}

void gateway_session::EndSlowClient()
{
  http_server_connection* client = std::exchange(mClient, nullptr);
  AbandonUpstream("slow_client");
  Finish(kClientClosedRequest, "slow_client");
  client->Abort();
}

void gateway_session::EndAtStop()
{
  if (!Finished()) {
    if (mAttempts == 0) {
      EndUnsentInStop(mContext.mTime.Now());
      return;
    }
    LogCutByStop();
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
  Finish(aStatus, aReason);
  client->Respond(RefusalHead(aStatus, aRetryAfter), RefusalBody(aReason));
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
  const time_point now = mContext.mTime.Now();
  if (mRoute != nullptr && mAttempts > 0) {
    mContext.mDurations.RecordElapsed(
      mRoute->mName, std::chrono::ceil<milliseconds>(now - mArrived), now);
  }
  mStage = stage::Finished;
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

void gateway_session::RecordProgress(time_point aNow)
{
  if (mRoute != nullptr && mAttempts > 0 && !Finished()) {
    mContext.mDurations.AddExpected(
      mRoute->mName, std::chrono::ceil<milliseconds>(ExpectedDuration(aNow)));
  }
}

time_point::duration gateway_session::ExpectedDuration(time_point aNow) const
{
  const auto elapsed = aNow - mArrived;
  const auto events = static_cast<std::int64_t>(mEvents.Events());
  const std::int64_t allEvents =
    mRequest.mMaxOutputTokens / std::max<std::int64_t>(TokensPerEvent(), 1);
  // The events of earlier servers say nothing of the current one.
  if (!mFirstEventAt || mAttempts > 1 || IsResumption() ||
      events < kMinEventsForRate || events >= allEvents) {
    return elapsed;
  }
  const auto rest =
    (aNow - *mFirstEventAt) * (allEvents - events) / (events - 1);
  return std::min(elapsed + rest, LatestEnd() - mArrived);
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
