#include "StandIn/TableStandIn.h"

#include <utility>

#include "Remote/TableJson.h"

namespace {

stand_in_reply BadRequest()
{
  return ErrorReply(400, "bad_request", "the body does not fit the protocol");
}

stand_in_reply RateLimited()
{
  return ErrorReply(429, "rate_limited", "over the rate of the service");
}

stand_in_reply RowsReply(
  const result<std::vector<table_row>, table_error>& aRows)
{
  if (!aRows.has_value()) {
    return RateLimited();
  }
  return { 200, WriteRowsReply(aRows.value()).value_or("{}") };
}

} // namespace

table_stand_in::table_stand_in(table_stand_in_options aOptions)
  : mReads(aOptions.mReadsPerSecond)
  , mWrites(aOptions.mWritesPerSecond)
{
  mServer.Serve(
    "/v1/read", call_effect::None, [this](http_server_exchange& aCall) {
      return HandleRead(aCall);
    });
  mServer.Serve(
    "/v1/scan", call_effect::None, [this](http_server_exchange& aCall) {
      return HandleScan(aCall);
    });
  mServer.Serve(
    "/v1/commit", call_effect::Changes, [this](http_server_exchange& aCall) {
      return HandleCommit(aCall);
    });
}

bool table_stand_in::TakeRead()
{
  if (!mReads.Take(mTime.Now())) {
    ++mCounters.mRateLimited;
    return false;
  }
  ++mCounters.mReads;
  return true;
}

result<std::vector<table_row>, table_error> table_stand_in::Read(
  const std::vector<std::string>& aKeys)
{
  if (!TakeRead()) {
    return table_error::RateLimited;
  }
  return mTable.Read(aKeys);
}

result<std::vector<table_row>, table_error> table_stand_in::Scan(
  const table_scan& aScan)
{
  if (!TakeRead()) {
    return table_error::RateLimited;
  }
  return mTable.Scan(aScan);
}

result<commit_reply, table_error> table_stand_in::Commit(
  const table_transaction& aTransaction)
{
  if (!mWrites.Take(mTime.Now())) {
    ++mCounters.mRateLimited;
    return table_error::RateLimited;
  }
  const commit_reply reply = mTable.Commit(aTransaction);
  ++mCounters.mCommits;
  mCounters.mConflicts += reply.mCommitted ? 0 : 1;
  return reply;
}

stand_in_reply table_stand_in::HandleRead(http_server_exchange& aExchange)
{
  const auto keys = ParseReadRequest(aExchange.Body());
  return keys ? RowsReply(Read(*keys)) : BadRequest();
}

stand_in_reply table_stand_in::HandleScan(http_server_exchange& aExchange)
{
  const auto scan = ParseScanRequest(aExchange.Body());
  return scan ? RowsReply(Scan(*scan)) : BadRequest();
}

stand_in_reply table_stand_in::HandleCommit(http_server_exchange& aExchange)
{
  const auto transaction = ParseCommitRequest(aExchange.Body());
  if (!transaction) {
    return BadRequest();
  }
  const auto reply = Commit(*transaction);
  if (!reply.has_value()) {
    return RateLimited();
  }
  return { 200, WriteCommitReply(reply.value()) };
}

memory_table_service::memory_table_service(table_stand_in& aTable)
  : mTable(aTable)
{
}

void memory_table_service::Read(std::vector<std::string> aKeys,
                                rows_callback aReply)
{
  mDeferred.After(mTable.Faults().mDelay,
                  [this, keys = std::move(aKeys), reply = std::move(aReply)] {
                    if (mTable.Faults().mDown) {
                      reply(table_error::Unavailable);
                    } else {
                      reply(mTable.Read(keys));
                    }
                  });
}

void memory_table_service::Scan(table_scan aScan, rows_callback aReply)
{
  mDeferred.After(mTable.Faults().mDelay,
                  [this, scan = std::move(aScan), reply = std::move(aReply)] {
                    if (mTable.Faults().mDown) {
                      reply(table_error::Unavailable);
                    } else {
                      reply(mTable.Scan(scan));
                    }
                  });
}

void memory_table_service::Commit(table_transaction aTransaction,
                                  commit_callback aReply)
{
  mDeferred.After(
    mTable.Faults().mDelay,
    [this, transaction = std::move(aTransaction), reply = std::move(aReply)] {
      if (mTable.Faults().mDown) {
        reply(table_error::Unavailable);
        return;
      }
      const auto outcome = mTable.Commit(transaction);
      if (outcome.has_value() && mTable.Faults().mLoseReplies > 0) {
        --mTable.Faults().mLoseReplies;
        reply(table_error::Timeout);
        return;
      }
      reply(outcome);
    });
}
