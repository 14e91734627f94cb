#include "StandIn/EngineEvents.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

using nlohmann::json;

namespace {

std::string FormatId(std::uint64_t aId)
{
  return fmt::format("chatcmpl-{}", aId);
}

std::string Text(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

json Chunk(std::uint64_t aId, const std::string& aModel)
{
  return { { "id", FormatId(aId) },
           { "object", "chat.completion.chunk" },
           { "model", aModel },
           { "choices", json::array() } };
}

json Usage(const engine_usage& aUsage)
{
  return { { "prompt_tokens", aUsage.mPromptTokens },
           { "completion_tokens", aUsage.mCompletionTokens },
           { "total_tokens", aUsage.mPromptTokens + aUsage.mCompletionTokens },
           { "prompt_tokens_details",
             { { "cached_tokens", aUsage.mCachedTokens } } } };
}

} // namespace

std::string TokenEventHead(std::uint64_t aId, const std::string& aModel)
{
  return fmt::format(
    "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":{},"
    "\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"",
    FormatId(aId),
    Text(aModel));
}

std::string FinalEvents(std::uint64_t aId,
                        const std::string& aModel,
                        const std::string& aReason,
                        const engine_usage& aUsage)
{
  json finish = Chunk(aId, aModel);
  finish["choices"].push_back({ { "index", 0 },
                                { "delta", json::object() },
                                { "finish_reason", aReason } });
  json usage = Chunk(aId, aModel);
  usage["usage"] = Usage(aUsage);
  return fmt::format(
    "data: {}\n\ndata: {}\n\ndata: [DONE]\n\n", Text(finish), Text(usage));
}

std::string WholeAnswer(std::uint64_t aId,
                        const std::string& aModel,
                        const std::string& aText,
                        const std::string& aReason,
                        const engine_usage& aUsage)
{
  const json message{ { "role", "assistant" }, { "content", aText } };
  const json choice{ { "index", 0 },
                     { "message", message },
                     { "finish_reason", aReason } };
  return Text({ { "id", FormatId(aId) },
                { "object", "chat.completion" },
                { "model", aModel },
                { "choices", json::array({ choice }) },
                { "usage", Usage(aUsage) } });
}
