#include "StandIn/EngineAnswer.h"

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Common/PrefixHash.h"

using nlohmann::json;

namespace {

constexpr std::uint32_t kBytesPerToken = 4;

} // namespace

result<engine_request, engine_request_error> ParseEngineRequest(
  std::string_view aBody)
{
  try {
    const json body = json::parse(aBody);
    engine_request request;
    request.mModel = body.at("model").get<std::string>();
    request.mPrompt = PromptText(body.at("messages"));
    const std::int64_t limit = body.value(
      "max_completion_tokens", body.value("max_tokens", std::int64_t(0)));
    if (limit < 0 || limit > INT32_MAX) {
      return engine_request_error{ "max_tokens is out of range" };
    }
    request.mMaxTokens = static_cast<std::uint32_t>(limit);
    request.mPriority = body.value("priority", std::int64_t(0));
    request.mStream = body.value("stream", false);
    return request;
  } catch (const json::exception& error) {
    return engine_request_error{ error.what() };
  }
}

std::uint32_t CountPromptTokens(std::string_view aPrompt)
{
  return static_cast<std::uint32_t>((aPrompt.size() + kBytesPerToken - 1) /
                                    kBytesPerToken);
}

std::uint64_t AnswerSeed(const engine_request& aRequest)
{
  return StableHash(aRequest.mPrompt, StableHash(aRequest.mModel));
}

std::string AnswerToken(std::uint64_t aSeed, std::uint32_t aIndex)
{
  if (aIndex == 0) {
    return fmt::format("{:016x}", aSeed);
  }
  constexpr std::uint64_t kWords = 0x10000;
  const std::uint64_t word =
    StableHash(fmt::format("{}", aIndex), aSeed) % kWords;
  return fmt::format(" {:04x}", word);
}

std::string AnswerText(std::uint64_t aSeed,
                       std::uint32_t aFrom,
                       std::uint32_t aTo)
{
  std::string text;
  for (std::uint32_t index = aFrom; index < aTo; ++index) {
    text += AnswerToken(aSeed, index);
  }
  return text;
}

std::uint32_t AnswerLength(std::uint64_t aSeed,
                           std::uint32_t aShortest,
                           std::uint32_t aLongest)
{
  const std::uint64_t range = std::uint64_t(aLongest) - aShortest + 1;
  return aShortest + static_cast<std::uint32_t>(aSeed % range);
}
