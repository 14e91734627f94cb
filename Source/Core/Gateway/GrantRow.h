#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Stored row of an account: the tokens granted to all nodes so far. Writer and
/// sequence let a node whose reply was lost see whether its own change is the
/// current one.
struct grant_row
{
  std::int64_t mGranted = 0;
  std::string mWriter;
  std::uint64_t mSequence = 0;
  auto operator<=>(const grant_row&) const = default;
};

std::string WriteGrantRow(const grant_row& aRow);
std::optional<grant_row> ParseGrantRow(std::string_view aText);
