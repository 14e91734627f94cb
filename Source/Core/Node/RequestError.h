#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "Common/Identity.h"

/// Stable codes of the error bodies that callers see.
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

/// A refusal or failure as the caller sees it.
struct request_error
{
  request_error_code mCode = request_error_code::InvalidRequest;
  std::string mMessage;
  /// Whether the request ran at an upstream.
  run_state mRun = run_state::NotRun;
  /// When the caller should come back; absent when a retry is pointless.
  std::optional<std::chrono::milliseconds> mRetryAfter;

  auto operator<=>(const request_error&) const = default;
};

/// Code as written in error bodies and metrics.
std::string_view RequestErrorName(request_error_code aCode);

/// HTTP status of an error code.
unsigned RequestErrorStatus(request_error_code aCode);

/// `{"error":{"code","message","run","retry_after_ms"}}`
std::string FormatRequestError(const request_error& aError);

/// The same body as one server-sent event, for streams that have begun.
std::string FormatRequestErrorEvent(const request_error& aError);
