#include "StandIn/EngineBatch.h"

#include <algorithm>

namespace {

// After a stall of the loop, everything due at once filled a slow reader's
// buffer with megabytes before the stream could be held.
constexpr std::uint32_t kMaxBurst = 512;

} // namespace

engine_batch::engine_batch(engine_speed aSpeed)
  : mSpeed(aSpeed)
{
}

void engine_batch::Add(const batch_request& aRequest, time_point aNow)
{
  mWaiting.emplace(queue_key(aRequest.mPriority, ++mArrivals), aRequest);
  Admit(aNow);
}

void engine_batch::Remove(std::uint64_t aId, time_point aNow)
{
  mRunning.erase(aId);
  std::erase_if(mWaiting,
                [aId](const auto& aEntry) { return aEntry.second.mId == aId; });
  Admit(aNow);
}

void engine_batch::Hold(std::uint64_t aId, bool aHeld, time_point aNow)
{
  const auto found = mRunning.find(aId);
  if (found == mRunning.end() || found->second.mHeld == aHeld) {
    return;
  }
  found->second.mHeld = aHeld;
  // The time spent waiting for the reader is not made up for.
  found->second.mDue =
    std::max(found->second.mDue, aNow + Scaled(mSpeed.mPerToken));
}

std::vector<batch_step> engine_batch::Tick(time_point aNow)
{
  std::vector<batch_step> steps;
  const auto perToken = Scaled(mSpeed.mPerToken);
  for (auto& [id, stream] : mRunning) {
    if (stream.mHeld || stream.mDue > aNow) {
      continue;
    }
    batch_step step{ id, stream.mNext, stream.mNext, false };
    const std::uint32_t last =
      step.mFrom + std::min(stream.mTo - step.mFrom, kMaxBurst);
    while (step.mTo < last && stream.mDue <= aNow) {
      ++step.mTo;
      stream.mDue += perToken;
    }
    // The rest of a burst is not made up for.
    stream.mDue = std::max(stream.mDue, aNow);
    stream.mNext = step.mTo;
    step.mDone = step.mTo >= stream.mTo;
    steps.push_back(step);
  }
  for (const batch_step& step : steps) {
    if (step.mDone) {
      mRunning.erase(step.mId);
    }
  }
  Admit(aNow);
  return steps;
}

void engine_batch::Clear()
{
  mRunning.clear();
  mWaiting.clear();
}

std::uint32_t engine_batch::Running() const
{
  return static_cast<std::uint32_t>(mRunning.size());
}

std::uint32_t engine_batch::Waiting() const
{
  return static_cast<std::uint32_t>(mWaiting.size());
}

std::chrono::microseconds engine_batch::Scaled(
  std::chrono::microseconds aBase) const
{
  const std::uint32_t capacity = std::max(mSpeed.mCapacity, 1U);
  const std::uint32_t load = std::max(Running(), capacity);
  return aBase * load / capacity * mSlowPercent / 100;
}

void engine_batch::Admit(time_point aNow)
{
  while (!mWaiting.empty() && mRunning.size() < mSpeed.mMaxRunning) {
    const batch_request request = mWaiting.begin()->second;
    mWaiting.erase(mWaiting.begin());
    stream& added = mRunning[request.mId];
    added.mNext = request.mFrom;
    added.mTo = request.mTo;
    const auto prefill = mSpeed.mPerPromptToken * request.mPrefill;
    added.mDue = aNow + Scaled(mSpeed.mFirstToken + prefill);
  }
}
