#pragma once

#include <CLI/CLI.hpp>

/// Exit codes of every command.
enum class exit_code : int
{
  Ok = 0,
  /// The command ran and found something wrong.
  Failed = 1,
  /// Wrong options or settings; nothing was done.
  Usage = 2,
  /// The fleet or the platform could not be reached.
  Unavailable = 3,
  /// Another change got there first.
  Conflict = 4,
};

/// Result of the chosen command, set by its callback.
struct command_context
{
  exit_code mExit = exit_code::Ok;
};

void AddNodeCommand(CLI::App& aApp, command_context& aContext);

void AddGatewayCommand(CLI::App& aApp, command_context& aContext);

void AddDemoCommand(CLI::App& aApp, command_context& aContext);

void AddStandInCommand(CLI::App& aApp, command_context& aContext);

void AddLoadCommand(CLI::App& aApp, command_context& aContext);

void AddReplayCommand(CLI::App& aApp, command_context& aContext);

/// `status`, `drain`, `config`, `budget`, `account` and `upstream`.
void AddOperatorCommands(CLI::App& aApp, command_context& aContext);
