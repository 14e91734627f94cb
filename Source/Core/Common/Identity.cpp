#include "Common/Identity.h"

#include <array>
#include <charconv>

#include <fmt/format.h>

namespace {

constexpr std::array<std::string_view, kWorkRankCount> kRankNames = {
  "urgent",
  "routine",
  "background",
};

constexpr std::size_t kHexDigits = 32;

bool ParseWord(std::string_view aText, std::uint64_t& aWord)
{
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, aWord, 16);
  return read.ec == std::errc() && read.ptr == end;
}

} // namespace

std::string_view WorkRankName(work_rank aRank)
{
  return kRankNames[static_cast<std::size_t>(aRank)];
}

std::optional<work_rank> ParseWorkRank(std::string_view aName)
{
  for (std::size_t i = 0; i < kRankNames.size(); ++i) {
    if (kRankNames[i] == aName) {
      return static_cast<work_rank>(i);
    }
  }
  return std::nullopt;
}

std::string_view RunStateName(run_state aState)
{
  switch (aState) {
    case run_state::NotRun:
      return "not_run";
    case run_state::Unknown:
      return "unknown";
    case run_state::Ran:
      return "ran";
  }
  return "unknown";
}

std::string FormatIncarnation(const incarnation_id& aIncarnation)
{
  return fmt::format(
    "{}/{}", aIncarnation.mNode.mName, aIncarnation.mIncarnation);
}

std::optional<incarnation_id> ParseIncarnation(std::string_view aText)
{
  const std::size_t slash = aText.rfind('/');
  if (slash == std::string_view::npos || slash == 0) {
    return std::nullopt;
  }
  incarnation_id incarnation{ { std::string(aText.substr(0, slash)) }, 0 };
  const std::string_view number = aText.substr(slash + 1);
  const char* end = number.data() + number.size();
  const auto read =
    std::from_chars(number.data(), end, incarnation.mIncarnation);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return incarnation;
}

std::string FormatHex(std::uint64_t aHigh, std::uint64_t aLow)
{
  return fmt::format("{:016x}{:016x}", aHigh, aLow);
}

bool ParseHex(std::string_view aText, std::uint64_t& aHigh, std::uint64_t& aLow)
{
  return aText.size() == kHexDigits && ParseWord(aText.substr(0, 16), aHigh) &&
         ParseWord(aText.substr(16), aLow);
}
