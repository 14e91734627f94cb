#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

/// Encodes bytes as base64 with padding, for texts that must be valid UTF-8.
std::string ToBase64(std::string_view aBytes);
/// Decodes base64; characters outside the alphabet are skipped.
std::string FromBase64(const std::string& aText);

/// Percent-encodes all characters except the unreserved ones (RFC 3986).
std::string EscapeUri(const std::string& aText);

/// Parses a decimal number that takes up the whole text; nothing when it does
/// not, or when it is out of the type's range.
template<typename Number>
std::optional<Number> ParseDecimal(std::string_view aText)
{
  Number number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}
