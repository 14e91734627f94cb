#include "Budget/BudgetOperations.h"

#include <algorithm>
#include <unordered_set>

#include "Budget/ChargeWriting.h"

namespace {

// Largest total that a budget row can store, in tokens.
constexpr std::int64_t kMaxTotal = std::int64_t(1) << 60;

bool IsValidName(const std::string& aName)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter != '/' && aCharacter != '\x7f';
         });
}

budget_operation_error ToOperationError(row_error aError)
{
  switch (aError) {
    case row_error::NewerFormat:
      return budget_operation_error::NewerFormat;
    case row_error::Inconsistent:
      return budget_operation_error::Inconsistent;
    case row_error::Malformed:
      return budget_operation_error::UnreadableRow;
  }
  return budget_operation_error::UnreadableRow;
}

/// Adds the charges of one segment to the report, and a finding for each
/// duplicate.
void CheckCharges(const table_row& aRow,
                  const budget_id& aBudget,
                  std::unordered_set<request_id>& aSeen,
                  reconcile_report& aReport)
{
  const auto segment = ParseSegment(aRow.mValue, aBudget);
  if (!segment.has_value()) {
    aReport.mFindings.push_back(
      { finding_kind::UnreadableSegment, aRow.mKey, 0 });
    return;
  }
  for (const charge& item : segment.value().mCharges) {
    aReport.mCharged += item.mTokens;
    ++aReport.mCharges;
    if (!aSeen.insert(item.mRequest).second) {
      aReport.mFindings.push_back(
        { finding_kind::DuplicateCharge, aRow.mKey, item.mTokens });
    }
  }
}

} // namespace

std::string_view BudgetOperationErrorName(budget_operation_error aError)
{
  switch (aError) {
    case budget_operation_error::Exists:
      return "exists";
    case budget_operation_error::Missing:
      return "missing";
    case budget_operation_error::BadAmount:
      return "bad_amount";
    case budget_operation_error::BadName:
      return "bad_name";
    case budget_operation_error::UnreadableRow:
      return "unreadable_row";
    case budget_operation_error::NewerFormat:
      return "newer_format";
    case budget_operation_error::Inconsistent:
      return "inconsistent";
  }
  return "unknown";
}

std::string_view ReconcileFindingName(finding_kind aKind)
{
  switch (aKind) {
    case finding_kind::UnreadableRow:
      return "unreadable_row";
    case finding_kind::NewerFormat:
      return "newer_format";
    case finding_kind::Overspent:
      return "overspent";
    case finding_kind::SpentMismatch:
      return "spent_mismatch";
    case finding_kind::DuplicateCharge:
      return "duplicate_charge";
    case finding_kind::MissingSegment:
      return "missing_segment";
    case finding_kind::ExtraSegment:
      return "extra_segment";
    case finding_kind::UnreadableSegment:
      return "unreadable_segment";
  }
  return "unknown";
}

result<table_transaction, budget_operation_error> CreateBudget(
  const budget_id& aBudget,
  const table_row& aRow,
  std::int64_t aTotal,
  const transaction_id& aId)
{
  if (!IsValidName(aBudget.mName)) {
    return budget_operation_error::BadName;
  }
  if (aRow.mVersion != 0) {
    return budget_operation_error::Exists;
  }
  if (aTotal <= 0 || aTotal > kMaxTotal) {
    return budget_operation_error::BadAmount;
  }
  budget_row row;
  row.mTotal = aTotal;
  table_transaction transaction{ aId, {}, {} };
  AddBudgetWrite(transaction, aBudget, 0, row);
  return transaction;
}

result<table_transaction, budget_operation_error> TopUpBudget(
  const budget_id& aBudget,
  const table_row& aRow,
  std::int64_t aTokens,
  const transaction_id& aId)
{
  auto shown = ShowBudget(aRow);
  if (!shown.has_value()) {
    return shown.error();
  }
  budget_row row = shown.value();
  if (aTokens <= 0 || aTokens > kMaxTotal - row.mTotal) {
    return budget_operation_error::BadAmount;
  }
  row.mTotal += aTokens;
  table_transaction transaction{ aId, {}, {} };
  AddBudgetWrite(transaction, aBudget, aRow.mVersion, row);
  return transaction;
}

