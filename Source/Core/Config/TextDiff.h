#pragma once

#include <string>
#include <string_view>

/// Line difference of two texts: removed lines with prefix `-`, added ones with
/// `+`, and up to `aContext` unchanged lines around them with a blank. Empty
/// for equal texts.
std::string DiffText(std::string_view aOld,
                     std::string_view aNew,
                     int aContext = 2);
