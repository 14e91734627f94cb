#pragma once

#include <CLI/CLI.hpp>

/// Exit codes that all commands share.
enum class exit_code : int
{
  Ok = 0,
  /// The command ran, and its result is an error or a failed check.
  Failed = 1,
  /// Invalid options or settings; the command was not run.
  Usage = 2,
  /// The fleet or the platform could not be reached.
  Unavailable = 3,
  /// The change is based on a version that is no longer the stored one.
  Conflict = 4,
};

/// Receives the exit code of the selected command from its callback.
struct command_context
{
  exit_code mExitCode = exit_code::Ok;
};

void AddNodeCommand(CLI::App& aApp, command_context& aContext);

void AddGatewayCommand(CLI::App& aApp, command_context& aContext);

void AddDemoCommand(CLI::App& aApp, command_context& aContext);

void AddStandInCommand(CLI::App& aApp, command_context& aContext);

void AddLoadCommand(CLI::App& aApp, command_context& aContext);

void AddReplayCommand(CLI::App& aApp, command_context& aContext);

/// Adds `status`, `drain`, `config`, `budget`, `account` and `upstream`.
void AddOperatorCommands(CLI::App& aApp, command_context& aContext);
