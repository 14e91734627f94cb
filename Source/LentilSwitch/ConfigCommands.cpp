#include "ConfigCommands.h"

#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>

#include <fmt/format.h>

#include "Common/TextCodec.h"
#include "Config/FleetDocument.h"
#include "Config/TextDiff.h"
#include "ConfigLintCommand.h"
#include "OperatorClient.h"
#include "OperatorOutput.h"

namespace {

using json = nlohmann::json;

constexpr std::string_view kAccountPrefix = "accounts/";

struct config_arguments
{
  operator_arguments mCommon;
  std::vector<std::string> mNodes;
  std::string mSection;
  std::string mFile;
  std::string mNote;
  std::uint64_t mBaseVersion = 0;
  std::uint64_t mCount = 20;
};

std::optional<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    fmt::print(stderr, "{}: cannot be read\n", aPath);
    return std::nullopt;
  }
  return std::string{ std::istreambuf_iterator<char>(file), {} };
}

exit_code RunCheck(const config_arguments& aArguments)
{
  const auto text = ReadFile(aArguments.mFile);
  if (!text) {
    return exit_code::Usage;
  }
  const auto document = ParseFleetDocument(*text, aArguments.mFile);
  if (!document) {
    fmt::print(stderr, "{}\n", FormatConfigErrors(document.error()));
    return exit_code::Failed;
  }
  fmt::print("{}: valid, {} client accounts, {} budgets\n",
             aArguments.mFile,
             document.value().AccountCount(),
             document.value().BudgetCount());
  return exit_code::Ok;
}

exit_code RunImport(const config_arguments& aArguments)
{
  const auto text = ReadFile(aArguments.mFile);
  if (!text) {
    return exit_code::Usage;
  }
  operator_client client(aArguments.mCommon.mTarget);
  return PrintReply(client.PostText("/admin/v1/config/import", *text),
                    aArguments.mCommon.mJson,
                    [](const json&) { fmt::print("imported\n"); });
}

std::string SectionPath(const std::string& aSection)
{
  return aSection.empty() ? "/admin/v1/config"
                          : "/admin/v1/config?section=" + EscapeUri(aSection);
}

void PrintSection(const json& aSection)
{
  fmt::print("// section {} version {}\n{}\n",
             aSection.value("section", ""),
             aSection.value("version", 0),
             aSection.value("text", ""));
}

exit_code RunGet(const config_arguments& aArguments)
{
  operator_client client(aArguments.mCommon.mTarget);
  return PrintReply(client.Get(SectionPath(aArguments.mSection)),
                    aArguments.mCommon.mJson,
                    [](const json& aReply) {
                      if (!aReply.contains("sections")) {
                        PrintSection(aReply);
                        return;
                      }
                      for (const json& section : aReply.at("sections")) {
                        PrintSection(section);
                      }
                    });
}

/// After a `conflict` error, prints both version numbers and the difference
/// between the stored text and the operator's text, so that the operator can
/// merge them. Prints nothing after other errors.
void PrintConflict(const operator_error& aError, const std::string& aLocalText)
{
  if (aError.mCode != "conflict" || !aError.mBody.contains("stored_text")) {
    return;
  }
  fmt::print(stderr,
             "you started from version {}, stored is version {}:\n{}",
             aError.mBody.value("base_version", 0),
             aError.mBody.value("stored_version", 0),
             DiffText(aError.mBody.value("stored_text", ""), aLocalText));
}

exit_code RunPut(const config_arguments& aArguments)
{
  const auto text = ReadFile(aArguments.mFile);
  if (!text) {
    return exit_code::Usage;
  }
  operator_client client(aArguments.mCommon.mTarget);
  const auto reply = client.Post("/admin/v1/config",
                                 { { "section", aArguments.mSection },
                                   { "text", *text },
                                   { "base_version", aArguments.mBaseVersion },
                                   { "note", aArguments.mNote } });
  const exit_code code =
    PrintReply(reply, aArguments.mCommon.mJson, [](const json& aReply) {
      fmt::print("committed as version {}\n", aReply.value("version", 0));
    });
  if (reply.has_error()) {
    PrintConflict(reply.error(), *text);
  }
  return code;
}

exit_code RunDiff(const config_arguments& aArguments)
{
  const auto text = ReadFile(aArguments.mFile);
  if (!text) {
    return exit_code::Usage;
  }
  operator_client client(aArguments.mCommon.mTarget);
  return PrintReply(client.Get(SectionPath(aArguments.mSection)),
                    aArguments.mCommon.mJson,
                    [&text](const json& aReply) {
                      fmt::print("{}",
                                 DiffText(aReply.value("text", ""), *text));
                    });
}

exit_code RunHistory(const config_arguments& aArguments)
{
  operator_client client(aArguments.mCommon.mTarget);
  return PrintReply(
    client.Get(
      fmt::format("/admin/v1/config/history?count={}", aArguments.mCount)),
    aArguments.mCommon.mJson,
    [](const json& aReply) {
      PrintTable(aReply.at("changes"),
                 { "version", "section", "operator", "removed", "note" });
    });
}

