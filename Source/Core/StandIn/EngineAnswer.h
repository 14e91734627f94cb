#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Common/Result.h"

/// The deterministic answers of the engine stand-in. A test computes the
/// expected answer of a request with the same functions.

/// A chat request as the engine understands it.
struct engine_request
{
  std::string mModel;
  /// Roles and contents of all messages, each followed by a line feed.
  std::string mPrompt;
  /// Limit on the whole answer, counted from its first token; zero when the
  /// request has none.
  std::uint32_t mMaxTokens = 0;
  /// Lower values are served first, as engines with a priority field do.
  std::int64_t mPriority = 0;
  bool mStream = false;
};

/// Why a request body cannot be served.
struct engine_request_error
{
  std::string mMessage;
};

/// Reads an OpenAI-style chat completion request: `model`, `messages`,
/// `max_tokens` or `max_completion_tokens`, `stream`, `priority`.
result<engine_request, engine_request_error> ParseEngineRequest(
  std::string_view aBody);

/// Tokens of a prompt: a quarter of its bytes, rounded up, so that the bytes
/// of a prompt bound its tokens.
std::uint32_t CountPromptTokens(std::string_view aPrompt);

/// Identity of an answer: equal for equal model and prompt.
std::uint64_t AnswerSeed(const engine_request& aRequest);

/// Text of one token. Token 0 is the seed in hexadecimal, so that a reader can
/// tell to which request an answer belongs.
std::string AnswerToken(std::uint64_t aSeed, std::uint32_t aIndex);

/// Text of the tokens `aFrom` up to, not including, `aTo`.
std::string AnswerText(std::uint64_t aSeed,
                       std::uint32_t aFrom,
                       std::uint32_t aTo);

/// Tokens of the whole answer when no `max_tokens` cuts it.
std::uint32_t AnswerLength(std::uint64_t aSeed,
                           std::uint32_t aShortest,
                           std::uint32_t aLongest);
