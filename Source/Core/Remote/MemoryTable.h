#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Remote/TableService.h"

/// In-memory state of a table service: rows, versions and the outcomes of
/// recent transactions. Performs no I/O. Used by stand-ins and tests.
class memory_table
{
public:
  /// Keeps the outcomes of the latest `aMaxOutcomes` transactions.
  explicit memory_table(std::size_t aMaxOutcomes = 100000);

  std::vector<table_row> Read(const std::vector<std::string>& aKeys) const;
  std::vector<table_row> Scan(const table_scan& aScan) const;
  /// Applies a transaction at most once. A repeated identifier gets the first
  /// outcome, even if that was a conflict.
  commit_reply Commit(const table_transaction& aTransaction);

  /// Version given to the last applied transaction.
  std::uint64_t Version() const { return mVersion; }
  std::size_t Rows() const { return mRows.size(); }

private:
  struct versioned_value
  {
    std::uint64_t mVersion = 0;
    std::string mValue;
  };

  bool ConditionHolds(const table_condition& aCondition) const;
  void RecordOutcome(transaction_id aId, const commit_reply& aReply);

  std::map<std::string, versioned_value, std::less<>> mRows;
  /// Version counter of all rows, so that a row that is deleted and written
  /// again never gets an earlier version.
  std::uint64_t mVersion = 0;
  std::size_t mMaxOutcomes;
  std::unordered_map<transaction_id, commit_reply> mOutcomes;
  std::deque<transaction_id> mOutcomeOrder;
};