/// Prints the config version and the config fault of each member that the
/// target node lists. Members that return
/// an error or cannot be reached have no version.
exit_code RunConfigStatus(const config_arguments& aArguments)
{
  operator_client client(aArguments.mCommon.mTarget);
  const auto statusReply = client.Get("/admin/v1/status");
  if (statusReply.has_error()) {
    return PrintReply(statusReply, false, [](const json&) {});
  }
  json rows = json::array();
  for (const json& member : statusReply.value().at("members")) {
    operator_client memberClient({ "http://" + member.value("address", ""),
                                   aArguments.mCommon.mTarget.mKey });
    const auto status = memberClient.Get("/admin/v1/status");
    json row = { { "node", member.value("node", "") },
                 { "state", member.value("state", "") } };
    if (status.has_value()) {
      row["version"] = status.value().value("config_version", 0);
      row["fault"] = status.value().value("config_fault", "");
    }
    rows.push_back(std::move(row));
  }
  if (aArguments.mCommon.mJson) {
    fmt::print("{}\n", rows.dump(2));
  } else {
    PrintTable(rows, { "node", "state", "version", "fault" });
  }
  return exit_code::Ok;
}

exit_code RunAccountList(const config_arguments& aArguments)
{
  operator_client client(aArguments.mCommon.mTarget);
  return PrintReply(
    client.Get("/admin/v1/config"),
    aArguments.mCommon.mJson,
    [](const json& aReply) {
      json rows = json::array();
      for (const json& section : aReply.at("sections")) {
        const std::string name = section.value("section", "");
        if (!name.starts_with(kAccountPrefix)) {
          continue;
        }
        const auto parsed = ParseSection(name, section.value("text", ""));
        if (!parsed) {
          continue;
        }
        const auto& account = std::get<account_section>(parsed.value());
        rows.push_back({ { "account", account.mId.mName },
                         { "rank", WorkRankName(account.mDefaultRank) },
                         { "budget", account.mBudget.mName },
                         { "weight", account.mWeight },
                         { "free_tier", account.mFreeTier },
                         { "keys", account.mKeyHashes.size() } });
      }
      PrintTable(
        rows, { "account", "rank", "budget", "weight", "free_tier", "keys" });
    });
}

using config_runner = exit_code (*)(const config_arguments&);

/// Arguments and options that a config command accepts.
struct config_command_options
{
  /// Adds `--node`, `--key` and `--json`.
  bool mTarget = true;
  bool mSection = false;
  bool mSectionRequired = false;
  bool mFile = false;
  /// Adds `--base` and `--note`.
  bool mBaseVersion = false;
  bool mCount = false;
};

void AddConfigCommand(CLI::App& aParent,
                      const char* aName,
                      const char* aHelp,
                      const config_command_options& aOptions,
                      config_runner aRun,
                      command_context& aContext)
{
  CLI::App* command = aParent.add_subcommand(aName, aHelp);
  auto arguments = std::make_shared<config_arguments>();
  if (aOptions.mTarget) {
    AddTargetOptions(*command, arguments->mCommon);
  }
  if (aOptions.mSection) {
    command->add_option("section", arguments->mSection, "Section")
      ->required(aOptions.mSectionRequired);
  }
  if (aOptions.mFile) {
    command->add_option("file", arguments->mFile, "File")->required();
  }
  if (aOptions.mBaseVersion) {
    command
      ->add_option("--base",
                   arguments->mBaseVersion,
                   "Version of the section that the file started from; 0 for "
                   "a new section")
      ->required();
    command->add_option("--note", arguments->mNote, "Why; kept in the history");
  }
  if (aOptions.mCount) {
    command->add_option("--count", arguments->mCount, "Changes to show");
  }
  command->callback(
    [arguments, aRun, &aContext] { aContext.mExitCode = aRun(*arguments); });
}

} // namespace

void AddConfigCommands(CLI::App& aApp, command_context& aContext)
{
  CLI::App* config = aApp.add_subcommand("config", "The fleet document");
  config->require_subcommand(1);
  AddConfigCommand(*config,
                   "check",
                   "Check a whole document in a file",
                   { .mTarget = false, .mFile = true },
                   RunCheck,
                   aContext);
  AddConfigLintCommand(*config, aContext);
  AddConfigCommand(*config,
                   "import",
                   "Store the first document of a fleet",
                   { .mFile = true },
                   RunImport,
                   aContext);
  AddConfigCommand(*config,
                   "get",
                   "Show one section or all",
                   { .mSection = true },
                   RunGet,
                   aContext);
  AddConfigCommand(*config,
                   "put",
                   "Replace one section",
                   { .mSection = true,
                     .mSectionRequired = true,
                     .mFile = true,
                     .mBaseVersion = true },
                   RunPut,
                   aContext);
  AddConfigCommand(
    *config,
    "diff",
    "Compare a file with the stored section",
    { .mSection = true, .mSectionRequired = true, .mFile = true },
    RunDiff,
    aContext);
  AddConfigCommand(*config,
                   "history",
                   "Show the latest changes",
                   { .mCount = true },
                   RunHistory,
                   aContext);
  AddConfigCommand(*config,
                   "status",
                   "Show which nodes run which version",
                   {},
                   RunConfigStatus,
                   aContext);
  CLI::App* account = aApp.add_subcommand("account", "Client accounts");
  account->require_subcommand(1);
  AddConfigCommand(
    *account, "list", "Show the client accounts", {}, RunAccountList, aContext);
}