result<budget_row, budget_operation_error> ShowBudget(const table_row& aRow)
{
  if (aRow.mVersion == 0) {
    return budget_operation_error::Missing;
  }
  auto parsed = ParseBudgetRow(aRow.mValue);
  if (!parsed.has_value()) {
    return ToOperationError(parsed.error());
  }
  return parsed.value();
}

result<table_transaction, budget_operation_error> WriteOffHolder(
  const incarnation_id& aHolder,
  const table_row& aRow,
  const transaction_id& aId)
{
  if (aRow.mVersion == 0) {
    return budget_operation_error::Missing;
  }
  const auto parsed = ParseHolderRow(aRow.mValue);
  if (!parsed.has_value()) {
    return ToOperationError(parsed.error());
  }
  table_transaction transaction{ aId, {}, {} };
  holder_row row = parsed.value();
  if (row.mState == holder_state::WrittenOff ||
      row.mState == holder_state::Closed) {
    return transaction;
  }
  row.mState = holder_state::WrittenOff;
  transaction.mConditions.push_back({ HolderKey(aHolder), aRow.mVersion });
  transaction.mWrites.push_back({ HolderKey(aHolder), FormatHolderRow(row) });
  return transaction;
}

returned_grants ReturnGrants(const incarnation_id& aHolder,
                             std::uint64_t aHolderVersion,
                             const std::vector<table_row>& aBudgets,
                             const transaction_id& aId)
{
  returned_grants returned;
  returned.mTransaction.mId = aId;
  const std::size_t prefix = BudgetKey({}).size();
  for (const table_row& row : aBudgets) {
    const auto parsed = ParseBudgetRow(row.mValue);
    if (!parsed.has_value()) {
      ++returned.mUnreadable;
      continue;
    }
    const budget_id budget{ row.mKey.substr(prefix) };
    budget_row changed = parsed.value();
    const std::int64_t grant = GrantOf(changed, aHolder);
    returned.mTokens += grant;
    SetGrant(changed, aHolder, 0);
    AddBudgetWrite(returned.mTransaction, budget, row.mVersion, changed);
    returned.mTransaction.mWrites.push_back(
      { GrantKey(aHolder, budget), std::nullopt });
  }
  if (!returned.mTransaction.mWrites.empty()) {
    returned.mTransaction.mConditions.push_back(
      { HolderKey(aHolder), aHolderVersion });
  }
  return returned;
}

reconcile_report Reconcile(const budget_id& aBudget,
                           const table_row& aRow,
                           const std::vector<table_row>& aSegments)
{
  reconcile_report report;
  const auto parsed = ParseBudgetRow(aRow.mValue);
  if (!parsed.has_value()) {
    const bool newer = parsed.error() == row_error::NewerFormat;
    report.mFindings.push_back({ parsed.error() == row_error::Inconsistent
                                   ? finding_kind::Overspent
                                 : newer ? finding_kind::NewerFormat
                                         : finding_kind::UnreadableRow,
                                 aRow.mKey,
                                 0 });
    return report;
  }
  const budget_row& row = parsed.value();
  report.mTotal = row.mTotal;
  report.mSpent = row.mSpent;
  report.mOutstanding = row.OutstandingSum();
  std::unordered_set<request_id> seen;
  auto segment = aSegments.begin();
  for (std::uint64_t number = 0; number < row.mNextSegment; ++number) {
    const std::string key = SegmentKey(aBudget, number);
    if (segment == aSegments.end() || segment->mKey != key) {
      report.mFindings.push_back({ finding_kind::MissingSegment,
                                   key,
                                   static_cast<std::int64_t>(number) });
      continue;
    }
    ++report.mSegments;
    CheckCharges(*segment++, aBudget, seen, report);
  }
  for (; segment != aSegments.end(); ++segment) {
    report.mFindings.push_back(
      { finding_kind::ExtraSegment, segment->mKey, 0 });
  }
  if (report.mCharged != report.mSpent) {
    report.mFindings.push_back({ finding_kind::SpentMismatch,
                                 aRow.mKey,
                                 report.mCharged - report.mSpent });
  }
  return report;
}
