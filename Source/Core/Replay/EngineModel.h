#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Dispatch/DispatchTypes.h"

/// Speed of the engines in the replay: continuous batching with chunked prompt
/// computing.
struct replay_engine_speed
{
  /// Time of a step with an empty batch, per decoding request, and per prompt
  /// token.
  std::chrono::microseconds mStepBase{ 14'000 };
  std::chrono::microseconds mPerRequest{ 300 };
  double mMicrosecondsPerPromptToken = 62.5;
  /// Prompt tokens computed in one step.
  std::int64_t mPromptChunk = 256;
  /// Tokens in a block of the prefix cache, and blocks that it holds.
  std::int64_t mBlockTokens = 64;
  std::size_t mCacheBlocks = 4'000;
  auto operator<=>(const replay_engine_speed&) const = default;
};

/// An attempt at an engine.
struct engine_attempt
{
  request_id mRequest;
  /// Number of the node that sent it.
  std::uint32_t mNode = 0;
  std::uint32_t mAttempt = 1;
  std::uint8_t mPriority = 0;
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  std::vector<std::uint64_t> mBlocks;
  /// Its content crashes the engine this long after it began to run.
  std::optional<std::chrono::microseconds> mCrashAfter;
  time_point mCrashAt;
  std::int64_t mPromptLeft = 0;
  std::int64_t mGenerated = 0;
};

/// What a step did.
struct engine_progress
{
  /// Attempts that generated their first token in this step.
  std::vector<engine_attempt> mFirstTokens;
  std::vector<engine_attempt> mFinished;
  std::vector<cache_change> mCacheChanges;
  /// The engine crashed in this step because of this attempt.
  std::optional<engine_attempt> mCrashedBy;
};

/// A small model of a model engine: a bounded batch, a queue by priority, a
/// bounded prefix cache.
class engine_model
{
public:
  engine_model(std::uint32_t aSlots, const replay_engine_speed& aSpeed);

  void Submit(const engine_attempt& aAttempt);
  /// Removes an attempt; returns the tokens that it generated.
  std::int64_t Cancel(const request_id& aRequest, std::uint32_t aAttempt);

  /// Runs the step that ends at `aNow`, started by `StepLength`.
  engine_progress Step(time_point aNow);
  /// Length of the next step; admits waiting attempts to the batch.
  std::chrono::microseconds BeginStep(time_point aNow);

  /// Everything in flight is lost and the cache is empty; returns what was in
  /// flight.
  std::vector<engine_attempt> Fail();

  bool Idle() const { return mBatch.empty() && mWaiting.empty(); }
  std::uint32_t Running() const
  {
    return static_cast<std::uint32_t>(mBatch.size());
  }
  std::uint32_t Waiting() const
  {
    return static_cast<std::uint32_t>(mWaiting.size());
  }
  std::uint32_t Slots() const { return mSlots; }

private:
  void Admit(time_point aNow);
  std::int64_t CachedTokens(const engine_attempt& aAttempt) const;
  void StoreBlocks(const engine_attempt& aAttempt);

  std::uint32_t mSlots;
  replay_engine_speed mSpeed;
  std::vector<engine_attempt> mBatch;
  std::vector<engine_attempt> mWaiting;
  /// Cached blocks, most recently used first.
  std::list<std::uint64_t> mCacheOrder;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> mCache;
  std::vector<cache_change> mCacheChanges;
};
