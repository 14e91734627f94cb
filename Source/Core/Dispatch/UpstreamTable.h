#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "Dispatch/ConcurrencyLimit.h"
#include "Dispatch/DispatchSettings.h"
#include "Dispatch/DispatchStatus.h"
#include "Dispatch/DispatchTypes.h"
#include "Dispatch/PrefixIndex.h"

/// State of one upstream at this node.
struct upstream_state
{
  listed_upstream mEntry;
  /// It is in the current host list.
  bool mListed = false;
  /// Models that it reported as loaded; those of the host list until it reports
  /// some.
  std::vector<model_id> mModels;
  /// Concurrency limits for requests of the highest engine priority and for all
  /// others. Engines schedule by priority, so a long wait of a low-priority
  /// request does not mean that high-priority ones wait.
  concurrency_limit mLimit;
  concurrency_limit mLowerLimit;
  /// Requests of this node that run there.
  std::vector<request_id> mRunning;
  /// Number of requests in `mRunning` that have the engine's highest priority.
  std::uint32_t mOwnTopPriority = 0;
  /// This node's in-flight count over the last seconds, to compare with delayed
  /// load reports.
  std::deque<std::pair<time_point, std::uint32_t>> mHistory;
  /// Requests of other nodes, according to the last load report.
  double mOthers = 0.0;
  /// This node's in-flight count when the last load report was taken.
  double mOwnAtReport = 0.0;
  /// Random offset in [0, 1) that is added to this node's share of the free
  /// capacity before rounding down. It is kept for a while. Without it, nodes
  /// that see the same free capacity would all take it or none would.
  double mRoundingOffset = 0.5;
  time_point mRoundingOffsetSetAt;
  /// Fixed offset in [0, 1) for rounding the guaranteed part of the upstream's
  /// capacity.
  double mGuaranteedRoundingOffset = 0.5;
  time_point mReportedAt;
  /// Number of consecutive failed attempts.
  std::uint32_t mFailures = 0;
  bool mEjected = false;
  time_point mEjectedUntil;
  std::uint64_t mNameHash = 0;

  double OwnInFlight() const { return static_cast<double>(mRunning.size()); }
  double InUse() const { return OwnInFlight() + mOthers; }
};

/// Criteria for the choice of an upstream.
struct upstream_query
{
  const dispatch_request* mRequest = nullptr;
  /// Share of the concurrency limit that the request may use.
  double mShare = 1.0;
  /// The request has the engine's highest priority.
  bool mTopPriority = false;
  /// Numbers of the upstreams that must not be chosen.
  const std::vector<std::uint32_t>* mExcluded = nullptr;
  /// Upstreams with this value in `Marks()` are not chosen; 0 for none.
  std::uint64_t mExcludedMark = 0;
};

/// Numbers of the upstreams that this node uses for a model.
struct upstream_subset
{
  std::vector<std::uint32_t> mUpstreams;
  /// Table version from which the subset was computed.
  std::uint64_t mVersion = 0;
};

/// Table of upstreams and the choice among them. Every upstream is numbered
/// when it is first seen and keeps its number.
class upstream_table
{
public:
  explicit upstream_table(const dispatch_settings& aSettings);

  void ApplySettings(const dispatch_settings& aSettings);
  void SetUpstreams(const std::vector<listed_upstream>& aUpstreams);
  void OnLeaving(const upstream_id& aUpstream);
  void OnReport(const upstream_id& aUpstream,
                const load_report& aReport,
                time_point aNow);

  std::optional<std::uint32_t> Find(const upstream_id& aUpstream) const;
  upstream_state& At(std::uint32_t aUpstream) { return mStates[aUpstream]; }
  const upstream_state& At(std::uint32_t aUpstream) const
  {
    return mStates[aUpstream];
  }
  std::uint32_t Size() const
  {
    return static_cast<std::uint32_t>(mStates.size());
  }

  /// `aTopPriority`: the attempt has the engine's highest priority.
  void AddRunning(std::uint32_t aUpstream,
                  const request_id& aRequest,
                  bool aTopPriority,
                  time_point aNow);
  void RemoveRunning(std::uint32_t aUpstream,
                     const request_id& aRequest,
                     bool aTopPriority,
                     time_point aNow);

  /// Ejects an upstream after a failed attempt: it is not used for a period.
  void Eject(std::uint32_t aUpstream, time_point aNow);
  void OnSuccess(std::uint32_t aUpstream) { mStates[aUpstream].mFailures = 0; }
  /// Returns upstreams whose ejection period has ended to the subsets.
  void EndEjections(time_point aNow);

  /// Whether any listed upstream serves the model, including ejected ones.
  bool Serves(const model_id& aModel) const;

  /// Recomputes the subset of a model if the table has changed.
  void RefreshSubset(upstream_subset& aSubset, const model_id& aModel) const;

  /// The upstream with capacity and the best score, or nothing when none has
  /// capacity.
  std::optional<std::uint32_t> Choose(const upstream_subset& aSubset,
                                      const upstream_query& aQuery,
                                      const prefix_index& aPrefixes) const;

  /// The upstream on which a suspect is retried in isolation. Nodes with the
  /// same subset choose the same one.
  std::optional<std::uint32_t> ChooseForIsolation(
    const upstream_subset& aSubset,
    const content_id& aContent,
    const std::vector<std::uint32_t>& aExcluded) const;

  /// Mark values by upstream number, see `upstream_query::mExcludedMark`.
  std::vector<std::uint64_t>& Marks() { return mMarks; }

  std::vector<upstream_status> Status() const;

private:
  std::uint32_t Intern(const upstream_id& aUpstream);
  bool IsUsable(const upstream_state& aState, const model_id& aModel) const;
  bool HasCapacity(const upstream_state& aState,
                   const upstream_query& aQuery) const;
  double Score(std::uint32_t aUpstream,
               const dispatch_request& aRequest,
               const prefix_index& aPrefixes) const;
  double DistancePenalty(const upstream_state& aState) const;
  void RecordHistory(upstream_state& aState, time_point aNow);

  dispatch_settings mSettings;
  std::vector<upstream_state> mStates;
  std::unordered_map<upstream_id, std::uint32_t> mUpstreamNumbers;
  std::vector<std::uint64_t> mMarks;
  /// Cached results of `Serves`, valid for the table version in the first
  /// member.
  mutable std::pair<std::uint64_t, std::unordered_map<model_id, bool>>
    mServesCache;
  /// Numbers of the ejected upstreams.
  std::vector<std::uint32_t> mEjected;
  std::uint64_t mVersion = 1;
  std::mt19937_64 mRandom;
};
