#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Common/Identity.h"
#include "Load/Histogram.h"

/// Times of one rank.
struct rank_report
{
  /// From the intended arrival to the first token, retries included.
  latency_histogram mFirstToken;
  /// Between two tokens of a stream.
  latency_histogram mBetweenTokens;
  std::uint64_t mRequests = 0;
  /// Responses that were whole.
  std::uint64_t mComplete = 0;
  bool operator==(const rank_report&) const = default;
};

/// Counts of one account.
struct account_report
{
  std::uint64_t mRequests = 0;
  std::uint64_t mComplete = 0;
  /// As reported in the usage of complete responses.
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mOutputTokens = 0;
  bool operator==(const account_report&) const = default;
};

/// Result of a load run, so far or final.
struct load_run_report
{
  /// Rank name, or `default` for requests that name no rank.
  std::map<std::string, rank_report> mRanks;
  std::map<account_id, account_report> mAccounts;
  /// `ok`, an error code of the fleet, or what the generator found: `skipped`
  /// (over the bound on open requests), `incomplete`, `no_usage`, `malformed`,
  /// `connect_failed`, `broken`, `unfinished`, `no_endpoint`.
  std::map<std::string, std::uint64_t> mOutcomes;
  std::uint64_t mRequests = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mOpen = 0;
  std::uint64_t mMostOpen = 0;
  std::chrono::microseconds mElapsed{ 0 };
  bool operator==(const load_run_report&) const = default;
};

/// Tables for people.
std::string FormatLoadTable(const load_run_report& aReport);

/// The same figures for programs; times in milliseconds.
nlohmann::json LoadReportJson(const load_run_report& aReport);
