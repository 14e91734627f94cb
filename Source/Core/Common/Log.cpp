#include "Common/Log.h"

#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>

namespace {

std::string_view LevelName(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Info:
      return "info";
    case log_level::Warning:
      return "warning";
    case log_level::Error:
      return "error";
  }
  return "info";
}

bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void AppendQuoted(std::string& aLine, std::string_view aValue)
{
  aLine.push_back('"');
  for (const char character : aValue) {
    if (character == '\n') {
      aLine.append("\\n");
      continue;
    }
    if (character == '\r') {
      aLine.append("\\r");
      continue;
    }
    if (character == '"' || character == '\\') {
      aLine.push_back('\\');
    }
    aLine.push_back(character);
  }
  aLine.push_back('"');
}

} // namespace

void Log(log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields)
{
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  std::string line =
    fmt::format("time={:%Y-%m-%dT%H:%M:%S}Z level={} event={}",
                fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                LevelName(aLevel),
                aEvent);
  for (const log_field& field : aFields) {
    line.push_back(' ');
    line.append(field.mKey);
    line.push_back('=');
    if (NeedsQuotes(field.mValue)) {
      AppendQuoted(line, field.mValue);
    } else {
      line.append(field.mValue);
    }
  }
  line.push_back('\n');
  std::fwrite(line.data(), 1, line.size(), stderr);
}
