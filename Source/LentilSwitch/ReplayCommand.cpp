#include <iostream>
#include <memory>
#include <string>

#include <fmt/format.h>

#include "Command.h"
#include "Replay/ReplayRunner.h"
#include "Replay/ReplayScenarios.h"

namespace {

struct replay_arguments
{
  std::string mTrace;
  std::string mOutcomes;
  std::string mOutputFolder;
  bool mScenarios = false;
  std::uint64_t mSeed = 1;
};

/// Replays every generated scenario of both deployments and prints a report of
/// each. Fails if one of them misses a stated outcome.
exit_code RunScenarios(std::uint64_t aSeed)
{
  const replay_runner runner(ReplaySettings(), true);
  bool allHeld = true;
  for (std::size_t i = 0; i < kDeployments; ++i) {
    for (std::size_t k = 0; k < kScenarios; ++k) {
      const replay_scenario scenario = MakeScenario(
        static_cast<deployment_kind>(i), static_cast<scenario_kind>(k), aSeed);
      const replay_report report =
        runner.Run(scenario.mTrace, scenario.mOutcomes);
      WriteReport(report, std::cout);
      allHeld = allHeld && report.AllHeld();
    }
  }
  return allHeld ? exit_code::Ok : exit_code::Failed;
}

exit_code Run(const replay_arguments& aArguments)
{
  if (!aArguments.mOutputFolder.empty()) {
    return WriteScenarios(aArguments.mOutputFolder) ? exit_code::Ok
                                                    : exit_code::Usage;
  }
  if (aArguments.mScenarios) {
    return RunScenarios(aArguments.mSeed);
  }
  if (aArguments.mTrace.empty() || aArguments.mOutcomes.empty()) {
    fmt::print(stderr, "replay: expected a trace and --outcomes\n");
    return exit_code::Usage;
  }
  switch (
    RunReplay(aArguments.mTrace, aArguments.mOutcomes, std::cout, std::cerr)) {
    case kReplayHeld:
      return exit_code::Ok;
    case kReplayBroken:
      return exit_code::Failed;
    default:
      return exit_code::Usage;
  }
}

} // namespace

void AddReplayCommand(CLI::App& aApp, command_context& aContext)
{
  CLI::App* command = aApp.add_subcommand(
    "replay", "Replay traces and check them against stated outcomes");
  auto arguments = std::make_shared<replay_arguments>();
  command->add_option("trace", arguments->mTrace, "Trace, JSON lines");
  command->add_option(
    "--outcomes", arguments->mOutcomes, "Stated outcomes, JSON");
  command->add_flag("--scenarios",
                    arguments->mScenarios,
                    "Replay the generated scenarios of both deployments");
  command->add_option(
    "--seed", arguments->mSeed, "Seed of the generated scenarios");
  command->add_option("--write-scenarios",
                      arguments->mOutputFolder,
                      "Write the generated scenarios into a folder");
  command->callback(
    [arguments, &aContext] { aContext.mExitCode = Run(*arguments); });
}
