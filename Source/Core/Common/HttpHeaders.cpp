#include "Common/HttpHeaders.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>
#include <glib.h>

bool SameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals({ aLeft.data(), aLeft.size() },
                               { aRight.data(), aRight.size() });
}

bool IsHeaderName(std::string_view aName)
{
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !aName.empty() && std::ranges::all_of(aName, [&](char aCharacter) {
    return g_ascii_isalnum(aCharacter) ||
           kSymbols.find(aCharacter) != std::string_view::npos;
  });
}

bool IsHopByHopHeader(std::string_view aName)
{
  return SameHeaderName(aName, "Connection") ||
         SameHeaderName(aName, "Keep-Alive") ||
         SameHeaderName(aName, "Transfer-Encoding") ||
         SameHeaderName(aName, "Proxy-Connection") ||
         SameHeaderName(aName, "Upgrade") || SameHeaderName(aName, "Trailer");
}

std::size_t AllocatedBytes(const std::string& aText)
{
  // Shorter texts are stored in place.
  return aText.capacity() > std::string().capacity() ? aText.capacity() + 1 : 0;
}

std::size_t AllocatedBytes(const http_headers& aHeaders)
{
  std::size_t bytes = aHeaders.capacity() * sizeof(http_headers::value_type);
  for (const auto& [name, value] : aHeaders) {
    bytes += AllocatedBytes(name) + AllocatedBytes(value);
  }
  return bytes;
}

std::string_view FindHeader(const http_headers& aHeaders,
                            std::string_view aName)
{
  const auto found = std::ranges::find_if(aHeaders, [&](const auto& aHeader) {
    return SameHeaderName(aHeader.first, aName);
  });
  return found == aHeaders.end() ? std::string_view() : found->second;
}
