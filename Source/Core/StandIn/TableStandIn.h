#pragma once

#include <cstdint>

#include "Common/Time.h"
#include "Remote/MemoryTable.h"
#include "Remote/TableService.h"
#include "StandIn/StandInServer.h"

struct table_stand_in_options
{
  /// Rows read in one call count as one read; zero means no limit.
  double mReadsPerSecond = 0;
  double mWritesPerSecond = 0;
};

/// Calls since the start.
struct table_counters
{
  std::uint64_t mReads = 0;
  std::uint64_t mCommits = 0;
  std::uint64_t mConflicts = 0;
  std::uint64_t mRateLimited = 0;
  auto operator<=>(const table_counters&) const = default;
};

/// Table service with faults and rate limits, over HTTP (protocol in
/// `Platform/TableJson.h`) and, through `memory_table_service`, in process.
class table_stand_in
{
public:
  explicit table_stand_in(table_stand_in_options aOptions = {});

  stand_in_server& Server() { return mServer; }
  memory_table& Table() { return mTable; }
  const table_counters& Counters() const { return mCounters; }
  stand_in_faults& Faults() { return mServer.Faults(); }

  /// The calls after the faults, before the rate limits.
  result<std::vector<table_row>, table_error> Read(
    const std::vector<std::string>& aKeys);
  result<std::vector<table_row>, table_error> Scan(const table_scan& aScan);
  result<commit_reply, table_error> Commit(
    const table_transaction& aTransaction);

private:
  bool TakeRead();

  stand_in_reply HandleRead(http_server_exchange& aExchange);
  stand_in_reply HandleScan(http_server_exchange& aExchange);
  stand_in_reply HandleCommit(http_server_exchange& aExchange);

  system_time_source mTime;
  rate_limiter mReads;
  rate_limiter mWrites;
  memory_table mTable;
  table_counters mCounters;
  stand_in_server mServer;
};

/// The stand-in as a table service without HTTP, with the same faults.
class memory_table_service final : public table_service
{
public:
  explicit memory_table_service(table_stand_in& aTable);

  void Read(std::vector<std::string> aKeys, rows_callback aReply) override;
  void Scan(table_scan aScan, rows_callback aReply) override;
  void Commit(table_transaction aTransaction, commit_callback aReply) override;

private:
  table_stand_in& mTable;
  deferred_calls mDeferred;
};
