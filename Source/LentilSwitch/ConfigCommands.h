#pragma once

#include "Command.h"

/// `config` and `account`.
void AddConfigCommands(CLI::App& aApp, command_context& aContext);
