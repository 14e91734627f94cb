#pragma once

#include "Command.h"

/// Adds `lint` to the `config` command: checks a configuration of the platform
/// in a file before it is sent, and compares it with the one in force. Exit
/// code `Failed` if there are problems, `Usage` if a file cannot be read.
void AddConfigLintCommand(CLI::App& aConfig, command_context& aContext);
