#include "Node/TableDriver.h"

#include <utility>

table_driver::table_driver(table_service& aTable,
                           const time_source& aTime,
                           std::function<void()> aWake)
  : mTable(aTable)
  , mTime(aTime)
  , mWake(std::move(aWake))
{
}

template<class System>
void table_driver::RunReads(const std::shared_ptr<System>& aSystem,
                            const config_requests& aRequests)
{
  for (const config_read& read : aRequests.mReads) {
    const auto number = read.mRequest;
    mTable.Read(read.mKeys,
                MakeReplyHandler<System, rows_reply>(
                  aSystem, [number](System& aTo, auto& aReply, auto aNow) {
                    aTo.OnRead(number, aReply, aNow);
                  }));
  }
  for (const config_scan& scan : aRequests.mScans) {
    const auto number = scan.mRequest;
    mTable.Scan(scan.mScan,
                MakeReplyHandler<System, rows_reply>(
                  aSystem, [number](System& aTo, auto& aReply, auto aNow) {
                    aTo.OnScan(number, aReply, aNow);
                  }));
  }
}

void table_driver::Run(const std::shared_ptr<config_follower>& aSystem,
                       const config_requests& aRequests)
{
  RunReads(aSystem, aRequests);
}

void table_driver::Run(const std::shared_ptr<config_editor>& aSystem,
                       config_editor_requests aRequests)
{
  RunReads(aSystem, aRequests.mRows);
  if (!aRequests.mCommit) {
    return;
  }
  const transaction_id id = aRequests.mCommit->mId;
  mTable.Commit(
    std::move(*aRequests.mCommit),
    MakeReplyHandler<config_editor, result<commit_reply, table_error>>(
      aSystem, [id](config_editor& aTo, auto& aReply, auto aNow) {
        aTo.OnCommit(id, aReply, aNow);
      }));
}

void table_driver::Run(const std::shared_ptr<service_call_system>& aSystem,
                       service_call_output& aWork)
{
  for (call_read& read : aWork.mReads) {
    const call_request_number number = read.mRequest;
    auto handle =
      [number](service_call_system& aTo, const rows_reply& aReply, time_point) {
        if (aReply.has_error()) {
          aTo.OnRead(number, aReply.error());
        } else if (aReply.value().empty()) {
          aTo.OnRead(number, table_error::Malformed);
        } else {
          aTo.OnRead(number, aReply.value().front());
        }
      };
    mTable.Read(
      { read.mKey },
      MakeReplyHandler<service_call_system, rows_reply>(aSystem, handle));
  }
  for (call_commit& commit : aWork.mCommits) {
    const call_request_number number = commit.mRequest;
    mTable.Commit(
      std::move(commit.mTransaction),
      MakeReplyHandler<service_call_system, result<commit_reply, table_error>>(
        aSystem, [number](service_call_system& aTo, auto& aReply, auto) {
          aTo.OnCommit(number, aReply);
        }));
  }
}

void table_driver::Run(const std::shared_ptr<call_sweep_system>& aSystem,
                       const call_sweep_output& aWork)
{
  if (aWork.mScan) {
    mTable.Scan(*aWork.mScan,
                MakeReplyHandler<call_sweep_system, rows_reply>(
                  aSystem, [](call_sweep_system& aTo, auto& aReply, auto) {
                    aTo.OnScan(aReply);
                  }));
  }
  if (aWork.mCommit) {
    mTable.Commit(
      *aWork.mCommit,
      MakeReplyHandler<call_sweep_system, result<commit_reply, table_error>>(
        aSystem, [](call_sweep_system& aTo, auto& aReply, auto) {
          aTo.OnCommit(aReply);
        }));
  }
}
