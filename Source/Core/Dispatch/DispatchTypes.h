#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"

/// Values that go into the dispatch system and that come out of it.

/// Service classes in the order of service: the paid ranks, then the free tier.
enum class service_class : std::uint8_t
{
  Urgent,
  Routine,
  Background,
  Free,
};

inline constexpr std::size_t kServiceClasses = kWorkRanks + 1;

/// A request that waits for an upstream.
struct dispatch_request
{
  request_id mRequest;
  account_id mAccount;
  /// Weight of the account in fair sharing, above 0.
  double mWeight = 1.0;
  work_rank mRank = work_rank::Routine;
  bool mFreeTier = false;
  model_id mModel;
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxOutputTokens = 0;
  content_id mContent;
  /// Chained hashes of the prompt's token blocks, first block first.
  std::vector<std::uint64_t> mPrefixBlocks;
  /// Every upstream of the model can go on with a response that broke after
  /// its first token, so such an attempt may be retried.
  bool mResumable = false;
  auto operator<=>(const dispatch_request&) const = default;
};

/// Send the request to the upstream now.
struct start_decision
{
  request_id mRequest;
  upstream_id mUpstream;
  /// Number of the attempt, from 1.
  std::uint32_t mAttempt = 1;
  /// Priority at the engine, 0 first: the number of the service class, or 0
  /// when a rank gets its floor.
  std::uint8_t mPriority = 0;
  auto operator<=>(const start_decision&) const = default;
};

enum class reject_reason : std::uint8_t
{
  /// The queue of the rank is full.
  QueueFull,
  /// The first-token target cannot be met any more.
  TooLate,
  /// No upstream serves the model.
  NoUpstream,
  /// The content crashed upstreams.
  Quarantined,
  /// The content is being tested after a crash, here or on another node.
  Suspect,
  /// Attempts failed, and no retry is allowed.
  RetriesExhausted,
  /// The upstream broke after the first token.
  BrokeMidStream,
  /// A free-tier stream made room for paid work.
  Displaced,
  /// The same request is already waiting or running.
  Duplicate,
};

inline constexpr std::size_t kRejectReasons = 9;

/// Name of a reason as written in error bodies and metrics.
std::string_view RejectReasonName(reject_reason aReason);

/// The request is over for the dispatch system; tell the caller at once.
struct reject_decision
{
  request_id mRequest;
  reject_reason mReason = reject_reason::QueueFull;
  run_state mRun = run_state::NotRun;
  /// 0 when a retry is of no use.
  std::chrono::milliseconds mRetryAfter{ 0 };
  auto operator<=>(const reject_decision&) const = default;
};

enum class cancel_reason : std::uint8_t
{
  /// The caller went away.
  Abandoned,
  /// A free-tier stream makes room for paid work. A `reject_decision` goes with
  /// it.
  Displaced,
  /// The content is quarantined. A `reject_decision` goes with it.
  Quarantined,
};

/// Cancel the running attempt at the upstream. No `OnFinished` is expected for
/// it; a late one is ignored.
struct cancel_decision
{
  request_id mRequest;
  upstream_id mUpstream;
  cancel_reason mReason = cancel_reason::Abandoned;
  auto operator<=>(const cancel_decision&) const = default;
};

/// How an attempt ended.
enum class attempt_outcome : std::uint8_t
{
  Completed,
  /// Connection refused, or a 503 before the request was accepted.
  RefusedBeforeRunning,
  BrokeBeforeFirstToken,
  BrokeMidStream,
  /// The process of the upstream ended while the attempt was in progress.
  UpstreamCrashed,
  Cancelled,
};

enum class upstream_role : std::uint8_t
{
  /// Takes requests.
  Serving,
  /// Takes none from routers: loading, batch work, prompt computing for others.
  Reserved,
};

/// An upstream of the host list.
struct upstream_entry
{
  upstream_id mUpstream;
  zone_id mZone;
  region_id mRegion;
  bool mLeaving = false;
  upstream_role mRole = upstream_role::Serving;
  /// Models that it serves; empty for every model until a report names them.
  std::vector<model_id> mModels;
  auto operator<=>(const upstream_entry&) const = default;
};

/// What an upstream says about itself, with a lag.
struct load_report
{
  /// When the figures were taken, on this node's clock.
  time_point mAsOf;
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  /// Requests that it runs at the same time; 0 when it does not say.
  std::uint32_t mSlots = 0;
  upstream_role mRole = upstream_role::Serving;
  /// Models loaded; empty when it does not say.
  std::vector<model_id> mModels;
  auto operator<=>(const load_report&) const = default;
};

enum class cache_action : std::uint8_t
{
  Stored,
  Removed,
};

struct cache_change
{
  cache_action mAction = cache_action::Stored;
  std::uint64_t mBlock = 0;
  auto operator<=>(const cache_change&) const = default;
};

/// Changes of an upstream's prefix cache. Sequence numbers count batches; a
/// missing number is a gap.
struct cache_events
{
  std::uint64_t mSequence = 0;
  std::vector<cache_change> mChanges;
  auto operator<=>(const cache_events&) const = default;
};

enum class quarantine_state : std::uint8_t
{
  /// Was in flight on an upstream that crashed.
  Suspect,
  /// Ran to the end afterwards, or another content explains the crash.
  Cleared,
  /// Crashed upstreams repeatedly.
  Quarantined,
};

/// What one node tells the others about a content.
struct quarantine_notice
{
  content_id mContent;
  quarantine_state mState = quarantine_state::Suspect;
  /// The upstream that crashed; empty for `Cleared`.
  upstream_id mUpstream;
  /// The sender.
  node_id mNode;
  /// Crashes that the sender knows of.
  std::uint32_t mCrashes = 0;
  /// The sender is going to try the suspect again; others hold it meanwhile.
  bool mRetrying = false;
  auto operator<=>(const quarantine_notice&) const = default;
};

/// Result of a tick.
struct dispatch_output
{
  std::vector<start_decision> mStarts;
  std::vector<reject_decision> mRejects;
  std::vector<cancel_decision> mCancels;
  /// To be sent to every other node.
  std::vector<quarantine_notice> mNotices;
  auto operator<=>(const dispatch_output&) const = default;
};
