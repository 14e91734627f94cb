// Parts of `gateway_session` that relay the responses of servers.

#include "Gateway/GatewaySession.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Net/HttpStatus.h"

namespace {

// Longest event of a stream. Events hold a few tokens each.
constexpr std::size_t kMaxEventBytes = 262144;
// Events of a stream beyond one for each token that the request allows.
constexpr std::int64_t kMaxExtraEvents = 16;
// Time after the first event from which on a server does not crash because it
// begins to answer.
constexpr std::chrono::milliseconds kAnsweringTime(500);
// Longest body of a refusal that is awaited, to keep its connection.
constexpr std::size_t kMaxRefusalBytes = 65536;

bool Succeeded(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

bool gateway_session::OnResponse(http_client_connection&,
                                 http_client_response aResponse)
{
  const time_point now = mContext.mTime.Now();
  upstream_answer answer = mContext.mCodec.ReadAnswer(aResponse);
  // On a kept connection a response without identity may be a late copy of an
  // earlier one; sound servers send the identity back.
  const bool unnamed = answer.mRequestId.empty() && mConnection->Uses() == 1;
  if (!unnamed && answer.mRequestId != mRequest.mId) {
    Log(log_level::Info,
        "foreign_response_discarded",
        { Field("id", mRequest.mId),
          Field("response_id", answer.mRequestId),
          Field("status", aResponse.mStatus),
          Field("server_run", FormatServerRun(mServerRun)) });
    return false;
  }
  mContext.mUpstreamRegistry.OnByte(mPlacement.mUpstream, now);
  mContext.mReachability.OnByte(now);
  mContext.mCrashExchange.OnByte(mServerRun, mSentAt);
  if (!answer.mNotRun && !answer.mSigned) {
    mMayHaveRun = true;
    mConnection->Cancel();
    FailAttempt(exchange_failure::Malformed);
    return true;
  }
  const bool eventStream = mRoute->mKind == request_kind::Streaming &&
                           Succeeded(aResponse.mStatus) &&
                           FindHeader(aResponse.mHeaders, "Content-Type")
                             .starts_with("text/event-stream");
  const bool resumes =
    mResponseStarted || (IsResumption() && Succeeded(aResponse.mStatus));
  if (resumes && !answer.mNotRun && !eventStream) {
    // What is no event stream is no part of the stream that is resumed. The
    // client that resumes one gets failures of its server as they are.
    mConnection->Cancel();
    FailAttempt(exchange_failure::Malformed);
    return true;
  }
  mHasResponse = true;
  mLastByteAt = now;
  mFraming = aResponse.mFraming;
  mAnswer = std::move(answer);
  RecordRateLimit(now);
  RecordCold(now);
  RecordRoom(now);
  RecordLeaving(now);
  mEventStream = eventStream;
  if (!mResponseStarted) {
    mResponse = std::move(aResponse);
  } else {
    mResponse.mKeepAlive = aResponse.mKeepAlive;
  }
  return true;
}

void gateway_session::OnBody(std::string_view aBytes)
{
  const time_point now = mContext.mTime.Now();
  mLastByteAt = now;
  mContext.mUpstreamRegistry.OnByte(mPlacement.mUpstream, now);
  mContext.mReachability.OnByte(now);
  mContext.mCrashExchange.OnByte(mServerRun, mSentAt);
  if (mAnswer.mNotRun) {
    mRefusalBytes += aBytes.size();
    if (mRefusalBytes > kMaxRefusalBytes) {
      mConnection->Cancel();
      OnComplete(false);
    }
    return;
  }
  if (mEventStream) {
    ForwardEvents(aBytes);
    return;
  }
  if (mResponseStarted) {
    WriteToClient(aBytes);
    return;
  }
  mBuffered.append(aBytes);
  mContext.mHeld.Add(held_kind::BufferedResponses, aBytes.size());
  if (mBuffered.size() > mContext.mHeld.BufferLimit()) {
    mResponseStarted = true;
    RecordFirstByte();
    mClient->StartResponse(ClientHead(mResponse.mFraming));
    const std::string body = std::exchange(mBuffered, {});
    mContext.mHeld.Remove(held_kind::BufferedResponses, body.size());
    WriteToClient(body);
  }
}

void gateway_session::ForwardEvents(std::string_view aBytes)
{
  const std::string events = mEvents.Feed(aBytes);
  const bool tooMany = mRequest.mMaxOutputTokens > 0 &&
                       static_cast<std::int64_t>(mEvents.Events()) >
                         mRequest.mMaxOutputTokens + kMaxExtraEvents;
  if (mEvents.OutOfOrder() || tooMany ||
      mEvents.PartialBytes() > kMaxEventBytes) {
    mConnection->Cancel();
    FailAttempt(exchange_failure::Malformed);
    return;
  }
  if (events.empty()) {
    return;
  }
  if (!mResponseStarted) {
    mResponseStarted = true;
    PinStream(mContext.mTime.Now());
    mClient->StartResponse(ClientHead(mResponse.mFraming == body_framing::Length
                                        ? body_framing::Chunked
                                        : mResponse.mFraming));
  }
  RecordEvents();
  WriteToClient(events);
}

void gateway_session::WriteToClient(std::string_view aBytes)
{
  const std::size_t before = mClient->PendingBytes();
  mClient->WriteBody(aBytes);
  const std::size_t after = mClient->PendingBytes();
  // What the client takes is counted with the next tick; growth must be known
  // to the other streams at once.
  mContext.mHeld.Add(held_kind::ToClients, after - std::min(before, after));
  PauseForClient();
}

void gateway_session::PauseForClient()
{
  if (mClient->PendingBytes() > mContext.mHeld.StreamLimit() &&
      !mReadingPaused) {
    mReadingPaused = true;
    mConnection->SetReading(false);
  }
}

void gateway_session::ContinueForClient()
{
  if (mReadingPaused && mClient != nullptr && mConnection &&
      mClient->PendingBytes() <= mContext.mHeld.StreamLimit() / 2) {
    mReadingPaused = false;
    mConnection->SetReading(true);
  }
}

void gateway_session::RecordEvents()
{
  const time_point now = mContext.mTime.Now();
  if (mLastEventAt != time_point() && mWork.mPrefillTokens == 0) {
    mContext.mUpstreamRegistry.OnEventGap(
      mPlacement.mUpstream,
      std::chrono::duration<double, std::milli>(now - mLastEventAt).count(),
      now);
  }
  mLastEventAt = now;
  if (!mFirstEventAt) {
    mFirstEventAt = now;
  } else if (now >= *mFirstEventAt + kAnsweringTime &&
             !std::exchange(mAnswering, true)) {
    mContext.mCrashExchange.OnAnswering(mFingerprint.mSegments);
  }
  RecordFirstByte();
}

void gateway_session::RecordFirstByte()
{
  const time_point now = mContext.mTime.Now();
  if (mWork.mPrefillTokens > 0) {
    mContext.mUpstreamRegistry.OnFirstEvent(
      mPlacement.mUpstream, mWork, mSentAt, mPlacement.mExpectedMs, now);
    mWork.mPrefillTokens = 0;
  }
  if (!std::exchange(mFirstByteSeen, true)) {
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

void gateway_session::OnComplete(bool aReusable)
{
  const time_point now = mContext.mTime.Now();
  if (mAnswer.mNotRun) {
    if (mAnswer.mMisdirected) {
      mContext.mUpstreamRegistry.OnFailure(mPlacement.mUpstream, now);
    }
    ReleaseUpstream(aReusable);
    if (!mResponseStarted && MayRetry("server_refused")) {
      Retry();
    } else if (mResponseStarted) {
      AbortClient("resume_refused");
    } else if (mMayHaveRun) {
      Fail(http_status::kBadGateway, "repeat_refused");
    } else {
      Refuse("server_refused",
             mContext.mStop && IsOtherNodeReady(now)
               ? RetryAfterInStop(*mContext.mStop, true, now)
               : RetryAfter(AdmissionQuery(), now, StableHash(mRequest.mId)));
    }
    return;
  }
  mMayHaveRun = true;
  if (mEventStream ? !StreamComplete() : IsUnprovedEmptyBody()) {
    FailAttempt(exchange_failure::Truncated);
    return;
  }
  const bool serverError = mResponse.mStatus >= http_status::kFirstServerError;
  if (!serverError) {
    mContext.mUpstreamRegistry.OnSuccess(mPlacement.mUpstream);
  }
  // The rest of a stream and a response without body take less time than most.
  if (Succeeded(mResponse.mStatus) && !IsResumption() &&
      mRequest.mMethod != "HEAD") {
    mContext.mDurations.RecordComplete(
      mRoute->mName,
      std::chrono::ceil<std::chrono::milliseconds>(now - mArrived),
      now);
  }
  mContext.mAdmission.OnCompleted(
    ServiceKey(mService.mName), AdmissionCost(), now - mSentAt, now);
  RecordFirstByte();
  if (mFraming != body_framing::UntilClose) {
    // A failure may come from a server that has not begun to answer.
    if (!serverError) {
      mContext.mCrashExchange.OnServed(mFingerprint);
    }
  } else {
    // The end of a server looks like the end of a response without length. Most
    // are responses, so the segments of the prompt are not suspected.
    mContext.mCrashExchange.Report(
      { { mFingerprint.mContent, {} }, mServerRun, now });
  }
  ReleaseUpstream(aReusable);
  if (serverError && !mResponseStarted && MayRetry("server_error")) {
    Retry();
    return;
  }
  if (mResponseStarted) {
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
    if (!IsHopByHopHeader(name) &&
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
  const bool framed = mFraming != body_framing::UntilClose ||
                      mResponse.mFraming == body_framing::UntilClose;
  if (framed && mEvents.RunEvents() > 0) {
    return true;
  }
  // A resumed stream keeps the framing of its first response. An end that is
  // marked only by the closed connection may not be the end of the stream, nor
  // may that of a response without any event.
  return static_cast<std::int64_t>(mEvents.Events()) * TokensPerEvent() >=
         mRequest.mMaxOutputTokens;
}

bool gateway_session::IsUnprovedEmptyBody() const
{
  // The connection of a server that breaks off behind the head ends in the same
  // way. Servers mark an empty body by its length.
  return mFraming == body_framing::UntilClose && !mResponseStarted &&
         mBuffered.empty() && Succeeded(mResponse.mStatus) &&
         mRequest.mMethod != "HEAD";
}

std::int64_t gateway_session::TokensPerEvent() const
{
  const gateway_service* service = mRoutes->FindService(mService);
  return service != nullptr && service->mEngine
           ? service->mEngine->mTokensPerEvent
           : 1;
}

void gateway_session::RecordRoom(time_point aNow)
{
  // A misdirected request was answered by another server.
  if (mAnswer.mMisdirected) {
    return;
  }
  upstream_registry& registry = mContext.mUpstreamRegistry;
  const auto& [server, incarnation] = mServerRun;
  registry.OnResponse(server, incarnation, mAnswer.mBrittle);
  if (!mAnswer.mNotRun) {
    return;
  }
  registry.OnNoRoom(server, incarnation, mAnswer.mPause, aNow);
  if (mAnswer.mBrittle || mAnswer.mPause.count() > 0) {
    Log(log_level::Info,
        "server_had_no_room",
        { Field("id", mRequest.mId),
          Field("server_run", FormatServerRun(mServerRun)),
          Field("brittle", mAnswer.mBrittle),
          Field("pause_ms", mAnswer.mPause.count()) });
  }
}

void gateway_session::RecordLeaving(time_point aNow)
{
  // A misdirected request was answered by another server.
  if (!mAnswer.mLeaving || mAnswer.mMisdirected) {
    return;
  }
  if (mContext.mUpstreamRegistry.OnLeaving(
        mServerRun.mUpstream, mServerRun.mIncarnation, aNow)) {
    Log(log_level::Info,
        "server_said_leaving",
        { Field("id", mRequest.mId),
          Field("server_run", FormatServerRun(mServerRun)) });
  }
}

void gateway_session::RecordRateLimit(time_point aNow)
{
  // A misdirected request was answered by another server.
  if (mAnswer.mMisdirected) {
    return;
  }
  if (mAnswer.mLimitUnreadable) {
    Log(log_level::Warning,
        "rate_limit_unreadable",
        { Field("id", mRequest.mId),
          Field("server_run", FormatServerRun(mServerRun)) });
    return;
  }
  server_rate_limits& limits = mContext.mUpstreamRegistry.RateLimits();
  const rate_limit_statement statement{ upstream_registry::KeyOf(
                                          mServerRun.mUpstream),
                                        mServerRun.mIncarnation,
                                        mAnswer.mRequestsPerSecond,
                                        aNow };
  if (limits.OnResponse(statement, mSentAt)) {
    Log(log_level::Info,
        "rate_limit_changed",
        { Field("id", mRequest.mId),
          Field("server_run", FormatServerRun(mServerRun)),
          Field("per_second", FormatRate(statement.mRequestsPerSecond)) });
  }
}
