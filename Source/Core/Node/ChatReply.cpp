#include "Node/ChatReply.h"

#include <optional>

#include <fmt/format.h>

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryDelay(1000);
constexpr std::int64_t kBytesPerToken = 4;
// Limits how much of an upstream's error body reaches the caller's logs.
constexpr std::size_t kMaxQuotedBytes = 300;

request_error NotRun(request_error_code aCode,
                     std::string aMessage,
                     std::optional<milliseconds> aRetryAfter)
{
  return { aCode, std::move(aMessage), run_state::NotRun, aRetryAfter };
}

request_error_code DispatchCode(reject_reason aReason)
{
  switch (aReason) {
    case reject_reason::QueueFull:
      return request_error_code::Overloaded;
    case reject_reason::TooLate:
      return request_error_code::DeadlineUnreachable;
    case reject_reason::NoUpstream:
      return request_error_code::NoUpstream;
    case reject_reason::Quarantined:
    case reject_reason::Suspect:
      return request_error_code::Quarantined;
    case reject_reason::RetriesExhausted:
      return request_error_code::UpstreamFailed;
    case reject_reason::BrokeMidStream:
      return request_error_code::UpstreamBroke;
    case reject_reason::Displaced:
      return request_error_code::Preempted;
    case reject_reason::Duplicate:
      return request_error_code::DuplicateRequest;
  }
  return request_error_code::UpstreamFailed;
}

std::string_view DispatchMessage(reject_reason aReason)
{
  switch (aReason) {
    case reject_reason::QueueFull:
      return "too many requests of this rank are waiting";
    case reject_reason::TooLate:
      return "the time to first token can no longer be met";
    case reject_reason::NoUpstream:
      return "no upstream serves this model now";
    case reject_reason::Quarantined:
      return "this request crashed the upstreams that ran it";
    case reject_reason::Suspect:
      return "this request is being checked after an upstream crashed";
    case reject_reason::RetriesExhausted:
      return "the upstreams that were tried failed";
    case reject_reason::BrokeMidStream:
      return "the upstream failed during the response";
    case reject_reason::Displaced:
      return "a free-tier request made room for paid work";
    case reject_reason::Duplicate:
      return "a request with this idempotency key is in progress";
  }
  return "the request was rejected";
}

} // namespace

request_error BudgetRequestError(budget_error aError)
{
  switch (aError) {
    case budget_error::UnknownBudget:
      return NotRun(request_error_code::BudgetExhausted,
                    "the budget of this client account does not exist",
                    std::nullopt);
    case budget_error::Exhausted:
      return NotRun(request_error_code::BudgetExhausted,
                    "the prepaid budget does not cover this request",
                    std::nullopt);
    case budget_error::DuplicateOpen:
      return DuplicateRequestError();
    case budget_error::AlreadyCharged:
      return { request_error_code::AlreadyAnswered,
               "this request was answered and billed before",
               run_state::Ran,
               std::nullopt };
    case budget_error::Unprotected:
      return NotRun(request_error_code::Unprotected,
                    "charges cannot be kept safe now",
                    kRetryDelay);
    case budget_error::ShuttingDown:
      return ShuttingDownError();
    case budget_error::BadAmount:
      return NotRun(request_error_code::InvalidRequest,
                    "the request has no tokens to reserve",
                    std::nullopt);
    case budget_error::AwaitingGrant:
    case budget_error::Fenced:
    case budget_error::UnreadableRow:
      break;
  }
  return NotRun(request_error_code::BudgetUnavailable,
                "the budget cannot be drawn on now",
                kRetryDelay);
}

request_error DispatchRequestError(const reject_decision& aReject)
{
  std::optional<milliseconds> retryAfter;
  if (aReject.mRetryAfter.count() > 0) {
    retryAfter = aReject.mRetryAfter;
  }
  return { DispatchCode(aReject.mReason),
           std::string(DispatchMessage(aReject.mReason)),
           aReject.mRun,
           retryAfter };
}

request_error ShuttingDownError()
{
  return NotRun(request_error_code::ShuttingDown,
                "this node is shutting down, ask /v1/endpoints for another",
                milliseconds(0));
}

request_error TooManyRequestsError()
{
  return NotRun(request_error_code::Overloaded,
                "this node has too many open requests",
                kRetryDelay);
}

request_error DuplicateRequestError()
{
  return { request_error_code::DuplicateRequest,
           "a request with this idempotency key is in progress",
           run_state::Unknown,
           kRetryDelay };
}

request_error IdempotencyKeyError(std::size_t aMaxLength)
{
  return NotRun(
    request_error_code::InvalidRequest,
    fmt::format("Idempotency-Key: expected at most {} bytes", aMaxLength),
    std::nullopt);
}

request_error UpstreamRequestError(unsigned aStatus, std::string_view aBody)
{
  return NotRun(request_error_code::UpstreamFailed,
                fmt::format("the upstream answered {}: {}",
                            aStatus,
                            aBody.substr(0, kMaxQuotedBytes)),
                std::nullopt);
}

request_error RequestAbortedError(chat_step aStep)
{
  const bool started =
    aStep != chat_step::AwaitingGrant && aStep != chat_step::Queued;
  return { request_error_code::ShuttingDown,
           "this node gave up the request",
           started ? run_state::Unknown : run_state::NotRun,
           kRetryDelay };
}

void ReplyRequestError(http_server_exchange& aExchange,
                       const request_error& aError)
{
  if (aError.mRetryAfter) {
    // The header has whole seconds; the body has the exact milliseconds.
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aError.mRetryAfter);
    aExchange.AddHeader("Retry-After", fmt::format("{}", seconds.count()));
  }
  aExchange.Reply(RequestErrorStatus(aError.mCode),
                  "application/json",
                  FormatRequestError(aError));
}

std::int64_t EstimatePromptTokens(const chat_request& aChat)
{
  return (aChat.mMaxPromptTokens + kBytesPerToken - 1) / kBytesPerToken;
}
