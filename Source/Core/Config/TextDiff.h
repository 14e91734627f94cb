#pragma once

#include <string>
#include <string_view>

/// Lines that differ between two texts, each marked `-` or `+`, with up to
/// `aContext` unchanged lines around them marked by a blank. Empty for equal
/// texts.
std::string DiffText(std::string_view aOld,
                     std::string_view aNew,
                     int aContext = 2);
