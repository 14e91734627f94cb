#pragma once

#include "Command.h"

/// Adds the command groups `config` and `account`.
void AddConfigCommands(CLI::App& aApp, command_context& aContext);
