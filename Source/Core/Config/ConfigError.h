#pragma once

#include <string>
#include <vector>

#include "Common/JsonText.h"
#include "Common/Result.h"

/// All faults found in one file or document; never empty. The reader reports
/// them together, so that an operator corrects a file in one pass.
struct config_errors
{
  std::vector<json_error> mErrors;
  auto operator<=>(const config_errors&) const = default;
};

/// One line per fault: `source:line: pointer: message`.
std::string FormatConfigErrors(const config_errors& aErrors);

/// Value of the configuration layer, or every fault that was found.
template<class T>
using config_result = result<T, config_errors>;
