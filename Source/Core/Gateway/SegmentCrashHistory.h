#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Gateway/ServerLiveness.h"

/// A server run seemed to end while it ran a request with the segment in its
/// prompt.
struct segment_crash
{
  segment_id mSegment;
  server_run mServer;
  /// When the connection broke; for a server that fell silent, its last byte.
  time_point mObservedAt;
  auto operator<=>(const segment_crash&) const = default;
};

/// How a request is treated because of the segments of its prompt.
enum class segment_verdict : std::uint8_t
{
  Send,
  /// A segment may crash servers. One request with it is sent at a time.
  SendAlone,
  /// A segment is refused, but one request with it is sent to see whether it
  /// still crashes servers.
  SendTrial,
  /// A segment crashes servers.
  Refuse,
};

struct segment_judgement
{
  segment_verdict mVerdict = segment_verdict::Send;
  /// Segments that must not be in progress elsewhere, unless the request is
  /// refused.
  std::vector<segment_id> mSuspects;
  auto operator<=>(const segment_judgement&) const = default;
};

/// Prompt segments that are suspected of crashing servers, as this node and its
/// peers observed. Other requests share such a segment, so each request that
/// contains it ends a further server.
///
/// A server that ends breaks all its requests, most of which are sound. Two
/// rules tell their segments apart: a complete response to any request with a
/// segment refutes all earlier crashes of that segment, and a segment does not
/// count against a request if another one, which the request lacks, accounts
/// for its crashes. When all servers end at once these rules fail, so one node,
/// which all choose alike, sends a refused segment again after a while, and
/// later and later if that crashes a server.
class segment_crash_history
{
public:
  explicit segment_crash_history(const server_liveness& aLiveness)
    : mLiveness(aLiveness)
  {
  }

  /// Sets the addresses of this node and of its live peers. Without them there
  /// are no trials.
  void SetNodes(std::string aSelf, std::vector<std::string> aPeers);

  /// Returns false if the crash is known, refuted or expired, or if the table
  /// is full.
  bool Add(const segment_crash& aCrash, time_point aNow);
  /// A server answered a request with the segment completely, or for longer
  /// than it takes to crash. Returns whether the segment had crashes.
  bool OnServed(const segment_id& aSegment, time_point aServedAt);
  /// Time of the last complete response if it refutes a crash that was observed
  /// at the given time.
  std::optional<time_point> RefutedAt(const segment_id& aSegment,
                                      time_point aObservedAt) const;

  /// Number of times at which servers ended under the segment. Ends at the same
  /// moment count once, because they have one cause, such as a lost rack.
  std::size_t CrashCount(const segment_id& aSegment, time_point aNow) const;
  /// `aSegments` are the shared segments of a request's prompt.
  segment_judgement Judge(std::span<const segment_id> aSegments,
                          time_point aNow) const;
  /// A request with these segments is sent as a trial.
  void OnTrial(std::span<const segment_id> aSegments, time_point aNow);

  /// Crashes of the segment that are not refuted.
  std::vector<segment_crash> Crashes(const segment_id& aSegment) const;
  /// Crashes of segments with several of them, at most `aMaxCount`, those of
  /// segments with the most first.
  std::vector<segment_crash> RepeatedCrashes(std::size_t aMaxCount) const;

  /// Drops what expired or was refuted, and returns the segments that have no
  /// crashes any more.
  std::vector<segment_id> Expire(time_point aNow);

private:
  /// Server run to the first observation of its end.
  using server_runs = std::map<server_run, time_point>;

  bool IsValid(const segment_id& aSegment,
               const server_run& aServer,
               time_point aObservedAt) const;
  /// Number of moments at which servers ended under the segment, apart from
  /// ends that `aOther` accounts for.
  std::size_t CountMoments(const segment_id& aSegment,
                           const server_runs& aRuns,
                           const segment_id* aOther = nullptr) const;
  /// Whether a segment that is not in the request accounts for the crashes.
  bool IsExplained(const segment_id& aSegment,
                   const server_runs& aRuns,
                   std::span<const segment_id> aRequest) const;
  /// Whether the run ended under the segment, as far as is known.
  bool EndedUnder(const segment_id& aSegment, const server_run& aRun) const;
  bool IsTrialDue(const segment_id& aSegment,
                  const server_runs& aRuns,
                  time_point aNow) const;
  static bool IsExpired(const server_runs& aRuns, time_point aNow);
  void RemoveFromServer(const segment_id& aSegment, const server_run& aServer);
  void DropSingleCrashes();

  const server_liveness& mLiveness;
  std::unordered_map<segment_id, server_runs> mCrashes;
  /// Segments with a crash, by server run.
  std::map<server_run, std::set<segment_id>> mSegmentsByServer;
  std::unordered_map<segment_id, time_point> mServed;
  struct trials
  {
    time_point mLastAt;
    unsigned mCount = 0;
  };
  /// Trials of this node, by refused segment.
  std::unordered_map<segment_id, trials> mTrials;
  std::string mSelf;
  std::vector<std::string> mPeers;
};
