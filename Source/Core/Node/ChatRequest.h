#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/Identity.h"
#include "Common/Result.h"
#include "Node/RequestError.h"

/// The fields of a `POST /v1/chat/completions` body that the router uses.
struct chat_request
{
  model_id mModel;
  std::optional<work_rank> mRank;
  std::optional<std::int64_t> mMaxTokens;
  bool mStream = false;
  /// Upper bound of the prompt's tokens: the size of the body in bytes.
  std::int64_t mMaxPromptTokens = 0;
  /// Chained hashes of the prompt's leading blocks, used to choose an upstream
  /// that has them in its prefix cache.
  std::vector<std::uint64_t> mPrefixBlocks;
  /// Model name and messages, the input of the content hash. Equal for equal
  /// prompts to the same model.
  std::string mContentHashInput;
  /// The parsed body as the caller sent it; base of the upstream's body.
  nlohmann::json mBody;
};

/// Parses a request body. The error message starts with the field that is
/// invalid.
result<chat_request, request_error> ParseChatRequest(std::string_view aBody);

/// Fields that the router sets in the body for the upstream.
struct upstream_options
{
  std::int64_t mMaxTokens = 0;
  /// Engine priority; the engine serves lower values first.
  int mPriority = 0;
};

/// Builds the body for the upstream: limits the output, requests usage in the
/// stream and removes fields that only the router understands.
std::string MakeUpstreamBody(const chat_request& aRequest,
                             const upstream_options& aOptions);
