#pragma once

#include <cstdint>
#include <vector>

#include "Budget/BudgetRows.h"
#include "Remote/TableService.h"

/// Changes of budget rows that holders, their backups and operators all use.

/// Result of `ApplyCharges`.
struct applied_charges
{
  /// The charges to write, each with the tokens that were available for it.
  std::vector<charge> mCharges;
  /// Number of charges that exceeded their holder's grant.
  std::uint64_t mUngranted = 0;
  /// Number of charges that grant and available tokens did not cover in full.
  std::uint64_t mUnfunded = 0;
};

/// Moves the tokens of the charges from their holder's outstanding grant to
/// `mSpent`. Tokens above the grant, which occur only after an operator has
/// written the holder off, are taken from the available tokens. A charge is
/// reduced when these do not suffice, so the row's invariant always holds.
applied_charges ApplyCharges(budget_row& aRow,
                             const std::vector<charge>& aCharges);

/// Sets a holder's grant in tokens; 0 removes its entry.
void SetGrant(budget_row& aRow,
              const incarnation_id& aHolder,
              std::int64_t aGrant);

/// Returns the outstanding grant of a holder in tokens, 0 without one.
std::int64_t GrantOf(const budget_row& aRow, const incarnation_id& aHolder);

/// Adds the write of a budget row, on condition that it has `aVersion`.
void AddBudgetWrite(table_transaction& aTransaction,
                    const budget_id& aBudget,
                    std::uint64_t aVersion,
                    const budget_row& aRow);

/// Adds the write of a new segment and increments the row's next segment
/// number.
void AddSegmentWrite(table_transaction& aTransaction,
                     const budget_id& aBudget,
                     budget_row& aRow,
                     std::vector<charge> aCharges);

/// Adds the write of the index row of a grant when the grant becomes positive,
/// and its deletion when the grant becomes 0.
void AddGrantIndexWrite(table_transaction& aTransaction,
                        const incarnation_id& aHolder,
                        const budget_id& aBudget,
                        std::int64_t aOldGrant,
                        std::int64_t aNewGrant);
