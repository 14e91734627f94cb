#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/Result.h"

/// An error in a JSON text, with its location.
struct json_error
{
  /// Name of the file or document, as the caller gave it.
  std::string mSource;
  /// Line of the text, from 1; 0 when unknown.
  int mLine = 0;
  /// JSON pointer to the invalid value; empty for the whole text.
  std::string mPointer;
  std::string mMessage;

  auto operator<=>(const json_error&) const = default;
};

/// Formats an error as `source:line: pointer: message`; an unknown line and an
/// empty pointer are omitted.
std::string FormatJsonError(const json_error& aError);

/// A parsed JSON text with the line of each value, so that errors found by
/// later checks can name the line.
struct json_text
{
  std::string mSource;
  nlohmann::json mValue;
  /// Line of each value, by JSON pointer.
  std::map<std::string, int> mLines;

  /// Line of a value, or of its nearest known parent; 0 when there is none.
  int LineOf(std::string_view aPointer) const;
  /// Creates an error at a value of this text.
  json_error ErrorAt(std::string_view aPointer, std::string aMessage) const;
};

/// Parses JSON that another process wrote. Returns nothing if the text is
/// malformed or nested deeper than 64 levels, so that recursion over the value
/// is bounded.
std::optional<nlohmann::json> ParseBoundedJson(std::string_view aText);

/// Largest whole number that all writers of JSON represent exactly.
inline constexpr std::int64_t kMaxWholeNumber = std::int64_t{ 1 } << 53U;

/// A whole number within the limits; nothing for other values.
std::optional<std::int64_t> ReadWholeNumber(
  const nlohmann::json& aValue,
  std::int64_t aMin = 0,
  std::int64_t aMax = kMaxWholeNumber);

/// Parses JSON with `//` and `/* */` comments. Duplicate keys, trailing text
/// and nesting deeper than 64 levels are errors. With `aDuplicates`, errors for
/// duplicate keys are appended there instead, and parsing continues with the
/// last value.
result<json_text, json_error> ParseJsonText(
  std::string_view aText,
  std::string_view aSource,
  std::vector<json_error>* aDuplicates = nullptr);
