#include "Budget/ChargeWriting.h"

#include <algorithm>

#include <fmt/format.h>

namespace {

/// Takes up to `aTokens` from the holder's grant; returns the tokens taken.
std::int64_t TakeFromGrant(budget_row& aRow,
                           const incarnation_id& aHolder,
                           std::int64_t aTokens)
{
  const std::int64_t grant = GrantOf(aRow, aHolder);
  const std::int64_t taken = std::min(grant, aTokens);
  SetGrant(aRow, aHolder, grant - taken);
  return taken;
}

} // namespace

applied_charges ApplyCharges(budget_row& aRow,
                             const std::vector<charge>& aCharges)
{
  applied_charges written;
  for (const charge& item : aCharges) {
    const std::int64_t available = aRow.Available();
    const std::int64_t granted =
      TakeFromGrant(aRow, item.mHolder, item.mTokens);
    const std::int64_t ungranted = std::min(item.mTokens - granted, available);
    aRow.mSpent += granted + ungranted;
    written.mCharges.push_back(item);
    written.mCharges.back().mTokens = granted + ungranted;
    if (granted < item.mTokens) {
      ++written.mUngranted;
    }
    if (granted + ungranted < item.mTokens) {
      ++written.mUnfunded;
    }
  }
  return written;
}

void SetGrant(budget_row& aRow,
              const incarnation_id& aHolder,
              std::int64_t aGrant)
{
  if (aGrant > 0) {
    aRow.mOutstanding[aHolder] = aGrant;
  } else {
    aRow.mOutstanding.erase(aHolder);
  }
}

std::int64_t GrantOf(const budget_row& aRow, const incarnation_id& aHolder)
{
  const auto found = aRow.mOutstanding.find(aHolder);
  return found == aRow.mOutstanding.end() ? 0 : found->second;
}

void AddBudgetWrite(table_transaction& aTransaction,
                    const budget_id& aBudget,
                    std::uint64_t aVersion,
                    const budget_row& aRow)
{
  aTransaction.mConditions.push_back({ BudgetKey(aBudget), aVersion });
  aTransaction.mWrites.push_back({ BudgetKey(aBudget), FormatBudgetRow(aRow) });
}

void AddSegmentWrite(table_transaction& aTransaction,
                     const budget_id& aBudget,
                     budget_row& aRow,
                     std::vector<charge> aCharges)
{
  aTransaction.mWrites.push_back(
    { SegmentKey(aBudget, aRow.mNextSegment),
      FormatSegment(charge_segment{ std::move(aCharges) }) });
  ++aRow.mNextSegment;
}

void AddGrantIndexWrite(table_transaction& aTransaction,
                        const incarnation_id& aHolder,
                        const budget_id& aBudget,
                        std::int64_t aOldGrant,
                        std::int64_t aNewGrant)
{
  if ((aOldGrant > 0) == (aNewGrant > 0)) {
    return;
  }
  table_write write{ GrantKey(aHolder, aBudget), std::nullopt };
  if (aNewGrant > 0) {
    write.mValue = fmt::format("{{\"format\":{}}}", kBudgetRowFormat);
  }
  aTransaction.mWrites.push_back(std::move(write));
}
