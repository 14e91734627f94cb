#pragma once

#include <cstdint>
#include <vector>

#include "Budget/BudgetRows.h"
#include "Remote/TableService.h"

/// Steps that the holder, its backups and the operators share when they change
/// budget rows.

/// What became of charges that were added to a row.
struct written_charges
{
  /// The charges as written, with the tokens that were really paid.
  std::vector<charge> mCharges;
  /// Charges that their holder's grant did not cover.
  std::uint64_t mUngranted = 0;
  /// Charges that found too little in grant and budget.
  std::uint64_t mUnfunded = 0;
};

/// Moves the charges from their holder's outstanding grant to `mSpent`. Tokens
/// that the grant does not cover come from what is available; this happens
/// only after an operator wrote the holder off. What is not there at all is
/// not charged, so the row's invariant holds in every case.
written_charges PayCharges(budget_row& aRow,
                           const std::vector<charge>& aCharges);

/// Sets a holder's grant, removing it at zero.
void SetGrant(budget_row& aRow, const holder_id& aHolder, std::int64_t aGrant);

/// Outstanding grant of a holder, 0 for none.
std::int64_t GrantOf(const budget_row& aRow, const holder_id& aHolder);

/// Adds the condition on a budget row and its new value.
void WriteBudget(table_transaction& aTransaction,
                 const budget_id& aBudget,
                 std::uint64_t aVersion,
                 const budget_row& aRow);

/// Adds a new segment at the row's next position and advances it.
void AppendSegment(table_transaction& aTransaction,
                   const budget_id& aBudget,
                   budget_row& aRow,
                   std::vector<charge> aCharges);

/// Adds or deletes the index row of a grant where it appears or ends.
void WriteGrantIndex(table_transaction& aTransaction,
                     const holder_id& aHolder,
                     const budget_id& aBudget,
                     std::int64_t aOldGrant,
                     std::int64_t aNewGrant);
