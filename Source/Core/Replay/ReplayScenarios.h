#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Replay/ReplayOutcomes.h"
#include "Replay/Trace.h"

/// Generated traces with fixed seeds, and the outcomes that the design page's
/// targets demand of them.

enum class deployment_kind : std::uint8_t
{
  /// 8 nodes and 10 engines in 4 zones; reports from long diaries.
  Dormivia,
  /// 7 nodes and 10 engines in 3 zones; diagnoses from long histories.
  Trituradores,
};

enum class scenario_kind : std::uint8_t
{
  /// An ordinary hour, scaled to five minutes; one upstream leaves.
  OrdinaryHour,
  BackgroundFlood,
  /// Urgent work at five times the capacity.
  UrgentFlood,
  HeavyTenants,
  ThreeUpstreamsLost,
  /// Two crashing contents, each sent again and again.
  CrashingRequest,
};

inline constexpr std::size_t kDeployments = 2;
inline constexpr std::size_t kScenarios = 6;

std::string_view DeploymentName(deployment_kind aDeployment);
std::string_view ScenarioName(scenario_kind aScenario);

struct replay_scenario
{
  trace mTrace;
  replay_outcomes mOutcomes;
};

replay_scenario MakeScenario(deployment_kind aDeployment,
                             scenario_kind aScenario,
                             std::uint64_t aSeed = 1);

/// Writes every scenario as `DEPLOYMENT-SCENARIO.trace` and `.outcomes.json`
/// into a folder; false when a file cannot be written.
bool WriteScenarios(const std::string& aFolder);
