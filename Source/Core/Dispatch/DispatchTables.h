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

/// Tables of the dispatch system, and operations on them that several of its
/// files share.

enum class request_state : std::uint8_t
{
  /// In the fair queue of its lane.
  Queued,
  /// In the retry list of its lane, for a retry or for a retry in isolation.
  Retrying,
  Running,
};

/// A request that is waiting or running.
struct request_entry
{
  dispatch_request mRequest;
  service_class mClass = service_class::Routine;
  std::uint32_t mAccount = 0;
  std::uint32_t mLane = 0;
  /// Estimated cost in output tokens.
  double mCost = 0.0;
  request_state mState = request_state::Queued;
  /// Latest start of the next attempt that can still meet the first-token
  /// target.
  time_point mLatestStart;
  /// Earliest start of a retry.
  time_point mNotBefore;
  /// Whether an earlier attempt ran at an upstream.
  run_state mRun = run_state::NotRun;
  std::uint32_t mAttempts = 0;
  /// Numbers of the upstreams whose attempts failed. They are not chosen again.
  std::vector<std::uint32_t> mFailedUpstreams;
  std::uint32_t mUpstream = 0;
  time_point mStartedAt;
  /// The running attempt may use the concurrency limit of the first rank and
  /// has the engine's highest priority.
  bool mTopPriority = false;
  bool mFirstToken = false;
  std::int64_t mOutputTokens = 0;
};

/// Waiting requests of one model.
struct model_lane
{
  model_id mModel;
  std::array<fair_queue, kServiceClassCount> mQueues;
  rank_credit mCredit;
  /// Requests that wait for a retry, including suspects that wait for a retry
  /// in isolation.
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
  std::uint32_t FindOrAddLane(const model_id& aModel);
  std::uint32_t FindOrAddAccount(const account_id& aAccount);
  /// Estimated cost of a request in output tokens.
  double EstimateCost(const dispatch_request& aRequest,
                      service_class aClass) const;

  /// Adds a rejection to the next output and removes the request.
  void Reject(const request_id& aRequest,
              reject_reason aReason,
              run_state aRun);
  /// Rejects a request that has not been added to the table.
  void RejectOnArrival(const dispatch_request& aRequest,
                       service_class aClass,
                       reject_reason aReason);
  /// Removes a request from its queue, retry list or upstream; it stays in the
  /// table.
  void Detach(request_entry& aEntry, time_point aNow);
  /// Cancels a running attempt; the request stays in the table.
  void CancelRunning(request_entry& aEntry,
                     cancel_reason aReason,
                     time_point aNow);
  /// Puts a request into the retry list of its lane.
  void Retry(request_entry& aEntry, time_point aNotBefore, time_point aNow);
  /// Sets the latest start for a first-token target that counts from `aFrom`.
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
  std::array<std::uint32_t, kServiceClassCount> mQueued{};
  std::array<std::uint32_t, kServiceClassCount> mRunning{};
  /// Running requests by account number and class.
  std::vector<std::array<std::uint32_t, kServiceClassCount>> mAccountRunning;
  /// Moving average of the ratio of actual to maximum output tokens, by class.
  std::array<double, kServiceClassCount> mOutputRatio{};
  using latest_start = std::pair<time_point, request_id>;
  /// Latest starts, earliest first. Entries of requests that have started or
  /// ended are skipped when they are reached.
  std::priority_queue<latest_start, std::vector<latest_start>, std::greater<>>
    mLatestStarts;
  /// Contents that were in flight on upstreams that crashed since the last
  /// tick.
  std::vector<content_id> mCrashedContents;
  /// Decisions recorded since the last tick; the next tick returns them.
  dispatch_output mOutput;
  dispatch_counters mCounters;
  std::mt19937_64 mRandom;
  std::uint64_t mTicks = 0;

private:
  std::chrono::milliseconds RetryAfter(reject_reason aReason);
};

/// Service class of a request: the free tier, or else its rank.
service_class ClassOf(const dispatch_request& aRequest);
