#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Identity.h"
#include "Common/Result.h"
#include "Common/Time.h"
#include "Remote/TableService.h"

struct call_sweep_settings
{
  /// Interval between two pages.
  std::chrono::milliseconds mPageInterval{ 10000 };
  /// Maximum number of rows per page.
  std::uint32_t mPageSize = 100;
  /// How long a row without a stored answer is kept after its deadline. While
  /// the row exists, a later attempt under its key does not run the call again.
  std::chrono::hours mRowRetention{ 30 * 24 };
};

struct call_sweep_counters
{
  std::uint64_t mPages = 0;
  /// Rows whose stored answer was removed.
  std::uint64_t mAnswersRemoved = 0;
  std::uint64_t mDeleted = 0;
  std::uint64_t mFailures = 0;
};

struct call_sweep_output
{
  std::optional<table_scan> mScan;
  std::optional<table_transaction> mCommit;
};

/// Removes expired answers from the call rows, and deletes rows that no retry
/// needs any more. One node of the fleet is enough; several at once do no harm.
/// Does no I/O: replies and time are passed in, requests are returned by
/// `Tick`.
class call_sweep_system
{
public:
  call_sweep_system(incarnation_id aSelf, call_sweep_settings aSettings);

  /// The next request, if one is due. At most one request is in flight.
  call_sweep_output Tick(time_point aNow, wall_time aWallNow);
  void OnScan(const result<std::vector<table_row>, table_error>& aReply);
  void OnCommit(const result<commit_reply, table_error>& aReply);
  const call_sweep_counters& Counters() const { return mCounters; }

private:
  std::optional<table_transaction> BuildCleanupTransaction(wall_time aWallNow);

  incarnation_id mSelf;
  call_sweep_settings mSettings;
  std::optional<time_point> mNextPage;
  bool mRequestInFlight = false;
  std::uint64_t mTransactions = 0;
  /// Last key of the previous page; empty at the start of a round.
  std::string mLastKey;
  std::vector<table_row> mRows;
  call_sweep_counters mCounters;
};
