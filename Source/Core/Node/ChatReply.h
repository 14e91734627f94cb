#pragma once

#include "Budget/BudgetTypes.h"
#include "Dispatch/DispatchTypes.h"
#include "Node/ChatRequest.h"
#include "Node/ChatSession.h"
#include "Node/RequestError.h"
#include "Remote/HttpServerExchange.h"

/// Errors that callers of the chat API see, and their conversion from the
/// errors of the budget, the dispatcher and upstreams.

inline constexpr const char* kEventStreamType = "text/event-stream";

request_error BudgetRequestError(budget_error aError);

request_error DispatchRequestError(const reject_decision& aReject);

request_error ShuttingDownError();

request_error TooManyRequestsError();

request_error DuplicateRequestError();

request_error IdempotencyKeyError(std::size_t aMaxLength);

/// For a client error status (4xx) of an upstream: it refused the request
/// without running it. Quotes the start of the response body.
request_error UpstreamRequestError(unsigned aStatus, std::string_view aBody);

/// For a request that is aborted because the node stops or was fenced. The
/// step decides whether the error says that the request may have run.
request_error RequestAbortedError(chat_step aStep);

/// Sends an error as a complete response, with a `Retry-After` header when the
/// error has a retry delay.
void ReplyRequestError(http_server_exchange& aExchange,
                       const request_error& aError);

/// Estimates the tokens of a prompt from the size of the request body, at four
/// bytes per token.
std::int64_t EstimatePromptTokens(const chat_request& aChat);
