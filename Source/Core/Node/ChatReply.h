#pragma once

#include "Budget/BudgetTypes.h"
#include "Dispatch/DispatchTypes.h"
#include "Node/ChatRequest.h"
#include "Node/ChatSession.h"
#include "Node/RequestError.h"
#include "Remote/HttpExchange.h"

/// Errors of the layers below, turned into what a caller is told.

inline constexpr const char* kEventStream = "text/event-stream";

request_error BudgetRefusal(budget_error aError);

request_error DispatchRefusal(const reject_decision& aReject);

request_error ShuttingDownError();

request_error TooManyOpenError();

request_error DuplicateError();

request_error IdempotencyKeyError(std::size_t aMaxLength);

/// The upstream answered with a status that says that it will not run it.
request_error UpstreamRefusal(unsigned aStatus, std::string_view aBody);

/// The node gives up the request because it stops.
request_error CutError(chat_step aStep);

/// Sends an error as a whole response, with a `Retry-After` header.
void ReplyRequestError(http_exchange& aExchange, const request_error& aError);

/// Tokens of a prompt, estimated from its bytes.
std::int64_t EstimatePromptTokens(const chat_request& aChat);
