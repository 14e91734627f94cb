#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

/// Base64 with padding, for bytes in texts that hold UTF-8 only.
std::string ToBase64(std::string_view aBytes);
/// Bytes of a base64 text; characters outside the alphabet are skipped.
std::string FromBase64(const std::string& aText);

/// Escapes everything but unreserved characters (RFC 3986).
std::string EscapeUri(const std::string& aText);

/// A decimal number that takes the whole text; nothing when it does not, or is
/// out of the type's range.
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
