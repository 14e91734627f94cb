// Parts of `gateway_session` that talk to servers: send, relay the response and
// fail over.

#include "Gateway/GatewaySession.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Net/HttpStatus.h"

namespace {

using std::chrono::milliseconds;

// Servers are at most a few ms away; a slower connect means that the server
// does not respond or its accept queue is full.
constexpr milliseconds kConnectLimit(350);
constexpr unsigned kMostConnectFailures = 4;
// Limit of unsent bytes to a client; above it the server is no longer read.
constexpr std::size_t kMostPendingBytes = 262144;
// Response bodies up to this size are buffered and sent whole, so that a broken
// connection does not truncate them.
constexpr std::size_t kMostBufferedBytes = 1048576;
// Lifetime of an idle connection if the server announces none, and the margin
// by which connections are dropped before the announced limit.
constexpr milliseconds kDefaultKeep(4000);
constexpr milliseconds kKeepMargin(700);
// Limit of idle connections to one server; lower where this node's share of the
// server's connection limit is smaller.
constexpr std::size_t kMostIdleConnections = 16;
// A request with less time left than this is not sent to another server.
constexpr milliseconds kLeastTimeLeft(30);
// Time after the client's own deadline at which a request is ended if the
// client has not left.
constexpr milliseconds kDeadlineSlack(250);

/// Time for which a server keeps an idle connection.
milliseconds KeepTime(const http_client_response& aResponse)
{
  const std::string_view keepAlive =
    FindHeader(aResponse.mHeaders, "Keep-Alive");
  constexpr std::string_view kTimeout = "timeout=";
  const auto found = keepAlive.find(kTimeout);
  if (found == std::string_view::npos) {
    return kDefaultKeep;
  }
  const long seconds =
    std::strtol(keepAlive.data() + found + kTimeout.size(), nullptr, 10);
  return std::max(milliseconds(seconds * 1000) - kKeepMargin, milliseconds(0));
}

bool ConcernsConnection(std::string_view aName)
{
  return SameHeaderName(aName, "Connection") ||
         SameHeaderName(aName, "Keep-Alive") ||
         SameHeaderName(aName, "Transfer-Encoding") ||
         SameHeaderName(aName, "Proxy-Connection") ||
         SameHeaderName(aName, "Upgrade") || SameHeaderName(aName, "Trailer");
}

bool Succeeded(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

void gateway_session::Send(const placement& aPlacement, time_point aNow)
{
  mPlacement = aPlacement;
  mWork = aPlacement.mWork;
  mSentAt = aNow;
  mStage = stage::Sent;
  mHasResponse = false;
  mEventStream = false;
  mBuffered.clear();
  ++mAttempts;
  const placement_query query = Query();
  mContext.mRoster.Begin(aPlacement, query, aNow);
  upstream_send send;
  send.mUpstream = aPlacement.mUpstream;
  if (mAccount != nullptr) {
    send.mAccount = mAccount->mName;
  }
  send.mTimeLeft = std::chrono::duration_cast<milliseconds>(mDeadline - aNow);
  constexpr int kLastUrgency = 9;
  send.mUrgency = std::clamp(mPriority, 0, kLastUrgency);
  send.mResumeAfter = mStarted ? mEvents.LastId() : std::string();
  mConnection = mContext.mPool.Take(aPlacement.mAddress, aNow);
  if (mConnection->Closed()) {
    OnExchangeFailed(exchange_failure::NotSent);
    return;
  }
  mConnection->Start(mContext.mDialect.WriteSend(mRequest, send),
                     mRequest.mBody,
                     mRequest.mMethod == "HEAD",
                     *this);
}

void gateway_session::AdvanceSent(time_point aNow)
{
  if (aNow >= mFinal || aNow >= mDeadline + kDeadlineSlack) {
    const bool reached = mConnection && mConnection->Connected();
    ReleaseUpstream(false);
    if (mStarted) {
      AbortClient("timeout");
    } else if (reached || mRan) {
      Fail(http_status::kGatewayTimeout, "timeout");
    } else {
      Refuse("server_not_reached", kRefusedRetry);
    }
    return;
  }
  if (!mConnection->Connected() && aNow >= mSentAt + kConnectLimit) {
    mConnection->Cancel();
    OnExchangeFailed(exchange_failure::NotSent);
    return;
  }
  // An idempotent request is sent to another server if the first one takes
  // longer than the objective.
  const bool slow = mRoute->mKind == request_kind::Idempotent &&
                    aNow >= mSentAt + mRoute->mObjective && !mHasResponse;
  if (slow && MayRepeat("slow_server")) {
    mContext.mRoster.OnFailure(mPlacement.mUpstream, aNow);
    mRan = true;
    ReleaseUpstream(false);
    Repeat();
  }
}

bool gateway_session::OnResponse(http_client_connection&,
                                 http_client_response aResponse)
{
  const time_point now = mContext.mTime.Now();
  upstream_answer answer = mContext.mDialect.ReadAnswer(aResponse);
  if (!answer.mRequestId.empty() && answer.mRequestId != mRequest.mId) {
    return false;
  }
  mContext.mRoster.OnByte(mPlacement.mUpstream, now);
  if (!answer.mNotRun && !answer.mSigned) {
    mRan = true;
    mConnection->Cancel();
    FailAttempt(exchange_failure::Malformed);
    return true;
  }
  mHasResponse = true;
  mFraming = aResponse.mFraming;
  mAnswer = std::move(answer);
  mEventStream = mRoute->mKind == request_kind::Streaming &&
                 Succeeded(aResponse.mStatus) &&
                 FindHeader(aResponse.mHeaders, "Content-Type")
                   .starts_with("text/event-stream");
  if (!mStarted) {
    mResponse = std::move(aResponse);
  } else {
    mResponse.mKeepAlive = aResponse.mKeepAlive;
  }
  return true;
}

void gateway_session::OnBody(std::string_view aBytes)
{
  mContext.mRoster.OnByte(mPlacement.mUpstream, mContext.mTime.Now());
  if (mAnswer.mNotRun) {
    return;
  }
  if (mEventStream) {
    ForwardEvents(aBytes);
    return;
  }
  if (mStarted) {
    mClient->WriteBody(aBytes);
    return;
  }
  mBuffered.append(aBytes);
  if (mBuffered.size() > kMostBufferedBytes) {
    mStarted = true;
    NoteFirstByte();
    mClient->StartResponse(ClientHead(mResponse.mFraming));
    mClient->WriteBody(std::exchange(mBuffered, {}));
  }
}

void gateway_session::ForwardEvents(std::string_view aBytes)
{
  const std::string events = mEvents.Feed(aBytes);
  if (mEvents.OutOfOrder()) {
    mConnection->Cancel();
    FailAttempt(exchange_failure::Malformed);
    return;
  }
  if (events.empty()) {
    return;
  }
  if (!mStarted) {
    mStarted = true;
    mClient->StartResponse(ClientHead(mResponse.mFraming == body_framing::Length
                                        ? body_framing::Chunked
                                        : mResponse.mFraming));
  }
  NoteEvents();
  mClient->WriteBody(events);
  if (mClient->PendingBytes() > kMostPendingBytes && !mReadingPaused) {
    mReadingPaused = true;
    mConnection->SetReading(false);
  }
}

void gateway_session::NoteEvents()
{
  const time_point now = mContext.mTime.Now();
  if (mLastEventAt != time_point() && mWork.mPrefillTokens == 0) {
    mContext.mRoster.OnEventGap(
      mPlacement.mUpstream,
      std::chrono::duration<double, std::milli>(now - mLastEventAt).count(),
      now);
  }
  mLastEventAt = now;
  NoteFirstByte();
}

void gateway_session::NoteFirstByte()
{
  const time_point now = mContext.mTime.Now();
  if (mWork.mPrefillTokens > 0) {
    mContext.mRoster.FirstEvent(
      mPlacement.mUpstream, mWork, mSentAt, mPlacement.mExpectedMs, now);
    mWork.mPrefillTokens = 0;
  }
  if (!std::exchange(mFirstByte, true)) {
    mContext.mMetrics.OnFirstByte(
      mRoute->mName, std::chrono::duration<double>(now - mArrived).count());
  }
}

void gateway_session::OnClientDrained()
{
  if (std::exchange(mReadingPaused, false) && mConnection) {
    mConnection->SetReading(true);
  }
}

void gateway_session::ReleaseUpstream(bool aReusable)
{
  if (mStage != stage::Sent) {
    return;
  }
  mContext.mRoster.End(mPlacement.mUpstream, mWork);
  mWork = {};
  if (aReusable && mConnection) {
    mContext.mPool.Keep(std::move(mConnection),
                        mContext.mTime.Now() + KeepTime(mResponse),
                        MostIdleConnections());
  }
  DiscardConnection();
}

std::size_t gateway_session::MostIdleConnections() const
{
  const gateway_service* service = mRoutes->FindService(mService);
  if (service == nullptr || service->mMostConnections == 0) {
    return kMostIdleConnections;
  }
  const std::size_t share =
    service->mMostConnections / mContext.mFleet.LiveNodes(mContext.mTime.Now());
  return std::clamp<std::size_t>(share, 1, kMostIdleConnections);
}

void gateway_session::DiscardConnection()
{
  if (mConnection) {
    mConnection->Cancel();
    mContext.mDiscarded.push_back(std::move(mConnection));
  }
}

void gateway_session::OnComplete(bool aReusable)
{
  const time_point now = mContext.mTime.Now();
  if (mAnswer.mNotRun) {
    if (mAnswer.mMisdirected) {
      mContext.mRoster.OnFailure(mPlacement.mUpstream, now);
    }
    ReleaseUpstream(aReusable);
    if (!mStarted && MayRepeat("server_refused")) {
      Repeat();
    } else if (mStarted) {
      AbortClient("resume_refused");
    } else if (mRan) {
      Fail(http_status::kBadGateway, "repeat_refused");
    } else {
      Refuse("server_refused",
             RetryAfter(AdmissionQuery(), now, StableHash(mRequest.mId)));
    }
    return;
  }
  mRan = true;
  if (mEventStream && !StreamComplete()) {
    FailAttempt(exchange_failure::Truncated);
    return;
  }
  const bool serverError = mResponse.mStatus >= http_status::kFirstServerError;
  if (!serverError) {
    mContext.mRoster.OnSuccess(mPlacement.mUpstream);
  }
  NoteFirstByte();
  ReleaseUpstream(aReusable);
  if (serverError && !mStarted && MayRepeat("server_error")) {
    Repeat();
    return;
  }
  if (mStarted) {
    // FinishBody may close the connection and so destroy the client object that
    // this session refers to.
    http_server_connection* client = std::exchange(mClient, nullptr);
    Finish(mResponse.mStatus, "complete");
    client->FinishBody();
    return;
  }
  DeliverBuffered();
}

void gateway_session::DeliverBuffered()
{
  http_server_connection* client = std::exchange(mClient, nullptr);
  const std::string body = std::move(mBuffered);
  Finish(mResponse.mStatus, "complete");
  if (mFraming == body_framing::UntilClose) {
    // The client must judge whether the server meant to end here, as it would
    // without the gateway.
    client->StartResponse(ClientHead(mFraming));
    client->WriteBody(body);
    client->FinishBody();
    return;
  }
  client->Respond(ClientHead(body_framing::Chunked), body);
}

http_server_response gateway_session::ClientHead(body_framing aFraming) const
{
  http_server_response head;
  head.mStatus = mResponse.mStatus;
  head.mFraming = aFraming;
  for (const auto& [name, value] : mResponse.mHeaders) {
    const bool length = SameHeaderName(name, "Content-Length");
    if (!ConcernsConnection(name) &&
        (!length || aFraming == body_framing::Length)) {
      head.mHeaders.emplace_back(name, value);
    }
  }
  return head;
}

bool gateway_session::StreamComplete() const
{
  if (mEvents.Partial() || mEvents.Events() == 0) {
    return false;
  }
  if (mFraming != body_framing::UntilClose ||
      mResponse.mFraming == body_framing::UntilClose) {
    return true;
  }
  // A resumed stream keeps the framing of its first response. An end that is
  // marked only by the closed connection may not be the end of the stream.
  return static_cast<std::int64_t>(mEvents.Events()) * TokensPerEvent() >=
         mRequest.mMostOutputTokens;
}

std::int64_t gateway_session::TokensPerEvent() const
{
  const gateway_service* service = mRoutes->FindService(mService);
  return service != nullptr && service->mEngine
           ? service->mEngine->mTokensPerEvent
           : 1;
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
  const std::string run = ServerRun();
  ReleaseUpstream(false);
  mEvents.DropPartial();
  if (aFailure == exchange_failure::NotSent) {
    --mAttempts;
    mContext.mRoster.OnFailure(upstream, now);
    mTried.push_back(upstream);
    if (++mConnectFailures < kMostConnectFailures) {
      mStage = stage::NeedServer;
      return;
    }
    if (mStarted) {
      AbortClient("resume_failed");
    } else if (mRan) {
      Fail(http_status::kBadGateway, "server_not_reached");
    } else {
      Refuse("server_not_reached", kRefusedRetry);
    }
    return;
  }
  mRan = true;
  // A reused connection may have been closed by the server's idle timeout.
  if (!reused || aFailure != exchange_failure::NoResponse) {
    mContext.mRoster.OnFailure(upstream, now);
  }
  if (aFailure == exchange_failure::NoResponse && !reused) {
    mContext.mReportCrash(Fingerprint(), run);
  }
  if (MayRepeat("server_failed")) {
    Repeat();
    return;
  }
  if (mStarted) {
    AbortClient("server_failed");
  } else {
    Fail(http_status::kBadGateway, "server_failed");
  }
}

bool gateway_session::Repeatable() const
{
  return mRoute->mKind == request_kind::Idempotent ||
         (mRoute->mKind == request_kind::Streaming && mRoute->mResumable);
}

bool gateway_session::MayRepeat(const char* aReason)
{
  const time_point now = mContext.mTime.Now();
  if ((mRan && !Repeatable()) || mAttempts >= mRoute->mMostAttempts ||
      mDeadline - now < kLeastTimeLeft || mClient == nullptr ||
      (mStarted && (!mEventStream || mEvents.LastId().empty()))) {
    return false;
  }
  if (!mContext.mRetries.Take(
        mService.mName, mContext.mFleet.LiveNodes(now), now)) {
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

void gateway_session::Repeat()
{
  mTried.push_back(mPlacement.mUpstream);
  mStage = stage::NeedServer;
}

std::string gateway_session::ServerRun() const
{
  const server_entry* entry = mContext.mRoster.Find(mPlacement.mUpstream);
  return fmt::format(
    "{}.{}", mPlacement.mUpstream.mName, entry == nullptr ? 0 : entry->mBorn);
}
