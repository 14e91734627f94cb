#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// SHA-256 of an API key.
struct api_key_hash
{
  std::array<std::uint8_t, 32> mBytes{};
  auto operator<=>(const api_key_hash&) const = default;
};

template<>
struct std::hash<api_key_hash>
{
  std::size_t operator()(const api_key_hash& aHash) const;
};

/// SHA-256 of an API key in the form in which clients send it.
api_key_hash HashApiKey(std::string_view aKey);

/// Parses 64 hexadecimal digits; nothing when the text is malformed.
std::optional<api_key_hash> ParseApiKeyHash(std::string_view aText);

/// 64 lower-case hexadecimal digits.
std::string FormatApiKeyHash(const api_key_hash& aHash);
