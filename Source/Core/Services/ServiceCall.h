#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Identity.h"
#include "Common/Result.h"
#include "Common/Time.h"

/// How a non-idempotent call ended.
enum class call_outcome : std::uint8_t
{
  /// The service executed it.
  Ok,
  /// The service answered that it did not execute it.
  Failed,
  /// It may have run, or may still run.
  Unknown,
  /// It did not run, and this attempt will not run it.
  NotRun,
};

std::string_view CallOutcomeName(call_outcome aOutcome);

/// Why a call ended without the service's answer, or without its body.
enum class call_reason : std::uint8_t
{
  /// The service's answer is included.
  None,
  TableUnavailable,
  /// The caller's deadline passed.
  Deadline,
  /// No connection to the service.
  ServiceUnreachable,
  /// The connection broke after the call was sent.
  AnswerLost,
  /// Another attempt of this call is in progress, or its node stopped before
  /// recording the outcome.
  OtherAttempt,
  /// The idempotency key was used before with a different content or service.
  KeyReused,
  /// The answer was too large to store, or the stored answer has expired.
  AnswerNotKept,
  /// The node has too many open calls.
  Overloaded,
};

std::string_view CallReasonName(call_reason aReason);

/// An attempt of a caller to run a call. The request itself stays with the
/// node.
struct service_call
{
  account_id mAccount;
  /// The caller's idempotency key.
  std::string mKey;
  service_id mService;
  /// Fingerprint of method, path and body.
  content_id mContent;
  /// When the caller stops waiting for an answer.
  time_point mDeadline;
  /// The same instant as wall time, for other nodes: they wait for this attempt
  /// until then.
  wall_time mWallDeadline;
  /// An earlier attempt under this key may exist whose answer was not
  /// `not_run`. Such an attempt is itself never answered `not_run`.
  bool mMayBeRetry = true;
};

/// Number of an attempt, unique within one run of a node.
using call_number = std::uint64_t;

/// The service's answer.
struct service_response
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  auto operator<=>(const service_response&) const = default;
};

/// How sending a call failed.
enum class service_error : std::uint8_t
{
  /// No byte of the call was sent.
  NotSent,
  /// Part of the call may have been sent.
  Lost,
};

/// The answer to one attempt; there is exactly one.
struct call_answer
{
  call_number mCall = 0;
  call_outcome mOutcome = call_outcome::Unknown;
  call_reason mReason = call_reason::None;
  /// The service's answer for `ok` and `failed`; absent when it was not stored.
  std::optional<service_response> mResponse;
  auto operator<=>(const call_answer&) const = default;
};

enum class call_state : std::uint8_t
{
  Open,
  Ok,
  Failed,
  Unknown,
  NotRun,
};

/// Value of the row `call/<account>/<key>` in the table service.
struct call_row
{
  call_state mState = call_state::Open;
  /// The only run of a node that may send the call and change the row while it
  /// is open.
  incarnation_id mWriter;
  call_number mAttempt = 0;
  service_id mService;
  content_id mContent;
  /// Deadline of the writer's attempt.
  wall_time mDeadline;
  std::optional<service_response> mResponse;
  /// When the stored answer expires.
  wall_time mExpires;
  auto operator<=>(const call_row&) const = default;
};

enum class call_row_error : std::uint8_t
{
  Malformed,
};

std::string CallRowKey(const account_id& aAccount, std::string_view aKey);
std::string FormatCallRow(const call_row& aRow);
result<call_row, call_row_error> ParseCallRow(std::string_view aText);
