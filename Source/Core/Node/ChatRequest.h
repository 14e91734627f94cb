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

/// Body of `POST /v1/chat/completions` as far as the router needs it.
struct chat_request
{
  model_id mModel;
  std::optional<work_rank> mRank;
  std::optional<std::int64_t> mMaxTokens;
  bool mStream = false;
  /// Upper bound of the prompt's tokens.
  std::int64_t mPromptBound = 0;
  /// Chained hashes of the prompt's leading blocks, for cache affinity.
  std::vector<std::uint64_t> mPrefixBlocks;
  /// Hash input that is equal for equal prompts to the same model.
  std::string mContentKey;
  /// The body as sent, from which the upstream's body is made.
  nlohmann::json mBody;
};

/// Reads a request body; the error names the offending field.
result<chat_request, request_error> ParseChatRequest(std::string_view aBody);

/// What the router sets in the upstream's body.
struct upstream_options
{
  std::int64_t mMaxTokens = 0;
  /// Engine priority, lower is served first.
  int mPriority = 0;
};

/// Body for the upstream: output capped, usage asked for, router's own fields
/// removed.
std::string MakeUpstreamBody(const chat_request& aRequest,
                             const upstream_options& aOptions);
