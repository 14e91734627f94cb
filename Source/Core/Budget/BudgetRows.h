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

/// Rows that budgets have in the table service: their keys, their typed values
/// and their JSON text. Every row contains a format version.

/// Format version that this program writes, and the newest one that it reads.
inline constexpr int kBudgetRowFormat = 1;

/// Tokens that one finished request is charged.
struct charge
{
  request_id mRequest;
  account_id mAccount;
  budget_id mBudget;
  /// The holder whose grant is charged.
  incarnation_id mHolder;
  std::int64_t mTokens = 0;
  wall_time mAt;
  /// Number of the budget's next segment that the holder knew when it reserved
  /// the tokens. No earlier segment can contain this charge, so a search for a
  /// duplicate starts here.
  std::uint64_t mFromSegment = 0;
  auto operator<=>(const charge&) const = default;
};

/// Row `budget/<id>`. Invariant: `mSpent` plus all of `mOutstanding` is at
/// most `mTotal`.
struct budget_row
{
  std::int64_t mTotal = 0;
  std::int64_t mSpent = 0;
  /// Number of the next charge segment to write.
  std::uint64_t mNextSegment = 0;
  /// Number of the oldest segment that a node reads when it first uses the
  /// budget. The charges of earlier segments are older than the retry window.
  std::uint64_t mWindowSegment = 0;
  /// Grant of each holder in tokens, always positive.
  std::map<incarnation_id, std::int64_t> mOutstanding;
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

/// State in a holder's row.
enum class holder_state : std::uint8_t
{
  Open,
  /// A backup considers the holder dead. The holder gets no more grants; its
  /// charges can still be written.
  Closing,
  /// Every listed backup has written its charges and accepts no new ones, so
  /// the grants can be returned.
  Closed,
  /// An operator accepted the loss of charges that only a dead backup may have
  /// had.
  WrittenOff,
};

/// Row `holder/<node>/<incarnation>`.
struct holder_row
{
  holder_state mState = holder_state::Open;
  /// The only backups that may acknowledge charges of this holder.
  std::vector<incarnation_id> mBackups;
  /// The backups that have written all charges of this holder and accept no
  /// more.
  std::set<incarnation_id> mSealed;
  auto operator<=>(const holder_row&) const = default;
};

/// Reason why a row cannot be used.
enum class row_error : std::uint8_t
{
  /// The text is not a row of this kind.
  Malformed,
  /// Written by a newer version of the program; the row must not be changed.
  NewerFormat,
  /// Well formed, but the numbers violate the invariant of the row.
  Inconsistent,
};

std::string_view RowErrorName(row_error aError);

std::string BudgetKey(const budget_id& aBudget);
std::string SegmentPrefix(const budget_id& aBudget);
std::string SegmentKey(const budget_id& aBudget, std::uint64_t aSegment);
std::string HolderKey(const incarnation_id& aHolder);
/// Prefix of all holder rows. Nodes scan it periodically, and each scan reports
/// every holder that membership knows to be dead to the node's charge backup.
/// Without it, the grants of a holder whose peers died together with it, or
/// which was declared dead before it wrote its row, would never be returned.
inline constexpr std::string_view kHolderPrefix = "holder/";
/// Returns the holder of a holder row's key, or nothing for any other key.
std::optional<incarnation_id> ParseHolderKey(std::string_view aKey);
/// Prefix and keys of the index rows `grant/<node>/<incarnation>/<budget>`. A
/// row exists while the holder has an outstanding grant, so that its grants can
/// be returned without a scan of all budgets.
std::string GrantPrefix(const incarnation_id& aHolder);
std::string GrantKey(const incarnation_id& aHolder, const budget_id& aBudget);

std::string FormatBudgetRow(const budget_row& aRow);
result<budget_row, row_error> ParseBudgetRow(std::string_view aText);

std::string FormatSegment(const charge_segment& aSegment);
/// `aBudget` is the budget in the row's key; the text does not repeat it.
result<charge_segment, row_error> ParseSegment(std::string_view aText,
                                               const budget_id& aBudget);

std::string FormatHolderRow(const holder_row& aRow);
result<holder_row, row_error> ParseHolderRow(std::string_view aText);
