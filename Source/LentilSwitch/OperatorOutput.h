#pragma once

#include <functional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "Command.h"
#include "OperatorClient.h"

/// Options that every operator command has.
struct operator_arguments
{
  operator_target mTarget;
  bool mJson = false;
};

void AddTargetOptions(CLI::App& aCommand, operator_arguments& aArguments);

/// Prints an array of objects as a table with these columns.
void PrintTable(const nlohmann::json& aRows,
                const std::vector<std::string>& aColumns);

/// Prints the answer, as JSON or by the function, or the error; gives the exit
/// code.
exit_code Finish(const operator_client::reply& aReply,
                 bool aJson,
                 const std::function<void(const nlohmann::json&)>& aPrint);
