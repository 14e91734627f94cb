#include "Gateway/GatewaySession.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Common/Log.h"

namespace {

using std::chrono::milliseconds;

// Wait for prepaid tokens that are being fetched: two transactions of a store
// that is not slowed down.
constexpr milliseconds kTokenWait(150);
// A refusal for lack of tokens names the time until a grant is likely.
constexpr milliseconds kTokenRetry(2000);
// Servers are at most a few ms away; a longer connect means that the server is
// silent or its accept queue is full.
constexpr milliseconds kConnectLimit(350);
constexpr unsigned kMostConnectFailures = 4;
// Unsent bytes to a client beyond which its server is no longer read.
constexpr std::size_t kMostPendingBytes = 262144;
// Response bodies up to this size are passed on whole, so that a break does
// not cut them.
constexpr std::size_t kMostBufferedBytes = 1048576;
// A kept connection is used for this long; servers announce their own limit,
// and connections are dropped this long before it.
constexpr milliseconds kDefaultKeep(4000);
constexpr milliseconds kKeepMargin(700);
// Time left below which a further server is of no use.
constexpr milliseconds kLeastTimeLeft(30);
// A client that did not leave at its own deadline is answered this late.
constexpr milliseconds kDeadlineSlack(250);
constexpr milliseconds kRefusedRetry(200);
constexpr milliseconds kBlockedRetry(5000);

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kPaymentRequired = 402;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kClientGone = 499;

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

gateway_session::gateway_session(gateway_context& aContext,
                                 http_server_connection& aClient,
                                 gateway_request aRequest)
  : mContext(aContext)
  , mClient(&aClient)
  , mRequest(std::move(aRequest))
  , mRoutes(aContext.mRoutes)
  , mArrived(aContext.mTime.Now())
{
  mFinal = mArrived;
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
  if (!mRoutes || mContext.mRefusing) {
    Refuse(mRoutes ? "node_leaving" : "no_configuration", kRefusedRetry);
    return;
  }
  if (mContext.mBodyBytes > mContext.mMostBodyBytes) {
    Refuse("memory_full", kRefusedRetry);
    return;
  }
  mRoute = mRoutes->FindRoute(mRequest.mHost, mRequest.mPath);
  if (mRoute == nullptr) {
    if (mContext.mConfigDoubtful) {
      Refuse("route_unknown_to_old_configuration", kRefusedRetry);
    } else {
      Answer(kNotFound, "no_route", std::nullopt);
    }
    return;
  }
  if (mRoutes->HasAccounts() && !mRoute->mPublic) {
    mAccount = mRoutes->FindAccount(mRequest.mKey);
    if (mAccount == nullptr) {
      if (mContext.mConfigDoubtful) {
        Refuse("key_unknown_to_old_configuration", kRefusedRetry);
      } else {
        Answer(kUnauthorized, "unknown_key", std::nullopt);
      }
      return;
    }
  }
  mFinal = mArrived + mRoute->mTimeout;
  mDeadline = std::min(mFinal, mRequest.mDeadline.value_or(mFinal));
  mPriority = mAccount != nullptr && mAccount->mPriority ? *mAccount->mPriority
                                                         : mRoute->mPriority;
  mService = ChooseService(*mRoute, mRequest.mId);
  mContext.mRetries.OnRequest(mService.mName, mArrived);
  if (mContext.mCrashes.Blocked(Fingerprint(), mArrived)) {
    Refuse("request_crashes_servers", kBlockedRetry);
    return;
  }
  Advance(mArrived);
}

void gateway_session::Advance(time_point aNow)
{
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

void gateway_session::AdvanceTokens(time_point aNow)
{
  const std::int64_t need = mRequest.mPromptTokens + mRequest.mMostOutputTokens;
  if (mAccount == nullptr || !mAccount->mPrepaidTokens || need == 0) {
    mStage = stage::NeedServer;
    return;
  }
  const reserve_verdict verdict =
    mContext.mEscrow.Reserve(mAccount->mName, need, aNow);
  if (verdict == reserve_verdict::Granted) {
    mReserved = need;
    mStage = stage::NeedServer;
  } else if (need > *mAccount->mPrepaidTokens) {
    Answer(kPaymentRequired, "larger_than_prepaid", std::nullopt);
  } else if (verdict == reserve_verdict::Exhausted ||
             aNow >= mArrived + kTokenWait) {
    Refuse(verdict == reserve_verdict::Exhausted ? "prepaid_exhausted"
                                                 : "prepaid_unavailable",
           kTokenRetry);
  }
}

placement_query gateway_session::Query() const
{
  placement_query query;
  query.mService = mService;
  query.mZone = mContext.mSettings.mZone;
  query.mPromptTokens = mRequest.mPromptTokens;
  query.mOutputTokens = mRequest.mMostOutputTokens;
  query.mPrompt = mRequest.mPrompt.empty() ? nullptr : &mRequest.mPrompt;
  query.mExcluded = mTried;
  return query;
}

admission_query gateway_session::AdmissionQuery() const
{
  admission_query query;
  query.mArrived = mArrived;
  query.mFinal = mDeadline;
  query.mObjective = mRoute == nullptr ? milliseconds(0) : mRoute->mObjective;
  return query;
}

void gateway_session::AdvanceServer(time_point aNow)
{
  auto chosen = mContext.mRoster.Choose(Query(), aNow);
  if (!chosen && !mTried.empty()) {
    // No other server is left; one that failed before is better than none.
    placement_query query = Query();
    query.mExcluded.clear();
    chosen = mContext.mRoster.Choose(query, aNow);
  }
  admission_query query = AdmissionQuery();
  query.mHasPlacement = chosen.has_value();
  if (chosen) {
    query.mExpectedMs = chosen->mExpectedMs;
    query.mWaitMs = chosen->mWaitMs;
    query.mOutputMs = chosen->mOutputMs;
  }
  admission_verdict verdict = Admit(query, aNow);
  if (verdict == admission_verdict::Wait &&
      !mContext.mRoster.HasUsable(mService, aNow)) {
    verdict = admission_verdict::Refuse;
  }
  if (verdict == admission_verdict::Send) {
    Send(*chosen, aNow);
  } else if (verdict == admission_verdict::Refuse) {
    if (mRan) {
      Fail(kBadGateway, "no_server_for_repeat");
      return;
    }
    Refuse(chosen ? "too_late" : "servers_full",
           RetryAfter(query, aNow, StableHash(mRequest.mId)));
  }
}

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
      Fail(kGatewayTimeout, "timeout");
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
  // A plain request that may be repeated goes to another server when the first
  // one takes much longer than the objective allows.
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

void gateway_session::ReleaseUpstream(bool aReusable)
{
  if (mStage != stage::Sent) {
    return;
  }
  mContext.mRoster.End(mPlacement.mUpstream, mWork);
  mWork = {};
  if (aReusable && mConnection) {
    mContext.mPool.Keep(std::move(mConnection),
                        mContext.mTime.Now() + KeepTime(mResponse));
  }
  DiscardConnection();
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
      Fail(kBadGateway, "repeat_refused");
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
  const bool serverError = mResponse.mStatus >= kFirstServerError;
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
    // The end of the body may close the connection, which ends this session's
    // use of it.
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
    // Whether the server meant to end here is for the client to judge, as it
    // would without the gateway.
    client->StartResponse(ClientHead(mFraming));
    client->WriteBody(body);
    client->FinishBody();
    return;
  }
  client->Respond(ClientHead(body_framing::Chunked), body);
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
  // A resumed stream is framed as its first part; an end that only the closed
  // connection marks may not be the end of the stream.
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
      Fail(kBadGateway, "server_not_reached");
    } else {
      Refuse("server_not_reached", kRefusedRetry);
    }
    return;
  }
  mRan = true;
  // The end of a kept connection may be the server's idle limit.
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
    Fail(kBadGateway, "server_failed");
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

