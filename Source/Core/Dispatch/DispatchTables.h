#pragma once

#include <array>
#include <cstdint>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Dispatch/DispatchSettings.h"
#include "Dispatch/DispatchStatus.h"
#include "Dispatch/DispatchTypes.h"
#include "Dispatch/FairQueue.h"
#include "Dispatch/PrefixIndex.h"
#include "Dispatch/QuarantineTable.h"
#include "Dispatch/RankCredit.h"
#include "Dispatch/RetryBudget.h"
#include "Dispatch/UpstreamTable.h"

/// The tables of the dispatch system and the steps that several of its parts
/// share.

enum class request_state : std::uint8_t
{
  /// In the fair queue of its lane.
  Queued,
  /// In the retry list of its lane.
  Retrying,
  Running,
};

/// A request that is not over.
struct request_entry
{
  dispatch_request mRequest;
  service_class mClass = service_class::Routine;
  std::uint32_t mAccount = 0;
  std::uint32_t mLane = 0;
  /// Estimated cost in output tokens.
  double mCost = 0.0;
  request_state mState = request_state::Queued;
  /// A start after this misses the first-token target.
  time_point mLatestStart;
  /// A retry does not start before this.
  time_point mNotBefore;
  /// What is known about earlier attempts.
  run_state mRun = run_state::NotRun;
  std::uint32_t mAttempts = 0;
  /// Upstreams of failed attempts.
  std::vector<std::uint32_t> mTried;
  std::uint32_t mUpstream = 0;
  time_point mStartedAt;
  /// Started with the room and the engine priority of the first rank.
  bool mAsFirst = false;
  bool mFirstToken = false;
  std::int64_t mOutputTokens = 0;
};

/// Waiting requests of one model.
struct model_lane
{
  model_id mModel;
  std::array<fair_queue, kServiceClasses> mQueues;
  rank_credit mCredit;
  /// Requests to be tried again, and suspects to be tried in isolation.
  std::vector<request_id> mRetries;
  upstream_subset mSubset;
};

struct dispatch_tables
{
  explicit dispatch_tables(const dispatch_settings& aSettings);

  /// Settings of a class.
  const rank_settings& ClassSettings(service_class aClass) const;
  class_counters& CountersOf(service_class aClass);
  request_entry* FindRequest(const request_id& aRequest);
  std::uint32_t LaneOf(const model_id& aModel);
  std::uint32_t AccountOf(const account_id& aAccount);
  /// Estimated cost of a request in output tokens.
  double CostOf(const dispatch_request& aRequest, service_class aClass) const;

  /// Records a rejection for the next output and forgets the request.
  void Reject(const request_id& aRequest,
              reject_reason aReason,
              run_state aRun);
  /// Rejects what never was in the table.
  void RejectNew(const dispatch_request& aRequest,
                 service_class aClass,
                 reject_reason aReason);
  /// Takes a request out of its queue, retry list or upstream.
  void Detach(request_entry& aEntry, time_point aNow);
  /// Ends a running attempt without completion.
  void CancelRunning(request_entry& aEntry,
                     cancel_reason aReason,
                     time_point aNow);
  /// Puts a request into the retry list of its lane.
  void Retry(request_entry& aEntry, time_point aNotBefore, time_point aNow);
  /// Sets the latest start for a target that counts from `aFrom`.
  void SetLatestStart(request_entry& aEntry, time_point aFrom);

  dispatch_settings mSettings;
  upstream_table mUpstreams;
  prefix_index mPrefixes;
  quarantine_table mQuarantine;
  retry_budget mRetryBudget;
  std::unordered_map<request_id, request_entry> mRequests;
  std::vector<model_lane> mLanes;
  std::unordered_map<model_id, std::uint32_t> mLaneNumbers;
  std::unordered_map<account_id, std::uint32_t> mAccountNumbers;
  std::array<std::uint32_t, kServiceClasses> mQueued{};
  std::array<std::uint32_t, kServiceClasses> mRunning{};
  /// The same by account number.
  std::vector<std::array<std::uint32_t, kServiceClasses>> mAccountRunning;
  /// Mean ratio of real to largest output, by class.
  std::array<double, kServiceClasses> mOutputRatio{};
  using latest_start = std::pair<time_point, request_id>;
  /// Latest starts, earliest first; entries of started requests are skipped.
  std::priority_queue<latest_start, std::vector<latest_start>, std::greater<>>
    mLatestStarts;
  /// Contents in flight on upstreams that crashed since the last tick.
  std::vector<content_id> mCrashed;
  /// Recorded by handlers, given out by the next tick.
  dispatch_output mOutput;
  dispatch_counters mCounters;
  std::mt19937_64 mRandom;
  std::uint64_t mTicks = 0;

private:
  std::chrono::milliseconds RetryAfter(reject_reason aReason);
};

/// Class of a request.
service_class ClassOf(const dispatch_request& aRequest);
