#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "Replay/ReplayFigures.h"
#include "Replay/ReplayOutcomes.h"
#include "Replay/ReplayPolicy.h"
#include "Replay/Trace.h"

/// Plays a trace against the dispatch system and the baselines and checks the
/// stated outcomes.

/// One outcome, checked.
struct checked_outcome
{
  replay_outcome mOutcome;
  double mFigure = 0.0;
  bool mHeld = false;
};

struct policy_figures
{
  policy_kind mPolicy = policy_kind::Dispatch;
  replay_figures mFigures;
};

struct replay_report
{
  std::string mTrace;
  /// The dispatch system first, then the baselines.
  std::vector<policy_figures> mPolicies;
  std::vector<checked_outcome> mOutcomes;

  bool AllHeld() const;
};

class replay_runner
{
public:
  /// `aBaselines`: also plays the baselines.
  replay_runner(const dispatch_settings& aSettings, bool aBaselines);

  replay_report Run(const trace& aTrace,
                    const replay_outcomes& aOutcomes) const;

private:
  replay_result Play(const trace& aTrace, policy_kind aPolicy) const;
  double AccountRatio(const trace& aTrace,
                      const replay_result& aResult,
                      const std::vector<account_id>& aAccounts,
                      const trace_window& aWindow) const;

  dispatch_settings mSettings;
  bool mBaselines;
};

/// Settings of the dispatch system in replays.
dispatch_settings ReplaySettings();

void WriteReport(const replay_report& aReport, std::ostream& aOutput);

/// Exit codes of the `replay` subcommand.
inline constexpr int kReplayHeld = 0;
inline constexpr int kReplayBroken = 1;
inline constexpr int kReplayUnusable = 2;

/// The `replay` subcommand: reads both files, writes the report to `aOutput`
/// and errors to `aErrors`, and returns the exit code.
int RunReplay(const std::string& aTracePath,
              const std::string& aOutcomesPath,
              std::ostream& aOutput,
              std::ostream& aErrors);
