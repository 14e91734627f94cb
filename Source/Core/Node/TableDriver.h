#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "Budget/BudgetTypes.h"
#include "Common/Time.h"
#include "Config/ConfigEditor.h"
#include "Config/ConfigFollower.h"
#include "Remote/TableService.h"
#include "Services/CallSweepSystem.h"
#include "Services/ServiceCallSystem.h"

/// Sends table requests for the systems that do no I/O themselves and passes
/// the replies back to them. A system that was destroyed in the meantime gets
/// no reply.
class table_driver
{
public:
  /// @param aWake called after every reply, to schedule a tick
  table_driver(table_service& aTable,
               const time_source& aTime,
               std::function<void()> aWake);

  /// Sends the requests of a budget system or a charge backup.
  template<class System>
  void Run(const std::shared_ptr<System>& aSystem, budget_output& aOutput);
  void Run(const std::shared_ptr<config_follower>& aSystem,
           const config_requests& aRequests);
  void Run(const std::shared_ptr<config_editor>& aSystem,
           config_editor_requests aRequests);
  void Run(const std::shared_ptr<service_call_system>& aSystem,
           service_call_output& aWork);
  void Run(const std::shared_ptr<call_sweep_system>& aSystem,
           const call_sweep_output& aWork);

private:
  using rows_reply = result<std::vector<table_row>, table_error>;

  template<class System>
  void RunReads(const std::shared_ptr<System>& aSystem,
                const config_requests& aRequests);
  /// Wraps a reply handler: calls it with the system and the current time if
  /// the system still exists, then schedules a tick.
  template<class System, class Reply, class Handler>
  std::function<void(Reply)> MakeReplyHandler(
    const std::shared_ptr<System>& aSystem,
    Handler aHandler);

  table_service& mTable;
  const time_source& mTime;
  std::function<void()> mWake;
};

template<class System, class Reply, class Handler>
std::function<void(Reply)> table_driver::MakeReplyHandler(
  const std::shared_ptr<System>& aSystem,
  Handler aHandler)
{
  return [this, weak = std::weak_ptr<System>(aSystem), aHandler](
           const Reply& aReply) {
    if (const auto system = weak.lock()) {
      aHandler(*system, aReply, mTime.Now());
      mWake();
    }
  };
}

template<class System>
void table_driver::Run(const std::shared_ptr<System>& aSystem,
                       budget_output& aOutput)
{
  for (budget_read& read : aOutput.mReads) {
    mTable.Read(
      std::move(read.mKeys),
      MakeReplyHandler<System, rows_reply>(
        aSystem, [id = read.mId](System& aTo, auto& aReply, auto aNow) {
          aTo.OnRead(id, aReply, aNow);
        }));
  }
  for (budget_scan& scan : aOutput.mScans) {
    mTable.Scan(
      std::move(scan.mScan),
      MakeReplyHandler<System, rows_reply>(
        aSystem, [id = scan.mId](System& aTo, auto& aReply, auto aNow) {
          aTo.OnRead(id, aReply, aNow);
        }));
  }
  for (table_transaction& commit : aOutput.mCommits) {
    const transaction_id id = commit.mId;
    mTable.Commit(std::move(commit),
                  MakeReplyHandler<System, result<commit_reply, table_error>>(
                    aSystem, [id](System& aTo, auto& aReply, auto aNow) {
                      aTo.OnCommit(id, aReply, aNow);
                    }));
  }
}
