#include "Services/ServiceCall.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/TextCodec.h"

namespace {

using nlohmann::json;

constexpr std::array<std::pair<call_state, std::string_view>, 5> kStates = { {
  { call_state::Open, "open" },
  { call_state::Ok, "ok" },
  { call_state::Failed, "failed" },
  { call_state::Unknown, "unknown" },
  { call_state::NotRun, "not_run" },
} };

std::string_view StateName(call_state aState)
{
  return kStates[static_cast<std::size_t>(aState)].second;
}

std::optional<call_state> ParseState(std::string_view aName)
{
  for (const auto& [state, name] : kStates) {
    if (name == aName) {
      return state;
    }
  }
  return std::nullopt;
}

std::int64_t Microseconds(wall_time aTime)
{
  return aTime.time_since_epoch().count();
}

wall_time FromMicroseconds(const json& aValue)
{
  return wall_time(std::chrono::microseconds(aValue.get<std::int64_t>()));
}

// Throws the exceptions of the JSON library when a field is missing or has the
// wrong type.
std::optional<call_row> ReadFields(const json& aValue)
{
  const auto state = ParseState(aValue.at("state").get<std::string>());
  const auto writer = ParseIncarnation(aValue.at("writer").get<std::string>());
  const auto content =
    ParseWide<content_tag>(aValue.at("content").get<std::string>());
  if (!state || !writer || !content) {
    return std::nullopt;
  }
  call_row row;
  row.mState = *state;
  row.mWriter = *writer;
  row.mAttempt = aValue.at("attempt").get<call_number>();
  row.mService.mName = aValue.at("service").get<std::string>();
  row.mContent = *content;
  row.mDeadline = FromMicroseconds(aValue.at("deadline_us"));
  row.mExpires = FromMicroseconds(aValue.at("expires_us"));
  if (aValue.contains("response")) {
    const json& response = aValue.at("response");
    row.mResponse =
      service_response{ response.at("status").get<int>(),
                        response.at("type").get<std::string>(),
                        FromBase64(response.at("body").get<std::string>()) };
  }
  return row;
}

} // namespace

std::string_view CallOutcomeName(call_outcome aOutcome)
{
  switch (aOutcome) {
    case call_outcome::Ok:
      return "ok";
    case call_outcome::Failed:
      return "failed";
    case call_outcome::Unknown:
      return "unknown";
    case call_outcome::NotRun:
      return "not_run";
  }
  return "unknown";
}

std::string_view CallReasonName(call_reason aReason)
{
  switch (aReason) {
    case call_reason::None:
      return "none";
    case call_reason::TableUnavailable:
      return "table_unavailable";
    case call_reason::Deadline:
      return "deadline";
    case call_reason::ServiceUnreachable:
      return "service_unreachable";
    case call_reason::AnswerLost:
      return "answer_lost";
    case call_reason::OtherAttempt:
      return "other_attempt";
    case call_reason::KeyReused:
      return "key_reused";
    case call_reason::AnswerNotKept:
      return "answer_not_kept";
    case call_reason::Overloaded:
      return "overloaded";
  }
  return "none";
}

std::string CallRowKey(const account_id& aAccount, std::string_view aKey)
{
  std::string key = "call/";
  // Accounts "a" and "a/b" must not share a row through their keys.
  for (const char letter : aAccount.mName) {
    if (letter == '/') {
      key += "%2F";
    } else if (letter == '%') {
      key += "%25";
    } else {
      key += letter;
    }
  }
  key += '/';
  key += aKey;
  return key;
}

std::string FormatCallRow(const call_row& aRow)
{
  json value = {
    { "state", StateName(aRow.mState) },
    { "writer", FormatIncarnation(aRow.mWriter) },
    { "attempt", aRow.mAttempt },
    { "service", aRow.mService.mName },
    { "content", FormatWide(aRow.mContent) },
    { "deadline_us", Microseconds(aRow.mDeadline) },
    { "expires_us", Microseconds(aRow.mExpires) },
  };
  if (aRow.mResponse) {
    value["response"] = { { "status", aRow.mResponse->mStatus },
                          { "type", aRow.mResponse->mContentType },
                          { "body", ToBase64(aRow.mResponse->mBody) } };
  }
  // Names from callers may hold bytes that are not UTF-8.
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

result<call_row, call_row_error> ParseCallRow(std::string_view aText)
{
  try {
    const json value = json::parse(aText);
    if (auto row = ReadFields(value)) {
      return std::move(*row);
    }
  } catch (const json::exception&) {
    return call_row_error::Malformed;
  }
  return call_row_error::Malformed;
}
