#pragma once

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Gateway/CrashHistory.h"
#include "Gateway/GatewayMetrics.h"
#include "Remote/RowStore.h"

/// Adds crash reports of this node and of others to the crash history and
/// shares them: as notices between nodes, which need no store, and as rows, for
/// nodes that start later or are cut off from the others. Rows are removed once
/// the history has dropped their reports.
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
  void Report(const crash_report& aReport);
  /// A server answered the request completely.
  void OnServed(const content_id& aRequest);

  /// Returns notices of what became known here since the last call. They are
  /// sent to all nodes at once.
  std::vector<crash_notice> TakeNews(time_point aNow);
  /// Notices for a round of reports: recent news, and once a second the
  /// requests with several crashes.
  std::vector<crash_notice> ComposeNotices(time_point aNow);
  void OnNotice(const crash_notice& aNotice, time_point aNow);

  /// Applies a row of another node.
  void ApplyRow(std::string_view aKey);
  /// Expires the history and writes the changes of this node's rows.
  void OnMaintenanceTick(time_point aNow);

private:
  /// Adds a report to the history; returns whether it is new.
  bool Add(const char* aSource, const crash_report& aReport, time_point aNow);
  void QueueRow(const crash_report& aReport);
  void WriteRows(time_point aNow);

  crash_history& mHistory;
  gateway_metrics& mMetrics;
  row_store& mStore;
  const time_source& mTime;
  std::string mRun;
  /// News that was not sent yet, and news of the last second with the time at
  /// which it was sent first.
  std::vector<crash_report> mNewReports;
  std::vector<served_report> mNewServed;
  std::vector<std::pair<crash_report, time_point>> mRecentReports;
  std::vector<served_report> mRecentServed;
  time_point mNextRepeatAt;
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
