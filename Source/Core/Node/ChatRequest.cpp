#include "Node/ChatRequest.h"

#include <utility>

#include <fmt/format.h>

#include "Common/JsonText.h"
#include "Common/PrefixHash.h"

namespace {

using json = nlohmann::json;

// Covers a common prefix of 16 KiB. A longer match hardly changes which engine
// has the longest one.
constexpr std::size_t kMaxPrefixBlocks = 256;
constexpr std::size_t kMaxModelNameBytes = 128;
constexpr std::int64_t kMaxOutputTokens = 1'000'000;

request_error Invalid(std::string aMessage)
{
  return { request_error_code::InvalidRequest,
           std::move(aMessage),
           run_state::NotRun,
           std::nullopt };
}

result<std::int64_t, request_error> ReadTokenLimit(const json& aBody,
                                                   const char* aField)
{
  const json& value = aBody.at(aField);
  if (!value.is_number_integer() || value.get<std::int64_t>() < 1 ||
      value.get<std::int64_t>() > kMaxOutputTokens) {
    return Invalid(fmt::format(
      "{}: expected an integer from 1 to {}", aField, kMaxOutputTokens));
  }
  return value.get<std::int64_t>();
}

result<void, request_error> ReadMaxTokens(const json& aBody,
                                          chat_request& aRequest)
{
  for (const char* field : { "max_tokens", "max_completion_tokens" }) {
    if (!aBody.contains(field) || aBody.at(field).is_null()) {
      continue;
    }
    const auto limit = ReadTokenLimit(aBody, field);
    if (!limit) {
      return limit.error();
    }
    aRequest.mMaxTokens = limit.value();
  }
  return success();
}

result<void, request_error> ReadModel(const json& aBody, chat_request& aRequest)
{
  if (!aBody.contains("model") || !aBody.at("model").is_string()) {
    return Invalid("model: expected a string");
  }
  aRequest.mModel.mName = aBody.at("model").get<std::string>();
  if (aRequest.mModel.mName.empty() ||
      aRequest.mModel.mName.size() > kMaxModelNameBytes) {
    return Invalid(
      fmt::format("model: expected 1 to {} characters", kMaxModelNameBytes));
  }
  return success();
}

result<void, request_error> CheckMessage(const json& aMessage,
                                         std::size_t aIndex)
{
  if (!aMessage.is_object() || !aMessage.contains("role") ||
      !aMessage.at("role").is_string()) {
    return Invalid(
      fmt::format("messages[{}]: expected an object with a role", aIndex));
  }
  const bool hasContent =
    aMessage.contains("content") &&
    (aMessage.at("content").is_string() || aMessage.at("content").is_array());
  if (!hasContent && !aMessage.contains("tool_calls")) {
    return Invalid(fmt::format("messages[{}].content: expected text", aIndex));
  }
  return success();
}

result<void, request_error> ReadMessages(const json& aBody)
{
  if (!aBody.contains("messages") || !aBody.at("messages").is_array() ||
      aBody.at("messages").empty()) {
    return Invalid("messages: expected a non-empty array");
  }
  const json& messages = aBody.at("messages");
  for (std::size_t i = 0; i < messages.size(); ++i) {
    const auto checked = CheckMessage(messages[i], i);
    if (!checked) {
      return checked.error();
    }
  }
  return success();
}

result<void, request_error> ReadRank(const json& aBody, chat_request& aRequest)
{
  if (!aBody.contains("rank")) {
    return success();
  }
  const json& rank = aBody.at("rank");
  if (rank.is_string()) {
    aRequest.mRank = ParseWorkRank(rank.get<std::string>());
  }
  if (!aRequest.mRank) {
    return Invalid("rank: expected urgent, routine or background");
  }
  return success();
}

result<void, request_error> ReadStreamAndChoices(const json& aBody,
                                                 chat_request& aRequest)
{
  if (aBody.contains("stream")) {
    if (!aBody.at("stream").is_boolean()) {
      return Invalid("stream: expected true or false");
    }
    aRequest.mStream = aBody.at("stream").get<bool>();
  }
  // More choices would produce more output than the reservation covers.
  if (aBody.contains("n") && aBody.at("n") != json(1)) {
    return Invalid("n: only 1 is supported");
  }
  return success();
}

/// Reads all fields; stops at the first error.
result<void, request_error> ReadFields(const json& aBody,
                                       chat_request& aRequest)
{
  BOOST_OUTCOME_TRYV(ReadModel(aBody, aRequest));
  BOOST_OUTCOME_TRYV(ReadMessages(aBody));
  BOOST_OUTCOME_TRYV(ReadMaxTokens(aBody, aRequest));
  BOOST_OUTCOME_TRYV(ReadRank(aBody, aRequest));
  return ReadStreamAndChoices(aBody, aRequest);
}

} // namespace

result<chat_request, request_error> ParseChatRequest(std::string_view aBody)
{
  auto text = ParseJsonText(aBody, "body");
  if (!text) {
    return Invalid(FormatJsonError(text.error()));
  }
  if (!text.value().mValue.is_object()) {
    return Invalid("body: expected a JSON object");
  }
  chat_request request;
  const json& body = text.value().mValue;
  const auto read = ReadFields(body, request);
  if (!read) {
    return read.error();
  }
  // A byte-level tokenizer never produces more tokens than bytes, and the JSON
  // syntax around each message is longer than the tokens that the chat template
  // adds.
  request.mMaxPromptTokens = static_cast<std::int64_t>(aBody.size());
  const std::string prompt =
    body.at("messages").dump(-1, ' ', false, json::error_handler_t::replace);
  request.mPrefixBlocks = PrefixBlocks(request.mModel.mName,
                                       PromptText(body.at("messages")),
                                       kPrefixBlockBytes,
                                       kMaxPrefixBlocks);
  request.mContentHashInput = request.mModel.mName + '\0' + prompt;
  request.mBody = std::move(text.value().mValue);
  return request;
}

std::string MakeUpstreamBody(const chat_request& aRequest,
                             const upstream_options& aOptions)
{
  json body = aRequest.mBody;
  body.erase("rank");
  body.erase("max_completion_tokens");
  body["max_tokens"] = aOptions.mMaxTokens;
  body["priority"] = aOptions.mPriority;
  if (aRequest.mStream) {
    body["stream_options"] = { { "include_usage", true } };
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}
