#include <memory>
#include <string>

#include <fmt/format.h>

#include "Command.h"
#include "Common/Allocator.h"
#include "Common/EventLoop.h"
#include "Common/Log.h"
#include "Gateway/GatewayNode.h"
#include "SignalWatch.h"
#include "platform/PlatformCodec.h"
#include "platform/PlatformRowStore.h"

namespace {

void Reload(gateway_node& aNode, const std::string& aPath)
{
  const auto changed = ReadGatewaySettings(aPath);
  if (changed.has_value()) {
    aNode.Reload(changed.value());
  } else {
    Log(log_level::Error,
        "settings_unusable",
        { Field("error", changed.error()) });
  }
}

exit_code RunGateway(const std::string& aPath, bool aCheckOnly)
{
  gateway_node* running = nullptr;
  // The handlers come first: a signal during the start is handled once the loop
  // runs.
  const signal_watch signals([&running] { running->Stop(); },
                             [&running, &aPath] { Reload(*running, aPath); });
  const auto settings = ReadGatewaySettings(aPath);
  if (!settings.has_value()) {
    fmt::print(stderr, "{}\n", settings.error());
    return exit_code::Usage;
  }
  if (aCheckOnly) {
    fmt::print("{}: valid\n", aPath);
    return exit_code::Ok;
  }
  SetLogOutput(log_output::StandardOutput);
  ReturnLargeBuffersWhenFreed();
  event_loop loop;
  const system_time_source time;
  const platform_codec codec;
  platform_row_store store(settings.value().mStore, time);
  std::string error;
  const auto node = gateway_node::Start(
    settings.value(), codec, store, time, [&loop] { loop.Quit(); }, error);
  if (!node) {
    fmt::print(stderr, "{}: {}\n", aPath, error);
    return exit_code::Unavailable;
  }
  running = node.get();
  loop.Run();
  return exit_code::Ok;
}

} // namespace

void AddGatewayCommand(CLI::App& aApp, command_context& aContext)
{
  CLI::App* command = aApp.add_subcommand(
    "gateway", "Run one gateway node on the platform until SIGTERM or SIGINT");
  auto path = std::make_shared<std::string>();
  auto check = std::make_shared<bool>(false);
  command->add_option("settings", *path, "Settings file, JSON with comments")
    ->required();
  command->add_flag("--check", *check, "Only check the settings file");
  command->callback([path, check, &aContext] {
    aContext.mExitCode = RunGateway(*path, *check);
  });
}
