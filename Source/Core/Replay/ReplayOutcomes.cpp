#include "Replay/ReplayOutcomes.h"

#include <array>
#include <istream>
#include <iterator>
#include <ostream>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 12> kMetricNames = {
  "within_target",
  "rejected",
  "median_ms",
  "p99_ms",
  "token_share",
  "kept",
  "wasted",
  "account_ratio",
  "upstreams_crashed",
  "innocents_quarantined",
  "starts_on_leaving",
  "false_not_run",
};

outcome_metric ParseMetric(const std::string& aName)
{
  for (std::size_t i = 0; i < kMetricNames.size(); ++i) {
    if (kMetricNames[i] == aName) {
      return static_cast<outcome_metric>(i);
    }
  }
  throw std::invalid_argument(fmt::format("unknown metric \"{}\"", aName));
}

std::optional<double> ParseBound(const json& aValue, const char* aKey)
{
  if (!aValue.contains(aKey)) {
    return std::nullopt;
  }
  return aValue.at(aKey).get<double>();
}

replay_outcome ParseOutcome(const json& aValue)
{
  replay_outcome outcome;
  outcome.mName = aValue.at("name");
  outcome.mMetric = ParseMetric(aValue.at("metric"));
  const std::string name = aValue.value("class", std::string("urgent"));
  const auto kind = ParseServiceClass(name);
  if (!kind) {
    throw std::invalid_argument(fmt::format("unknown class \"{}\"", name));
  }
  outcome.mClass = *kind;
  for (const json& account : aValue.value("accounts", json::array())) {
    outcome.mAccounts.push_back({ account.get<std::string>() });
  }
  outcome.mAtLeast = ParseBound(aValue, "at_least");
  outcome.mAtMost = ParseBound(aValue, "at_most");
  if (!outcome.mAtLeast && !outcome.mAtMost) {
    throw std::invalid_argument("an outcome needs at_least or at_most");
  }
  return outcome;
}

double ClassFigure(outcome_metric aMetric, const class_figures& aFigures)
{
  switch (aMetric) {
    case outcome_metric::WithinTarget:
      return aFigures.mWithinTarget;
    case outcome_metric::Rejected:
      return aFigures.mRejected;
    case outcome_metric::MedianMs:
      return aFigures.mMedianMs;
    case outcome_metric::P99Ms:
      return aFigures.mP99Ms;
    case outcome_metric::TokenShare:
      return aFigures.mTokenShare;
    case outcome_metric::Kept:
      return aFigures.mKept;
    default:
      return aFigures.mWasted;
  }
}

} // namespace

std::string_view OutcomeMetricName(outcome_metric aMetric)
{
  return kMetricNames[static_cast<std::size_t>(aMetric)];
}

result<replay_outcomes, json_error> ReadOutcomes(std::istream& aInput,
                                                 std::string_view aSource)
{
  const std::string text(std::istreambuf_iterator<char>(aInput), {});
  const auto parsed = ParseJsonText(text, aSource);
  if (!parsed) {
    return parsed.error();
  }
  const json_text& document = parsed.value();
  replay_outcomes outcomes;
  std::string pointer;
  try {
    const json& value = document.mValue;
    if (value.at("version") != kOutcomesVersion) {
      return document.ErrorAt(
        "/version", fmt::format("the version must be {}", kOutcomesVersion));
    }
    pointer = "/window";
    outcomes.mWindow.mFromMs = value.at("window").at("from_ms");
    outcomes.mWindow.mToMs = value.at("window").at("to_ms");
    for (const json& outcome : value.at("outcomes")) {
      pointer = fmt::format("/outcomes/{}", outcomes.mOutcomes.size());
      outcomes.mOutcomes.push_back(ParseOutcome(outcome));
    }
  } catch (const std::exception& error) {
    return document.ErrorAt(pointer, error.what());
  }
  return outcomes;
}

void WriteOutcomes(const replay_outcomes& aOutcomes, std::ostream& aOutput)
{
  json document{ { "version", kOutcomesVersion },
                 { "window",
                   { { "from_ms", aOutcomes.mWindow.mFromMs },
                     { "to_ms", aOutcomes.mWindow.mToMs } } },
                 { "outcomes", json::array() } };
  for (const replay_outcome& outcome : aOutcomes.mOutcomes) {
    json entry{ { "name", outcome.mName },
                { "metric", OutcomeMetricName(outcome.mMetric) },
                { "class", ServiceClassName(outcome.mClass) } };
    for (const account_id& account : outcome.mAccounts) {
      entry["accounts"].push_back(account.mName);
    }
    if (outcome.mAtLeast) {
      entry["at_least"] = *outcome.mAtLeast;
    }
    if (outcome.mAtMost) {
      entry["at_most"] = *outcome.mAtMost;
    }
    document["outcomes"].push_back(std::move(entry));
  }
  aOutput << document.dump(2) << '\n';
}

double OutcomeFigure(const replay_outcome& aOutcome,
                     const replay_figures& aFigures,
                     double aAccountRatio)
{
  switch (aOutcome.mMetric) {
    case outcome_metric::AccountRatio:
      return aAccountRatio;
    case outcome_metric::UpstreamsCrashed:
      return aFigures.mMostCrashes;
    case outcome_metric::InnocentsQuarantined:
      return aFigures.mInnocentsQuarantined;
    case outcome_metric::StartsOnLeaving:
      return aFigures.mStartsOnLeaving;
    case outcome_metric::FalseNotRun:
      return aFigures.mFalseNotRun;
    default:
      return ClassFigure(
        aOutcome.mMetric,
        aFigures.mClasses[static_cast<std::size_t>(aOutcome.mClass)]);
  }
}

bool OutcomeHolds(const replay_outcome& aOutcome, double aFigure)
{
  const bool enough = !aOutcome.mAtLeast || aFigure >= *aOutcome.mAtLeast;
  const bool bounded = !aOutcome.mAtMost || aFigure <= *aOutcome.mAtMost;
  return enough && bounded;
}
