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
  /// Time between two pages.
  std::chrono::milliseconds mPeriod{ 10000 };
  /// Rows per page.
  std::uint32_t mPage = 100;
  /// How long a row without an answer to keep still guards its key, counted
  /// from its deadline. A later attempt under the key would run again.
  std::chrono::hours mGuard{ 30 * 24 };
};

struct call_sweep_counters
{
  std::uint64_t mPages = 0;
  /// Rows whose stored answer was dropped.
  std::uint64_t mStripped = 0;
  std::uint64_t mDeleted = 0;
  std::uint64_t mFailures = 0;
};

struct call_sweep_work
{
  std::optional<table_scan> mScan;
  std::optional<table_transaction> mCommit;
};

/// Drops stored answers that expired, and rows that no retry needs any more.
/// One node of the fleet is enough; two at once do no harm. Pure.
class call_sweep_system
{
public:
  call_sweep_system(holder_id aSelf, call_sweep_settings aSettings);

  /// The next request, if one is due. At most one is out at a time.
  call_sweep_work Tick(time_point aNow, wall_time aWallNow);
  void OnScan(const result<std::vector<table_row>, table_error>& aReply);
  void OnCommit(const result<commit_reply, table_error>& aReply);
  const call_sweep_counters& Counters() const { return mCounters; }

private:
  std::optional<table_transaction> Clean(wall_time aWallNow);

  holder_id mSelf;
  call_sweep_settings mSettings;
  std::optional<time_point> mNextPage;
  bool mWaiting = false;
  std::uint64_t mTransactions = 0;
  /// Last key of the page before.
  std::string mAfter;
  std::vector<table_row> mRows;
  call_sweep_counters mCounters;
};
