#include <memory>
#include <string>

#include <fmt/format.h>

#include "Command.h"
#include "Common/EventLoop.h"
#include "SignalWatch.h"
#include "StandIn/StandInCluster.h"

namespace {

struct stand_in_arguments
{
  stand_in_cluster_options mOptions;
  std::uint32_t mLoadReportAgeMs = 100;
  std::uint32_t mHostListDelayMs = 0;
  std::uint32_t mFirstTokenDelayUs = 20'000;
  std::uint32_t mTokenIntervalUs = 5'000;
  std::uint32_t mAnswerTokens = 0;
};

exit_code RunStandIns(stand_in_arguments aArguments)
{
  using std::chrono::milliseconds;
  aArguments.mOptions.mEngine.mLoadLag =
    milliseconds(aArguments.mLoadReportAgeMs);
  aArguments.mOptions.mHosts.mLag = milliseconds(aArguments.mHostListDelayMs);
  engine_speed& speed = aArguments.mOptions.mEngine.mSpeed;
  speed.mFirstToken = std::chrono::microseconds(aArguments.mFirstTokenDelayUs);
  speed.mPerToken = std::chrono::microseconds(aArguments.mTokenIntervalUs);
  if (aArguments.mAnswerTokens > 0) {
    aArguments.mOptions.mEngine.mShortestAnswer = aArguments.mAnswerTokens;
    aArguments.mOptions.mEngine.mLongestAnswer = aArguments.mAnswerTokens;
  }
  event_loop loop;
  stand_in_cluster cluster(aArguments.mOptions);
  const auto started = cluster.Start();
  if (!started) {
    fmt::print(stderr,
               "standin: {}: {}\n",
               started.error().mAddress,
               started.error().mMessage);
    return exit_code::Unavailable;
  }
  fmt::print("table   http://{}\n", cluster.Table().Server().Address());
  fmt::print("objects http://{}\n", cluster.Objects().Server().Address());
  fmt::print("hosts   http://{}\n", cluster.Hosts().Server().Address());
  fmt::print("weights http://{}\n", cluster.Weights().Server().Address());
  for (std::size_t i = 0; i < cluster.Engines(); ++i) {
    fmt::print("engine  http://{}\n", cluster.Engine(i).Address());
  }
  for (std::size_t i = 0; i < cluster.Services(); ++i) {
    fmt::print("service http://{}\n", cluster.Service(i).Server().Address());
  }
  std::fflush(stdout);
  const signal_watch signals([&loop] { loop.Quit(); });
  loop.Run();
  return exit_code::Ok;
}

} // namespace

void AddStandInCommand(CLI::App& aApp, command_context& aContext)
{
  CLI::App* command = aApp.add_subcommand(
    "standin", "Run stand-ins for engines, services and the platform");
  auto arguments = std::make_shared<stand_in_arguments>();
  stand_in_cluster_options& options = arguments->mOptions;
  command->add_option("--host", options.mHost, "IP address of all listeners");
  command->add_option(
    "--port", options.mFirstPort, "First port; 0 selects free ports");
  command->add_option("--engines", options.mEngines, "Number of engines");
  command->add_option("--zones", options.mZones, "Availability zones");
  command->add_option(
    "--models", options.mEngine.mControl.mModels, "Models that are loaded");
  command->add_option("--slots",
                      options.mEngine.mSpeed.mCapacity,
                      "Streams that an engine runs at full speed");
  command->add_option("--max-running",
                      options.mEngine.mSpeed.mMaxRunning,
                      "Streams that an engine runs together");
  command->add_option("--first-token-us",
                      arguments->mFirstTokenDelayUs,
                      "Time to the first token");
  command->add_option(
    "--token-us", arguments->mTokenIntervalUs, "Time between two tokens");
  command->add_option("--answer-tokens",
                      arguments->mAnswerTokens,
                      "Length of every answer without a smaller max_tokens; 0 "
                      "lets it vary");
  command->add_option("--writes",
                      options.mTable.mWritesPerSecond,
                      "Table writes a second; 0 means no limit");
  command->add_option("--reads",
                      options.mTable.mReadsPerSecond,
                      "Table reads a second; 0 means no limit");
  command->add_option(
    "--load-lag-ms", arguments->mLoadReportAgeMs, "Age of load reports");
  command->add_option(
    "--host-lag-ms", arguments->mHostListDelayMs, "Delay of host list changes");
  command->add_option("--crash-marker",
                      options.mEngine.mCrashMarker,
                      "Prompt text that crashes an engine");
  command->add_flag("--ignore-fencing{false}",
                    options.mEngine.mControl.mChecksToken,
                    "Engines ignore fencing tokens");
  command->footer("Faults of the platform are set by POST /v1/admin/faults "
                  "with {\"down\",\"delay_ms\",\"lose_replies\"}.");
  command->callback(
    [arguments, &aContext] { aContext.mExitCode = RunStandIns(*arguments); });
}
