#pragma once

#include <string>

/// The settings reference page in Markdown, generated from the descriptor
/// tables of node settings and document sections.
std::string SettingsPage();
