#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include <fmt/format.h>

/// One `key=value` pair of a log line.
struct log_field
{
  std::string_view mKey;
  std::string mValue;
};

enum class log_level
{
  Info,
  Warning,
  Error,
};

/// Where the lines go.
enum class log_output
{
  /// Commands that print a result on standard output.
  StandardError,
  /// Processes whose standard output is collected.
  StandardOutput,
};

void SetLogOutput(log_output aOutput);

/// Writes one line: time, level, event, then the fields. Values with blanks or
/// quotes are quoted. Never blocks: lines beyond a rate, and lines that the
/// reader of the output does not take, are counted and dropped.
void Log(log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields = {});

/// Formats any value that fmt can format as a field.
template<class T>
log_field Field(std::string_view aKey, const T& aValue)
{
  return { aKey, fmt::format("{}", aValue) };
}
