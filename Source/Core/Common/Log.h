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

/// Output stream of the log.
enum class log_output
{
  /// For commands that print a result on standard output.
  StandardError,
  /// For processes whose standard output is collected.
  StandardOutput,
};

void SetLogOutput(log_output aOutput);

/// Writes one line: time, level, event, then the fields. Values that are empty
/// or contain white space, quotes, `=` or a backslash are quoted. Never blocks:
/// lines beyond the rate limit, and lines that the output cannot take at once,
/// are dropped and counted in `dropped_before` of the next line.
void Log(log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields = {});

/// Creates a field from any value that fmt can format.
template<class T>
log_field Field(std::string_view aKey, const T& aValue)
{
  return { aKey, fmt::format("{}", aValue) };
}
