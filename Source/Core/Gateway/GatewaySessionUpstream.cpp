// Parts of `gateway_session` that send requests to servers and fail over.

#include "Gateway/GatewaySession.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Common/Log.h"
#include "Common/TextCodec.h"
#include "Net/HttpStatus.h"

namespace {

using std::chrono::milliseconds;

// Servers are at most a few ms away; a slower connect means that the server
// does not respond or its accept queue is full.
constexpr milliseconds kConnectTimeout(350);
constexpr unsigned kMaxConnectFailures = 4;
// Lifetime of an idle connection if the server announces none, and the margin
// by which connections are dropped before the announced limit.
constexpr milliseconds kDefaultKeepAlive(4000);
constexpr milliseconds kKeepAliveMargin(700);
constexpr milliseconds kMaxKeepAlive(3'600'000);
// Limit of idle connections to one server; lower where this node's share of the
// server's connection limit is smaller.
constexpr std::size_t kMaxIdleConnections = 16;
// A request with less time left than this is not sent to another server.
constexpr milliseconds kMinRetryTimeLeft(30);
// Time after the client's own deadline at which a request is ended if the
// client has not left.
constexpr milliseconds kDeadlineGracePeriod(250);
// Clients choose number and length of the identities of prompt segments.
constexpr std::size_t kMaxLoggedSegments = 8;
constexpr std::size_t kMaxLoggedSegmentLength = 32;

/// Time for which a server keeps an idle connection.
milliseconds KeepAliveTime(const http_client_response& aResponse)
{
  const std::string_view keepAlive =
    FindHeader(aResponse.mHeaders, "Keep-Alive");
  constexpr std::string_view kTimeout = "timeout=";
  const auto found = keepAlive.find(kTimeout);
  if (found == std::string_view::npos) {
    return kDefaultKeepAlive;
  }
  const std::string_view rest = keepAlive.substr(found + kTimeout.size());
  const auto digits =
    std::min(rest.find_first_not_of("0123456789"), rest.size());
  const auto seconds = ParseDecimal<std::uint32_t>(rest.substr(0, digits));
  const milliseconds time =
    seconds
      ? std::min(milliseconds(std::int64_t{ *seconds } * 1000), kMaxKeepAlive)
      : kDefaultKeepAlive;
  return std::max(time - kKeepAliveMargin, milliseconds(0));
}

/// Identities of the shared segments of a prompt, for logs.
std::string FormatSharedSegments(const std::vector<prompt_segment>& aPrompt)
{
  std::string text;
  for (std::size_t i = 0; i + 1 < aPrompt.size(); ++i) {
    if (i == kMaxLoggedSegments) {
      text.append(",...");
      break;
    }
    text.append(i == 0 ? "" : ",");
    text.append(aPrompt[i].mId, 0, kMaxLoggedSegmentLength);
  }
  return text;
}

} // namespace

