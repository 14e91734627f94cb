// Upstream side of the chat system: attempts, streaming and handling of their
// end.

#include "Node/ChatSystem.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Node/ChatReply.h"

namespace {

// Limit in bytes of a response that is not streamed; it is buffered until its
// charge is protected.
constexpr std::size_t kMaxBufferedBodyBytes = 16U << 20U;
// Bytes queued to a slow caller above which reading from the upstream pauses.
constexpr std::size_t kMaxCallerBacklogBytes = 256U << 10U;
// Limit in bytes of an incomplete event together with the held-back events;
// beyond it the attempt fails.
constexpr std::size_t kMaxScannerBytes = 1U << 20U;
// Upstreams may take long to send the response head. The first-token target of
// a rank ends a waiting request earlier.
constexpr std::chrono::milliseconds kResponseHeadTimeout(120'000);
constexpr std::chrono::milliseconds kProbeTimeout(500);
// A backup answers within milliseconds and the table service within a second.
// After this time the response is finished although the charge exists only in
// this process.
constexpr std::chrono::milliseconds kProtectionTimeout(2000);
constexpr unsigned kStatusTooManyRequests = 429;
constexpr unsigned kMinServerErrorStatus = 500;
constexpr unsigned kMinClientErrorStatus = 400;

bool IsOverloadStatus(unsigned aStatus)
{
  return aStatus == kStatusTooManyRequests ||
         aStatus == SOUP_STATUS_SERVICE_UNAVAILABLE;
}

} // namespace

void chat_system::StartAttempt(chat_session& aSession,
                               const start_decision& aStart,
                               time_point aNow)
{
  const auto address = mAddresses.find(aStart.mUpstream);
  if (address == mAddresses.end()) {
    mContext.mDispatch->OnFinished(
      aSession.mRequest, attempt_outcome::RefusedBeforeRunning, aNow);
    mContext.mWake();
    return;
  }
  aSession.mStep = chat_step::Running;
  aSession.mUpstream = aStart.mUpstream;
  aSession.mUpstreamStatus = 0;
  aSession.mUpstreamClosing = false;
  aSession.mBufferedBody.clear();
  aSession.mScanner.DropPartialEvent();
  aSession.mResumeOffset = aSession.mScanner.TokenEvents();
  aSession.mLastTokenTime = aNow;
  aSession.mUpstreamPaused = false;
  aSession.mAttemptTokenSeen = false;
  aSession.mSpans.mQueue.Finish();
  aSession.mSpans.mUpstream =
    mContext.mTracer->StartChild("upstream", aSession.mSpans.mRequest);
  aSession.mSpans.mUpstream.SetTag("upstream", aStart.mUpstream.mName);

  chat_session* session = &aSession;
  http_stream_handlers handlers;
  handlers.mOnHead = [this, session](const http_response_head& aHead) {
    HandleHead(*session, aHead);
  };
  handlers.mOnData = [this, session](std::string_view aBytes) {
    HandleData(*session, aBytes);
  };
  handlers.mOnEnd = [this, session](std::optional<http_failure> aFailure) {
    HandleEnd(*session, aFailure);
  };
  aSession.mStream = std::make_unique<http_stream>(
    *mContext.mClient,
    MakeUpstreamRequest(aSession, address->second, aStart),
    std::move(handlers));
}

http_request chat_system::MakeUpstreamRequest(chat_session& aSession,
                                              const std::string& aAddress,
                                              const start_decision& aStart)
{
  http_request request;
  request.mMethod = "POST";
  request.mUrl = fmt::format("http://{}/v1/chat/completions", aAddress);
  request.mBody =
    MakeUpstreamBody(aSession.mAdmitted.mChat,
                     { aSession.mAdmitted.mMaxOutput, aStart.mPriority });
  request.mTimeout = kResponseHeadTimeout;
  request.mHeaders = {
    { "X-Request-Id", FormatWide(aSession.mRequest) },
    { "traceparent", FormatTraceParent(aSession.mSpans.mUpstream.Context()) },
  };
  if (aSession.mResumeOffset > 0) {
    request.mHeaders.emplace_back("X-Resume-From",
                                  fmt::format("{}", aSession.mResumeOffset));
  }
  return request;
}

void chat_system::HandleHead(chat_session& aSession,
                             const http_response_head& aHead)
{
  aSession.mUpstreamStatus = aHead.mStatus;
  aSession.mUpstreamClosing =
    FindHeader(aHead.mHeaders, "Connection") == "close";
}

void chat_system::HandleData(chat_session& aSession, std::string_view aBytes)
{
  const bool streamed = aSession.mAdmitted.mChat.mStream &&
                        aSession.mUpstreamStatus == SOUP_STATUS_OK;
  if (streamed) {
    ForwardEvents(aSession, aBytes);
    return;
  }
  if (aSession.mBufferedBody.size() + aBytes.size() > kMaxBufferedBodyBytes) {
    aSession.mStream.reset();
    HandleBrokenAttempt(aSession);
    return;
  }
  aSession.mBufferedBody.append(aBytes);
}

void chat_system::ForwardEvents(chat_session& aSession, std::string_view aBytes)
{
  const std::int64_t tokensBefore = aSession.mScanner.TokenEvents();
  const std::string forward = aSession.mScanner.Feed(aBytes);
  RecordTokens(aSession, aSession.mScanner.TokenEvents() - tokensBefore);
  if (aSession.mScanner.BufferedBytes() > kMaxScannerBytes) {
    aSession.mStream.reset();
    HandleBrokenAttempt(aSession);
    return;
  }
  if (forward.empty()) {
    return;
  }
  http_server_exchange& exchange = *aSession.mExchange;
  if (!std::exchange(aSession.mHeadSent, true)) {
    exchange.BeginStream(SOUP_STATUS_OK, kEventStreamType);
  }
  exchange.Write(forward);
  if (exchange.Buffered() <= kMaxCallerBacklogBytes) {
    return;
  }
  aSession.mUpstreamPaused = true;
  aSession.mStream->Pause();
  chat_session* session = &aSession;
  exchange.OnDrained([session] {
    if (session->mStream && std::exchange(session->mUpstreamPaused, false)) {
      session->mStream->Resume();
    }
  });
}

void chat_system::RecordTokens(chat_session& aSession, std::int64_t aTokens)
{
  if (aTokens == 0) {
    return;
  }
  const time_point now = mContext.mTime->Now();
  const work_rank rank = aSession.mAdmitted.mRank;
  if (!std::exchange(aSession.mAttemptTokenSeen, true)) {
    mContext.mDispatch->OnFirstToken(aSession.mRequest, now);
  }
  if (!std::exchange(aSession.mFirstTokenSeen, true)) {
    mContext.mMetrics->ObserveFirstToken(rank, now - aSession.mArrivalTime);
  } else {
    mContext.mMetrics->ObserveTokenGap(rank, now - aSession.mLastTokenTime);
  }
  aSession.mLastTokenTime = now;
  mContext.mDispatch->OnTokens(aSession.mRequest, aTokens, now);
}

void chat_system::HandleEnd(chat_session& aSession,
                            std::optional<http_failure> aFailure)
{
  aSession.mStream.reset();
  aSession.mSpans.mUpstream.Finish();
  if (aFailure == http_failure::Unavailable) {
    mContext.mDispatch->OnFinished(aSession.mRequest,
                                   attempt_outcome::RefusedBeforeRunning,
                                   mContext.mTime->Now());
    aSession.mStep = chat_step::Queued;
    mContext.mWake();
    return;
  }
  if (!aFailure && aSession.mUpstreamStatus != SOUP_STATUS_OK) {
    HandleErrorStatus(aSession);
    return;
  }
  if (aFailure || !ResponseComplete(aSession)) {
    HandleBrokenAttempt(aSession);
    return;
  }
  CompleteResponse(aSession);
}

/// Handles a complete response with an error status.
void chat_system::HandleErrorStatus(chat_session& aSession)
{
  const time_point now = mContext.mTime->Now();
  if (IsOverloadStatus(aSession.mUpstreamStatus)) {
    if (aSession.mUpstreamClosing) {
      mContext.mDispatch->OnUpstreamLeaving(aSession.mUpstream, now);
    }
    mContext.mDispatch->OnFinished(
      aSession.mRequest, attempt_outcome::RefusedBeforeRunning, now);
    aSession.mStep = chat_step::Queued;
    mContext.mWake();
    return;
  }
  const bool isClientError =
    aSession.mUpstreamStatus >= kMinClientErrorStatus &&
    aSession.mUpstreamStatus < kMinServerErrorStatus;
  if (!isClientError) {
    HandleBrokenAttempt(aSession);
    return;
  }
  // Another upstream would give the same answer, so there is no retry.
  mContext.mDispatch->OnFinished(
    aSession.mRequest, attempt_outcome::Completed, now);
  FailRequest(
    aSession,
    UpstreamRequestError(aSession.mUpstreamStatus, aSession.mBufferedBody));
}

bool chat_system::ResponseComplete(const chat_session& aSession) const
{
  if (aSession.mAdmitted.mChat.mStream) {
    return aSession.mScanner.DoneSeen();
  }
  return nlohmann::json::accept(aSession.mBufferedBody);
}

/// Usage of the response over all attempts; none when the upstream reported no
/// valid usage.
std::optional<token_usage> chat_system::ReportedUsage(chat_session& aSession)
{
  if (!aSession.mAdmitted.mChat.mStream) {
    return ParseUsage(aSession.mBufferedBody);
  }
  if (aSession.mResumeOffset > 0 && aSession.mScanner.Usage()) {
    token_usage usage = *aSession.mScanner.Usage();
    usage.mCompletionTokens += aSession.mResumeOffset;
    aSession.mScanner.ReplaceUsage(usage);
  }
  return aSession.mScanner.Usage();
}

void chat_system::CompleteResponse(chat_session& aSession)
{
  const time_point now = mContext.mTime->Now();
  const admitted_chat& admitted = aSession.mAdmitted;
  const auto usage = ReportedUsage(aSession);
  if (!admitted.mChat.mStream) {
    RecordTokens(aSession, usage ? usage->mCompletionTokens : 1);
  }
  mContext.mDispatch->OnFinished(
    aSession.mRequest, attempt_outcome::Completed, now);
  aSession.mSpans.mUpstream.Finish();
  mContext.mWake();
  if (aSession.FreeTier()) {
    FinishResponse(aSession);
    return;
  }
  // Without usage the budget charges the whole reservation.
  constexpr std::int64_t kUnknownUsage = -1;
  SettleReservation(aSession,
                    usage ? ComputePrice(admitted.mPrice,
                                         usage->mPromptTokens,
                                         usage->mCompletionTokens)
                          : kUnknownUsage);
  aSession.mStep = chat_step::AwaitingProtection;
  aSession.mProtectionDeadline = now + kProtectionTimeout;
  mAwaitingProtection.push_back(aSession.mRequest);
}

/// Handles an attempt that ended before the response was complete. A probe
/// distinguishes a crashed upstream from a broken connection, since only a
/// crash counts towards the quarantine of the content.
void chat_system::HandleBrokenAttempt(chat_session& aSession)
{
  aSession.mStep = chat_step::Probing;
  const auto address = mAddresses.find(aSession.mUpstream);
  const request_id request = aSession.mRequest;
  if (address == mAddresses.end()) {
    FinishProbe(request, false);
    return;
  }
  http_request probe;
  probe.mUrl = fmt::format("http://{}/v1/load", address->second);
  probe.mTimeout = kProbeTimeout;
  mContext.mClient->Send(
    probe,
    mProbes,
    [this, request](const result<http_reply, http_failure>& aReply) {
      const bool refused =
        aReply.has_error() && aReply.error() == http_failure::Unavailable;
      FinishProbe(request, refused);
    });
}

void chat_system::FinishProbe(const request_id& aRequest, bool aCrashed)
{
  const auto found = mSessions.find(aRequest);
  if (found == mSessions.end() || found->second->mStep != chat_step::Probing) {
    return;
  }
  chat_session& session = *found->second;
  attempt_outcome outcome = attempt_outcome::BrokeBeforeFirstToken;
  if (aCrashed) {
    outcome = attempt_outcome::UpstreamCrashed;
  } else if (session.mHeadSent) {
    outcome = attempt_outcome::BrokeMidStream;
  }
  session.mStep = chat_step::Queued;
  mContext.mDispatch->OnFinished(aRequest, outcome, mContext.mTime->Now());
  mContext.mWake();
}

/// True when all upstream groups of the model can resume streams, since any of
/// them may get the next attempt.
bool chat_system::CanResume(const model_id& aModel) const
{
  bool anyGroup = false;
  for (const upstream_group& group : mDocument->Capacity().mUpstreamGroups) {
    const bool serves =
      group.mModels.empty() ||
      std::find(group.mModels.begin(), group.mModels.end(), aModel) !=
        group.mModels.end();
    if (!serves) {
      continue;
    }
    if (!group.mResumesStreams) {
      return false;
    }
    anyGroup = true;
  }
  return anyGroup;
}
