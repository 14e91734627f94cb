#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <vector>

#include "Dispatch/DispatchTypes.h"

/// Counters and status of the dispatch system, for metrics and status pages.

/// Counters of one service class since the start of the process.
struct class_counters
{
  std::uint64_t mEnqueued = 0;
  std::uint64_t mStarted = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mRejected = 0;
  std::uint64_t mAbandoned = 0;
  /// Tokens (prompt and output) of completed requests.
  std::uint64_t mTokens = 0;
  /// Output tokens of attempts that did not complete.
  std::uint64_t mWastedTokens = 0;
  auto operator<=>(const class_counters&) const = default;
};

struct dispatch_counters
{
  std::array<class_counters, kServiceClassCount> mClasses;
  /// Number of rejections, indexed by `reject_reason`.
  std::array<std::uint64_t, kRejectReasonCount> mRejects{};
  std::uint64_t mRetries = 0;
  std::uint64_t mRetriesDenied = 0;
  std::uint64_t mDisplaced = 0;
  std::uint64_t mUpstreamCrashes = 0;
  std::uint64_t mEjections = 0;
  std::uint64_t mCacheGaps = 0;
  std::uint64_t mPrefixHits = 0;
  auto operator<=>(const dispatch_counters&) const = default;
};

/// One upstream as this node sees it.
struct upstream_status
{
  upstream_id mUpstream;
  bool mLeaving = false;
  bool mEjected = false;
  std::uint32_t mOwnInFlight = 0;
  /// Requests of other nodes at the upstream, estimated from the last load
  /// report.
  std::uint32_t mOthersInFlight = 0;
  double mLimit = 0.0;
  auto operator<=>(const upstream_status&) const = default;
};

struct dispatch_status
{
  std::array<std::uint32_t, kServiceClassCount> mQueued{};
  std::array<std::uint32_t, kServiceClassCount> mRunning{};
  std::vector<upstream_status> mUpstreams;
  std::uint32_t mSuspects = 0;
  std::uint32_t mQuarantined = 0;
  auto operator<=>(const dispatch_status&) const = default;
};
