#include "ChatCaller.h"

#include <libsoup/soup.h>

namespace {

using json = nlohmann::json;

} // namespace

chat_caller::chat_caller(http_client& aClient, const chat_call& aCall)
{
  http_request request;
  request.mMethod = "POST";
  request.mUrl = "http://" + aCall.mNode + "/v1/chat/completions";
  request.mBody = Body(aCall);
  request.mHeaders = { { "Authorization", "Bearer " + aCall.mKey } };
  if (!aCall.mIdempotencyKey.empty()) {
    request.mHeaders.emplace_back("Idempotency-Key", aCall.mIdempotencyKey);
  }
  http_stream_handlers handlers;
  handlers.mOnHead = [this](const http_response_head& aHead) {
    mStatus = aHead.mStatus;
  };
  handlers.mOnData = [this](std::string_view aBytes) { TakeBytes(aBytes); };
  handlers.mOnEnd = [this](std::optional<http_failure> aFailure) {
    Finish(aFailure.has_value());
  };
  mStream =
    std::make_unique<http_stream>(aClient, request, std::move(handlers));
}

std::string chat_caller::Body(const chat_call& aCall)
{
  const json message = { { "role", "user" }, { "content", aCall.mPrompt } };
  return json{
    { "model", "small" },
    { "messages", json::array({ message }) },
    { "max_tokens", aCall.mMaxTokens },
    { "rank", aCall.mRank },
    { "stream", true }
  }.dump();
}

void chat_caller::TakeBytes(std::string_view aBytes)
{
  mBuffer.append(aBytes);
  if (mStatus != SOUP_STATUS_OK) {
    return;
  }
  std::size_t end = 0;
  while ((end = mBuffer.find("\n\n")) != std::string::npos) {
    const std::string event = mBuffer.substr(0, end);
    mBuffer.erase(0, end + 2);
    constexpr std::size_t kPrefix = 6;
    TakeEvent(event.substr(std::min(kPrefix, event.size())));
  }
}

void chat_caller::TakeEvent(const std::string& aData)
{
  if (aData == "[DONE]") {
    mWhole = true;
    return;
  }
  const json event = json::parse(aData, nullptr, false);
  if (!event.is_object()) {
    return;
  }
  if (event.contains("error")) {
    TakeError(event);
    return;
  }
  if (event.contains("usage") && event.at("usage").is_object()) {
    mUsage = event.at("usage").value("prompt_tokens", 0) +
             event.at("usage").value("completion_tokens", 0);
    return;
  }
  for (const json& choice : event.value("choices", json::array())) {
    const json delta = choice.value("delta", json::object());
    if (delta.contains("content")) {
      mText += delta.at("content").get<std::string>();
      ++mTokens;
    }
  }
}

void chat_caller::TakeError(const json& aBody)
{
  mCode = aBody.at("error").value("code", "");
  mRun = aBody.at("error").value("run", "");
}

void chat_caller::Finish(bool aFailed)
{
  mDone = true;
  if (aFailed) {
    mWhole = false;
  }
  if (mStatus != SOUP_STATUS_OK) {
    const json body = json::parse(mBuffer, nullptr, false);
    if (body.is_object() && body.contains("error")) {
      TakeError(body);
    }
  }
}
