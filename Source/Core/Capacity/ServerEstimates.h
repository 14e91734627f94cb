#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Capacity/ServiceCurve.h"
#include "Common/Identity.h"
#include "Common/Time.h"

/// Speed and concurrency limit of each server run, from the observations of all
/// nodes.
///
/// A node alone sends a server too few requests to learn anything. Observations
/// are sums by server run and load level, which can be added and age
/// exponentially. Servers are named by a hash of their identity, the same on
/// all nodes.

/// Sums of observations at one load level of a server.
struct observation_sums
{
  double mFirstEvents = 0.0;
  /// Times to the first event that the prior of the service gives, in ms.
  double mExpectedMs = 0.0;
  double mObservedMs = 0.0;
  double mGaps = 0.0;
  /// Times between events, in ms.
  double mGapMs = 0.0;

  observation_sums& operator+=(const observation_sums& aOther);
  observation_sums& operator*=(double aFactor);
  auto operator<=>(const observation_sums&) const = default;
};

struct capacity_observation
{
  std::uint32_t mServer = 0;
  std::uint64_t mIncarnation = 0;
  std::size_t mLevel = 0;
  observation_sums mSums;
  auto operator<=>(const capacity_observation&) const = default;
};

/// Observations of one node since its last notice; fits one datagram.
struct capacity_notice
{
  std::vector<capacity_observation> mObservations;
  bool operator==(const capacity_notice&) const = default;
};

/// Expected behavior of a server at a given load.
struct server_estimate
{
  /// Time to the first event at the load, as a multiple of the prior's.
  double mSlowness = 1.0;
  /// Expected time between events at the load, in ms; 0 if unknown.
  double mGapMs = 0.0;
  /// The same at a low load.
  double mIdleGapMs = 0.0;
  /// Requests of all nodes that the server handles well together, at least 1.
  double mLimit = 1.0;
  /// Streams miss their objective even at an idle server. It gets single
  /// requests, to notice when it recovers.
  bool mProbeOnly = false;
  auto operator<=>(const server_estimate&) const = default;
};

/// A change of a server's estimates that is worth a log line.
struct estimate_change
{
  std::uint32_t mServer = 0;
  std::uint64_t mIncarnation = 0;
  /// Time to the first event as a multiple of the prior's.
  double mSlowness = 1.0;
  /// Time between events while idle, in ms.
  double mIdleGapMs = 0.0;
  double mLimit = 0.0;
  auto operator<=>(const estimate_change&) const = default;
};

class server_estimates
{
public:
  /// Largest number of observations in one notice: with packed Cap'n Proto, 45
  /// bytes each at most, it stays below 1,400 bytes.
  static constexpr std::size_t kMaxNoticeObservations = 28;

  /// A server run exists. A run with another incarnation begins with the prior.
  void SetServer(std::uint32_t aServer,
                 std::uint64_t aIncarnation,
                 const service_id& aService,
                 std::uint32_t aSlots);
  void Remove(std::uint32_t aServer);

  /// Records an observation of this node at a number of requests of all nodes.
  /// Times are in ms; those that are not positive or longer than a minute are
  /// ignored.
  void OnFirstEvent(std::uint32_t aServer,
                    std::uint64_t aIncarnation,
                    std::int64_t aRequests,
                    double aExpectedMs,
                    double aObservedMs);
  void OnEventGap(std::uint32_t aServer,
                  std::uint64_t aIncarnation,
                  std::int64_t aRequests,
                  double aGapMs);
  /// Streams of the service have this objective for the time between events.
  /// The strictest one counts.
  void OnGapObjective(const service_id& aService,
                      std::chrono::milliseconds aObjective);

  /// Returns this node's observations since the last call; nothing for the
  /// servers with the fewest if there are too many for one datagram, which
  /// follow in the next notice.
  capacity_notice TakeObservations();
  /// Adds the observations of another node. Implausible ones, and those of
  /// other server runs, are ignored. Returns the number ignored.
  std::size_t OnObservations(const capacity_notice& aNotice);
  /// Ages the observations and adapts the estimates; to be called every few
  /// hundred ms.
  void Update(time_point aNow);

  /// Whether the servers of the service differ from each other or slow down
  /// more than the prior says, so that the estimates are to be used.
  bool InForce(const service_id& aService, time_point aNow) const;
  /// Estimate at a number of requests; the prior if little is known. Nothing
  /// for unknown servers.
  std::optional<server_estimate> Estimate(std::uint32_t aServer,
                                          std::int64_t aRequests) const;
  /// Changes since the last call, at most one per server and second.
  std::vector<estimate_change> TakeChanges(time_point aNow);
  std::size_t Size() const { return mServers.size(); }
  /// Number of servers with enough observations.
  std::size_t EstimatedCount() const;

private:
  using level_sums = std::array<observation_sums, kLoadLevels>;
  struct server_state
  {
    std::uint64_t mIncarnation = 0;
    service_id mService;
    double mSlots = 1.0;
    /// Observations of all nodes, aged.
    level_sums mLevels;
    /// Own observations that no notice has carried yet.
    level_sums mUnsent;
    service_curve mGapCurve;
    /// Time between events at a load well below the limit, when it was last
    /// seen, in ms; 0 if unknown.
    double mBaseGapMs = 0.0;
    /// Aged numbers of observations behind the estimates.
    double mGaps = 0.0;
    double mFirstEvents = 0.0;
    /// Time to the first event below the knee, as a multiple of the prior's.
    double mSlowness = 1.0;
    /// The same relative to the median of the service, from the times between
    /// events.
    double mRelativeGap = 1.0;
    double mLimit = 1.0;
    /// Streams missed their objective at the last update even at a low load.
    bool mTooSlow = false;
    estimate_change mReported;
    time_point mNextReportAt;
  };
  struct service_state
  {
    double mMedianGapMs = 0.0;
    double mMedianSlowness = 1.0;
    double mMedianLimit = 1.0;
    /// Until when the estimates are used.
    time_point mInForceUntil;
  };

  server_state* Find(std::uint32_t aServer, std::uint64_t aIncarnation);
  void UpdateCurve(server_state& aServer) const;
  static void UpdateBase(server_state& aServer,
                         const std::vector<curve_point>& aPoints);
  static void UpdateSlowness(server_state& aServer);
  void UpdateLimit(server_state& aServer) const;
  /// Longest mean time between events at which streams are in time, in ms; 0 if
  /// there is no objective.
  double MaxGapMs(const service_id& aService) const;
  void UpdateServices(time_point aNow);

  std::map<std::uint32_t, server_state> mServers;
  std::map<service_id, service_state> mServices;
  std::map<service_id, double> mGapObjectivesMs;
  time_point mUpdatedAt;
};
