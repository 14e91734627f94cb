#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "Command.h"
#include "Common/TextCodec.h"
#include "ConfigCommands.h"
#include "OperatorClient.h"
#include "OperatorOutput.h"

namespace {

using json = nlohmann::json;

struct budget_arguments
{
  operator_arguments mCommon;
  std::string mBudget;
  std::int64_t mTokens = 0;
  std::string mNode;
  std::uint64_t mIncarnation = 0;
};

void PrintStatus(const json& aStatus)
{
  fmt::print("node {}  zone {}  phase {}  config {}  open {}  queued {}\n\n",
             aStatus.value("node", ""),
             aStatus.value("zone", ""),
             aStatus.value("phase", ""),
             aStatus.value("config_version", 0),
             aStatus.value("open_requests", 0),
             aStatus.value("queued_requests", 0));
  PrintTable(aStatus.at("members"),
             { "node", "zone", "address", "state", "incarnation" });
  fmt::print("\n");
  PrintTable(aStatus.at("upstreams"),
             { "upstream", "leaving", "ejected", "in_flight", "limit" });
  fmt::print("\n");
  PrintTable(aStatus.at("budgets"),
             { "budget", "free", "reserved", "unflushed", "spent", "total" });
}

exit_code RunStatus(const operator_arguments& aArguments)
{
  operator_client client(aArguments.mTarget);
  return PrintReply(
    client.Get("/admin/v1/status"), aArguments.mJson, PrintStatus);
}

exit_code RunDrain(const operator_arguments& aArguments)
{
  operator_client client(aArguments.mTarget);
  return PrintReply(client.Post("/admin/v1/drain", json::object()),
                    aArguments.mJson,
                    [](const json& aReply) {
                      fmt::print("phase {}\n", aReply.value("phase", ""));
                    });
}

exit_code RunUpstreams(const operator_arguments& aArguments)
{
  operator_client client(aArguments.mTarget);
  return PrintReply(
    client.Get("/admin/v1/status"), aArguments.mJson, [](const json& aReply) {
      PrintTable(aReply.at("upstreams"),
                 { "upstream",
                   "leaving",
                   "ejected",
                   "in_flight",
                   "others_in_flight",
                   "limit" });
    });
}

void PrintBudget(const json& aBudget)
{
  fmt::print("budget {}  total {}  spent {}  granted {}  available {}\n",
             aBudget.value("budget", ""),
             aBudget.value("total", 0),
             aBudget.value("spent", 0),
             aBudget.value("granted", 0),
             aBudget.value("available", 0));
  PrintTable(aBudget.at("holders"), { "holder", "granted" });
}

exit_code RunBudgetShow(const budget_arguments& aArguments)
{
  operator_client client(aArguments.mCommon.mTarget);
  return PrintReply(client.Get("/admin/v1/budgets/show?budget=" +
                               EscapeUri(aArguments.mBudget)),
                    aArguments.mCommon.mJson,
                    PrintBudget);
}

exit_code RunBudgetChange(const budget_arguments& aArguments,
                          const char* aAction)
{
  operator_client client(aArguments.mCommon.mTarget);
  return PrintReply(client.Post(std::string("/admin/v1/budgets/") + aAction,
                                { { "budget", aArguments.mBudget },
                                  { "tokens", aArguments.mTokens } }),
                    aArguments.mCommon.mJson,
                    [](const json&) { fmt::print("done\n"); });
}

exit_code RunReconcile(const budget_arguments& aArguments)
{
  operator_client client(aArguments.mCommon.mTarget);
  const auto reply = client.Get("/admin/v1/budgets/reconcile?budget=" +
                                EscapeUri(aArguments.mBudget));
  const exit_code code =
    PrintReply(reply, aArguments.mCommon.mJson, [](const json& aReport) {
      fmt::print("budget {}  spent {}  charged {}  charges {}  verdict {}\n",
                 aReport.value("budget", ""),
                 aReport.value("spent", 0),
                 aReport.value("charged", 0),
                 aReport.value("charges", 0),
                 aReport.value("clean", false) ? "clean" : "MISMATCH");
      PrintTable(aReport.at("findings"), { "kind", "key", "number" });
    });
  if (code == exit_code::Ok && !reply.value().value("clean", false)) {
    return exit_code::Failed;
  }
  return code;
}

exit_code RunWriteOff(const budget_arguments& aArguments)
{
  operator_client client(aArguments.mCommon.mTarget);
  return PrintReply(client.Post("/admin/v1/budgets/writeoff",
                                { { "node", aArguments.mNode },
                                  { "incarnation", aArguments.mIncarnation } }),
                    aArguments.mCommon.mJson,
                    [](const json& aReply) {
                      fmt::print("returned {} tokens of {}\n",
                                 aReply.value("returned", 0),
                                 aReply.value("holder", ""));
                    });
}

void AddBudgetCommand(CLI::App& aParent,
                      const char* aName,
                      const char* aHelp,
                      command_context& aContext,
                      bool aHasTokens,
                      std::function<exit_code(const budget_arguments&)> aRun)
{
  CLI::App* command = aParent.add_subcommand(aName, aHelp);
  auto arguments = std::make_shared<budget_arguments>();
  AddTargetOptions(*command, arguments->mCommon);
  command->add_option("budget", arguments->mBudget, "Budget")->required();
  if (aHasTokens) {
    command->add_option("tokens", arguments->mTokens, "Prepaid tokens")
      ->required()
      ->check(CLI::PositiveNumber);
  }
  command->callback([arguments, aRun = std::move(aRun), &aContext] {
    aContext.mExitCode = aRun(*arguments);
  });
}

void AddWriteOff(CLI::App& aParent, command_context& aContext)
{
  CLI::App* command = aParent.add_subcommand(
    "writeoff", "Return the grants of a node run that is gone for good");
  auto arguments = std::make_shared<budget_arguments>();
  AddTargetOptions(*command, arguments->mCommon);
  command->add_option("name", arguments->mNode, "Name of the node")->required();
  command
    ->add_option(
      "incarnation", arguments->mIncarnation, "Incarnation of the run")
    ->required();
  command->callback(
    [arguments, &aContext] { aContext.mExitCode = RunWriteOff(*arguments); });
}

void AddBudgetCommands(CLI::App& aApp, command_context& aContext)
{
  CLI::App* budget = aApp.add_subcommand("budget", "Prepaid budgets");
  budget->require_subcommand(1);
  AddBudgetCommand(
    *budget, "show", "Show a budget", aContext, false, RunBudgetShow);
  AddBudgetCommand(*budget,
                   "create",
                   "Create a budget",
                   aContext,
                   true,
                   [](const budget_arguments& aArguments) {
                     return RunBudgetChange(aArguments, "create");
                   });
  AddBudgetCommand(*budget,
                   "topup",
                   "Add prepaid tokens",
                   aContext,
                   true,
                   [](const budget_arguments& aArguments) {
                     return RunBudgetChange(aArguments, "topup");
                   });
  AddBudgetCommand(*budget,
                   "reconcile",
                   "Check every charge; exit code 1 on any mismatch",
                   aContext,
                   false,
                   RunReconcile);
  AddWriteOff(*budget, aContext);
}

void AddSimpleCommand(CLI::App& aParent,
                      const char* aName,
                      const char* aHelp,
                      command_context& aContext,
                      std::function<exit_code(const operator_arguments&)> aRun)
{
  CLI::App* command = aParent.add_subcommand(aName, aHelp);
  auto arguments = std::make_shared<operator_arguments>();
  AddTargetOptions(*command, *arguments);
  command->callback([arguments, aRun = std::move(aRun), &aContext] {
    aContext.mExitCode = aRun(*arguments);
  });
}

} // namespace

void AddOperatorCommands(CLI::App& aApp, command_context& aContext)
{
  AddSimpleCommand(aApp, "status", "Show a node's state", aContext, RunStatus);
  AddSimpleCommand(aApp, "drain", "Stop a node gracefully", aContext, RunDrain);
  CLI::App* upstream = aApp.add_subcommand("upstream", "Upstreams");
  upstream->require_subcommand(1);
  AddSimpleCommand(*upstream,
                   "list",
                   "Show the upstreams as a node sees them",
                   aContext,
                   RunUpstreams);
  AddBudgetCommands(aApp, aContext);
  AddConfigCommands(aApp, aContext);
}
