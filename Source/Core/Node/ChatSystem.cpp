#include "Node/ChatSystem.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Node/ChatReply.h"

namespace {

// Covers one read and one commit of a table service under load. A caller whose
// grant takes longer gets an error with a retry delay.
constexpr std::chrono::milliseconds kGrantTimeout(1500);
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;

} // namespace

chat_system::chat_system(chat_context aContext,
                         std::uint32_t aMaxOpen,
                         std::uint64_t aSeed)
  : mContext(std::move(aContext))
  , mMaxOpen(aMaxOpen)
  , mRandom(aSeed)
  , mDocument(std::make_shared<const fleet_document>())
{
}

chat_system::~chat_system()
{
  for (auto& [request, session] : mSessions) {
    session->mExchange->OnClosed(nullptr);
    session->mExchange->OnDrained(nullptr);
  }
}

void chat_system::ApplyDocument(std::shared_ptr<const fleet_document> aDocument)
{
  mDocument = std::move(aDocument);
}

void chat_system::SetUpstreamAddresses(
  std::map<upstream_id, std::string> aAddresses)
{
  mAddresses = std::move(aAddresses);
}

void chat_system::ReplaceBudget(budget_system& aBudget)
{
  mContext.mBudget = &aBudget;
}

void chat_system::OnBudgetsChanged(const std::vector<budget_id>& aBudgets)
{
  mChangedBudgets.insert(aBudgets.begin(), aBudgets.end());
}

void chat_system::Accept(const http_server_exchange_ptr& aExchange)
{
  if (mShuttingDown) {
    RefuseRequest(aExchange, ShuttingDownError());
    return;
  }
  if (mSessions.size() >= mMaxOpen) {
    RefuseRequest(aExchange, TooManyRequestsError());
    return;
  }
  const chat_input input{ aExchange->Header("Authorization"),
                          aExchange->Body() };
  auto admitted = AdmitChat(*mDocument, input);
  if (!admitted) {
    RefuseRequest(aExchange, admitted.error());
    return;
  }
  if (aExchange->Header("Idempotency-Key").size() > kMaxIdempotencyKeyBytes) {
    RefuseRequest(aExchange, IdempotencyKeyError(kMaxIdempotencyKeyBytes));
    return;
  }
  BeginSession(std::move(admitted.value()), aExchange);
}

void chat_system::BeginSession(admitted_chat aAdmitted,
                               const http_server_exchange_ptr& aExchange)
{
  const request_id request = ChooseRequestId(
    aAdmitted.mAccount->mId, aExchange->Header("Idempotency-Key"));
  if (mSessions.contains(request)) {
    RefuseRequest(aExchange, DuplicateRequestError());
    return;
  }
  auto created = std::make_unique<chat_session>();
  chat_session& session = *created;
  const time_point now = mContext.mTime->Now();
  session.mRequest = request;
  session.mAdmitted = std::move(aAdmitted);
  session.mExchange = aExchange;
  session.mArrivalTime = now;
  session.mGrantDeadline = now + kGrantTimeout;
  session.mSpans.mRequest = mContext.mTracer->StartRequest(
    "chat", ParseTraceParent(aExchange->Header("traceparent")));
  session.mSpans.mRequest.SetTag("account", session.Account().mId.mName);
  mSessions.emplace(request, std::move(created));
  aExchange->OnClosed([this, request] { HandleCallerClosed(request); });

  if (session.FreeTier()) {
    Enqueue(session, now);
    return;
  }
  session.mSpans.mGrant =
    mContext.mTracer->StartChild("reserve", session.mSpans.mRequest);
  if (TryReserve(session, now) && session.mStep == chat_step::AwaitingGrant) {
    mAwaitingGrant.push_back(request);
    mContext.mWake();
  }
}

request_id chat_system::ChooseRequestId(const account_id& aAccount,
                                        std::string_view aIdempotencyKey)
{
  if (!aIdempotencyKey.empty()) {
    return MakeRequestId(aAccount, aIdempotencyKey);
  }
  return { mRandom(), mRandom() };
}

