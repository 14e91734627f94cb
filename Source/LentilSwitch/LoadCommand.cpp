#include <fstream>
#include <iterator>
#include <memory>
#include <string>

#include <unistd.h>

#include <fmt/format.h>

#include "Command.h"
#include "Common/EventLoop.h"
#include "Load/LoadGenerator.h"
#include "SignalWatch.h"

namespace {

struct load_arguments
{
  std::string mWorkloadPath;
  bool mJson = false;
};

void PrintProgress(const load_run_report& aReport)
{
  if (isatty(STDERR_FILENO) == 0) {
    return;
  }
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aReport.mElapsed);
  fmt::print(stderr,
             "\r{:>5} s  {:>8} requests  {:>6} open",
             seconds.count(),
             aReport.mRequests,
             aReport.mOpen);
}

exit_code RunLoad(const load_arguments& aArguments)
{
  std::ifstream file(aArguments.mWorkloadPath);
  if (!file) {
    fmt::print(stderr, "{}: cannot be read\n", aArguments.mWorkloadPath);
    return exit_code::Usage;
  }
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  const auto load = ParseWorkload(text, aArguments.mWorkloadPath);
  if (!load) {
    fmt::print(stderr, "{}\n", FormatConfigErrors(load.error()));
    return exit_code::Usage;
  }
  event_loop loop;
  const system_time_source time;
  load_generator generator(load.value(),
                           time,
                           PrintProgress,
                           [&loop](const load_run_report&) { loop.Quit(); });
  const signal_watch signals([&generator] { generator.Stop(); });
  generator.Start();
  if (!generator.Done()) {
    loop.Run();
  }
  const load_run_report& report = generator.Report();
  fmt::print("{}\n",
             aArguments.mJson ? LoadReportJson(report).dump(2)
                              : "\n" + FormatLoadTable(report));
  const auto incomplete = report.mOutcomes.find("incomplete");
  return incomplete == report.mOutcomes.end() ? exit_code::Ok
                                              : exit_code::Failed;
}

} // namespace

void AddLoadCommand(CLI::App& aApp, command_context& aContext)
{
  CLI::App* command =
    aApp.add_subcommand("load", "Send a workload to a fleet and measure it");
  auto arguments = std::make_shared<load_arguments>();
  command
    ->add_option(
      "workload", arguments->mWorkloadPath, "Workload file, JSON with comments")
    ->required();
  command->add_flag("--json", arguments->mJson, "Print the report as JSON");
  command->callback(
    [arguments, &aContext] { aContext.mExitCode = RunLoad(*arguments); });
}
