#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Gateway/ServerLiveness.h"

/// A server run seemed to end while it ran a request.
struct crash_report
{
  content_id mRequest;
  server_run mServer;
  /// When the connection broke; for a server that fell silent, its last byte or
  /// the time at which the request was sent.
  time_point mObservedAt;
  /// The server fell silent; no connection broke.
  bool mSilent = false;
  auto operator<=>(const crash_report&) const = default;
};

/// What identifies a request in the histories of crashes.
struct request_fingerprint
{
  /// Account, target and body.
  content_id mContent;
  /// Prompt segments that other requests may share.
  std::vector<segment_id> mSegments;
  auto operator<=>(const request_fingerprint&) const = default;
};

/// A server run seemed to end while it ran a request of this node.
struct observed_crash
{
  request_fingerprint mRequest;
  server_run mServer;
  /// See `crash_report`.
  time_point mObservedAt;
  /// Last byte of a server that fell silent; nothing if a connection broke.
  std::optional<time_point> mLastByte{};
  auto operator<=>(const observed_crash&) const = default;
};

/// A server answered a request completely.
struct served_report
{
  content_id mRequest;
  time_point mServedAt;
  auto operator<=>(const served_report&) const = default;
};

/// Reports for another node, with the time since each observation, because the
/// clocks of nodes differ.
struct crash_notice
{
  struct aged_report
  {
    content_id mRequest;
    server_run mServer;
    std::chrono::milliseconds mAge{ 0 };
    bool mSilent = false;
    auto operator<=>(const aged_report&) const = default;
  };
  struct aged_response
  {
    content_id mRequest;
    std::chrono::milliseconds mAge{ 0 };
    auto operator<=>(const aged_response&) const = default;
  };
  struct aged_segment_crash
  {
    segment_id mSegment;
    server_run mServer;
    std::chrono::milliseconds mAge{ 0 };
    auto operator<=>(const aged_segment_crash&) const = default;
  };
  struct aged_segment_response
  {
    segment_id mSegment;
    std::chrono::milliseconds mAge{ 0 };
    auto operator<=>(const aged_segment_response&) const = default;
  };
  std::vector<aged_report> mReports;
  /// Requests that were served although they have reports.
  std::vector<aged_response> mServed;
  std::vector<aged_segment_crash> mSegments;
  /// Prompt segments of requests that were served although they have crashes.
  std::vector<aged_segment_response> mServedSegments;
  bool operator==(const crash_notice&) const = default;
};

/// Requests that are suspected of crashing servers, as this node and its peers
/// observed. A request under which several server runs ended is no longer sent.
///
/// A broken connection does not prove that its server ended. Reports are
/// therefore refuted by later signs of the server run, and by a response to the
/// same request. Nor did a server end under a request that was sent to it
/// afterwards; see `CrashCount`.
class crash_history
{
public:
  /// Returns false if the report is known, refuted or expired, or if the table
  /// is full.
  bool Add(const crash_report& aReport, time_point aNow);
  /// Removes the report if it is the one that is known of the server run.
  void Withdraw(const crash_report& aReport);
  /// Whether the report is known and not refuted.
  bool Has(const crash_report& aReport) const;
  /// A server answered the request completely, so it does not crash servers.
  /// Refutes its earlier reports and those that follow shortly after. Returns
  /// whether it had any.
  bool OnServed(const content_id& aRequest, time_point aServedAt);
  /// The server wrote its entry, so its run was alive until shortly before.
  void OnServerEntry(const server_entry& aEntry, time_point aNow)
  {
    mLiveness.OnServerEntry(aEntry, aNow);
  }
  const server_liveness& Liveness() const { return mLiveness; }

  /// Number of server runs that ended under the request. Does not count silent
  /// runs for which another request with several crashes was reported clearly
  /// earlier, the same one for all of them: that request ended them. A
  /// connection that broke proves that its server had not ended before.
  std::size_t CrashCount(const content_id& aRequest, time_point aNow) const;
  bool Blocked(const content_id& aRequest, time_point aNow) const;
  /// Whether one more crash blocks the request. A node then sends one copy at a
  /// time, because the outcome of a copy may become known only seconds later.
  bool IsLastAttempt(const content_id& aRequest, time_point aNow) const;

  /// Reports of requests under which several server runs ended, at most
  /// `aMaxCount`, those of requests with the most first.
  std::vector<crash_report> RepeatedCrashes(std::size_t aMaxCount) const;

  /// Drops what expired or was refuted, and returns the dropped reports.
  std::vector<crash_report> Expire(time_point aNow);

private:
  struct observation
  {
    time_point mAt;
    bool mSilent = false;
  };
  /// Server run to the first observation.
  using server_runs = std::map<server_run, observation>;

  bool IsValid(const content_id& aRequest,
               const server_run& aServer,
               time_point aObservedAt) const;
  static time_point ExpiryOf(const server_runs& aRuns);
  std::size_t ReportCount(const content_id& aRequest) const;
  void RemoveFromServer(const content_id& aRequest, const server_run& aServer);
  void DropOldRecords(time_point aNow);

  std::unordered_map<content_id, server_runs> mRecords;
  /// Requests with a report, by server run.
  std::map<server_run, std::set<content_id>> mRequestsByServer;
  std::unordered_map<content_id, time_point> mServed;
  server_liveness mLiveness;
};
