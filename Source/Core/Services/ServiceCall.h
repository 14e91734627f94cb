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
  /// The service carried it out.
  Ok,
  /// The service answered that it did not carry it out.
  Failed,
  /// It may or may not have run, or may still run.
  Unknown,
  /// It did not run, and this attempt never will.
  NotRun,
};

std::string_view CallOutcomeName(call_outcome aOutcome);

/// Why a call ended without the service's answer.
enum class call_reason : std::uint8_t
{
  /// There is an answer.
  None,
  TableUnavailable,
  /// The deadline passed.
  Deadline,
  /// No connection to the service.
  ServiceUnreachable,
  /// The connection broke after the call went out.
  AnswerLost,
  /// Another attempt of this call is under way or its node vanished.
  OtherAttempt,
  /// The key was used before with a different content.
  KeyReused,
  /// The stored answer is too large or too old.
  AnswerNotKept,
  /// Too many calls at this node.
  Overloaded,
};

std::string_view CallReasonName(call_reason aReason);

/// A caller's attempt to run a call. The request's content stays with the node.
struct service_call
{
  account_id mAccount;
  /// The caller's idempotency key.
  std::string mKey;
  service_id mService;
  /// Fingerprint of method, path and body.
  content_id mContent;
  /// When the caller stops waiting.
  time_point mDeadline;
  /// Same instant for other nodes, which wait for this attempt until then.
  wall_time mWallDeadline;
  /// An earlier attempt under this key may exist that was not answered
  /// `not_run`. Such an attempt is never told `not_run` itself.
  bool mMayBeRetry = true;
};

/// Identity of an attempt within a node.
using call_number = std::uint64_t;

/// The service's answer.
struct service_response
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  auto operator<=>(const service_response&) const = default;
};

/// Why the service gave no answer.
enum class service_error : std::uint8_t
{
  /// No byte of the call went out.
  NotSent,
  /// A byte may have gone out.
  Lost,
};

/// Final answer to one attempt.
struct call_answer
{
  call_number mCall = 0;
  call_outcome mOutcome = call_outcome::Unknown;
  call_reason mReason = call_reason::None;
  /// The service's answer for `ok` and `failed`; absent when it was not kept.
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

/// Value of the row `call/<account>/<key>`.
struct call_row
{
  call_state mState = call_state::Open;
  /// The only run of a node that may send the call.
  holder_id mWriter;
  call_number mAttempt = 0;
  service_id mService;
  content_id mContent;
  /// Until when the writer works on it.
  wall_time mDeadline;
  std::optional<service_response> mResponse;
  /// When the stored answer is no longer given out.
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