void gateway_session::Send(const placement& aPlacement, time_point aNow)
{
  mPlacement = aPlacement;
  const server_entry* entry =
    mContext.mUpstreamRegistry.Find(aPlacement.mUpstream);
  mServerRun = { aPlacement.mUpstream,
                 entry == nullptr ? 0 : entry->mIncarnation };
  mSoftware = entry == nullptr ? software_version() : entry->mSoftware;
  mWork = aPlacement.mWork;
  mSentAt = aNow;
  mLeavesAt = LeavesAt(aNow);
  mContext.mLinkQueue.Add(mRequest.mBody.size(), aNow);
  mStage = stage::Sent;
  mHasResponse = false;
  mEventStream = false;
  mBuffered.clear();
  mEvents.BeginRun();
  mRefusalBytes = 0;
  mReadingPaused = false;
  mFirstEventAt.reset();
  mLastByteAt.reset();
  mAnswering = false;
  ++mAttempts;
  const std::size_t crashes =
    mContext.mCrashes.CrashCount(mFingerprint.mContent, aNow);
  if (crashes > 0) {
    Log(log_level::Info,
        "suspect_request_sent",
        { Field("id", mRequest.mId),
          Field("fingerprint", FormatWide(mFingerprint.mContent)),
          Field("server", mPlacement.mUpstream.mName),
          Field("known_crashes", crashes) });
  }
  if (mSegmentVerdict == segment_verdict::SendTrial) {
    Log(log_level::Info, "prompt_trial_sent", { Field("id", mRequest.mId) });
    mContext.mSegmentCrashes.OnTrial(mFingerprint.mSegments, aNow);
  }
  LogSendInStop(aNow);
  LogLimitedSend(aNow);
  LogColdSend(aNow);
  LogResumption();
  const placement_query query = Query();
  mContext.mUpstreamRegistry.BeginRequest(aPlacement, query, aNow);
  mUnansweredTicket = mContext.mUnanswered.Add(mFingerprint, mServerRun, aNow);
  upstream_send send;
  send.mUpstream = aPlacement.mUpstream;
  if (mAccount != nullptr) {
    send.mAccount = mAccount->mName;
  }
  send.mTimeLeft = std::chrono::duration_cast<milliseconds>(mDeadline - aNow);
  constexpr int kLastUrgency = 9;
  send.mUrgency = std::clamp(mPriority, 0, kLastUrgency);
  send.mResumeAfter = mResponseStarted ? mEvents.LastId() : std::string();
  mConnection = mContext.mPool.Acquire(aPlacement.mAddress, mRequest.mId, aNow);
  if (mConnection->Closed()) {
    OnExchangeFailed(exchange_failure::NotSent);
    return;
  }
  mConnection->Start(mContext.mCodec.WriteSend(mRequest, send),
                     mRequest.mBody,
                     mRequest.mMethod == "HEAD",
                     *this);
  mContext.mHeld.Add(held_kind::ToServers, mConnection->PendingBytes());
}

time_point gateway_session::LeavesAt(time_point aNow) const
{
  return mContext.mLinkQueue.LeavesAt(mRequest.mBody.size(), aNow);
}

void gateway_session::AdvanceSent(time_point aNow)
{
  ContinueForClient();
  if (aNow >= LatestEnd()) {
    EndWithoutServer("timeout", "server_not_reached");
    return;
  }
  if (!mConnection->Connected() && aNow >= mSentAt + kConnectTimeout) {
    mContext.mReachability.OnSilence(mPlacement.mUpstream, aNow);
    mConnection->Reset();
    OnExchangeFailed(exchange_failure::NotSent);
    return;
  }
  // An idempotent request is sent to another server if the first one takes
  // longer than the objective.
  const bool slow = mRoute->mKind == request_kind::Idempotent &&
                    aNow >= mSentAt + mRoute->mObjective && !mHasResponse;
  if (slow) {
    mContext.mReachability.OnSilence(mPlacement.mUpstream, aNow);
  }
  if (slow && MayRetry("slow_server")) {
    mContext.mUpstreamRegistry.OnFailure(mPlacement.mUpstream, aNow);
    mMayHaveRun = true;
    AbandonUpstream("slow_server");
    Retry();
  }
}

time_point gateway_session::LatestEnd() const
{
  return std::min(mRouteDeadline, mDeadline + kDeadlineGracePeriod);
}

void gateway_session::EndWithoutServer(const char* aReason,
                                       const char* aUnsentReason)
{
  const bool reached =
    mStage == stage::Sent && mConnection && mConnection->Connected();
  AbandonUpstream(aReason);
  if (reached || mMayHaveRun) {
    Fail(http_status::kGatewayTimeout, aReason);
  } else {
    Refuse(aUnsentReason, kRefusalRetryDelay);
  }
}

void gateway_session::ReleaseUpstream(bool aReusable)
{
  if (mStage != stage::Sent) {
    return;
  }
  mContext.mUpstreamRegistry.EndRequest(mPlacement.mUpstream, mWork);
  mContext.mUnanswered.Remove(std::exchange(mUnansweredTicket, 0));
  mWork = {};
  if (aReusable && mConnection) {
    mContext.mPool.Release(std::move(mConnection),
                           mContext.mTime.Now() + KeepAliveTime(mResponse),
                           MaxIdleConnections());
  }
  DiscardConnection();
}

