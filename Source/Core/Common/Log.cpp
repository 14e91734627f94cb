#include "Common/Log.h"

#include <chrono>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

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

// Maximum number of lines per second. In a burst of failures, more lines would
// use up the processor time of a small node.
constexpr unsigned kMaxLinesPerSecond = 400;

using log_clock = std::chrono::steady_clock;

struct log_state
{
  int mDescriptor = STDERR_FILENO;
  log_clock::time_point mPeriodEnd;
  unsigned mLines = 0;
  unsigned mDroppedLines = 0;
};

log_state& State()
{
  static log_state sState;
  return sState;
}

/// Counts a line and returns whether it is within the rate limit.
bool CountWithinRateLimit(log_state& aState)
{
  const auto now = log_clock::now();
  if (now >= aState.mPeriodEnd) {
    aState.mPeriodEnd = now + std::chrono::seconds(1);
    aState.mLines = 0;
  }
  return ++aState.mLines <= kMaxLinesPerSecond;
}

/// Writes a line unless that would block; returns whether it was written.
bool WriteLine(int aDescriptor, const std::string& aLine)
{
  pollfd ready{ aDescriptor, POLLOUT, 0 };
  return poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0 &&
         write(aDescriptor, aLine.data(), aLine.size()) > 0;
}

} // namespace

void SetLogOutput(log_output aOutput)
{
  State().mDescriptor =
    aOutput == log_output::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
}

void Log(log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields)
{
  log_state& state = State();
  if (!CountWithinRateLimit(state)) {
    ++state.mDroppedLines;
    return;
  }
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
  if (state.mDroppedLines > 0) {
    line.append(fmt::format(" dropped_before={}", state.mDroppedLines));
  }
  line.push_back('\n');
  if (WriteLine(state.mDescriptor, line)) {
    state.mDroppedLines = 0;
  } else {
    ++state.mDroppedLines;
  }
}
