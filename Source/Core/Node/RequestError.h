#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "Common/Identity.h"

/// Error codes in the bodies that callers see. Part of the public API.
enum class request_error_code : std::uint8_t
{
  InvalidRequest,
  InvalidKey,
  UnknownModel,
  ModelNotAllowed,
  RankNotAllowed,
  TooLarge,
  BudgetExhausted,
  BudgetUnavailable,
  DuplicateRequest,
  AlreadyAnswered,
  Overloaded,
  DeadlineUnreachable,
  NoUpstream,
  Quarantined,
  Preempted,
  UpstreamFailed,
  UpstreamBroke,
  Unprotected,
  ShuttingDown,
  UnknownService,
  OutcomeUnknown,
  NotFound,
};

/// An error that is sent to a caller.
struct request_error
{
  request_error_code mCode = request_error_code::InvalidRequest;
  std::string mMessage;
  /// Whether the request ran at an upstream, as far as the node knows.
  run_state mRun = run_state::NotRun;
  /// Delay after which the caller should retry; absent when a retry cannot
  /// succeed.
  std::optional<std::chrono::milliseconds> mRetryAfter;

  auto operator<=>(const request_error&) const = default;
};

/// Name of an error code in error bodies and metrics.
std::string_view RequestErrorName(request_error_code aCode);

/// HTTP status of an error code.
unsigned RequestErrorStatus(request_error_code aCode);

/// JSON body `{"error":{"code","message","run","retry_after_ms"}}`.
std::string FormatRequestError(const request_error& aError);

/// The same body as one server-sent event, for streams that have started.
std::string FormatRequestErrorEvent(const request_error& aError);
