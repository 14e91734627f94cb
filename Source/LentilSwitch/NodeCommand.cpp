#include <memory>
#include <string>

#include <fmt/format.h>

#include "Command.h"
#include "Common/EventLoop.h"
#include "Common/Log.h"
#include "Config/NodeSettings.h"
#include "Node/NodeApp.h"
#include "SignalWatch.h"

namespace {

exit_code RunNode(const std::string& aPath)
{
  const auto settings = ReadNodeSettings(aPath);
  if (!settings) {
    fmt::print(stderr, "{}\n", FormatConfigErrors(settings.error()));
    return exit_code::Usage;
  }
  event_loop loop;
  auto node = node_app::Start(settings.value(), [&loop] { loop.Quit(); });
  if (!node) {
    fmt::print(stderr, "{}: {}\n", aPath, node.error().mMessage);
    return exit_code::Unavailable;
  }
  const signal_watch signals([&node] { node.value()->Stop(); });
  loop.Run();
  Log(log_level::Info, "node_ended");
  return exit_code::Ok;
}

exit_code CheckSettings(const std::string& aPath)
{
  const auto settings = ReadNodeSettings(aPath);
  if (!settings) {
    fmt::print(stderr, "{}\n", FormatConfigErrors(settings.error()));
    return exit_code::Usage;
  }
  fmt::print("{}: valid\n", aPath);
  return exit_code::Ok;
}

} // namespace

void AddNodeCommand(CLI::App& aApp, command_context& aContext)
{
  CLI::App* command =
    aApp.add_subcommand("node", "Run one node until SIGTERM or SIGINT");
  auto path = std::make_shared<std::string>();
  auto check = std::make_shared<bool>(false);
  command->add_option("settings", *path, "Settings file, JSON with comments")
    ->required();
  command->add_flag("--check", *check, "Only check the settings file");
  command->callback([path, check, &aContext] {
    aContext.mExitCode = *check ? CheckSettings(*path) : RunNode(*path);
  });
}
