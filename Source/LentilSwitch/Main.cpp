#include <CLI/CLI.hpp>

int main(int aCount, char** aArguments)
{
  CLI::App app{ "Router fleet for prepaid token budgets" };
  app.require_subcommand(1);
  CLI11_PARSE(app, aCount, aArguments);
  return 0;
}
