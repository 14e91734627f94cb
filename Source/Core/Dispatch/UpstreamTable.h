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

/// One upstream as this node knows it.
struct upstream_state
{
  upstream_entry mEntry;
  /// In the last host list.
  bool mListed = false;
  /// Models that it says are loaded; without a report those of the list.
  std::vector<model_id> mModels;
  /// Limits for work of the first priority, and for the rest. Engines
  /// honour priorities, so a long wait of a low one says nothing about the
  /// first.
  concurrency_limit mLimit;
  concurrency_limit mLowerLimit;
  /// Running attempts of this node.
  std::vector<request_id> mRunning;
  /// Those of them that have the engine's first priority.
  std::uint32_t mOwnFirst = 0;
  /// Own in-flight count over the last seconds, to compare with late reports.
  std::deque<std::pair<time_point, std::uint32_t>> mHistory;
  /// Requests of other nodes at the last report.
  double mOthers = 0.0;
  /// Own in-flight count when the last report was taken.
  double mOwnAtReport = 0.0;
  /// Fraction in [0, 1) by which room is rounded for a while, so that
  /// nodes that see the same room do not all take it.
  double mRounding = 0.5;
  time_point mRoundedAt;
  /// The same for the part of the upstream that is assured to this node.
  double mAssuredRounding = 0.5;
  time_point mReportedAt;
  /// Failures in a row.
  std::uint32_t mFailures = 0;
  bool mEjected = false;
  time_point mEjectedUntil;
  std::uint64_t mNameHash = 0;

  double Own() const { return static_cast<double>(mRunning.size()); }
  double InUse() const { return Own() + mOthers; }
};

/// What the choice of an upstream depends on.
struct upstream_query
{
  const dispatch_request* mRequest = nullptr;
  /// Share of the limit that the request may fill.
  double mShare = 1.0;
  /// Has the engine's first priority.
  bool mFirst = false;
  /// Upstreams that must not be chosen.
  const std::vector<std::uint32_t>* mExcluded = nullptr;
  /// Not chosen when marked with this number in `Marks()`; 0 for none.
  std::uint64_t mMark = 0;
};

/// Upstreams of a model that this node uses.
struct upstream_subset
{
  std::vector<std::uint32_t> mUpstreams;
  /// Version of the table that the subset was taken from.
  std::uint64_t mVersion = 0;
};

/// Table of upstreams with the choice among them. Entries keep their number.
class upstream_table
{
public:
  explicit upstream_table(const dispatch_settings& aSettings);

  void ApplySettings(const dispatch_settings& aSettings);
  void SetUpstreams(const std::vector<upstream_entry>& aUpstreams);
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

  /// `aFirst`: the attempt has the engine's first priority.
  void AddRunning(std::uint32_t aUpstream,
                  const request_id& aRequest,
                  bool aFirst,
                  time_point aNow);
  void RemoveRunning(std::uint32_t aUpstream,
                     const request_id& aRequest,
                     bool aFirst,
                     time_point aNow);

  /// A failed attempt keeps the upstream out of use for a while.
  void Eject(std::uint32_t aUpstream, time_point aNow);
  void OnSuccess(std::uint32_t aUpstream) { mStates[aUpstream].mFailures = 0; }
  /// Takes upstreams whose ejection is over back into the subsets.
  void Readmit(time_point aNow);

  /// Whether any listed upstream serves the model, ejected or not.
  bool Serves(const model_id& aModel) const;

  /// Brings the subset of a model up to date.
  void Refresh(upstream_subset& aSubset, const model_id& aModel) const;

  /// Best upstream with room, nothing when there is none.
  std::optional<std::uint32_t> Choose(const upstream_subset& aSubset,
                                      const upstream_query& aQuery,
                                      const prefix_index& aPrefixes) const;

  /// The upstream on which a suspect is tried: the same on every node with the
  /// same view.
  std::optional<std::uint32_t> ChooseForTest(
    const upstream_subset& aSubset,
    const content_id& aContent,
    const std::vector<std::uint32_t>& aExcluded) const;

  /// Marks by upstream, for `upstream_query::mMark`.
  std::vector<std::uint64_t>& Marks() { return mMarks; }

  std::vector<upstream_status> Status() const;

private:
  std::uint32_t Intern(const upstream_id& aUpstream);
  bool Usable(const upstream_state& aState, const model_id& aModel) const;
  bool HasRoom(const upstream_state& aState,
               const upstream_query& aQuery) const;
  double Score(std::uint32_t aUpstream,
               const dispatch_request& aRequest,
               const prefix_index& aPrefixes) const;
  double Distance(const upstream_state& aState) const;
  void Record(upstream_state& aState, time_point aNow);

  dispatch_settings mSettings;
  std::vector<upstream_state> mStates;
  std::unordered_map<upstream_id, std::uint32_t> mNumbers;
  std::vector<std::uint64_t> mMarks;
  /// Answers of `Serves` at the version in the first member.
  mutable std::pair<std::uint64_t, std::unordered_map<model_id, bool>> mServes;
  /// Upstreams out of use.
  std::vector<std::uint32_t> mEjected;
  std::uint64_t mVersion = 1;
  std::mt19937_64 mRandom;
};
