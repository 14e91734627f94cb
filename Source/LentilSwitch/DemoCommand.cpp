#include <memory>

#include <fmt/format.h>

#include "Command.h"
#include "Common/EventLoop.h"
#include "Demo/DemoRun.h"
#include "SignalWatch.h"

namespace {

struct demo_arguments
{
  demo_options mOptions;
  std::uint32_t mLoadSeconds = 5;
  bool mKeepRunning = false;
  bool mPrintDocument = false;
};

void PrintAddresses(embedded_fleet& aFleet)
{
  fmt::print("nodes:\n");
  for (std::size_t i = 0; i < aFleet.Nodes(); ++i) {
    fmt::print("  http://{}\n", aFleet.Node(i).HttpAddress());
  }
  const std::string first = aFleet.Node(0).HttpAddress();
  fmt::print("try:\n"
             "  curl -N http://{0}/v1/chat/completions \\\n"
             "    -H 'Authorization: Bearer {1}' \\\n"
             "    -d '{{\"model\":\"small\",\"stream\":true,\"messages\":"
             "[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n"
             "  curl http://{0}/v1/endpoints -H 'Authorization: Bearer {1}'\n"
             "  curl http://{0}/metrics\n"
             "  lentilswitch status --node http://{0} --key {2}:{3}\n",
             first,
             aFleet.Accounts().front().mKey,
             embedded_fleet::kOperatorId,
             embedded_fleet::kOperatorSecret);
  std::fflush(stdout);
}

exit_code RunUntilSignal(embedded_fleet& aFleet, event_loop& aLoop)
{
  PrintAddresses(aFleet);
  bool ended = false;
  const signal_watch signals([&ended, &aLoop] {
    ended = true;
    aLoop.Quit();
  });
  aLoop.Run();
  return aFleet.StopNodes(aLoop, std::chrono::seconds(15)) ? exit_code::Ok
                                                           : exit_code::Failed;
}

exit_code RunDemo(const demo_arguments& aArguments)
{
  if (aArguments.mPrintDocument) {
    fmt::print("{}", DemoDocument(DemoAccounts()));
    return exit_code::Ok;
  }
  demo_options options = aArguments.mOptions;
  options.mDuration = std::chrono::seconds(aArguments.mLoadSeconds);
  event_loop loop;
  embedded_fleet fleet(DemoFleetOptions(options));
  const auto started = fleet.Start(loop);
  if (!started) {
    fmt::print(stderr, "demo: {}\n", started.error().mMessage);
    return exit_code::Unavailable;
  }
  if (aArguments.mKeepRunning) {
    return RunUntilSignal(fleet, loop);
  }
  const demo_summary summary = RunDemoLoad(fleet, loop, options);
  fmt::print("{}", FormatDemoSummary(summary));
  return summary.Holds() ? exit_code::Ok : exit_code::Failed;
}

} // namespace

void AddDemoCommand(CLI::App& aApp, command_context& aContext)
{
  CLI::App* command = aApp.add_subcommand(
    "demo", "Run a fleet and stand-ins in this process, with a short load");
  auto arguments = std::make_shared<demo_arguments>();
  command->add_option("--nodes", arguments->mOptions.mNodes, "Nodes")
    ->check(CLI::Range(1, 16));
  command->add_option("--engines", arguments->mOptions.mEngines, "Engines")
    ->check(CLI::Range(1, 64));
  command
    ->add_option(
      "--seconds", arguments->mLoadSeconds, "Duration of the load in seconds")
    ->check(CLI::Range(1, 600));
  command->add_option("--rate", arguments->mOptions.mRate, "Requests a second")
    ->check(CLI::Range(1, 2000));
  command->add_option("--seed", arguments->mOptions.mSeed, "Seed of the load");
  command->add_flag("--keep-running",
                    arguments->mKeepRunning,
                    "Print the addresses and run until SIGINT, without load");
  command->add_flag("--print-document",
                    arguments->mPrintDocument,
                    "Only print the demo's fleet document");
  command->callback(
    [arguments, &aContext] { aContext.mExitCode = RunDemo(*arguments); });
}
