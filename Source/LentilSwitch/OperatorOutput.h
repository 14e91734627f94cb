#pragma once

#include <functional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "Command.h"
#include "OperatorClient.h"

/// Options that all operator commands share.
struct operator_arguments
{
  operator_target mTarget;
  bool mJson = false;
};

/// Adds `--node`, `--key` and `--json` to a command.
void AddTargetOptions(CLI::App& aCommand, operator_arguments& aArguments);

/// Prints an array of objects as a table with these columns. A missing field is
/// printed as `-`.
void PrintTable(const nlohmann::json& aRows,
                const std::vector<std::string>& aColumns);

/// Prints a reply to standard output, as JSON or with `aPrint`, or an error to
/// standard error. Returns the exit code of the command.
exit_code PrintReply(const operator_client::reply& aReply,
                     bool aJson,
                     const std::function<void(const nlohmann::json&)>& aPrint);
