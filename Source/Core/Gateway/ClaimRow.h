#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// A claim: stored row in which a node records the tokens that it received, so
/// that the next run on the same host can take over what the ended run did not
/// use.

/// Claim for one account.
struct claim_entry
{
  /// Tokens that the run received.
  std::int64_t mReceived = 0;
  /// Limit of the tokens that the run may have passed out by the time the claim
  /// expires.
  std::int64_t mSpendLimit = 0;
  auto operator<=>(const claim_entry&) const = default;
};

struct claim_row
{
  std::string mRun;
  std::uint64_t mSequence = 0;
  /// Start of the claim by the store's clock.
  std::chrono::milliseconds mStartsAt{ 0 };
  std::map<std::string, claim_entry> mAccounts;
  auto operator<=>(const claim_row&) const = default;
};

std::string WriteClaimRow(const claim_row& aRow);
std::optional<claim_row> ParseClaimRow(std::string_view aText);
