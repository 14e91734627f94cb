#include <CLI/CLI.hpp>

#include "Command.h"

namespace {

constexpr const char* kFooter =
  "Exit codes: 0 done, 1 found something wrong, 2 wrong options or settings, "
  "3 not reachable, 4 conflict with another change.";

} // namespace

int main(int aCount, char** aArguments)
{
  CLI::App app{ "Router fleet for prepaid token budgets", "lentilswitch" };
  command_context context;
  app.require_subcommand(1);
  app.footer(kFooter);
  AddNodeCommand(app, context);
  AddGatewayCommand(app, context);
  AddDemoCommand(app, context);
  AddStandInCommand(app, context);
  AddLoadCommand(app, context);
  AddReplayCommand(app, context);
  AddOperatorCommands(app, context);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : static_cast<int>(exit_code::Usage);
  }
  return static_cast<int>(context.mExitCode);
}
