#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Budget/BudgetTypes.h"

/// An in-memory table that checks the invariants of budgets and charges at
/// every commit. The checks parse the JSON themselves and share no code with
/// the rows under test.
class fake_table
{
public:
  std::vector<table_row> Read(const std::vector<std::string>& aKeys) const;
  std::vector<table_row> Scan(const table_scan& aScan) const;
  commit_reply Commit(const table_transaction& aTransaction);

  table_row Row(const std::string& aKey) const { return Read({ aKey })[0]; }
  /// Writes a row without conditions.
  void Put(const std::string& aKey, const std::string& aValue);
  bool HasCharge(const budget_id& aBudget, const request_id& aRequest) const;
  /// Returns the tokens charged for a request, -1 without a charge.
  std::int64_t Charged(const budget_id& aBudget,
                       const request_id& aRequest) const;

  const std::vector<std::string>& Violations() const { return mViolations; }
  std::uint64_t Commits() const { return mCommits; }
  std::uint64_t RowsWritten() const { return mRowsWritten; }

private:
  void CheckBudget(const std::string& aKey, const std::string& aValue);
  void CheckSegment(const std::string& aKey, const std::string& aValue);

  std::map<std::string, table_row> mRows;
  std::map<transaction_id, commit_reply> mReplies;
  std::map<std::string, std::unordered_map<request_id, std::int64_t>>
    mChargesByBudget;
  std::map<std::string, std::int64_t> mChargedByBudget;
  std::vector<std::string> mViolations;
  std::uint64_t mVersion = 0;
  std::uint64_t mCommits = 0;
  std::uint64_t mRowsWritten = 0;
};
