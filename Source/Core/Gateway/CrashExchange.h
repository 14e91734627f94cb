#pragma once

#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "Gateway/CrashHistory.h"
#include "Gateway/GatewayMetrics.h"
#include "Remote/RowStore.h"

/// Adds crash reports of this node and of others to the crash history, and
/// writes those of this node to the store until it has them. Their rows are
/// removed once the history has dropped them.
class crash_exchange
{
public:
  /// Rows of the fleet table with this key prefix hold crash reports.
  static constexpr std::string_view kRowPrefix = "crash/";

  /// `aRun` identifies this run of the process.
  crash_exchange(crash_history& aHistory,
                 gateway_metrics& aMetrics,
                 row_store& aStore,
                 const time_source& aTime,
                 std::string aRun);
  ~crash_exchange();
  crash_exchange(const crash_exchange&) = delete;
  crash_exchange& operator=(const crash_exchange&) = delete;

  /// A server run seemed to end while it ran a request of this node.
  void Report(const content_id& aRequest, const server_run& aServer);
  /// Applies a row of another node.
  void ApplyRow(std::string_view aKey);
  /// Expires the history and writes the changes of this node's rows.
  void OnMaintenanceTick(time_point aNow);

private:
  /// Adds a report to the history; returns whether it is new.
  bool Add(const char* aSource, const crash_report& aReport, time_point aNow);
  void WriteRows(time_point aNow);

  crash_history& mHistory;
  gateway_metrics& mMetrics;
  row_store& mStore;
  const time_source& mTime;
  std::string mRun;
  /// Keys of rows that are still to be written and removed.
  std::set<std::string> mWrites;
  std::set<std::string> mRemovals;
  /// Keys of the rows that this run has written.
  std::set<std::string> mWritten;
  bool mCommitting = false;
  time_point mNextCommitAt;
  /// Set to false by the destructor; replies that arrive later are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};