std::size_t gateway_session::MaxIdleConnections() const
{
  const gateway_service* service = mRoutes->FindService(mService);
  if (service == nullptr || service->mMaxConnections == 0) {
    return kMaxIdleConnections;
  }
  const std::size_t share = service->mMaxConnections /
                            mContext.mFleet.LiveNodeCount(mContext.mTime.Now());
  return std::clamp<std::size_t>(share, 1, kMaxIdleConnections);
}

void gateway_session::DiscardConnection()
{
  if (mConnection) {
    mConnection->Reset();
    mContext.mDiscardedConnections.push_back(std::move(mConnection));
  }
}

void gateway_session::OnExchangeFailed(exchange_failure aFailure)
{
  FailAttempt(aFailure);
}

void gateway_session::FailAttempt(exchange_failure aFailure)
{
  const time_point now = mContext.mTime.Now();
  const bool reused = mConnection && mConnection->Uses() > 1;
  const upstream_id upstream = mPlacement.mUpstream;
  ReleaseUpstream(false);
  mEvents.DropPartial();
  const bool silent =
    aFailure == exchange_failure::NotSent && now >= mSentAt + kConnectTimeout;
  if (!silent && (aFailure == exchange_failure::NotSent ||
                  aFailure == exchange_failure::NoResponse)) {
    mContext.mReachability.OnFailure(upstream, now);
  }
  if (aFailure == exchange_failure::NotSent) {
    --mAttempts;
    mContext.mUpstreamRegistry.OnFailure(upstream, now);
    mTriedUpstreams.push_back(upstream);
    if (++mConnectFailures < kMaxConnectFailures) {
      mStage = stage::NeedServer;
      return;
    }
    if (mResponseStarted) {
      AbortClient("resume_failed");
    } else if (mMayHaveRun) {
      Fail(http_status::kBadGateway, "server_not_reached");
    } else {
      Refuse("server_not_reached", kRefusalRetryDelay);
    }
    return;
  }
  mMayHaveRun = true;
  // A reused connection may have been closed by the server's idle timeout.
  if (!reused || aFailure != exchange_failure::NoResponse) {
    mContext.mUpstreamRegistry.OnFailure(upstream, now);
  }
  // A server that goes on may also break a connection, at its idle timeout or
  // within a response; its later entries then refute the report.
  // So may the loss of the host's own links.
  const bool counted = aFailure != exchange_failure::Malformed &&
                       !mContext.mReachability.IsCutOff() &&
                       mSentAt > mContext.mReachability.LastCutOffAt();
  LogBreak(ExchangeFailureName(aFailure), reused, counted);
  if (counted) {
    mContext.mCrashExchange.Suspect({ mFingerprint, mServerRun, now });
  }
  if (MayRetry("server_failed")) {
    Retry();
    return;
  }
  if (mResponseStarted) {
    AbortClient("server_failed");
  } else {
    Fail(http_status::kBadGateway, "server_failed");
  }
}

void gateway_session::LogBreak(std::string_view aFailure,
                               bool aReused,
                               bool aCounted) const
{
  mContext.mMetrics.OnServerBreak(aFailure, aCounted);
  Log(log_level::Info,
      "server_broke",
      { Field("id", mRequest.mId),
        Field("fingerprint", FormatWide(mFingerprint.mContent)),
        Field("shared_segments", FormatSharedSegments(mRequest.mPrompt)),
        Field("server_run", FormatServerRun(mServerRun)),
        Field("failure", aFailure),
        Field("kept_connection", aReused),
        Field("head", mHasResponse),
        Field("events", mEvents.Events()),
        Field("counted", aCounted) });
}

void gateway_session::LogSendInStop(time_point aNow) const
{
  if (!mContext.mStop) {
    return;
  }
  const auto& [beganAt, refusesFrom, endsAt] = *mContext.mStop;
  Log(log_level::Info,
      "sent_while_stopping",
      { Field("id", mRequest.mId),
        Field("attempts", mAttempts),
        Field("arrived_ms", MsBetween(beganAt, mArrived)),
        Field("sent_ms", MsBetween(beganAt, aNow)),
        Field("ends_in_ms", MsBetween(aNow, endsAt)),
        Field("limit_in_ms", MsBetween(aNow, LatestEnd())),
        Field("longest_ms",
              mContext.mDurations.Longest(mRoute->mName, aNow)
                .value_or(milliseconds(0))
                .count()) });
}

