#include "ConfigLintCommand.h"

#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ConfigCheck/ConfigCheck.h"
#include "platform/ConfigDocument.h"

namespace {

using json = nlohmann::json;

struct lint_arguments
{
  std::string mFile;
  std::string mInForceFile;
  std::vector<std::string> mRegions;
  bool mJson = false;
};

/// A finding as it is printed.
struct lint_line
{
  finding_severity mSeverity = finding_severity::Problem;
  std::string mPlace;
  std::string mText;
};

/// The document in a file; nothing, with a message on standard error, if it is
/// no JSON.
std::optional<json> ReadDocument(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    fmt::print(stderr, "{}: cannot be read\n", aPath);
    return std::nullopt;
  }
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  try {
    return json::parse(text);
  } catch (const json::exception& error) {
    fmt::print(stderr, "{}: {}\n", aPath, error.what());
    return std::nullopt;
  }
}

/// The configuration of a document; nothing, with a line, if the gateway would
/// reject it.
std::optional<gateway_config> ReadConfig(const json& aDocument,
                                         const std::string& aPath,
                                         std::vector<lint_line>& aLines)
{
  try {
    return ReadConfigDocument(aDocument);
  } catch (const std::exception& error) {
    aLines.push_back(
      { finding_severity::Problem,
        "",
        fmt::format("{} is rejected: {}", aPath, error.what()) });
    return std::nullopt;
  }
}

void AddFindings(const std::vector<config_finding>& aFindings,
                 std::vector<lint_line>& aLines)
{
  for (const config_finding& finding : aFindings) {
    aLines.push_back({ finding.mSeverity,
                       ConfigPlace(finding.mPart, finding.mIndex),
                       finding.mText });
  }
}

const char* SeverityName(finding_severity aSeverity)
{
  return aSeverity == finding_severity::Problem ? "problem" : "note";
}

void Print(const std::vector<lint_line>& aLines, bool aJson)
{
  json rows = json::array();
  for (const lint_line& line : aLines) {
    if (aJson) {
      rows.push_back({ { "severity", SeverityName(line.mSeverity) },
                       { "place", line.mPlace },
                       { "text", line.mText } });
    } else {
      fmt::print("{} {}: {}\n",
                 SeverityName(line.mSeverity),
                 line.mPlace.empty() ? "/" : line.mPlace,
                 line.mText);
    }
  }
  if (aJson) {
    fmt::print("{}\n", rows.dump(2));
  }
}

exit_code RunLint(const lint_arguments& aArguments)
{
  const auto document = ReadDocument(aArguments.mFile);
  if (!document) {
    return exit_code::Usage;
  }
  std::vector<lint_line> lines;
  const auto config = ReadConfig(*document, aArguments.mFile, lines);
  if (config) {
    for (const ignored_field& field : config->mIgnored) {
      lines.push_back({ finding_severity::Problem,
                        field.mPlace,
                        fmt::format("value {} is ignored", field.mValue) });
    }
    std::set<region_id> regions;
    for (const std::string& name : aArguments.mRegions) {
      regions.insert(region_id{ name });
    }
    AddFindings(CheckConfig(*config, regions), lines);
  }
  if (!aArguments.mInForceFile.empty()) {
    const auto inForceDocument = ReadDocument(aArguments.mInForceFile);
    if (!inForceDocument) {
      return exit_code::Usage;
    }
    const auto inForce =
      ReadConfig(*inForceDocument, aArguments.mInForceFile, lines);
    if (config && inForce) {
      AddFindings(CompareConfigs(*inForce, *config), lines);
    }
  }
  Print(lines, aArguments.mJson);
  for (const lint_line& line : lines) {
    if (line.mSeverity == finding_severity::Problem) {
      return exit_code::Failed;
    }
  }
  return exit_code::Ok;
}

} // namespace

void AddConfigLintCommand(CLI::App& aConfig, command_context& aContext)
{
  CLI::App* command = aConfig.add_subcommand(
    "lint", "Check a configuration of the platform before it is sent");
  auto arguments = std::make_shared<lint_arguments>();
  command->add_option("file", arguments->mFile, "Configuration to check")
    ->required();
  command->add_option(
    "--in-force", arguments->mInForceFile, "Configuration to compare with");
  command->add_option("--region",
                      arguments->mRegions,
                      "Region of the deployment; homes must be one of them");
  command->add_flag("--json", arguments->mJson, "Print JSON");
  command->callback(
    [arguments, &aContext] { aContext.mExitCode = RunLint(*arguments); });
}
