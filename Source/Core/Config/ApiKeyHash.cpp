#include "Config/ApiKeyHash.h"

#include <charconv>
#include <cstring>

#include <fmt/format.h>
#include <glib.h>

std::size_t std::hash<api_key_hash>::operator()(const api_key_hash& aHash) const
{
  // The bytes are uniformly distributed, so the first word suffices.
  std::size_t word = 0;
  std::memcpy(&word, aHash.mBytes.data(), sizeof(word));
  return word;
}

api_key_hash HashApiKey(std::string_view aKey)
{
  api_key_hash hash;
  gsize size = hash.mBytes.size();
  GChecksum* checksum = g_checksum_new(G_CHECKSUM_SHA256);
  g_checksum_update(checksum,
                    reinterpret_cast<const guchar*>(aKey.data()),
                    static_cast<gssize>(aKey.size()));
  g_checksum_get_digest(checksum, hash.mBytes.data(), &size);
  g_checksum_free(checksum);
  return hash;
}

std::optional<api_key_hash> ParseApiKeyHash(std::string_view aText)
{
  api_key_hash hash;
  if (aText.size() != 2 * hash.mBytes.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < hash.mBytes.size(); ++i) {
    const char* digits = aText.data() + 2 * i;
    const auto read = std::from_chars(digits, digits + 2, hash.mBytes[i], 16);
    if (read.ec != std::errc() || read.ptr != digits + 2) {
      return std::nullopt;
    }
  }
  return hash;
}

std::string FormatApiKeyHash(const api_key_hash& aHash)
{
  std::string text;
  for (const std::uint8_t byte : aHash.mBytes) {
    text += fmt::format("{:02x}", byte);
  }
  return text;
}
