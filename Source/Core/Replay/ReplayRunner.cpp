#include "Replay/ReplayRunner.h"

#include <algorithm>
#include <fstream>
#include <ostream>

#include <fmt/format.h>

#include "Replay/ReplayFleet.h"

namespace {

std::string BoundText(const replay_outcome& aOutcome)
{
  std::string text;
  if (aOutcome.mAtLeast) {
    text += fmt::format("at least {:g}", *aOutcome.mAtLeast);
  }
  if (aOutcome.mAtMost) {
    text += fmt::format(
      "{}at most {:g}", text.empty() ? "" : ", ", *aOutcome.mAtMost);
  }
  return text;
}

void WriteFigures(const policy_figures& aPolicy, std::ostream& aOutput)
{
  const replay_figures& figures = aPolicy.mFigures;
  for (std::size_t i = 0; i < kServiceClassCount; ++i) {
    const class_figures& row = figures.mClasses[i];
    if (row.mArrivals == 0) {
      continue;
    }
    aOutput << fmt::format(
      "{:16} {:11} {:8} {:9.4f} {:9.4f} {:9.0f} {:9.0f} {:8.3f} {:7.3f} "
      "{:7.4f}\n",
      PolicyName(aPolicy.mPolicy),
      ServiceClassName(static_cast<service_class>(i)),
      row.mArrivals,
      row.mWithinTarget,
      row.mRejected,
      row.mMedianMs,
      row.mP99Ms,
      row.mTokenShare,
      row.mKept,
      row.mWasted);
  }
  aOutput << fmt::format(
    "{:16} crashes by one content {}, innocents quarantined {}, starts on "
    "leaving {}, false not_run {}, displaced {}\n",
    PolicyName(aPolicy.mPolicy),
    figures.mMostCrashes,
    figures.mInnocentsQuarantined,
    figures.mStartsOnLeaving,
    figures.mFalseNotRun,
    figures.mDisplaced);
}

/// Opens and reads a file; writes the error and returns false on failure.
template<class T, class Reader>
bool ReadFile(const std::string& aPath,
              Reader aReader,
              T& aValue,
              std::ostream& aErrors)
{
  std::ifstream input(aPath);
  if (!input) {
    aErrors << fmt::format("{}: the file cannot be opened\n", aPath);
    return false;
  }
  auto read = aReader(input, aPath);
  if (!read) {
    aErrors << FormatJsonError(read.error()) << '\n';
    return false;
  }
  aValue = std::move(read.value());
  return true;
}

} // namespace

bool replay_report::AllHeld() const
{
  return std::all_of(mOutcomes.begin(),
                     mOutcomes.end(),
                     [](const auto& aOutcome) { return aOutcome.mHeld; });
}

replay_runner::replay_runner(const dispatch_settings& aSettings,
                             bool aBaselines)
  : mSettings(aSettings)
  , mBaselines(aBaselines)
{
}

replay_result replay_runner::Play(const trace& aTrace,
                                  policy_kind aPolicy) const
{
  replay_fleet fleet(aTrace, aPolicy, mSettings);
  return fleet.Run();
}

double replay_runner::AccountRatio(const trace& aTrace,
                                   const replay_result& aResult,
                                   const std::vector<account_id>& aAccounts,
                                   const trace_window& aWindow) const
{
  double least = 1.0;
  for (const account_id& account : aAccounts) {
    const trace only = OnlyAccount(aTrace, account);
    const replay_result alone = Play(only, policy_kind::Dispatch);
    const double serviceAlone =
      AccountService(only, alone, mSettings, account, aWindow);
    const double service =
      AccountService(aTrace, aResult, mSettings, account, aWindow);
    if (serviceAlone > 0.0) {
      least = std::min(least, service / serviceAlone);
    }
  }
  return least;
}

replay_report replay_runner::Run(const trace& aTrace,
                                 const replay_outcomes& aOutcomes) const
{
  replay_report report;
  report.mTrace = aTrace.mHeader.mName;
  const replay_result result = Play(aTrace, policy_kind::Dispatch);
  report.mPolicies.push_back(
    { policy_kind::Dispatch,
      ComputeFigures(aTrace, result, mSettings, aOutcomes.mWindow) });
  for (const replay_outcome& outcome : aOutcomes.mOutcomes) {
    const double ratio =
      AccountRatio(aTrace, result, outcome.mAccounts, aOutcomes.mWindow);
    const double figure =
      OutcomeFigure(outcome, report.mPolicies.front().mFigures, ratio);
    report.mOutcomes.push_back(
      { outcome, figure, OutcomeHolds(outcome, figure) });
  }
  if (!mBaselines) {
    return report;
  }
  for (const policy_kind policy :
       { policy_kind::FirstInFirstOut, policy_kind::StrictPriority }) {
    const replay_result baseline = Play(aTrace, policy);
    report.mPolicies.push_back(
      { policy,
        ComputeFigures(aTrace, baseline, mSettings, aOutcomes.mWindow) });
  }
  return report;
}

dispatch_settings ReplaySettings()
{
  dispatch_settings settings;
  settings.mConcurrency.mDefaultLimit = 16.0;
  return settings;
}

void WriteReport(const replay_report& aReport, std::ostream& aOutput)
{
  aOutput << fmt::format("trace {}\n", aReport.mTrace);
  aOutput << fmt::format(
    "{:16} {:11} {:>8} {:>9} {:>9} {:>9} {:>9} {:>8} {:>7} {:>7}\n",
    "policy",
    "class",
    "arrivals",
    "in target",
    "rejected",
    "median ms",
    "p99 ms",
    "share",
    "kept",
    "wasted");
  for (const policy_figures& policy : aReport.mPolicies) {
    WriteFigures(policy, aOutput);
  }
  for (const checked_outcome& checked : aReport.mOutcomes) {
    aOutput << fmt::format("{}: {}: {:.4f}, bound {}\n",
                           checked.mHeld ? "held" : "BROKEN",
                           checked.mOutcome.mName,
                           checked.mFigure,
                           BoundText(checked.mOutcome));
  }
}

int RunReplay(const std::string& aTracePath,
              const std::string& aOutcomesPath,
              std::ostream& aOutput,
              std::ostream& aErrors)
{
  trace read;
  replay_outcomes outcomes;
  if (!ReadFile(aTracePath, ReadTrace, read, aErrors) ||
      !ReadFile(aOutcomesPath, ReadOutcomes, outcomes, aErrors)) {
    return kReplayUnusable;
  }
  const replay_runner runner(ReplaySettings(), true);
  const replay_report report = runner.Run(read, outcomes);
  WriteReport(report, aOutput);
  return report.AllHeld() ? kReplayHeld : kReplayBroken;
}
