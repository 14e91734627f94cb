#include "Config/ConfigError.h"

std::string FormatConfigErrors(const config_errors& aErrors)
{
  std::string text;
  for (const json_error& error : aErrors.mErrors) {
    text += FormatJsonError(error);
    text.push_back('\n');
  }
  return text;
}
