#include <malloc.h>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "Config/ConfigFollower.h"

namespace {

constexpr int kModelCount = 29;

std::string ModelName(int aIndex)
{
  return fmt::format("model-{}", aIndex);
}

std::string AccountName(int aIndex)
{
  return fmt::format("account-{}", aIndex);
}

std::string CapacityText()
{
  std::string models;
  for (int i = 0; i < kModelCount; ++i) {
    models += fmt::format("{}\"{}\": {{ \"context_length\": 32768, "
                          "\"default_output\": 512, \"max_output\": 4096 }}",
                          i == 0 ? "" : ",\n",
                          ModelName(i));
  }
  return "{ \"models\": {\n" + models + "\n} }";
}

/// Billing part with the prices of all models and the budgets of the accounts
/// from `aFirst` to `aLast` - 1, one for each account.
std::string BillingText(int aFirst, int aLast)
{
  std::string prices;
  for (int i = 0; i < kModelCount; ++i) {
    prices += fmt::format("{}\"{}\": {{ \"prompt\": 100, \"output\": 400 }}",
                          i == 0 ? "" : ",\n",
                          ModelName(i));
  }
  std::string budgets;
  for (int i = aFirst; i < aLast; ++i) {
    budgets += fmt::format("{}\"budget-{}\": {{ \"accounts\": [\"{}\"] }}",
                           i == aFirst ? "" : ",\n",
                           i,
                           AccountName(i));
  }
  return "{ \"prices\": {\n" + prices + "\n}, \"budgets\": {\n" + budgets +
         "\n} }";
}

std::string AccountText(int aIndex, int aWeight)
{
  return fmt::format("{{\n"
                     "  // Owned by the team of {0}.\n"
                     "  \"key_hashes\": [\n    \"{1}\"\n  ],\n"
                     "  \"default_rank\": \"routine\",\n"
                     "  \"allowed_ranks\": [\"urgent\", \"routine\"],\n"
                     "  \"allowed_models\": [\"{2}\", \"{3}\", \"{4}\"],\n"
                     "  \"budget\": \"budget-{5}\",\n"
                     "  \"weight\": {6},\n"
                     "  \"max_output\": 2048\n}}\n",
                     AccountName(aIndex),
                     FormatApiKeyHash(HashApiKey(AccountName(aIndex))),
                     ModelName(aIndex % kModelCount),
                     ModelName((aIndex + 1) % kModelCount),
                     ModelName((aIndex + 2) % kModelCount),
                     aIndex,
                     aWeight);
}

/// Sections of a fleet document: capacity, billing parts of at most 500 budgets
/// as at the target fleet size, and one section for each account.
std::vector<section_change> MakeSections(int aAccounts)
{
  constexpr int kBudgetsPerPart = 500;
  std::vector<section_change> sections = { { "capacity", CapacityText() } };
  for (int first = 0; first < aAccounts; first += kBudgetsPerPart) {
    sections.push_back(
      { fmt::format("billing/part-{}", first / kBudgetsPerPart),
        BillingText(first, std::min(first + kBudgetsPerPart, aAccounts)) });
  }
  for (int i = 0; i < aAccounts; ++i) {
    sections.push_back({ "accounts/" + AccountName(i), AccountText(i, 1) });
  }
  return sections;
}

fleet_document MakeDocument(int aAccounts)
{
  return fleet_document().With(MakeSections(aAccounts)).value();
}

/// Rows of a table in which the sections are stored as versions 1, 2, 3...
std::map<std::string, table_row> MakeRows(
  const std::vector<section_change>& aSections)
{
  std::map<std::string, table_row> rows;
  config_head head;
  const auto put = [&rows, &head](const std::string& aKey, std::string aValue) {
    rows[aKey] = { aKey, head.mVersion, std::move(aValue) };
  };
  for (const section_change& change : aSections) {
    ++head.mVersion;
    head.mDigest ^= SectionDigest(change.mName, head.mVersion);
    put(ConfigSectionKey(change.mName),
        WriteConfigSection({ change.mName, head.mVersion, change.mText }));
  }
  put(std::string(kConfigHeadKey), WriteConfigHead(head));
  return rows;
}

/// Answers the reads and scans of a follower from the rows.
void AnswerRequests(config_follower& aFollower,
                    const std::map<std::string, table_row>& aRows,
                    const config_requests& aRequests,
                    time_point aNow)
{
  for (const config_read& read : aRequests.mReads) {
    std::vector<table_row> rows;
    for (const std::string& key : read.mKeys) {
      const auto row = aRows.find(key);
      rows.push_back(row == aRows.end() ? table_row{ key, 0, "" }
                                        : row->second);
    }
    aFollower.OnRead(read.mRequest, rows, aNow);
  }
  for (const config_scan& scan : aRequests.mScans) {
    std::vector<table_row> rows;
    auto row =
      aRows.upper_bound(std::max(scan.mScan.mAfter, scan.mScan.mPrefix));
    while (row != aRows.end() && rows.size() < scan.mScan.mLimit) {
      rows.push_back(row->second);
      ++row;
    }
    aFollower.OnScan(scan.mRequest, rows, aNow);
  }
}

/// Parses and checks a whole document, as a starting node does.
void ParseDocument(benchmark::State& aState)
{
  const auto sections = MakeSections(static_cast<int>(aState.range(0)));
  std::size_t bytes = 0;
  for (const section_change& section : sections) {
    bytes += section.mText->size();
  }
  for (auto step : aState) {
    benchmark::DoNotOptimize(fleet_document().With(sections));
  }
  aState.counters["document_bytes"] = static_cast<double>(bytes);
}

/// Applies a change of one account section.
void ApplyAccount(benchmark::State& aState)
{
  const fleet_document document =
    MakeDocument(static_cast<int>(aState.range(0)));
  const std::vector<section_change> change = { { "accounts/account-7",
                                                 AccountText(7, 2) } };
  for (auto step : aState) {
    benchmark::DoNotOptimize(document.With(change));
  }
}

/// Applies a change of one billing part, which validates all accounts again.
void ApplyBilling(benchmark::State& aState)
{
  const int accounts = static_cast<int>(aState.range(0));
  const fleet_document document = MakeDocument(accounts);
  const std::vector<section_change> change = {
    { "billing/part-0", BillingText(0, std::min(accounts, 500)) }
  };
  for (auto step : aState) {
    benchmark::DoNotOptimize(document.With(change));
  }
}

void FindByKey(benchmark::State& aState)
{
  const fleet_document document =
    MakeDocument(static_cast<int>(aState.range(0)));
  const api_key_hash hash = HashApiKey(AccountName(7));
  for (auto step : aState) {
    benchmark::DoNotOptimize(document.FindAccountByKey(hash));
  }
}

/// Heap bytes for each account of a parsed document.
void MemoryPerAccount(benchmark::State& aState)
{
  const int accounts = static_cast<int>(aState.range(0));
  const auto sections = MakeSections(accounts);
  double bytes = 0;
  for (auto step : aState) {
    const std::size_t before = mallinfo2().uordblks;
    const auto document = fleet_document().With(sections);
    bytes = static_cast<double>(mallinfo2().uordblks - before);
    benchmark::DoNotOptimize(document);
  }
  aState.counters["bytes_per_account"] = bytes / accounts;
  aState.counters["total_bytes"] = bytes;
}

/// Rows and bytes that one follower reads per changed account section, polls
/// included, from just after a poll until it has applied the change.
void FollowOneChange(benchmark::State& aState)
{
  const auto sections = MakeSections(static_cast<int>(aState.range(0)));
  auto rows = MakeRows(sections);
  config_follower follower({});
  time_point now{ std::chrono::seconds(1) };
  const auto followUntil = [&](std::uint64_t aVersion) {
    while (follower.Current().mVersion < aVersion) {
      AnswerRequests(follower, rows, follower.Tick(now), now);
      now += std::chrono::milliseconds(10);
    }
  };
  std::uint64_t version = sections.size();
  followUntil(version);
  const config_follower_counters before = follower.Counters();
  config_head head{ version, follower.Digest() };
  std::uint64_t previous = follower.SectionVersion("accounts/account-7");
  for (auto step : aState) {
    ++version;
    const std::string name = "accounts/account-7";
    head.mVersion = version;
    head.mDigest ^= SectionDigest(name, previous);
    head.mDigest ^= SectionDigest(name, version);
    const auto put = [&rows, version](const std::string& aKey,
                                      std::string aValue) {
      rows[aKey] = { aKey, version, std::move(aValue) };
    };
    put(std::string(kConfigHeadKey), WriteConfigHead(head));
    put(ConfigChangeKey(version),
        WriteConfigChange(
          { version, name, previous, false, head.mDigest, "ops", "", {} }));
    put(
      ConfigSectionKey(name),
      WriteConfigSection(
        { name, version, AccountText(7, static_cast<int>(version % 9) + 1) }));
    previous = version;
    followUntil(version);
  }
  const auto changes = static_cast<double>(aState.iterations());
  const config_follower_counters& after = follower.Counters();
  aState.counters["rows_per_change"] =
    static_cast<double>(after.mRowsRead - before.mRowsRead) / changes;
  aState.counters["bytes_per_change"] =
    static_cast<double>(after.mBytesRead - before.mBytesRead) / changes;
}

BENCHMARK(ParseDocument)
  ->Arg(10)
  ->Arg(1000)
  ->Arg(9800)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(ApplyAccount)
  ->Arg(10)
  ->Arg(1000)
  ->Arg(9800)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(ApplyBilling)
  ->Arg(10)
  ->Arg(1000)
  ->Arg(9800)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(FindByKey)->Arg(10)->Arg(1000)->Arg(9800);
BENCHMARK(MemoryPerAccount)
  ->Arg(10)
  ->Arg(1000)
  ->Arg(9800)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);
BENCHMARK(FollowOneChange)
  ->Arg(10)
  ->Arg(1000)
  ->Arg(9800)
  ->Unit(benchmark::kMicrosecond);

} // namespace
