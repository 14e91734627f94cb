#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Common/Time.h"

/// Speeds of an engine.
struct engine_speed
{
  /// Streams that run at full speed together. With more, every time grows in
  /// proportion.
  std::uint32_t mCapacity = 16;
  /// Streams beyond this number wait.
  std::uint32_t mMaxRunning = 64;
  /// Time to the first token of a prompt that is wholly cached.
  std::chrono::microseconds mFirstToken{ 20000 };
  /// Added for each prompt token that is not cached.
  std::chrono::microseconds mPerPromptToken{ 20 };
  std::chrono::microseconds mPerToken{ 5000 };
};

/// A stream to run.
struct batch_request
{
  std::uint64_t mId = 0;
  std::int64_t mPriority = 0;
  /// Prompt tokens to compute.
  std::uint32_t mPrefill = 0;
  /// Tokens to generate: from `mFrom` up to, not including, `mTo`.
  std::uint32_t mFrom = 0;
  std::uint32_t mTo = 0;
};

/// Tokens of one stream that became due.
struct batch_step
{
  std::uint64_t mId = 0;
  std::uint32_t mFrom = 0;
  std::uint32_t mTo = 0;
  /// The stream has ended and left the batch.
  bool mDone = false;
  auto operator<=>(const batch_step&) const = default;
};

/// Approximation of continuous batching, as a pure system: streams run
/// together, and their times grow once there are more than the capacity.
class engine_batch
{
public:
  explicit engine_batch(engine_speed aSpeed);

  void Add(const batch_request& aRequest, time_point aNow);
  void Remove(std::uint64_t aId, time_point aNow);
  /// A held stream keeps its place but generates nothing.
  void Hold(std::uint64_t aId, bool aHeld, time_point aNow);
  std::vector<batch_step> Tick(time_point aNow);
  void Clear();
  /// Slows every step down; 100 is the normal speed.
  void SetSlowPercent(std::uint32_t aPercent) { mSlowPercent = aPercent; }

  std::uint32_t SlowPercent() const { return mSlowPercent; }

  std::uint32_t Running() const;
  std::uint32_t Waiting() const;

private:
  struct stream
  {
    std::uint32_t mNext = 0;
    std::uint32_t mTo = 0;
    time_point mDue;
    bool mHeld = false;
  };
  /// Priority, then arrival.
  using queue_key = std::pair<std::int64_t, std::uint64_t>;

  std::chrono::microseconds Scaled(std::chrono::microseconds aBase) const;
  void Admit(time_point aNow);

  engine_speed mSpeed;
  std::uint32_t mSlowPercent = 100;
  std::map<std::uint64_t, stream> mRunning;
  std::map<queue_key, batch_request> mWaiting;
  std::uint64_t mArrivals = 0;
};
