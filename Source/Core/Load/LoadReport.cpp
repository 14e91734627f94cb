#include "Load/LoadReport.h"

#include <fmt/format.h>

namespace {

using json = nlohmann::json;

double Milliseconds(std::chrono::microseconds aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

json HistogramJson(const latency_histogram& aHistogram)
{
  return { { "count", aHistogram.Count() },
           { "mean_ms", Milliseconds(aHistogram.Mean()) },
           { "p50_ms", Milliseconds(aHistogram.Percentile(0.5)) },
           { "p95_ms", Milliseconds(aHistogram.Percentile(0.95)) },
           { "p99_ms", Milliseconds(aHistogram.Percentile(0.99)) },
           { "max_ms", Milliseconds(aHistogram.Most()) } };
}

std::string HistogramRow(std::string_view aRank,
                         std::string_view aWhat,
                         const latency_histogram& aHistogram)
{
  return fmt::format("{:<12}{:<16}{:>10}{:>11.1f}{:>11.1f}{:>11.1f}{:>11.1f}\n",
                     aRank,
                     aWhat,
                     aHistogram.Count(),
                     Milliseconds(aHistogram.Percentile(0.5)),
                     Milliseconds(aHistogram.Percentile(0.95)),
                     Milliseconds(aHistogram.Percentile(0.99)),
                     Milliseconds(aHistogram.Most()));
}

std::string RankTable(const load_run_report& aReport)
{
  std::string text = fmt::format("{:<12}{:<16}{:>10}{:>11}{:>11}{:>11}{:>11}\n",
                                 "rank",
                                 "time",
                                 "count",
                                 "p50 ms",
                                 "p95 ms",
                                 "p99 ms",
                                 "max ms");
  for (const auto& [rank, times] : aReport.mRanks) {
    text += HistogramRow(rank, "first token", times.mFirstToken);
    text += HistogramRow(rank, "between tokens", times.mBetweenTokens);
  }
  return text;
}

std::string AccountTable(const load_run_report& aReport)
{
  std::string text = fmt::format("{:<24}{:>10}{:>10}{:>15}{:>15}\n",
                                 "account",
                                 "requests",
                                 "complete",
                                 "prompt tokens",
                                 "output tokens");
  for (const auto& [account, counts] : aReport.mAccounts) {
    text += fmt::format("{:<24}{:>10}{:>10}{:>15}{:>15}\n",
                        account.mName,
                        counts.mRequests,
                        counts.mComplete,
                        counts.mPromptTokens,
                        counts.mOutputTokens);
  }
  return text;
}

} // namespace

std::string FormatLoadTable(const load_run_report& aReport)
{
  std::string text =
    fmt::format("{} requests, {} retries, at most {} open, {:.1f} s\n\n",
                aReport.mRequests,
                aReport.mRetries,
                aReport.mMostOpen,
                Milliseconds(aReport.mElapsed) / 1000);
  text += RankTable(aReport) + "\n" + AccountTable(aReport) + "\n";
  text += fmt::format("{:<24}{:>10}\n", "outcome", "requests");
  for (const auto& [outcome, count] : aReport.mOutcomes) {
    text += fmt::format("{:<24}{:>10}\n", outcome, count);
  }
  return text;
}

json LoadReportJson(const load_run_report& aReport)
{
  json ranks = json::object();
  for (const auto& [rank, times] : aReport.mRanks) {
    ranks[rank] = { { "requests", times.mRequests },
                    { "complete", times.mComplete },
                    { "first_token", HistogramJson(times.mFirstToken) },
                    { "between_tokens", HistogramJson(times.mBetweenTokens) } };
  }
  json accounts = json::object();
  for (const auto& [account, counts] : aReport.mAccounts) {
    accounts[account.mName] = { { "requests", counts.mRequests },
                                { "complete", counts.mComplete },
                                { "prompt_tokens", counts.mPromptTokens },
                                { "output_tokens", counts.mOutputTokens } };
  }
  return { { "requests", aReport.mRequests },
           { "retries", aReport.mRetries },
           { "most_open", aReport.mMostOpen },
           { "elapsed_ms", Milliseconds(aReport.mElapsed) },
           { "outcomes", aReport.mOutcomes },
           { "ranks", ranks },
           { "accounts", accounts } };
}
