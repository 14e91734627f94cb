#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Remote/TableService.h"

/// In-memory table service that keeps earlier states, so that reads can be
/// answered as by a lagging replica.
class fake_table
{
public:
  using row_map = std::map<std::string, table_row>;

  result<commit_reply, table_error> Commit(const table_transaction& aChange,
                                           time_point aNow)
  {
    const auto known = mOutcomes.find(aChange.mId);
    if (known != mOutcomes.end()) {
      return known->second;
    }
    for (const table_condition& condition : aChange.mConditions) {
      const auto row = mRows.find(condition.mKey);
      const auto version = row == mRows.end() ? 0 : row->second.mVersion;
      if (version != condition.mVersion) {
        return commit_reply{};
      }
    }
    ++mVersion;
    for (const table_write& write : aChange.mWrites) {
      if (write.mValue) {
        mRows[write.mKey] = { write.mKey, mVersion, *write.mValue };
      } else {
        mRows.erase(write.mKey);
      }
    }
    mHistory.push_back({ aNow, mRows });
    return mOutcomes[aChange.mId] = commit_reply{ true, mVersion };
  }

  /// State of the rows at a time.
  const row_map& At(time_point aTime) const
  {
    static const row_map sEmpty;
    // Replicas lag by little, so the search starts with the newest state.
    for (auto state = mHistory.rbegin(); state != mHistory.rend(); ++state) {
      if (state->mTime <= aTime) {
        return state->mRows;
      }
    }
    return sEmpty;
  }

  static table_row Row(const row_map& aRows, const std::string& aKey)
  {
    const auto row = aRows.find(aKey);
    return row == aRows.end() ? table_row{ aKey, 0, "" } : row->second;
  }

  static std::vector<table_row> Scan(const row_map& aRows,
                                     const table_scan& aScan)
  {
    std::vector<table_row> rows;
    auto row = aRows.upper_bound(std::max(aScan.mAfter, aScan.mPrefix));
    while (row != aRows.end() && rows.size() < aScan.mLimit &&
           row->first.starts_with(aScan.mPrefix)) {
      rows.push_back(row->second);
      ++row;
    }
    return rows;
  }

  row_map mRows;

private:
  struct snapshot
  {
    time_point mTime;
    row_map mRows;
  };

  std::uint64_t mVersion = 0;
  std::map<transaction_id, commit_reply> mOutcomes;
  std::vector<snapshot> mHistory;
};
