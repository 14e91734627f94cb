#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Header fields of one HTTP message, in their order on the wire.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Compares two field names without regard to letter case.
bool SameHeaderName(std::string_view aLeft, std::string_view aRight);

/// Whether a text is the name of a field: a token of RFC 9110, section 5.6.2.
bool IsHeaderName(std::string_view aName);

/// Whether the field concerns one connection only and is not forwarded with a
/// response.
bool IsHopByHopHeader(std::string_view aName);

/// Bytes that a text allocates outside of itself.
std::size_t AllocatedBytes(const std::string& aText);
/// Bytes that the fields allocate.
std::size_t AllocatedBytes(const http_headers& aHeaders);

/// Value of the first field with this name, regardless of letter case; empty
/// when absent.
std::string_view FindHeader(const http_headers& aHeaders,
                            std::string_view aName);
