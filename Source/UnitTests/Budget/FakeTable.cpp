#include "FakeTable.h"

#include <nlohmann/json.hpp>

namespace {

using json = nlohmann::json;

} // namespace

std::vector<table_row> fake_table::Read(
  const std::vector<std::string>& aKeys) const
{
  std::vector<table_row> rows;
  for (const std::string& key : aKeys) {
    const auto found = mRows.find(key);
    rows.push_back(found == mRows.end() ? table_row{ key, 0, "" }
                                        : found->second);
  }
  return rows;
}

std::vector<table_row> fake_table::Scan(const table_scan& aScan) const
{
  std::vector<table_row> rows;
  for (auto at = mRows.lower_bound(std::max(aScan.mPrefix, aScan.mAfter));
       at != mRows.end() && at->first.starts_with(aScan.mPrefix) &&
       rows.size() < aScan.mLimit;
       ++at) {
    if (at->first > aScan.mAfter) {
      rows.push_back(at->second);
    }
  }
  return rows;
}

commit_reply fake_table::Commit(const table_transaction& aTransaction)
{
  const auto known = mReplies.find(aTransaction.mId);
  if (known != mReplies.end()) {
    return known->second;
  }
  commit_reply& reply = mReplies[aTransaction.mId];
  for (const table_condition& condition : aTransaction.mConditions) {
    if (Row(condition.mKey).mVersion != condition.mVersion) {
      return reply;
    }
  }
  reply = { true, ++mVersion };
  ++mCommits;
  mRowsWritten += aTransaction.mWrites.size();
  for (const table_write& write : aTransaction.mWrites) {
    if (write.mValue) {
      mRows[write.mKey] = { write.mKey, mVersion, *write.mValue };
    } else {
      mRows.erase(write.mKey);
    }
    if (write.mKey.starts_with("charges/")) {
      CheckSegment(write.mKey, write.mValue.value_or(""));
    }
  }
  for (const table_write& write : aTransaction.mWrites) {
    if (write.mKey.starts_with("budget/")) {
      CheckBudget(write.mKey, write.mValue.value_or(""));
    }
  }
  return reply;
}

void fake_table::Put(const std::string& aKey, const std::string& aValue)
{
  mRows[aKey] = { aKey, ++mVersion, aValue };
}

bool fake_table::HasCharge(const budget_id& aBudget,
                           const request_id& aRequest) const
{
  return Charged(aBudget, aRequest) >= 0;
}

std::int64_t fake_table::Charged(const budget_id& aBudget,
                                 const request_id& aRequest) const
{
  const auto log = mChargesByBudget.find(aBudget.mName);
  if (log == mChargesByBudget.end()) {
    return -1;
  }
  const auto found = log->second.find(aRequest);
  return found == log->second.end() ? -1 : found->second;
}

void fake_table::CheckBudget(const std::string& aKey, const std::string& aValue)
{
  const json row = json::parse(aValue, nullptr, false);
  if (!row.is_object()) {
    mViolations.push_back("budget row is no object: " + aKey);
    return;
  }
  std::int64_t used = row["spent"];
  for (const auto& [holder, amount] : row["outstanding"].items()) {
    used += amount.get<std::int64_t>();
    if (amount.get<std::int64_t>() <= 0) {
      mViolations.push_back("grant is not positive: " + aKey);
    }
  }
  if (used > row["total"].get<std::int64_t>()) {
    mViolations.push_back("spent and outstanding exceed total: " + aKey);
  }
  if (row["spent"] != mChargedByBudget[aKey.substr(aKey.find('/') + 1)]) {
    mViolations.push_back("spent differs from the log: " + aKey);
  }
}

void fake_table::CheckSegment(const std::string& aKey,
                              const std::string& aValue)
{
  const std::string budget = aKey.substr(8, aKey.rfind('/') - 8);
  const json segment = json::parse(aValue, nullptr, false);
  for (const json& item : segment["charges"]) {
    const std::int64_t tokens = item[3];
    mChargedByBudget[budget] += tokens;
    const auto request = ParseWide<request_tag>(item[0].get<std::string>());
    if (!request ||
        !mChargesByBudget[budget].emplace(*request, tokens).second) {
      mViolations.push_back("charged twice: " + aKey);
    }
  }
}
