#include "Remote/MemoryTable.h"

#include <algorithm>

memory_table::memory_table(std::size_t aMaxOutcomes)
  : mMaxOutcomes(aMaxOutcomes)
{
}

std::vector<table_row> memory_table::Read(
  const std::vector<std::string>& aKeys) const
{
  std::vector<table_row> rows;
  rows.reserve(aKeys.size());
  for (const std::string& key : aKeys) {
    const auto found = mRows.find(key);
    if (found == mRows.end()) {
      rows.push_back({ key, 0, {} });
    } else {
      rows.push_back({ key, found->second.mVersion, found->second.mValue });
    }
  }
  return rows;
}

std::vector<table_row> memory_table::Scan(const table_scan& aScan) const
{
  std::vector<table_row> rows;
  auto next = aScan.mAfter < aScan.mPrefix ? mRows.lower_bound(aScan.mPrefix)
                                           : mRows.upper_bound(aScan.mAfter);
  if (aScan.mAfter.empty()) {
    next = mRows.lower_bound(aScan.mPrefix);
  }
  while (next != mRows.end() && rows.size() < aScan.mLimit &&
         next->first.starts_with(aScan.mPrefix)) {
    rows.push_back({ next->first, next->second.mVersion, next->second.mValue });
    ++next;
  }
  return rows;
}

commit_reply memory_table::Commit(const table_transaction& aTransaction)
{
  const auto known = mOutcomes.find(aTransaction.mId);
  if (known != mOutcomes.end()) {
    return known->second;
  }
  commit_reply reply;
  reply.mCommitted = std::ranges::all_of(
    aTransaction.mConditions, [this](const table_condition& aCondition) {
      return ConditionHolds(aCondition);
    });
  if (reply.mCommitted) {
    reply.mVersion = ++mVersion;
    for (const table_write& write : aTransaction.mWrites) {
      if (write.mValue) {
        mRows.insert_or_assign(write.mKey,
                               versioned_value{ mVersion, *write.mValue });
      } else {
        mRows.erase(write.mKey);
      }
    }
  }
  RecordOutcome(aTransaction.mId, reply);
  return reply;
}

bool memory_table::ConditionHolds(const table_condition& aCondition) const
{
  const auto found = mRows.find(aCondition.mKey);
  const std::uint64_t version =
    found == mRows.end() ? 0 : found->second.mVersion;
  return version == aCondition.mVersion;
}

void memory_table::RecordOutcome(transaction_id aId, const commit_reply& aReply)
{
  mOutcomes.emplace(aId, aReply);
  mOutcomeOrder.push_back(aId);
  if (mOutcomeOrder.size() > mMaxOutcomes) {
    mOutcomes.erase(mOutcomeOrder.front());
    mOutcomeOrder.pop_front();
  }
}
