#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/Result.h"

/// A JSON text that cannot be used: where and why.
struct json_error
{
  /// File or document name, as the caller gave it.
  std::string mSource;
  /// Line of the text, from 1; 0 when unknown.
  int mLine = 0;
  /// JSON pointer of the offending value, empty for the whole text.
  std::string mPointer;
  std::string mMessage;

  auto operator<=>(const json_error&) const = default;
};

/// `source:line: pointer: message`
std::string FormatJsonError(const json_error& aError);

/// A parsed JSON text that remembers on which line each value stands, so that
/// checks can name the line.
struct json_text
{
  std::string mSource;
  nlohmann::json mValue;
  /// JSON pointer to line.
  std::map<std::string, int> mLines;

  /// Line of a value, or of its nearest parent that is known.
  int LineOf(std::string_view aPointer) const;
  /// An error at a value of this text.
  json_error ErrorAt(std::string_view aPointer, std::string aMessage) const;
};

/// Reads JSON with `//` and `/* */` comments. Duplicate keys, trailing text,
/// and nesting deeper than 64 are errors. With `aDuplicates`, duplicate keys
/// are appended there and reading goes on with the last value.
result<json_text, json_error> ParseJsonText(
  std::string_view aText,
  std::string_view aSource,
  std::vector<json_error>* aDuplicates = nullptr);
