#pragma once

#include <compare>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/JsonText.h"
#include "Common/Result.h"
#include "Replay/ReplayFigures.h"

/// Expected outcomes of a replay, stated in a JSON file.

inline constexpr int kOutcomesVersion = 1;

enum class outcome_metric : std::uint8_t
{
  /// Share of a class's arrivals that got their first token within the target
  /// and were completed.
  WithinTarget,
  /// Rejected requests of a class per arrival.
  Rejected,
  /// Median and 99th percentile of the time to first token, in milliseconds.
  MedianMs,
  P99Ms,
  /// Part of a class in the served cost of all paid classes.
  TokenShare,
  /// Served cost per second in the window, as a ratio of that before it.
  Kept,
  /// Wasted output tokens of a class, per output token.
  Wasted,
  /// Least ratio, over the accounts named, of service to service alone.
  AccountRatio,
  /// Engines crashed by one content.
  UpstreamsCrashed,
  InnocentsQuarantined,
  StartsOnLeaving,
  FalseNotRun,
};

struct replay_outcome
{
  std::string mName;
  outcome_metric mMetric = outcome_metric::WithinTarget;
  service_class mClass = service_class::Urgent;
  std::vector<account_id> mAccounts;
  std::optional<double> mAtLeast;
  std::optional<double> mAtMost;
  auto operator<=>(const replay_outcome&) const = default;
};

struct replay_outcomes
{
  /// The part of the trace that the figures are taken from.
  trace_window mWindow;
  std::vector<replay_outcome> mOutcomes;
  auto operator<=>(const replay_outcomes&) const = default;
};

std::string_view OutcomeMetricName(outcome_metric aMetric);

result<replay_outcomes, json_error> ReadOutcomes(std::istream& aInput,
                                                 std::string_view aSource);

void WriteOutcomes(const replay_outcomes& aOutcomes, std::ostream& aOutput);

/// The figure that an outcome bounds; `aAccountRatio` is that of the accounts
/// of the outcome.
double OutcomeFigure(const replay_outcome& aOutcome,
                     const replay_figures& aFigures,
                     double aAccountRatio);

bool OutcomeHolds(const replay_outcome& aOutcome, double aFigure);
