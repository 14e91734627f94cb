#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Budget/BudgetRows.h"
#include "Remote/TableService.h"

/// What operators do to budgets. Each function takes the rows as read and
/// returns the transaction to commit; a conflict means read again and repeat
/// with a new identity, a timeout means commit the same transaction again.

/// Why an operation was refused.
enum class operation_error : std::uint8_t
{
  /// The row to create is there already.
  Exists,
  /// No such row.
  Missing,
  /// Not positive, or the total would be out of range.
  BadAmount,
  /// The identity is empty or holds a slash or control characters.
  BadName,
  UnreadableRow,
  /// Written by a newer version of the program.
  NewerFormat,
  /// The row's numbers contradict its invariant.
  Inconsistent,
};

std::string_view OperationErrorName(operation_error aError);

/// Creates a budget with a prepaid total in tokens.
result<table_transaction, operation_error> CreateBudget(
  const budget_id& aBudget,
  const table_row& aRow,
  std::int64_t aTotal,
  const transaction_id& aId);

/// Adds prepaid tokens to a budget.
result<table_transaction, operation_error> TopUpBudget(
  const budget_id& aBudget,
  const table_row& aRow,
  std::int64_t aTokens,
  const transaction_id& aId);

/// Reads a budget row for display.
result<budget_row, operation_error> ShowBudget(const table_row& aRow);

/// First step of a write-off: fences the holder for good. Charges that only
/// its dead backups held are given up. A holder that is written off or closed
/// already gives a transaction without writes.
result<table_transaction, operation_error> WriteOffHolder(
  const holder_id& aHolder,
  const table_row& aRow,
  const transaction_id& aId);

/// Second step, repeated over pages of the scan of `GrantPrefix(aHolder)`:
/// returns the grants of a written-off or closed holder. `aBudgets` are the
/// budget rows of the page; unreadable ones are left alone and counted.
struct returned_grants
{
  table_transaction mTransaction;
  std::int64_t mTokens = 0;
  std::uint32_t mUnreadable = 0;
};
returned_grants ReturnGrants(const holder_id& aHolder,
                             std::uint64_t aHolderVersion,
                             const std::vector<table_row>& aBudgets,
                             const transaction_id& aId);

/// What reconciling a budget can find.
enum class finding_kind : std::uint8_t
{
  UnreadableRow,
  NewerFormat,
  /// Spent plus outstanding exceeds the total.
  Overspent,
  /// The segments' charges do not add up to the row's spent tokens.
  SpentMismatch,
  DuplicateCharge,
  MissingSegment,
  /// A segment at or beyond the row's next position.
  ExtraSegment,
  UnreadableSegment,
};

std::string_view FindingName(finding_kind aKind);

/// One finding; the number is a segment, or a difference in tokens.
struct finding
{
  finding_kind mKind = finding_kind::UnreadableRow;
  std::string mKey;
  std::int64_t mNumber = 0;
  auto operator<=>(const finding&) const = default;
};

struct reconcile_report
{
  std::int64_t mTotal = 0;
  std::int64_t mSpent = 0;
  std::int64_t mOutstanding = 0;
  std::int64_t mCharged = 0;
  std::uint64_t mCharges = 0;
  std::uint64_t mSegments = 0;
  std::vector<finding> mFindings;

  bool IsClean() const { return mFindings.empty(); }
};

/// Checks a budget row against all of its segments, in key order. The segments
/// must be read before the row: segments that appear in between are counted
/// as extra, and the caller reads again.
reconcile_report Reconcile(const budget_id& aBudget,
                           const table_row& aRow,
                           const std::vector<table_row>& aSegments);