void gateway_session::Cancel()
{
  mClient = nullptr;
  ReleaseUpstream(false);
  Finish(kClientGone, "client_gone");
}

void gateway_session::Refuse(const char* aReason, milliseconds aRetryAfter)
{
  Answer(kServiceUnavailable, aReason, aRetryAfter);
}

void gateway_session::Fail(unsigned aStatus, const char* aReason)
{
  Answer(aStatus, aReason, std::nullopt);
}

void gateway_session::Answer(unsigned aStatus,
                             const char* aReason,
                             std::optional<milliseconds> aRetryAfter)
{
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
  Finish(kBadGateway, aReason);
  client->Abort();
}

void gateway_session::Finish(unsigned aStatus, const char* aReason)
{
  if (mStage == stage::Done) {
    return;
  }
  const std::int64_t reserved = mReserved;
  const std::int64_t used = SettleTokens();
  mStage = stage::Done;
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
      Field("attempts", mAttempts),
      Field("events", mEvents.Events()),
      Field("reserved", reserved),
      Field("used", used),
      Field("expected_ms", static_cast<int>(mPlacement.mExpectedMs)),
      Field("took_ms",
            std::chrono::duration_cast<milliseconds>(now - mArrived).count()),
      Field("config", mRoutes ? mRoutes->Version() : 0),
      Field("config_age_ms",
            std::chrono::duration_cast<milliseconds>(now - mContext.mConfigSeen)
              .count()) });
}

std::int64_t gateway_session::SettleTokens()
{
  if (mReserved == 0) {
    return 0;
  }
  std::int64_t used = 0;
  if (mRan || mAttempts > 0) {
    // The last event may hold fewer tokens; counting it full cannot overspend.
    used =
      mRequest.mPromptTokens +
      std::min(mRequest.mMostOutputTokens,
               static_cast<std::int64_t>(mEvents.Events()) * TokensPerEvent());
  }
  if (!mRan && mHasResponse && mAnswer.mNotRun) {
    used = 0;
  }
  mContext.mEscrow.Settle(
    mAccount->mName, std::exchange(mReserved, 0), used, mContext.mTime.Now());
  return used;
}

std::string gateway_session::Fingerprint() const
{
  const std::string account =
    mAccount == nullptr ? std::string() : mAccount->mName.mName;
  return FormatWide(
    MakeContentId(account_id{ account + mRequest.mTarget }, mRequest.mBody));
}

std::string gateway_session::ServerRun() const
{
  const server_entry* entry = mContext.mRoster.Find(mPlacement.mUpstream);
  return fmt::format(
    "{}.{}", mPlacement.mUpstream.mName, entry == nullptr ? 0 : entry->mBorn);
}
