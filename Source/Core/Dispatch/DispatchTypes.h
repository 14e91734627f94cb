#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"

/// Input and output types of the dispatch system.

/// Service classes in the order of service: the paid ranks, then the free tier.
enum class service_class : std::uint8_t
{
  Urgent,
  Routine,
  Background,
  Free,
};

inline constexpr std::size_t kServiceClassCount = kWorkRankCount + 1;

/// A request that waits for an upstream.
struct dispatch_request
{
  request_id mRequest;
  account_id mAccount;
  /// Weight of the account in fair queueing, above 0.
  double mWeight = 1.0;
  work_rank mRank = work_rank::Routine;
  bool mFreeTier = false;
  model_id mModel;
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxOutputTokens = 0;
  content_id mContent;
  /// Chained hashes of the prompt's token blocks, first block first. See
  /// `PrefixBlocks`.
  std::vector<std::uint64_t> mPrefixBlocks;
  /// Every upstream of the model can resume a response that broke off after its
  /// first token, so such an attempt may be retried.
  bool mResumable = false;
  auto operator<=>(const dispatch_request&) const = default;
};

/// Start an attempt of the request on the upstream now.
struct start_decision
{
  request_id mRequest;
  upstream_id mUpstream;
  /// Number of the attempt, from 1.
  std::uint32_t mAttempt = 1;
  /// Priority at the engine, where 0 is the highest: the number of the service
  /// class, or 0 while a lower rank is being served up to its floor.
  std::uint8_t mPriority = 0;
  auto operator<=>(const start_decision&) const = default;
};

enum class reject_reason : std::uint8_t
{
  /// The queue of the rank is full.
  QueueFull,
  /// The first-token target can no longer be met.
  TooLate,
  /// No known upstream serves the model.
  NoUpstream,
  /// The content is quarantined because it crashed upstreams repeatedly.
  Quarantined,
  /// The content is being retried in isolation after a crash, by this node or
  /// another.
  Suspect,
  /// An attempt failed, and the attempts of the request or the node's retry
  /// budget are used up.
  RetriesExhausted,
  /// The connection to the upstream broke after the first token.
  BrokeMidStream,
  /// A running free-tier request was cancelled in favour of paid requests.
  Displaced,
  /// The same request is already waiting or running.
  Duplicate,
};

inline constexpr std::size_t kRejectReasonCount = 9;

/// Name of a reason as written in error bodies and metrics.
std::string_view RejectReasonName(reject_reason aReason);

/// Report the rejection to the caller now. The request has been removed from
/// the dispatch system.
struct reject_decision
{
  request_id mRequest;
  reject_reason mReason = reject_reason::QueueFull;
  run_state mRun = run_state::NotRun;
  /// 0 when a retry cannot succeed.
  std::chrono::milliseconds mRetryAfter{ 0 };
  auto operator<=>(const reject_decision&) const = default;
};

enum class cancel_reason : std::uint8_t
{
  /// The caller disconnected.
  Abandoned,
  /// A running free-tier request is cancelled in favour of paid requests. A
  /// `reject_decision` accompanies it.
  Displaced,
  /// The content is suspect or quarantined. A `reject_decision` accompanies it.
  Quarantined,
};

/// Cancel the running attempt at the upstream. `OnFinished` need not be called
/// for it and has no effect if it is.
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
  /// The connection was refused, or the upstream answered 503 before accepting
  /// the request.
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
  /// Accepts no requests from routers, because it loads a model, does batch
  /// work or computes prompts for other upstreams.
  Reserved,
};

/// An upstream of the host list, with its location.
struct listed_upstream
{
  upstream_id mUpstream;
  zone_id mZone;
  region_id mRegion;
  bool mLeaving = false;
  upstream_role mRole = upstream_role::Serving;
  /// Models that it serves. While empty, it is taken to serve every model,
  /// until a load report names them.
  std::vector<model_id> mModels;
  auto operator<=>(const listed_upstream&) const = default;
};

/// Load report of an upstream. It arrives with a delay.
struct load_report
{
  /// When the counts were taken, on this node's clock.
  time_point mMeasuredAt;
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  /// Number of requests that it can run at the same time; 0 when not reported.
  std::uint32_t mSlots = 0;
  upstream_role mRole = upstream_role::Serving;
  /// Models that are loaded; empty when not reported.
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

/// A batch of changes of an upstream's prefix cache. Batches are numbered
/// consecutively, so a missing number means lost changes.
struct cache_events
{
  std::uint64_t mSequence = 0;
  std::vector<cache_change> mChanges;
  auto operator<=>(const cache_events&) const = default;
};

enum class quarantine_state : std::uint8_t
{
  /// It was in flight on an upstream that crashed.
  Suspect,
  /// It completed since, or another content was found to have caused the crash.
  Cleared,
  /// It crashed upstreams repeatedly.
  Quarantined,
};

/// Notice to the other nodes about the quarantine state of a content.
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
  /// The sender is about to retry the suspect in isolation; the other nodes
  /// reject the content meanwhile.
  bool mRetrying = false;
  auto operator<=>(const quarantine_notice&) const = default;
};

/// Decisions of a tick.
struct dispatch_output
{
  std::vector<start_decision> mStarts;
  std::vector<reject_decision> mRejects;
  std::vector<cancel_decision> mCancels;
  /// Notices to send to every other node.
  std::vector<quarantine_notice> mNotices;
  auto operator<=>(const dispatch_output&) const = default;
};
