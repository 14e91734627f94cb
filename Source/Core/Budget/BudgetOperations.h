#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Budget/BudgetRows.h"
#include "Remote/TableService.h"

/// Operations that an operator runs on budgets. Each function takes the rows as
/// read from the table service and returns the transaction to commit. After a
/// conflict the caller reads the rows again and repeats the operation with a
/// new transaction id; after a timeout it commits the same transaction again.

/// Reason why an operation was refused.
enum class budget_operation_error : std::uint8_t
{
  /// The row to create already exists.
  Exists,
  /// The row does not exist.
  Missing,
  /// The amount is not positive, or the total would exceed 2^60 tokens.
  BadAmount,
  /// The budget id is empty or contains a slash, a space or a control
  /// character.
  BadName,
  /// The row's text cannot be parsed.
  UnreadableRow,
  /// The row was written by a newer version of the program.
  NewerFormat,
  /// Spent plus outstanding tokens exceed the total, or the segment numbers
  /// contradict each other.
  Inconsistent,
};

std::string_view BudgetOperationErrorName(budget_operation_error aError);

/// Creates a budget with a prepaid total in tokens.
result<table_transaction, budget_operation_error> CreateBudget(
  const budget_id& aBudget,
  const table_row& aRow,
  std::int64_t aTotal,
  const transaction_id& aId);

/// Adds prepaid tokens to a budget.
result<table_transaction, budget_operation_error> TopUpBudget(
  const budget_id& aBudget,
  const table_row& aRow,
  std::int64_t aTokens,
  const transaction_id& aId);

/// Parses a budget row; fails with `Missing` when it does not exist.
result<budget_row, budget_operation_error> ShowBudget(const table_row& aRow);

/// First step of a write-off: sets the holder's row to `WrittenOff`, which
/// fences the holder permanently. Charges that exist only at dead backups are
/// lost. For a holder that is already written off or closed, the transaction
/// has no writes.
result<table_transaction, budget_operation_error> WriteOffHolder(
  const incarnation_id& aHolder,
  const table_row& aRow,
  const transaction_id& aId);

/// Result of `ReturnGrants`: the transaction, the tokens that it returns, and
/// the number of unreadable budget rows, which it leaves unchanged.
struct returned_grants
{
  table_transaction mTransaction;
  std::int64_t mTokens = 0;
  std::uint32_t mUnreadable = 0;
};

/// Second step of a write-off: returns the grants of a written-off or closed
/// holder to their budgets. Called once for each page of the scan of
/// `GrantPrefix(aHolder)`; `aBudgets` are the budget rows of the page.
returned_grants ReturnGrants(const incarnation_id& aHolder,
                             std::uint64_t aHolderVersion,
                             const std::vector<table_row>& aBudgets,
                             const transaction_id& aId);

/// Kinds of inconsistency that `Reconcile` reports.
enum class finding_kind : std::uint8_t
{
  UnreadableRow,
  NewerFormat,
  /// Spent plus outstanding exceeds the total.
  Overspent,
  /// The sum of the charges in all segments differs from the row's spent
  /// tokens.
  SpentMismatch,
  DuplicateCharge,
  MissingSegment,
  /// The number of a segment is at or above the row's next segment number.
  ExtraSegment,
  UnreadableSegment,
};

std::string_view ReconcileFindingName(finding_kind aKind);

/// One inconsistency, with the key of the row in which it was found.
struct finding
{
  finding_kind mKind = finding_kind::UnreadableRow;
  std::string mKey;
  /// `MissingSegment`: the segment number. `SpentMismatch`: charged minus spent
  /// tokens. `DuplicateCharge`: tokens of the charge. 0 for the other kinds.
  std::int64_t mNumber = 0;
  auto operator<=>(const finding&) const = default;
};

/// Totals of a budget in tokens, and the inconsistencies found.
struct reconcile_report
{
  std::int64_t mTotal = 0;
  std::int64_t mSpent = 0;
  std::int64_t mOutstanding = 0;
  /// Sum of the charges in all segments.
  std::int64_t mCharged = 0;
  std::uint64_t mCharges = 0;
  std::uint64_t mSegments = 0;
  std::vector<finding> mFindings;

  bool IsClean() const { return mFindings.empty(); }
};

/// Checks a budget row against all of its segments, which are passed in key
/// order. The segments must be read before the row: then a segment written in
/// between is reported as missing, and the caller reads both again.
reconcile_report Reconcile(const budget_id& aBudget,
                           const table_row& aRow,
                           const std::vector<table_row>& aSegments);