void gateway_session::LogCutByStop() const
{
  if (!mContext.mStop) {
    return;
  }
  const time_point now = mContext.mTime.Now();
  const time_point beganAt = mContext.mStop->mBeganAt;
  Log(log_level::Warning,
      "request_cut_by_stop",
      { Field("id", mRequest.mId),
        Field("attempts", mAttempts),
        Field("events", mEvents.Events()),
        Field("arrived_ms", MsBetween(beganAt, mArrived)),
        Field("sent_ms", MsBetween(beganAt, mSentAt)),
        Field("cut_ms", MsBetween(beganAt, now)),
        Field("limit_in_ms", MsBetween(now, LatestEnd())),
        Field("server_silent_ms",
              MsBetween(mLastByteAt.value_or(mSentAt), now)) });
}

void gateway_session::LogResumption() const
{
  if (!mResponseStarted && mRequest.mLastEventId.empty()) {
    return;
  }
  Log(log_level::Info,
      "stream_resumed",
      { Field("id", mRequest.mId),
        Field("by_client", !mRequest.mLastEventId.empty()),
        Field("began_as", mRequest.mResumedRequestId),
        Field("after_event",
              mResponseStarted ? mEvents.LastId() : mRequest.mLastEventId),
        Field("server_run", FormatServerRun(mServerRun)),
        Field("software", mSoftware.mName) });
}

void gateway_session::LogLimitedSend(time_point aNow) const
{
  const auto limit = mContext.mUpstreamRegistry.RateLimits().Find(
    upstream_registry::KeyOf(mServerRun.mUpstream));
  if (!limit) {
    return;
  }
  mContext.mMetrics.OnLimitedSend(mAttempts > 1);
  Log(
    log_level::Info,
    "rate_limited_send",
    { Field("id", mRequest.mId),
      Field("server_run", FormatServerRun(mServerRun)),
      Field("per_second", *limit->mRequestsPerSecond),
      Field("own_per_second",
            fmt::format(
              "{:.3f}",
              mContext.mUpstreamRegistry.RateLimits().OwnRate(limit->mServer))),
      Field("stated_ms_ago",
            std::chrono::duration_cast<milliseconds>(aNow - limit->mStatedAt)
              .count()),
      Field("waited_ms",
            std::chrono::duration_cast<milliseconds>(aNow - mArrived).count()),
      Field("attempts", mAttempts) });
}

void gateway_session::AbandonUpstream(const char* aReason)
{
  if (mStage != stage::Sent) {
    return;
  }
  if (mConnection && mConnection->Connected()) {
    LogBreak(aReason, mConnection->Uses() > 1, false);
    mContext.mUnanswered.Abandon(std::exchange(mUnansweredTicket, 0),
                                 mContext.mTime.Now());
  }
  ReleaseUpstream(false);
}

bool gateway_session::IsRetryable() const
{
  return mRoute->mKind == request_kind::Idempotent ||
         (mRoute->mKind == request_kind::Streaming && mRoute->mResumable);
}

bool gateway_session::MayRetry(const char* aReason)
{
  const time_point now = mContext.mTime.Now();
  if ((mMayHaveRun && !IsRetryable()) || mAttempts >= mRoute->mMaxAttempts ||
      mDeadline - now < kMinRetryTimeLeft || mClient == nullptr ||
      !FitsBeforeStop(now) ||
      (mResponseStarted && (!mEventStream || mEvents.LastId().empty()))) {
    return false;
  }
  if (!mContext.mRetries.TryAcquire(
        mService.mName, mContext.mFleet.LiveNodeCount(now), now)) {
    return false;
  }
  mContext.mMetrics.OnRetry(aReason);
  Log(log_level::Info,
      "request_repeated",
      { Field("id", mRequest.mId),
        Field("reason", aReason),
        Field("server", mPlacement.mUpstream.mName),
        Field("attempts", mAttempts) });
  return true;
}

void gateway_session::Retry()
{
  mTriedUpstreams.push_back(mPlacement.mUpstream);
  mStage = stage::NeedServer;
}
