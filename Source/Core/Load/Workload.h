#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Identity.h"
#include "Config/NodeSettings.h"

/// Range from which a size is drawn evenly.
struct size_range
{
  std::uint32_t mLeast = 0;
  std::uint32_t mMost = 0;
  auto operator<=>(const size_range&) const = default;
};

/// Requests of one account that arrive as an open-loop Poisson process:
/// arrivals do not wait for earlier responses.
struct load_source
{
  account_id mAccount;
  std::string mApiKey;
  /// The account's default rank when absent.
  std::optional<work_rank> mRank;
  model_id mModel;
  /// Mean arrivals per second.
  double mRate = 0;
  size_range mPromptTokens;
  /// Sent as `max_tokens`.
  size_range mOutputTokens;
  auto operator<=>(const load_source&) const = default;
};

/// What `lentilswitch load` sends.
struct workload
{
  /// Nodes that are asked for endpoints.
  std::vector<socket_address> mNodes;
  std::chrono::milliseconds mDuration{ 0 };
  /// Time for open requests to finish after the last arrival.
  std::chrono::milliseconds mDrain{ 0 };
  std::uint64_t mSeed = 0;
  /// Arrivals beyond this number of open requests are skipped and counted.
  std::uint32_t mMaxConcurrent = 0;
  std::uint64_t mMaxRequests = 0;
  /// Sends of one request, the first included.
  std::uint32_t mMaxAttempts = 0;
  std::vector<load_source> mSources;
  auto operator<=>(const workload&) const = default;
};

const setting_schema& WorkloadSchema();

/// Reads a workload from JSON with comments.
config_result<workload> ParseWorkload(std::string_view aText,
                                      std::string_view aSource);
