#include "Replay/EngineModel.h"

#include <algorithm>

namespace {

/// Inserts behind the attempts of the same priority. In the batch the order is
/// that in which prompts are computed.
void InsertByPriority(std::vector<engine_attempt>& aList,
                      engine_attempt aAttempt)
{
  const auto behind = std::upper_bound(
    aList.begin(),
    aList.end(),
    aAttempt,
    [](const engine_attempt& aLeft, const engine_attempt& aRight) {
      return aLeft.mPriority < aRight.mPriority;
    });
  aList.insert(behind, std::move(aAttempt));
}

} // namespace

engine_model::engine_model(std::uint32_t aSlots,
                           const replay_engine_speed& aSpeed)
  : mSlots(aSlots)
  , mSpeed(aSpeed)
{
}

void engine_model::Submit(const engine_attempt& aAttempt)
{
  InsertByPriority(mWaiting, aAttempt);
}

std::int64_t engine_model::Cancel(const request_id& aRequest,
                                  std::uint32_t aAttempt)
{
  std::int64_t generated = 0;
  const auto same = [&](const engine_attempt& aOther) {
    if (aOther.mRequest != aRequest || aOther.mAttempt != aAttempt) {
      return false;
    }
    generated = aOther.mGenerated;
    return true;
  };
  std::erase_if(mWaiting, same);
  std::erase_if(mBatch, same);
  return generated;
}

void engine_model::Admit(time_point aNow)
{
  while (mBatch.size() < mSlots && !mWaiting.empty()) {
    engine_attempt attempt = std::move(mWaiting.front());
    mWaiting.erase(mWaiting.begin());
    attempt.mPromptLeft =
      std::max<std::int64_t>(1, attempt.mPromptTokens - CachedTokens(attempt));
    if (attempt.mCrashAfter) {
      attempt.mCrashAt = aNow + *attempt.mCrashAfter;
    }
    InsertByPriority(mBatch, std::move(attempt));
  }
}

std::chrono::microseconds engine_model::BeginStep(time_point aNow)
{
  Admit(aNow);
  std::int64_t prompt = 0;
  std::int64_t decoding = 0;
  for (const engine_attempt& attempt : mBatch) {
    prompt += attempt.mPromptLeft;
    decoding += attempt.mPromptLeft == 0 ? 1 : 0;
  }
  prompt = std::min(prompt, mSpeed.mPromptChunk);
  const double computing =
    static_cast<double>(prompt) * mSpeed.mMicrosecondsPerPromptToken;
  return mSpeed.mStepBase + mSpeed.mPerRequest * decoding +
         std::chrono::microseconds(static_cast<std::int64_t>(computing));
}

engine_progress engine_model::Step(time_point aNow)
{
  engine_progress progress;
  std::int64_t chunk = mSpeed.mPromptChunk;
  for (engine_attempt& attempt : mBatch) {
    if (attempt.mCrashAfter && attempt.mCrashAt <= aNow) {
      progress.mCrashedBy = attempt;
      return progress;
    }
    if (attempt.mPromptLeft > 0) {
      const std::int64_t part = std::min(chunk, attempt.mPromptLeft);
      chunk -= part;
      attempt.mPromptLeft -= part;
      if (attempt.mPromptLeft > 0) {
        continue;
      }
      StoreBlocks(attempt);
    }
    if (++attempt.mGenerated == 1) {
      progress.mFirstTokens.push_back(attempt);
    }
    if (attempt.mGenerated >= attempt.mOutputTokens) {
      progress.mFinished.push_back(attempt);
    }
  }
  std::erase_if(mBatch, [](const engine_attempt& aAttempt) {
    return aAttempt.mPromptLeft == 0 &&
           aAttempt.mGenerated >= aAttempt.mOutputTokens;
  });
  progress.mCacheChanges.swap(mCacheChanges);
  return progress;
}

std::vector<engine_attempt> engine_model::Fail()
{
  std::vector<engine_attempt> lost = std::move(mBatch);
  lost.insert(lost.end(), mWaiting.begin(), mWaiting.end());
  mBatch.clear();
  mWaiting.clear();
  mCache.clear();
  mCacheOrder.clear();
  mCacheChanges.clear();
  return lost;
}

std::int64_t engine_model::CachedTokens(const engine_attempt& aAttempt) const
{
  std::int64_t cached = 0;
  for (const std::uint64_t block : aAttempt.mBlocks) {
    if (!mCache.contains(block)) {
      break;
    }
    cached += mSpeed.mBlockTokens;
  }
  return cached;
}

void engine_model::StoreBlocks(const engine_attempt& aAttempt)
{
  for (const std::uint64_t block : aAttempt.mBlocks) {
    const auto found = mCache.find(block);
    if (found != mCache.end()) {
      mCacheOrder.splice(mCacheOrder.begin(), mCacheOrder, found->second);
      continue;
    }
    mCacheOrder.push_front(block);
    mCache[block] = mCacheOrder.begin();
    mCacheChanges.push_back({ cache_action::Stored, block });
  }
  while (mCache.size() > mSpeed.mCacheBlocks) {
    mCacheChanges.push_back({ cache_action::Removed, mCacheOrder.back() });
    mCache.erase(mCacheOrder.back());
    mCacheOrder.pop_back();
  }
}
