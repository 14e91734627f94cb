#include "Node/RequestError.h"

#include <array>
#include <string_view>

#include <fmt/format.h>
#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

namespace {

struct error_row
{
  request_error_code mCode;
  std::string_view mName;
  unsigned mStatus;
};

constexpr std::array kErrorRows = {
  error_row{ request_error_code::InvalidRequest,
             "invalid_request",
             SOUP_STATUS_BAD_REQUEST },
  error_row{ request_error_code::InvalidKey,
             "invalid_key",
             SOUP_STATUS_UNAUTHORIZED },
  error_row{ request_error_code::UnknownModel,
             "unknown_model",
             SOUP_STATUS_NOT_FOUND },
  error_row{ request_error_code::ModelNotAllowed,
             "model_not_allowed",
             SOUP_STATUS_FORBIDDEN },
  error_row{ request_error_code::RankNotAllowed,
             "rank_not_allowed",
             SOUP_STATUS_FORBIDDEN },
  error_row{ request_error_code::TooLarge,
             "too_large",
             SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE },
  error_row{ request_error_code::BudgetExhausted,
             "budget_exhausted",
             SOUP_STATUS_PAYMENT_REQUIRED },
  error_row{ request_error_code::BudgetUnavailable,
             "budget_unavailable",
             SOUP_STATUS_SERVICE_UNAVAILABLE },
  error_row{ request_error_code::DuplicateRequest,
             "duplicate_request",
             SOUP_STATUS_CONFLICT },
  error_row{ request_error_code::AlreadyAnswered,
             "already_answered",
             SOUP_STATUS_CONFLICT },
  error_row{ request_error_code::Overloaded, "overloaded", 429 },
  error_row{ request_error_code::DeadlineUnreachable,
             "deadline_unreachable",
             SOUP_STATUS_SERVICE_UNAVAILABLE },
  error_row{ request_error_code::NoUpstream,
             "no_upstream",
             SOUP_STATUS_SERVICE_UNAVAILABLE },
  error_row{ request_error_code::Quarantined, "quarantined", 422 },
  error_row{ request_error_code::Preempted,
             "preempted",
             SOUP_STATUS_SERVICE_UNAVAILABLE },
  error_row{ request_error_code::UpstreamFailed,
             "upstream_failed",
             SOUP_STATUS_BAD_GATEWAY },
  error_row{ request_error_code::UpstreamBroke,
             "upstream_broke",
             SOUP_STATUS_BAD_GATEWAY },
  error_row{ request_error_code::Unprotected,
             "charges_unprotected",
             SOUP_STATUS_SERVICE_UNAVAILABLE },
  error_row{ request_error_code::ShuttingDown,
             "shutting_down",
             SOUP_STATUS_SERVICE_UNAVAILABLE },
  error_row{ request_error_code::UnknownService,
             "unknown_service",
             SOUP_STATUS_NOT_FOUND },
  error_row{ request_error_code::OutcomeUnknown,
             "outcome_unknown",
             SOUP_STATUS_BAD_GATEWAY },
  error_row{ request_error_code::NotFound, "not_found", SOUP_STATUS_NOT_FOUND },
};

const error_row& RowOf(request_error_code aCode)
{
  for (const error_row& row : kErrorRows) {
    if (row.mCode == aCode) {
      return row;
    }
  }
  return kErrorRows.front();
}

} // namespace

std::string_view RequestErrorName(request_error_code aCode)
{
  return RowOf(aCode).mName;
}

unsigned RequestErrorStatus(request_error_code aCode)
{
  return RowOf(aCode).mStatus;
}

std::string FormatRequestError(const request_error& aError)
{
  nlohmann::json error = {
    { "code", RequestErrorName(aError.mCode) },
    { "message", aError.mMessage },
    { "run", RunStateName(aError.mRun) },
  };
  if (aError.mRetryAfter) {
    error["retry_after_ms"] = aError.mRetryAfter->count();
  }
  // Messages may quote text from a caller, which need not be valid UTF-8.
  constexpr auto kOnInvalid = nlohmann::json::error_handler_t::replace;
  return nlohmann::json{ { "error", std::move(error) } }.dump(
    -1, ' ', false, kOnInvalid);
}

std::string FormatRequestErrorEvent(const request_error& aError)
{
  return fmt::format("data: {}\n\n", FormatRequestError(aError));
}
