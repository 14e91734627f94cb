#include "Load/Workload.h"

#include <array>

#include <fmt/format.h>

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using enum setting_type;

constexpr double kMaxTokens = 1'000'000;

constexpr auto kWorkload = std::to_array<setting_descriptor>({
  { "nodes[]", Address, 0, 0, "", "", "Nodes that are asked for endpoints." },
  { "duration_ms", Integer, 1, 86'400'000, "ms", "", "Time of arrivals." },
  { "drain_ms",
    Integer,
    0,
    3'600'000,
    "ms",
    "30000",
    "Time for open requests to finish after the last arrival." },
  { "seed", Integer, 0, 1e15, "", "1", "Seed of arrivals and sizes." },
  { "max_concurrent",
    Integer,
    1,
    100'000,
    "",
    "256",
    "Open requests; further arrivals are skipped and counted." },
  { "max_requests", Integer, 1, 1e9, "", "100000", "Requests in total." },
  { "max_attempts",
    Integer,
    1,
    100,
    "",
    "3",
    "Sends of one request, the first included." },
  { "sources[]", Object, 1, 100'000, "", "", "Sources of requests." },
  { "sources[].account", Name, 1, 64, "bytes", "", "Client account." },
  { "sources[].api_key", Text, 1, 256, "bytes", "", "API key." },
  { "sources[].rank", Rank, 0, 0, "", "null", "Rank of the requests." },
  { "sources[].model", Name, 1, 128, "bytes", "", "Model of the requests." },
  { "sources[].rate",
    Number,
    0,
    100'000,
    "per second",
    "",
    "Mean arrivals of a Poisson process." },
  { "sources[].prompt_tokens.least",
    Integer,
    1,
    kMaxTokens,
    "tokens",
    "100",
    "Shortest prompt." },
  { "sources[].prompt_tokens.most",
    Integer,
    1,
    kMaxTokens,
    "tokens",
    "100",
    "Longest prompt." },
  { "sources[].output_tokens.least",
    Integer,
    1,
    kMaxTokens,
    "tokens",
    "50",
    "Shortest output limit." },
  { "sources[].output_tokens.most",
    Integer,
    1,
    kMaxTokens,
    "tokens",
    "50",
    "Longest output limit." },
});

size_range ReadRange(const json& aGroup)
{
  return { aGroup["least"], aGroup["most"] };
}

load_source ReadSource(const json& aGroup)
{
  load_source source;
  source.mAccount = { aGroup["account"] };
  source.mApiKey = aGroup["api_key"];
  if (aGroup.contains("rank")) {
    source.mRank = ParseWorkRank(aGroup["rank"].get<std::string>());
  }
  source.mModel = { aGroup["model"] };
  source.mRate = aGroup["rate"];
  source.mPromptTokens = ReadRange(aGroup["prompt_tokens"]);
  source.mOutputTokens = ReadRange(aGroup["output_tokens"]);
  return source;
}

workload ReadAll(const json& aValue)
{
  workload load;
  for (const json& node : aValue["nodes"]) {
    load.mNodes.push_back(*ParseSocketAddress(node.get<std::string>()));
  }
  load.mDuration = milliseconds(aValue["duration_ms"].get<std::int64_t>());
  load.mDrain = milliseconds(aValue["drain_ms"].get<std::int64_t>());
  load.mSeed = aValue["seed"];
  load.mMaxConcurrent = aValue["max_concurrent"];
  load.mMaxRequests = aValue["max_requests"];
  load.mMaxAttempts = aValue["max_attempts"];
  for (const json& source : aValue["sources"]) {
    load.mSources.push_back(ReadSource(source));
  }
  return load;
}

/// The schema checks each bound; that a range is not empty is checked here.
void CheckRanges(const json_text& aText,
                 const workload& aWorkload,
                 std::vector<json_error>& aErrors)
{
  if (aWorkload.mNodes.empty()) {
    aErrors.push_back(aText.ErrorAt("/nodes", "must name a node"));
  }
  for (std::size_t i = 0; i < aWorkload.mSources.size(); ++i) {
    const load_source& source = aWorkload.mSources[i];
    const auto check = [&](const char* aKey, const size_range& aRange) {
      if (aRange.mLeast > aRange.mMost) {
        aErrors.push_back(aText.ErrorAt(fmt::format("/sources/{}/{}", i, aKey),
                                        "\"least\" is more than \"most\""));
      }
    };
    check("prompt_tokens", source.mPromptTokens);
    check("output_tokens", source.mOutputTokens);
  }
}

} // namespace

const setting_schema& WorkloadSchema()
{
  static const setting_schema sSchema(kWorkload);
  return sSchema;
}

config_result<workload> ParseWorkload(std::string_view aText,
                                      std::string_view aSource)
{
  const auto text = ReadWithSchema(aText, aSource, WorkloadSchema());
  if (text.has_error()) {
    return text.error();
  }
  workload load = ReadAll(text.value().mValue);
  config_errors errors;
  CheckRanges(text.value(), load, errors.mErrors);
  if (!errors.mErrors.empty()) {
    return errors;
  }
  return load;
}
