#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What an entry of `offered_cost` states.
enum class offered_kind : std::uint8_t
{
  /// Demand of one account.
  Account,
  /// Demand of several accounts together.
  Rest,
  /// Completed work of the service.
  Completed,
};

/// Work that clients offer to a service at one node, or that the service
/// completed there, as nodes report it to each other.
struct offered_cost
{
  /// Hash of the service's name, see `ServiceKey`.
  std::uint16_t mService = 0;
  offered_kind mKind = offered_kind::Account;
  /// 0 is the most urgent.
  std::uint8_t mRank = 0;
  /// Hash of the account's name; number of accounts if `mKind` is `Rest`.
  std::uint32_t mAccount = 0;
  /// Cost a second.
  float mCost = 0.0F;
  /// Share of `mCost` that was refused with a promise, in steps of 1/255. If
  /// `mKind` is `Completed`, this is 0.
  std::uint8_t mPromised = 0;
  /// Slots that the completed requests held, in seconds of slots a second. Used
  /// if `mKind` is `Completed`, in place of `mAccount`.
  float mSlotSeconds = 0.0F;
  auto operator<=>(const offered_cost&) const = default;
};

/// Largest number of entries in a report.
inline constexpr std::size_t kMaxOfferedCosts = 32;

std::uint16_t ServiceKey(std::string_view aService);
std::uint32_t AdmissionAccountKey(std::string_view aAccount);

/// 12 bytes an entry: account or slot seconds (4), service (2), rank and kind
/// (1), promised share (1), cost (4); little-endian.
std::string WriteOfferedCosts(const std::vector<offered_cost>& aCosts);
/// Returns nothing if the bytes are malformed or state a cost that is negative
/// or no number.
std::optional<std::vector<offered_cost>> ParseOfferedCosts(
  std::string_view aBytes);
