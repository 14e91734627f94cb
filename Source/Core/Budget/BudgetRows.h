#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Identity.h"
#include "Common/Result.h"
#include "Common/Time.h"

/// Rows that the budget systems keep in the table service: their keys, their
/// typed values and their JSON text. Every row carries a format version.

/// Format that this version of the program writes.
inline constexpr int kBudgetRowFormat = 1;

/// What one finished request costs.
struct charge
{
  request_id mRequest;
  account_id mAccount;
  budget_id mBudget;
  /// The holder whose grant pays.
  holder_id mHolder;
  std::int64_t mTokens = 0;
  wall_time mAt;
  /// Log position of the budget that the holder knew when it reserved. No copy
  /// of this charge can stand in an earlier segment.
  std::uint64_t mFromSegment = 0;
  auto operator<=>(const charge&) const = default;
};

/// Row `budget/<id>`. Invariant: `mSpent` plus all of `mOutstanding` is at
/// most `mTotal`.
struct budget_row
{
  std::int64_t mTotal = 0;
  std::int64_t mSpent = 0;
  /// Number of the next charge segment.
  std::uint64_t mNextSegment = 0;
  /// Oldest segment that a node reads when it first meets the budget; earlier
  /// ones are beyond the retry window.
  std::uint64_t mWindowSegment = 0;
  std::map<holder_id, std::int64_t> mOutstanding;
  auto operator<=>(const budget_row&) const = default;

  /// Tokens in the grants of all holders.
  std::int64_t OutstandingSum() const;
  /// Tokens that can still be granted.
  std::int64_t Available() const { return mTotal - mSpent - OutstandingSum(); }
};

/// Row `charges/<budget>/<n>`: charges written by one transaction.
struct charge_segment
{
  std::vector<charge> mCharges;
  auto operator<=>(const charge_segment&) const = default;
};

/// Life of a holder as its row says.
enum class holder_state : std::uint8_t
{
  Open,
  /// A backup took it for dead. It draws no more grants; charges can still be
  /// written.
  Closing,
  /// Every listed backup has written its charges and refuses new ones: the
  /// grants can be returned.
  Closed,
  /// An operator gave up charges that a dead backup may have held.
  WrittenOff,
};

/// Row `holder/<node>/<incarnation>`.
struct holder_row
{
  holder_state mState = holder_state::Open;
  /// The only backups that may acknowledge charges of this holder.
  std::vector<holder_id> mBackups;
  /// The backups that have written all they held and accept no more.
  std::set<holder_id> mSealed;
  auto operator<=>(const holder_row&) const = default;
};

/// Why a row cannot be used.
enum class row_error : std::uint8_t
{
  Malformed,
  /// Written by a newer version of the program; the row is left alone.
  NewerFormat,
  /// Well formed, but the numbers contradict the invariant.
  Inconsistent,
};

std::string_view RowErrorName(row_error aError);

std::string BudgetKey(const budget_id& aBudget);
std::string SegmentPrefix(const budget_id& aBudget);
std::string SegmentKey(const budget_id& aBudget, std::uint64_t aSegment);
std::string HolderKey(const holder_id& aHolder);
/// Prefix of all holder rows. Nodes scan it from time to time and report the
/// holders that membership knows to be gone to their charge backup, every time;
/// otherwise a holder whose peers all died with it, or which was taken for dead
/// before it wrote its row, would never be reclaimed.
inline constexpr std::string_view kHolderPrefix = "holder/";
/// Holder of a holder row's key, nothing for another key.
std::optional<holder_id> ParseHolderKey(std::string_view aKey);
/// Index rows `grant/<node>/<incarnation>/<budget>`, present while the holder
/// has an outstanding grant, so that a reclaim needs no scan of all budgets.
std::string GrantPrefix(const holder_id& aHolder);
std::string GrantKey(const holder_id& aHolder, const budget_id& aBudget);

std::string FormatBudgetRow(const budget_row& aRow);
result<budget_row, row_error> ParseBudgetRow(std::string_view aText);

std::string FormatSegment(const charge_segment& aSegment);
/// The budget is not repeated in the row; the caller knows it from the key.
result<charge_segment, row_error> ParseSegment(std::string_view aText,
                                               const budget_id& aBudget);

std::string FormatHolderRow(const holder_row& aRow);
result<holder_row, row_error> ParseHolderRow(std::string_view aText);
