#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Row of the store in which a node states what it holds, so that the next run
/// on the same host can take over what the ended run did not use.

/// One account in the row.
struct holding_entry
{
  /// Tokens that the run received.
  std::int64_t mReceived = 0;
  /// Most tokens that the run may have passed out by the end of the statement.
  std::int64_t mBound = 0;
  auto operator<=>(const holding_entry&) const = default;
};

struct holding_row
{
  std::string mRun;
  std::uint64_t mSequence = 0;
  /// Time of the store's clock from which the statement holds.
  std::chrono::milliseconds mStatedAt{ 0 };
  std::map<std::string, holding_entry> mAccounts;
  auto operator<=>(const holding_row&) const = default;
};

std::string WriteHoldingRow(const holding_row& aRow);
std::optional<holding_row> ParseHoldingRow(std::string_view aText);
