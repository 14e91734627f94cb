#pragma once

#include <cstdint>
#include <string>

/// Texts of the engine stand-in's responses in the OpenAI style.

struct engine_usage
{
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
  std::uint32_t mCachedTokens = 0;
};

/// Start of the event of a token: the token's text and `kTokenEventEnd`
/// follow. Rendering it once per stream spares a JSON writer per token.
std::string TokenEventHead(std::uint64_t aId, const std::string& aModel);
inline constexpr const char* kTokenEventEnd =
  "\"},\"finish_reason\":null}]}\n\n";

/// Last events of a stream: finish reason, usage, `[DONE]`.
std::string FinalEvents(std::uint64_t aId,
                        const std::string& aModel,
                        const std::string& aReason,
                        const engine_usage& aUsage);

/// Body of a response that is not streamed.
std::string WholeAnswer(std::uint64_t aId,
                        const std::string& aModel,
                        const std::string& aText,
                        const std::string& aReason,
                        const engine_usage& aUsage);