/// Reserves the largest possible price of a request and queues it, or leaves it
/// waiting for a grant. Returns false when the request failed and its session
/// was removed.
bool chat_system::TryReserve(chat_session& aSession, time_point aNow)
{
  const admitted_chat& admitted = aSession.mAdmitted;
  const std::int64_t worstCase = ComputePrice(
    admitted.mPrice, admitted.mChat.mMaxPromptTokens, admitted.mMaxOutput);
  const auto reserved =
    mContext.mBudget->Reserve(aSession.mRequest,
                              aSession.Account().mId,
                              aSession.Account().mBudget,
                              std::max<std::int64_t>(worstCase, 1),
                              aNow);
  if (reserved.has_value()) {
    aSession.mHasReservation = true;
    aSession.mSpans.mGrant.Finish();
    Enqueue(aSession, aNow);
    return true;
  }
  const bool waits = reserved.error() == budget_error::AwaitingGrant &&
                     aNow < aSession.mGrantDeadline;
  if (waits) {
    return true;
  }
  FailRequest(aSession, BudgetRequestError(reserved.error()));
  return false;
}

void chat_system::Enqueue(chat_session& aSession, time_point aNow)
{
  const admitted_chat& admitted = aSession.mAdmitted;
  dispatch_request request;
  request.mRequest = aSession.mRequest;
  request.mAccount = aSession.Account().mId;
  request.mWeight = aSession.Account().mWeight;
  request.mRank = admitted.mRank;
  request.mFreeTier = aSession.FreeTier();
  request.mModel = admitted.mChat.mModel;
  // The dispatcher works with an estimate; only the reservation needs an upper
  // bound.
  request.mPromptTokens = EstimatePromptTokens(admitted.mChat);
  request.mMaxOutputTokens = admitted.mMaxOutput;
  request.mContent =
    MakeContentId(aSession.Account().mId, admitted.mChat.mContentHashInput);
  request.mPrefixBlocks = admitted.mChat.mPrefixBlocks;
  request.mResumable =
    admitted.mChat.mStream && CanResume(admitted.mChat.mModel);

  aSession.mStep = chat_step::Queued;
  aSession.mSpans.mQueue =
    mContext.mTracer->StartChild("queue", aSession.mSpans.mRequest);
  mContext.mDispatch->Enqueue(request, aNow);
  mContext.mWake();
}

std::vector<quarantine_notice> chat_system::Tick(time_point aNow)
{
  RetryGrants(aNow);
  dispatch_output output = mContext.mDispatch->Tick(aNow);
  ApplyCancels(output.mCancels);
  ApplyRejects(output.mRejects);
  ApplyStarts(output.mStarts, aNow);
  FinishProtected(aNow);
  return std::move(output.mNotices);
}

void chat_system::RetryGrants(time_point aNow)
{
  std::vector<request_id> waiting;
  waiting.swap(mAwaitingGrant);
  for (const request_id& request : waiting) {
    const auto found = mSessions.find(request);
    if (found == mSessions.end() ||
        found->second->mStep != chat_step::AwaitingGrant) {
      continue;
    }
    chat_session& session = *found->second;
    const bool due = mChangedBudgets.contains(session.Account().mBudget) ||
                     aNow >= session.mGrantDeadline;
    if (!due) {
      mAwaitingGrant.push_back(request);
      continue;
    }
    if (TryReserve(session, aNow) &&
        session.mStep == chat_step::AwaitingGrant) {
      mAwaitingGrant.push_back(request);
    }
  }
  mChangedBudgets.clear();
}

void chat_system::ApplyStarts(const std::vector<start_decision>& aStarts,
                              time_point aNow)
{
  for (const start_decision& start : aStarts) {
    const auto found = mSessions.find(start.mRequest);
    if (found != mSessions.end()) {
      StartAttempt(*found->second, start, aNow);
    }
  }
}

void chat_system::ApplyRejects(const std::vector<reject_decision>& aRejects)
{
  for (const reject_decision& reject : aRejects) {
    const auto found = mSessions.find(reject.mRequest);
    if (found != mSessions.end()) {
      FailRequest(*found->second, DispatchRequestError(reject));
    }
  }
}

void chat_system::ApplyCancels(const std::vector<cancel_decision>& aCancels)
{
  for (const cancel_decision& cancel : aCancels) {
    const auto found = mSessions.find(cancel.mRequest);
    if (found != mSessions.end()) {
      found->second->mStream.reset();
    }
  }
}

void chat_system::FinishProtected(time_point aNow)
{
  std::vector<request_id> waiting;
  waiting.swap(mAwaitingProtection);
  for (const request_id& request : waiting) {
    const auto found = mSessions.find(request);
    if (found == mSessions.end()) {
      continue;
    }
    chat_session& session = *found->second;
    if (mContext.mBudget->IsChargeProtected(request)) {
      FinishResponse(session);
      continue;
    }
    if (aNow >= session.mProtectionDeadline) {
      mContext.mBudget->CountUnprotectedDelivery();
      FinishResponse(session);
      continue;
    }
    mAwaitingProtection.push_back(request);
  }
}

