#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Gateway/CrashHistory.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/SegmentCrashHistory.h"
#include "Remote/RowStore.h"

/// Adds crashes that this node and others observed to the crash histories and
/// shares them: as notices between nodes, which need no store, and as rows, for
/// nodes that start later or are cut off from the others. Rows are removed once
/// the histories have dropped their crashes.
class crash_exchange
{
public:
  /// Rows of the fleet table with this key prefix hold crash reports of
  /// requests.
  static constexpr std::string_view kRowPrefix = "crash/";
  /// Rows with this key prefix hold the crashes of a prompt segment.
  static constexpr std::string_view kSegmentRowPrefix = "crash-segment/";

  /// `aRun` identifies this run of the process.
  crash_exchange(crash_history& aHistory,
                 segment_crash_history& aSegments,
                 gateway_metrics& aMetrics,
                 row_store& aStore,
                 const time_source& aTime,
                 std::string aRun);
  ~crash_exchange();
  crash_exchange(const crash_exchange&) = delete;
  crash_exchange& operator=(const crash_exchange&) = delete;

  /// A server run seemed to end while it ran a request of this node. The loss
  /// of the host's own links looks the same, so other nodes learn of it only
  /// when `ReviewSuspected` confirms it.
  void Suspect(const observed_crash& aCrash);
  /// Confirms the crashes since which some server has sent a byte, and after a
  /// second the others. Withdraws those of server runs that `aRunsOn` knows to
  /// go on, and what is not confirmed if the host is cut off from all servers.
  void ReviewSuspected(time_point aLastByteAt,
                       bool aCutOff,
                       const std::function<bool(const server_run&)>& aRunsOn);
  /// Adds a crash and shares it with other nodes.
  void Report(const observed_crash& aCrash);
  /// Bytes arrived from a server run in response to a request that was sent at
  /// `aSentAt`, so the run has not ended since. A connection that broke
  /// meanwhile does not count against the segments of its prompt.
  void OnByte(const server_run& aServer, time_point aSentAt);
  /// A server answered the request completely.
  void OnServed(const request_fingerprint& aRequest);
  /// A server answers a request with these prompt segments without harm.
  void OnAnswering(const std::vector<segment_id>& aSegments);

  /// Returns notices of what became known here since the last call. They are
  /// sent to all nodes at once.
  std::vector<crash_notice> TakeNews(time_point aNow);
  /// Notices for a round of reports: recent news, and once a second the
  /// requests with several crashes.
  std::vector<crash_notice> ComposeNotices(time_point aNow);
  void OnNotice(const crash_notice& aNotice, time_point aNow);

  /// Applies a row of this or another node.
  void ApplyRow(std::string_view aKey, std::string_view aValue);
  /// Expires the histories and writes the changes of this node's rows.
  void OnMaintenanceTick(time_point aNow);

private:
  /// Adds a report to the history; returns whether it is new.
  bool Add(const char* aSource, const crash_report& aReport, time_point aNow);
  bool Add(const char* aSource, const segment_crash& aCrash, time_point aNow);
  /// Sends a known crash of this node to the others.
  void Share(const observed_crash& aCrash);
  bool IsSuspected(const crash_report& aReport) const;
  void QueueRow(const crash_report& aReport);
  /// Adds the crashes that no sign of life has refuted in time.
  void AddPending(time_point aNow);
  /// Queues the row of a segment that is close to being refused.
  void QueueRow(const segment_id& aSegment, time_point aNow);
  /// Queues the removal of the row that a segment has while its crashes count.
  void QueueRowRemoval(const segment_id& aSegment, time_point aNow);
  void ApplySegmentRow(std::string_view aKey, std::string_view aValue);
  /// Removes rows whose crashes expired or were refuted, and writes rows again
  /// that the store lost.
  void ReviewRows(time_point aNow);
  /// Value of a row; nothing if its crashes are no longer known.
  std::optional<std::string> RowValue(const std::string& aKey) const;
  void WriteRows(time_point aNow);

  crash_history& mHistory;
  segment_crash_history& mSegments;
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
  /// Crashes that are not confirmed, with the time at which they are at the
  /// latest.
  std::vector<std::pair<observed_crash, time_point>> mSuspected;
  /// Crashes of prompt segments that a sign of life may still refute, with the
  /// time until which it may.
  std::vector<std::pair<segment_crash, time_point>> mPendingSegmentCrashes;
  /// News about prompt segments: not sent yet, and of the last second.
  std::vector<segment_crash> mNewSegmentCrashes;
  std::map<segment_id, time_point> mNewServedSegments;
  std::vector<std::pair<segment_crash, time_point>> mRecentSegmentCrashes;
  /// Segment to the time of the response and the time from which on it is not
  /// repeated.
  std::map<segment_id, std::pair<time_point, time_point>> mRecentServedSegments;
  time_point mNextRepeatAt;
  /// Keys of rows that are still to be written and removed.
  std::set<std::string> mWrites;
  std::set<std::string> mRemovals;
  /// Keys of the rows that this run has written.
  std::set<std::string> mWritten;
  /// Copy of the store that has the rows of `mWritten`.
  std::uint64_t mStoreEra = 0;
  bool mCommitting = false;
  time_point mNextCommitAt;
  /// Set to false by the destructor; replies that arrive later are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};
