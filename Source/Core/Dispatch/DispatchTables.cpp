#include "Dispatch/DispatchTables.h"

#include <algorithm>

namespace {

// Ratio of actual to maximum output tokens until requests have completed.
constexpr double kInitialOutputRatio = 0.5;
// A request whose expected prompt processing uses up the whole first-token
// target still gets this fraction (1/4) of the target to start in.
constexpr int kMinStartDivisor = 4;

std::size_t Index(service_class aClass)
{
  return static_cast<std::size_t>(aClass);
}

} // namespace

service_class ClassOf(const dispatch_request& aRequest)
{
  return aRequest.mFreeTier ? service_class::Free
                            : static_cast<service_class>(aRequest.mRank);
}

dispatch_tables::dispatch_tables(const dispatch_settings& aSettings)
  : mSettings(aSettings)
  , mUpstreams(aSettings)
  , mPrefixes(aSettings.mMaxPrefixEntries)
  , mQuarantine(aSettings.mNode)
  , mRandom(aSettings.mSeed)
{
  mQuarantine.ApplySettings(aSettings.mNode, aSettings.mQuarantine);
  mRetryBudget.Fill(aSettings);
  mOutputRatio.fill(kInitialOutputRatio);
}

const rank_settings& dispatch_tables::ClassSettings(service_class aClass) const
{
  return aClass == service_class::Free ? mSettings.mFreeTier
                                       : mSettings.mRanks[Index(aClass)];
}

class_counters& dispatch_tables::CountersOf(service_class aClass)
{
  return mCounters.mClasses[Index(aClass)];
}

request_entry* dispatch_tables::FindRequest(const request_id& aRequest)
{
  const auto found = mRequests.find(aRequest);
  return found == mRequests.end() ? nullptr : &found->second;
}

std::uint32_t dispatch_tables::FindOrAddLane(const model_id& aModel)
{
  const auto [found, isNew] =
    mLaneNumbers.try_emplace(aModel, static_cast<std::uint32_t>(mLanes.size()));
  if (isNew) {
    mLanes.emplace_back();
    mLanes.back().mModel = aModel;
  }
  return found->second;
}

std::uint32_t dispatch_tables::FindOrAddAccount(const account_id& aAccount)
{
  const auto number = static_cast<std::uint32_t>(mAccountNumbers.size());
  const auto [found, isNew] = mAccountNumbers.try_emplace(aAccount, number);
  if (isNew) {
    mAccountRunning.emplace_back();
  }
  return found->second;
}

double dispatch_tables::EstimateCost(const dispatch_request& aRequest,
                                     service_class aClass) const
{
  const double prompt =
    mSettings.mPromptTokenCost * static_cast<double>(aRequest.mPromptTokens);
  const double output = mOutputRatio[Index(aClass)] *
                        static_cast<double>(aRequest.mMaxOutputTokens);
  return std::max(1.0, prompt + output);
}

std::chrono::milliseconds dispatch_tables::RetryAfter(reject_reason aReason)
{
  const bool cannotSucceed = aReason == reject_reason::Quarantined ||
                             aReason == reject_reason::Duplicate;
  if (cannotSucceed) {
    return std::chrono::milliseconds(0);
  }
  std::uniform_int_distribution<std::int64_t> spread(
    mSettings.mMinRetryAfter.count(),
    std::max(mSettings.mMinRetryAfter, mSettings.mMaxRetryAfter).count());
  return std::chrono::milliseconds(spread(mRandom));
}

void dispatch_tables::Reject(const request_id& aRequest,
                             reject_reason aReason,
                             run_state aRun)
{
  const auto found = mRequests.find(aRequest);
  class_counters& counters = CountersOf(found->second.mClass);
  ++counters.mRejected;
  counters.mWastedTokens +=
    static_cast<std::uint64_t>(found->second.mOutputTokens);
  ++mCounters.mRejects[static_cast<std::size_t>(aReason)];
  mOutput.mRejects.push_back({ aRequest, aReason, aRun, RetryAfter(aReason) });
  mRequests.erase(found);
}

void dispatch_tables::RejectOnArrival(const dispatch_request& aRequest,
                                      service_class aClass,
                                      reject_reason aReason)
{
  ++CountersOf(aClass).mRejected;
  ++mCounters.mRejects[static_cast<std::size_t>(aReason)];
  mOutput.mRejects.push_back(
    { aRequest.mRequest, aReason, run_state::NotRun, RetryAfter(aReason) });
}

void dispatch_tables::Detach(request_entry& aEntry, time_point aNow)
{
  const std::size_t index = Index(aEntry.mClass);
  model_lane& lane = mLanes[aEntry.mLane];
  switch (aEntry.mState) {
    case request_state::Queued:
      lane.mQueues[index].Remove(aEntry.mRequest.mRequest, aEntry.mAccount);
      --mQueued[index];
      break;
    case request_state::Retrying:
      std::erase(lane.mRetries, aEntry.mRequest.mRequest);
      --mQueued[index];
      mQuarantine.EndRetry(aEntry.mRequest.mContent);
      break;
    case request_state::Running:
      mUpstreams.RemoveRunning(
        aEntry.mUpstream, aEntry.mRequest.mRequest, aEntry.mTopPriority, aNow);
      --mRunning[index];
      --mAccountRunning[aEntry.mAccount][index];
      break;
  }
}

void dispatch_tables::CancelRunning(request_entry& aEntry,
                                    cancel_reason aReason,
                                    time_point aNow)
{
  Detach(aEntry, aNow);
  mQuarantine.EndRetry(aEntry.mRequest.mContent);
  mOutput.mCancels.push_back({ aEntry.mRequest.mRequest,
                               mUpstreams.At(aEntry.mUpstream).mEntry.mUpstream,
                               aReason });
}

void dispatch_tables::Retry(request_entry& aEntry,
                            time_point aNotBefore,
                            time_point aNow)
{
  aEntry.mState = request_state::Retrying;
  aEntry.mNotBefore = aNotBefore;
  SetLatestStart(aEntry, std::max(aNotBefore, aNow));
  mLanes[aEntry.mLane].mRetries.push_back(aEntry.mRequest.mRequest);
  ++mQueued[Index(aEntry.mClass)];
}

void dispatch_tables::SetLatestStart(request_entry& aEntry, time_point aFrom)
{
  using std::chrono::microseconds;
  const microseconds target = ClassSettings(aEntry.mClass).mFirstTokenTarget;
  const double seconds = static_cast<double>(aEntry.mRequest.mPromptTokens) /
                         mSettings.mConcurrency.mPromptTokensPerSecond;
  const microseconds promptTime(static_cast<std::int64_t>(seconds * 1e6));
  const microseconds left = target - promptTime - mSettings.mStartMargin;
  aEntry.mLatestStart = aFrom + std::max(left, target / kMinStartDivisor);
  mLatestStarts.emplace(aEntry.mLatestStart, aEntry.mRequest.mRequest);
}
