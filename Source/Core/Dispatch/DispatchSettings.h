#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "Common/Identity.h"

/// Settings of the dispatch system. Durations come from the configuration; the
/// tables store deadlines computed from them.

/// Settings of one rank.
struct rank_settings
{
  /// Guaranteed minimum share of the served tokens while requests of the rank
  /// wait, from 0 to 1. Ignored for the first rank.
  double mFloorShare = 0.0;
  /// Maximum time from a request's arrival to its first token. Requests that
  /// cannot meet it are rejected.
  std::chrono::milliseconds mFirstTokenTarget{ 1'200 };
  /// Maximum number of requests waiting at this node, over all models.
  std::uint32_t mMaxQueued = 1'000;
  /// Share of an upstream's concurrency limit that the rank may use, from 0 to
  /// 1. The remainder is reserved for higher ranks.
  double mUpstreamShare = 1.0;
  auto operator<=>(const rank_settings&) const = default;
};

/// Settings of the adaptive concurrency limit of an upstream.
struct concurrency_settings
{
  /// Initial limit for an upstream that has not reported its slots, in
  /// requests.
  double mDefaultLimit = 32.0;
  double mMinLimit = 1.0;
  double mMaxLimit = 512.0;
  /// The limit shrinks when the time to first token exceeds the expected prompt
  /// processing time by more than this.
  std::chrono::milliseconds mQueueingTarget{ 300 };
  /// Minimum rate at which an unloaded upstream processes prompts, in tokens
  /// per second.
  double mPromptTokensPerSecond = 4'000.0;
  auto operator<=>(const concurrency_settings&) const = default;
};

/// Settings for the quarantine of contents whose attempts crashed upstreams.
struct quarantine_settings
{
  /// Number of crashes, counted over all nodes, after which a content is
  /// quarantined.
  std::uint32_t mMaxCrashes = 2;
  /// Time for which requests with a quarantined content are rejected.
  std::chrono::milliseconds mQuarantinePeriod{ 3'600'000 };
  /// Time after its last crash for which a content stays suspect.
  std::chrono::milliseconds mSuspectPeriod{ 3'600'000 };
  /// Delay before a suspect is retried in isolation. It must be longer than a
  /// quarantine notice takes to reach every node.
  std::chrono::milliseconds mSuspectRetryDelay{ 500 };
  /// Timeout for a retry in isolation: other nodes reject the content until it
  /// has passed or the retry has ended.
  std::chrono::milliseconds mSuspectRetryTimeout{ 10'000 };
  /// Crash reports about one upstream within this period count as one crash.
  std::chrono::milliseconds mCrashDeduplicationPeriod{ 10'000 };
  /// Maximum number of contents in the quarantine table.
  std::uint32_t mMaxContents = 10'000;
  auto operator<=>(const quarantine_settings&) const = default;
};

struct dispatch_settings
{
  std::array<rank_settings, kWorkRankCount> mRanks{
    rank_settings{ 0.0, std::chrono::milliseconds(1'200), 1'000, 1.0 },
    rank_settings{ 0.15, std::chrono::milliseconds(10'000), 2'000, 0.85 },
    rank_settings{ 0.05, std::chrono::milliseconds(30'000), 2'000, 0.8 },
  };
  /// Settings of the free tier, for requests of every rank. It has no
  /// guaranteed minimum and uses spare capacity only.
  rank_settings mFreeTier{ 0.0, std::chrono::milliseconds(30'000), 500, 0.7 };
  /// Factor by which each node raises the floor shares. A node without waiting
  /// requests of a rank serves that rank less than its floor, so the other
  /// nodes must serve it more for the fleet to reach the guaranteed minimum.
  double mFloorFactor = 1.3;
  /// Maximum credit, in tokens, that a rank can accumulate while it is served
  /// less than its floor share.
  double mMaxFloorCredit = 5'000.0;
  /// Zone and region of this node.
  zone_id mZone;
  region_id mRegion;
  /// Identity of this node. It selects the node's upstream subsets and is the
  /// sender of its quarantine notices.
  node_id mNode;
  /// Maximum number of upstreams per model that this node uses.
  std::uint32_t mSubsetSize = 24;
  /// Share of the subset that is filled with upstreams of the node's own zone
  /// first, from 0 to 1.
  double mOwnZoneShare = 0.75;
  /// Number of nodes that use the same upstream at the same time. Load reports
  /// lag, so the free capacity seen in one is divided by this number.
  std::uint32_t mNodesPerUpstream = 1;
  /// Tokens that an account of weight 1 may be served ahead of its fair share
  /// after it used less than its share.
  double mAccountBurst = 0.0;
  /// Share of its rank's capacity at an upstream that a heavy account may use,
  /// from 0 to 1. An account is heavy while it has more than about a third of
  /// the rank's running requests.
  double mHeavyAccountShare = 0.85;
  /// Cost of a prompt token, in output tokens. Prompt tokens are processed in
  /// parallel and occupy an upstream for less time per token.
  double mPromptTokenCost = 0.1;
  /// A new request is rejected at once when its expected wait exceeds this
  /// share of the time until its latest start, from 0 to 1.
  double mMaxExpectedWaitShare = 0.7;
  /// Time reserved between the start of an attempt and its first token, in
  /// addition to the expected prompt processing time.
  std::chrono::milliseconds mStartMargin{ 100 };
  /// Maximum number of entries of the prefix index, over all upstreams.
  std::uint32_t mMaxPrefixEntries = 200'000;
  /// Retries that are added to the retry budget per started request.
  double mRetryRatio = 0.1;
  /// Maximum number of unused retries in the retry budget.
  double mMaxRetryBudget = 20.0;
  /// Maximum number of attempts of one request, including the first.
  std::uint32_t mMaxAttempts = 3;
  /// Time for which an upstream is not used after a failed attempt. It doubles
  /// with every further failure in a row, up to 32 times the value.
  std::chrono::milliseconds mEjectionPeriod{ 1'000 };
  /// Bounds of the Retry-After of rejections. The value is drawn uniformly
  /// between them, so that rejected callers do not all return at once.
  std::chrono::milliseconds mMinRetryAfter{ 1'000 };
  std::chrono::milliseconds mMaxRetryAfter{ 5'000 };
  /// Seed of the random Retry-After values and of the random rounding of
  /// upstream capacity.
  std::uint64_t mSeed = 1;
  concurrency_settings mConcurrency;
  quarantine_settings mQuarantine;
  auto operator<=>(const dispatch_settings&) const = default;
};
