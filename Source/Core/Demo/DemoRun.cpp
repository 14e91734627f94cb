#include "Demo/DemoRun.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Load/LoadGenerator.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kDrain(10);
constexpr seconds kStopLimit(15);
// The load of accounts beside each other, as shares of the whole rate.
constexpr double kLargeShare = 0.3;

double ShareOf(const demo_account& aAccount, std::size_t aAccounts)
{
  // Heavier accounts have more weight and send more.
  return aAccount.mWeight > 1 ? kLargeShare
                              : 0.4 / static_cast<double>(aAccounts);
}

workload MakeWorkload(embedded_fleet& aFleet, const demo_options& aOptions)
{
  workload load;
  for (std::size_t i = 0; i < aFleet.Nodes(); ++i) {
    load.mNodes.push_back(*ParseSocketAddress(aFleet.Node(i).HttpAddress()));
  }
  load.mDuration = aOptions.mDuration;
  load.mDrain = kDrain;
  load.mSeed = aOptions.mSeed;
  load.mMaxConcurrent = 1000;
  load.mMaxRequests = 100'000;
  load.mMaxAttempts = 3;
  for (const demo_account& account : aFleet.Accounts()) {
    load_source source;
    source.mAccount.mName = account.mName;
    source.mApiKey = account.mKey;
    source.mRank = account.mRank;
    source.mModel.mName = "small";
    source.mRate = aOptions.mRate * ShareOf(account, aFleet.Accounts().size());
    source.mPromptTokens = { 10, 60 };
    source.mOutputTokens = { 8, 40 };
    load.mSources.push_back(std::move(source));
  }
  return load;
}

std::int64_t ReportedTokens(const load_run_report& aReport,
                            const std::string& aAccount)
{
  const auto found = aReport.mAccounts.find({ aAccount });
  if (found == aReport.mAccounts.end()) {
    return 0;
  }
  return static_cast<std::int64_t>(found->second.mPromptTokens +
                                   found->second.mOutputTokens);
}

std::vector<demo_budget_line> ReadBudgets(embedded_fleet& aFleet,
                                          const load_run_report& aReport)
{
  std::vector<demo_budget_line> lines;
  for (const demo_account& account : aFleet.Accounts()) {
    if (account.mFreeTier) {
      continue;
    }
    lines.push_back({ account.mName,
                      account.mPrepaid,
                      ReportedTokens(aReport, account.mName),
                      aFleet.Spent(account.mName),
                      aFleet.Reconciled(account.mName) });
  }
  return lines;
}

} // namespace

bool demo_summary::Holds() const
{
  const bool budgets =
    std::all_of(mBudgets.begin(),
                mBudgets.end(),
                [](const demo_budget_line& aLine) { return aLine.Holds(); });
  return mError.empty() && mStopped && budgets && !mBudgets.empty();
}

demo_summary RunDemoLoad(embedded_fleet& aFleet,
                         event_loop& aLoop,
                         const demo_options& aOptions)
{
  demo_summary summary;
  const system_time_source time;
  load_generator generator(
    MakeWorkload(aFleet, aOptions), time, nullptr, nullptr);
  generator.Start();
  const milliseconds limit = aOptions.mDuration + kDrain + seconds(5);
  if (!aLoop.RunUntil([&generator] { return generator.Done(); }, limit)) {
    summary.mError = "the load did not end in time";
  }
  summary.mLoad = generator.Report();
  summary.mStopped = aFleet.StopNodes(aLoop, kStopLimit);
  summary.mBudgets = ReadBudgets(aFleet, summary.mLoad);
  return summary;
}

embedded_fleet_options DemoFleetOptions(const demo_options& aOptions)
{
  embedded_fleet_options options;
  options.mNodes = aOptions.mNodes;
  options.mCluster.mEngines = aOptions.mEngines;
  // The limits that the platform states: several hundred writes and about two
  // thousand reads a second.
  options.mCluster.mTable.mWritesPerSecond = 300;
  options.mCluster.mTable.mReadsPerSecond = 2000;
  return options;
}

std::string FormatDemoSummary(const demo_summary& aSummary)
{
  std::string text = FormatLoadTable(aSummary.mLoad);
  text += fmt::format("\n{:<12}{:>12}{:>12}{:>12}  {}\n",
                      "budget",
                      "prepaid",
                      "reported",
                      "charged",
                      "verdict");
  for (const demo_budget_line& line : aSummary.mBudgets) {
    text += fmt::format("{:<12}{:>12}{:>12}{:>12}  {}\n",
                        line.mBudget,
                        line.mPrepaid,
                        line.mReported,
                        line.mSpent,
                        line.Holds() ? "holds" : "BROKEN");
  }
  if (!aSummary.mStopped) {
    text += "the nodes did not stop in time\n";
  }
  if (!aSummary.mError.empty()) {
    text += aSummary.mError + "\n";
  }
  text += fmt::format("demo: {}\n", aSummary.Holds() ? "all holds" : "BROKEN");
  return text;
}
