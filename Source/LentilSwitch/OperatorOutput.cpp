#include "OperatorOutput.h"

#include <algorithm>

#include <fmt/format.h>

namespace {

using json = nlohmann::json;

constexpr unsigned kConflictStatus = 409;
constexpr unsigned kUnavailableStatus = 503;

std::string CellText(const json& aRow, const std::string& aColumn)
{
  if (!aRow.contains(aColumn)) {
    return "-";
  }
  const json& value = aRow.at(aColumn);
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_number_float()) {
    return fmt::format("{:.1f}", value.get<double>());
  }
  return value.dump();
}

exit_code ExitCodeFor(const operator_error& aError)
{
  if (aError.mStatus == 0 || aError.mStatus == kUnavailableStatus) {
    return exit_code::Unavailable;
  }
  return aError.mStatus == kConflictStatus ? exit_code::Conflict
                                           : exit_code::Failed;
}

} // namespace

void AddTargetOptions(CLI::App& aCommand, operator_arguments& aArguments)
{
  aCommand
    .add_option(
      "--node", aArguments.mTarget.mNodeUrl, "http://IP:port of a node")
    ->required()
    ->envname("LENTILSWITCH_NODE");
  aCommand
    .add_option(
      "--key", aArguments.mTarget.mKey, "ID:SECRET of an operator key")
    ->required()
    ->envname("LENTILSWITCH_KEY");
  aCommand.add_flag("--json", aArguments.mJson, "Print JSON");
}

void PrintTable(const json& aRows, const std::vector<std::string>& aColumns)
{
  std::vector<std::size_t> widths;
  for (const std::string& column : aColumns) {
    std::size_t width = column.size();
    for (const json& row : aRows) {
      width = std::max(width, CellText(row, column).size());
    }
    widths.push_back(width);
  }
  std::string text;
  for (std::size_t i = 0; i < aColumns.size(); ++i) {
    text += fmt::format("{:<{}}  ", aColumns[i], widths[i]);
  }
  for (const json& row : aRows) {
    text += '\n';
    for (std::size_t i = 0; i < aColumns.size(); ++i) {
      text += fmt::format("{:<{}}  ", CellText(row, aColumns[i]), widths[i]);
    }
  }
  fmt::print("{}\n", text);
}

exit_code PrintReply(const operator_client::reply& aReply,
                     bool aJson,
                     const std::function<void(const json&)>& aPrint)
{
  if (aReply.has_error()) {
    const operator_error& error = aReply.error();
    fmt::print(stderr, "{}: {}\n", error.mCode, error.mMessage);
    return ExitCodeFor(error);
  }
  if (aJson) {
    fmt::print("{}\n", aReply.value().dump(2));
  } else {
    aPrint(aReply.value());
  }
  return exit_code::Ok;
}
