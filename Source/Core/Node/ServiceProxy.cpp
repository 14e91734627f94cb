#include "Node/ServiceProxy.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Node/ChatAdmission.h"
#include "Node/ChatReply.h"

namespace {

constexpr std::string_view kPathPrefix = "/v1/services/";
constexpr std::chrono::milliseconds kCallTimeout(10'000);
constexpr std::size_t kMaxSendAttempts = 3;

request_error MakeError(request_error_code aCode,
                        std::string aMessage,
                        run_state aRun)
{
  return { aCode, std::move(aMessage), aRun, std::nullopt };
}

request_error UnreachableError()
{
  return { request_error_code::NoUpstream,
           "no host of this service can be reached",
           run_state::NotRun,
           std::chrono::milliseconds(1000) };
}

std::string ReplyContentType(const http_headers& aHeaders)
{
  const std::string_view type = FindHeader(aHeaders, "Content-Type");
  return type.empty() ? "application/octet-stream" : std::string(type);
}

std::string RequestContentType(const http_server_exchange& aExchange)
{
  const std::string_view type = aExchange.Header("Content-Type");
  return type.empty() ? "application/json" : std::string(type);
}

/// Error for a call that ended without an answer of the service.
request_error CallError(const call_answer& aAnswer)
{
  const std::string message = fmt::format("the call ended as {}: {}",
                                          CallOutcomeName(aAnswer.mOutcome),
                                          CallReasonName(aAnswer.mReason));
  if (aAnswer.mReason == call_reason::KeyReused) {
    return MakeError(
      request_error_code::InvalidRequest, message, run_state::NotRun);
  }
  switch (aAnswer.mOutcome) {
    case call_outcome::NotRun:
      return { request_error_code::NoUpstream,
               message,
               run_state::NotRun,
               std::chrono::milliseconds(1000) };
    case call_outcome::Unknown:
      return MakeError(
        request_error_code::OutcomeUnknown, message, run_state::Unknown);
    case call_outcome::Ok:
    case call_outcome::Failed:
      break;
  }
  return MakeError(
    request_error_code::AlreadyAnswered, message, run_state::Ran);
}

} // namespace

service_proxy::service_proxy(service_context aContext)
  : mContext(std::move(aContext))
  , mDocument(std::make_shared<const fleet_document>())
{
}

void service_proxy::ApplyDocument(
  std::shared_ptr<const fleet_document> aDocument)
{
  mDocument = std::move(aDocument);
}

void service_proxy::SetHosts(
  std::map<service_id, std::vector<service_host>> aHosts)
{
  mHosts = std::move(aHosts);
}

void service_proxy::Accept(const http_server_exchange_ptr& aExchange)
{
  if (mShuttingDown) {
    Refuse(aExchange, ShuttingDownError());
    return;
  }
  auto admitted = Admit(*aExchange);
  if (!admitted) {
    Refuse(aExchange, admitted.error());
    return;
  }
  const auto& request = admitted.value();
  const service_settings* service = mDocument->FindService(request->mService);
  const std::string_view path(request->mPath);
  const bool unrepeatable =
    IsNotRepeatable(*service, request->mMethod, path.substr(0, path.find('?')));
  if (unrepeatable) {
    BeginUnrepeatable(aExchange, request);
  } else {
    ++mRepeatableCount;
    SendRepeatable(aExchange, request, 1);
  }
}

result<std::shared_ptr<service_proxy::service_request>, request_error>
service_proxy::Admit(http_server_exchange& aExchange)
{
  BOOST_OUTCOME_TRY(
    account, Authenticate(*mDocument, aExchange.Header("Authorization")));
  std::string_view path = aExchange.Path();
  path.remove_prefix(std::min(kPathPrefix.size(), path.size()));
  const std::size_t slash = path.find('/');
  auto request = std::make_shared<service_request>();
  request->mAccount = account->mId;
  request->mService.mName = std::string(path.substr(0, slash));
  if (mDocument->FindService(request->mService) == nullptr) {
    return MakeError(
      request_error_code::UnknownService,
      fmt::format("service: {} does not exist", request->mService.mName),
      run_state::NotRun);
  }
  request->mPath =
    slash == std::string_view::npos ? "/" : std::string(path.substr(slash));
  GUri* uri = soup_server_message_get_uri(aExchange.Message());
  if (const char* query = g_uri_get_query(uri)) {
    request->mPath += fmt::format("?{}", query);
  }
  request->mMethod = std::string(aExchange.Method());
  request->mContentType = RequestContentType(aExchange);
  request->mBody = std::string(aExchange.Body());
  request->mSpan = mContext.mTracer->StartRequest(
    "service", ParseTraceParent(aExchange.Header("traceparent")));
  return request;
}

void service_proxy::BeginUnrepeatable(const http_server_exchange_ptr& aExchange,
                                      std::shared_ptr<service_request> aRequest)
{
  const std::string key(aExchange->Header("Idempotency-Key"));
  if (key.empty()) {
    Refuse(aExchange,
           MakeError(request_error_code::InvalidRequest,
                     "Idempotency-Key: required for a call that must not be "
                     "repeated",
                     run_state::NotRun));
    return;
  }
  service_call call;
  call.mAccount = aRequest->mAccount;
  call.mKey = key;
  call.mService = aRequest->mService;
  call.mContent = MakeContentId(aRequest->mAccount,
                                aRequest->mMethod + ' ' + aRequest->mPath +
                                  '\n' + aRequest->mBody);
  // Only for a first attempt can the node be sure that nothing ran before.
  call.mMayBeRetry = aExchange->Header("X-Attempt") != "1";
  call.mDeadline = mContext.mTime->Now() + kCallTimeout;
  call.mWallDeadline = mContext.mTime->WallNow() + kCallTimeout;
  const call_number number =
    mContext.mCalls->Begin(call, mContext.mTime->Now());
  mUnrepeatable.emplace(number,
                        unrepeatable_call{ aExchange, std::move(aRequest) });
  mContext.mWake();
}

void service_proxy::SendRepeatable(
  const http_server_exchange_ptr& aExchange,
  const std::shared_ptr<service_request>& aRequest,
  std::size_t aAttempt)
{
  const service_host* host = NextHost(aRequest->mService);
  if (host == nullptr) {
    --mRepeatableCount;
    Refuse(aExchange, UnreachableError());
    return;
  }
  mContext.mClient->Send(
    MakeRequest(*aRequest, *host),
    mRequests,
    [this, aExchange, aRequest, aAttempt](
      const result<http_reply, http_failure>& aReply) {
      if (aReply.has_value()) {
        --mRepeatableCount;
        mContext.mMetrics->Count("service_calls_total",
                                 "Answered calls to plain services.");
        aExchange->Reply(aReply.value().mStatus,
                         ReplyContentType(aReply.value().mHeaders).c_str(),
                         aReply.value().mBody);
        return;
      }
      if (aAttempt < kMaxSendAttempts) {
        SendRepeatable(aExchange, aRequest, aAttempt + 1);
        return;
      }
      --mRepeatableCount;
      Refuse(aExchange, UnreachableError());
    });
}

void service_proxy::Apply(const service_call_output& aWork)
{
  for (const call_number call : aWork.mSends) {
    SendUnrepeatable(call);
  }
  for (const call_answer& answer : aWork.mAnswers) {
    ReplyToCall(answer);
  }
}

/// Sends a call whose intent is recorded in the table service. It is never
/// sent a second time.
void service_proxy::SendUnrepeatable(call_number aCall)
{
  const auto found = mUnrepeatable.find(aCall);
  if (found == mUnrepeatable.end()) {
    mContext.mCalls->OnServiceResult(aCall, service_error::NotSent);
    return;
  }
  const service_request& request = *found->second.mRequest;
  const service_host* host = NextHost(request.mService);
  if (host == nullptr) {
    mContext.mCalls->OnServiceResult(aCall, service_error::NotSent);
    mContext.mWake();
    return;
  }
  http_request message = MakeRequest(request, *host);
  message.mHeaders.emplace_back(
    "Idempotency-Key", found->second.mExchange->Header("Idempotency-Key"));
  mContext.mCalls->OnSent(aCall);
  mContext.mClient->Send(
    message,
    mRequests,
    [this, aCall](const result<http_reply, http_failure>& aReply) {
      if (aReply.has_error()) {
        const bool notSent = aReply.error() == http_failure::Unavailable;
        mContext.mCalls->OnServiceResult(
          aCall, notSent ? service_error::NotSent : service_error::Lost);
      } else {
        const http_reply& reply = aReply.value();
        mContext.mCalls->OnServiceResult(
          aCall,
          service_response{ static_cast<int>(reply.mStatus),
                            ReplyContentType(reply.mHeaders),
                            reply.mBody });
      }
      mContext.mWake();
    });
}

void service_proxy::ReplyToCall(const call_answer& aAnswer)
{
  const auto found = mUnrepeatable.find(aAnswer.mCall);
  if (found == mUnrepeatable.end()) {
    return;
  }
  const http_server_exchange_ptr exchange = found->second.mExchange;
  found->second.mRequest->mSpan.Finish();
  mUnrepeatable.erase(found);
  mContext.mMetrics->Count(
    fmt::format("service_call_{}_total", CallOutcomeName(aAnswer.mOutcome)),
    "Calls that must not be repeated, by outcome.");
  if (!aAnswer.mResponse) {
    ReplyRequestError(*exchange, CallError(aAnswer));
    return;
  }
  const service_response& response = *aAnswer.mResponse;
  exchange->AddHeader("X-Call-Outcome",
                      std::string(CallOutcomeName(aAnswer.mOutcome)));
  exchange->Reply(static_cast<unsigned>(response.mStatus),
                  response.mContentType.c_str(),
                  response.mBody);
}

const service_host* service_proxy::NextHost(const service_id& aService)
{
  const auto hosts = mHosts.find(aService);
  if (hosts == mHosts.end() || hosts->second.empty()) {
    return nullptr;
  }
  std::size_t& next = mNextHost[aService];
  next = (next + 1) % hosts->second.size();
  return &hosts->second[next];
}

http_request service_proxy::MakeRequest(const service_request& aRequest,
                                        const service_host& aHost) const
{
  http_request request;
  request.mMethod = aRequest.mMethod;
  request.mUrl = fmt::format("http://{}{}", aHost.mAddress, aRequest.mPath);
  request.mContentType = aRequest.mContentType;
  request.mBody = aRequest.mBody;
  request.mTimeout = kCallTimeout;
  request.mHeaders = {
    { "X-Client-Account", aRequest.mAccount.mName },
    { "traceparent", FormatTraceParent(aRequest.mSpan.Context()) },
  };
  return request;
}

void service_proxy::Refuse(const http_server_exchange_ptr& aExchange,
                           const request_error& aError)
{
  mContext.mMetrics->Count("service_refusals_total",
                           "Calls to plain services that were refused.");
  ReplyRequestError(*aExchange, aError);
}