std::size_t chat_system::AbortAll()
{
  const std::size_t count = mSessions.size();
  while (!mSessions.empty()) {
    chat_session& session = *mSessions.begin()->second;
    mContext.mDispatch->Abandon(session.mRequest, mContext.mTime->Now());
    FailRequest(session, RequestAbortedError(session.mStep));
  }
  return count;
}

/// Called when the caller's connection closed before the response ended.
void chat_system::HandleCallerClosed(const request_id& aRequest)
{
  const auto found = mSessions.find(aRequest);
  if (found == mSessions.end()) {
    return;
  }
  chat_session& session = *found->second;
  session.mStream.reset();
  mContext.mDispatch->Abandon(aRequest, mContext.mTime->Now());
  SettleDelivered(session);
  mContext.mMetrics->CountRequest(
    session.Account().mId, session.mAdmitted.mRank, "caller_gone");
  mContext.mWake();
  RemoveSession(session);
}

std::int64_t chat_system::DeliveredPrice(const chat_session& aSession) const
{
  const std::int64_t events = aSession.mScanner.TokenEvents();
  if (events == 0) {
    return 0;
  }
  const admitted_chat& admitted = aSession.mAdmitted;
  return ComputePrice(
    admitted.mPrice, EstimatePromptTokens(admitted.mChat), events);
}

/// Charges the tokens delivered so far, or releases the reservation when there
/// are none.
void chat_system::SettleDelivered(chat_session& aSession)
{
  const std::int64_t units = DeliveredPrice(aSession);
  if (units > 0) {
    SettleReservation(aSession, units);
  } else {
    ReleaseReservation(aSession);
  }
}

void chat_system::SettleReservation(chat_session& aSession, std::int64_t aUnits)
{
  if (!std::exchange(aSession.mHasReservation, false)) {
    return;
  }
  mContext.mBudget->Settle(aSession.mRequest,
                           aUnits,
                           mContext.mTime->WallNow(),
                           mContext.mTime->Now());
  mContext.mMetrics->CountTokens(aSession.Account().mId, aUnits);
}

void chat_system::ReleaseReservation(chat_session& aSession)
{
  if (std::exchange(aSession.mHasReservation, false)) {
    mContext.mBudget->Release(aSession.mRequest, mContext.mTime->Now());
  }
}

/// Sends the part of the response that was held back until the charge was
/// protected, and ends the request.
void chat_system::FinishResponse(chat_session& aSession)
{
  const http_server_exchange_ptr exchange = aSession.mExchange;
  if (aSession.mAdmitted.mChat.mStream) {
    if (!aSession.mHeadSent) {
      exchange->BeginStream(SOUP_STATUS_OK, kEventStreamType);
    }
    exchange->Write(aSession.mScanner.HeldBack());
    exchange->End();
  } else {
    exchange->Reply(SOUP_STATUS_OK, "application/json", aSession.mBufferedBody);
  }
  mContext.mMetrics->CountRequest(
    aSession.Account().mId, aSession.mAdmitted.mRank, "ok");
  RemoveSession(aSession);
}

/// Ends a request with an error: as an HTTP status when nothing was sent yet,
/// otherwise as the last event of the stream.
void chat_system::FailRequest(chat_session& aSession,
                              const request_error& aError)
{
  aSession.mStream.reset();
  SettleDelivered(aSession);
  mContext.mMetrics->CountRequest(aSession.Account().mId,
                                  aSession.mAdmitted.mRank,
                                  RequestErrorName(aError.mCode));
  const http_server_exchange_ptr exchange = aSession.mExchange;
  if (aSession.mHeadSent) {
    exchange->Write(FormatRequestErrorEvent(aError));
    exchange->End();
  } else {
    ReplyRequestError(*exchange, aError);
  }
  mContext.mWake();
  RemoveSession(aSession);
}

void chat_system::RefuseRequest(const http_server_exchange_ptr& aExchange,
                                const request_error& aError)
{
  mContext.mMetrics->Count("refused_at_entry_total",
                           "Requests refused before they were queued.");
  ReplyRequestError(*aExchange, aError);
}

void chat_system::RemoveSession(chat_session& aSession)
{
  aSession.mExchange->OnClosed(nullptr);
  aSession.mExchange->OnDrained(nullptr);
  aSession.mSpans.mUpstream.Finish();
  aSession.mSpans.mRequest.Finish();
  mSessions.erase(aSession.mRequest);
}
