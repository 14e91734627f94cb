#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "Common/Identity.h"

/// Settings of the dispatch system. Periods here come from the configuration;
/// tables store the deadlines that follow from them.

/// Settings of one rank.
struct rank_settings
{
  /// Guaranteed minimum: least share of the served tokens that the rank keeps
  /// while it has work waiting, from 0 to 1. Ignored for the first rank.
  double mFloorShare = 0.0;
  /// Longest useful time from arrival to first token.
  std::chrono::milliseconds mFirstTokenTarget{ 1'200 };
  /// Bound of the requests waiting at this node, over all models.
  std::uint32_t mMaxQueued = 1'000;
  /// Share of an upstream's concurrency limit that the rank may fill, from 0
  /// to 1. What a rank may not fill is room for the ranks before it.
  double mUpstreamShare = 1.0;
  auto operator<=>(const rank_settings&) const = default;
};

/// Limits of the adaptive concurrency limit of an upstream.
struct concurrency_settings
{
  /// Concurrent requests of an upstream that has not reported its slots.
  double mDefaultLimit = 32.0;
  double mMinLimit = 1.0;
  double mMaxLimit = 512.0;
  /// Time to first token beyond the prompt's own computing time above which
  /// the limit shrinks.
  std::chrono::milliseconds mQueueingTarget{ 300 };
  /// Prompt tokens per second that an unloaded upstream computes at least.
  double mPromptTokensPerSecond = 4'000.0;
  auto operator<=>(const concurrency_settings&) const = default;
};

/// Limits of the treatment of contents whose attempts crashed upstreams.
struct quarantine_settings
{
  /// Crashes fleet-wide after which a content is refused.
  std::uint32_t mMaxCrashes = 2;
  /// How long a quarantined content is refused.
  std::chrono::milliseconds mQuarantinePeriod{ 3'600'000 };
  /// How long a suspect stays one without a further crash.
  std::chrono::milliseconds mSuspectPeriod{ 3'600'000 };
  /// Wait before a suspect is tried again, longer than a notice needs to reach
  /// every node.
  std::chrono::milliseconds mSettlePeriod{ 500 };
  /// How long the other nodes wait for the node that tries a suspect again.
  std::chrono::milliseconds mHoldPeriod{ 10'000 };
  /// Crash reports of one upstream within this period are one crash.
  std::chrono::milliseconds mSameCrashPeriod{ 10'000 };
  /// Bound of the remembered contents.
  std::uint32_t mMaxContents = 10'000;
  auto operator<=>(const quarantine_settings&) const = default;
};

struct dispatch_settings
{
  std::array<rank_settings, kWorkRanks> mRanks{
    rank_settings{ 0.0, std::chrono::milliseconds(1'200), 1'000, 1.0 },
    rank_settings{ 0.15, std::chrono::milliseconds(10'000), 2'000, 0.85 },
    rank_settings{ 0.05, std::chrono::milliseconds(30'000), 2'000, 0.8 },
  };
  /// The free tier, whatever its rank: no floor, spare capacity only.
  rank_settings mFreeTier{ 0.0, std::chrono::milliseconds(30'000), 500, 0.7 };
  /// Factor on the floors at each node. Nodes without waiting work of a rank
  /// give it less than its floor, so the others give it more, or the fleet as a
  /// whole would stay below the guaranteed minimum.
  double mFloorMargin = 1.3;
  /// Bound of the tokens that a rank may be owed under its floor.
  double mMaxFloorCredit = 5'000.0;
  /// Zone and region of this node.
  zone_id mZone;
  region_id mRegion;
  /// Identity of this node: the key of its upstream subsets, and the owner in
  /// its quarantine notices.
  node_id mNode;
  /// Upstreams per model that this node uses.
  std::uint32_t mSubsetSize = 24;
  /// Share of the subset that is taken from the own zone first.
  double mOwnZoneShare = 0.75;
  /// Nodes that use an upstream at the same time. Free room seen in a lagging
  /// report is divided between them.
  std::uint32_t mSharingNodes = 1;
  /// Tokens that an account of weight 1 may be served ahead of its fair share
  /// after it used less.
  double mAccountBurst = 0.0;
  /// Part of its rank's room that an account may fill which has more than a
  /// third of the rank's running requests.
  double mHeavyAccountPart = 0.85;
  /// Cost of a prompt token in output tokens. Prompts are computed in parallel
  /// and occupy an upstream for less time per token.
  double mPromptTokenCost = 0.1;
  /// Share of a request's time to its target that it may be expected to wait
  /// when it arrives; above that it is rejected at once.
  double mMaxExpectedWait = 0.7;
  /// Part of the first-token target that the upstream needs after the start.
  std::chrono::milliseconds mStartMargin{ 100 };
  /// Entries of the prefix index, over all upstreams.
  std::uint32_t mMaxPrefixEntries = 200'000;
  /// Retries per started request, as a ratio.
  double mRetryRatio = 0.1;
  /// Retries that may be saved up.
  double mMaxSavedRetries = 20.0;
  /// Attempts of one request, the first included.
  std::uint32_t mMaxAttempts = 3;
  /// How long an upstream that refused or broke is not used; doubles with
  /// every further failure in a row, up to 32 times.
  std::chrono::milliseconds mEjectionPeriod{ 1'000 };
  /// Shortest and longest Retry-After, spread evenly between.
  std::chrono::milliseconds mMinRetryAfter{ 1'000 };
  std::chrono::milliseconds mMaxRetryAfter{ 5'000 };
  /// Seed of the spread of Retry-After and of tie breaking.
  std::uint64_t mSeed = 1;
  concurrency_settings mConcurrency;
  quarantine_settings mQuarantine;
  auto operator<=>(const dispatch_settings&) const = default;
};
