#pragma once

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "Dispatch/DispatchSystem.h"

/// A dispatch system with a manual clock, and helpers to send it requests.
class dispatch_fixture : public ::testing::Test
{
protected:
  static dispatch_settings Settings()
  {
    dispatch_settings settings;
    settings.mNode = { "node-1" };
    settings.mZone = { "zone-a" };
    settings.mRegion = { "region" };
    settings.mConcurrency.mDefaultLimit = 10.0;
    // Most tests use a single account, which would count as heavy.
    settings.mHeavyAccountShare = 1.0;
    return settings;
  }

  void SetUpstreams(int aCount, const std::string& aZone = "zone-a")
  {
    std::vector<listed_upstream> entries;
    for (int i = 0; i < aCount; ++i) {
      listed_upstream entry;
      entry.mUpstream = { "engine-" + std::to_string(i) };
      entry.mZone = { aZone };
      entry.mRegion = { "region" };
      entries.push_back(entry);
    }
    mSystem.SetUpstreams(entries, mNow);
  }

  static dispatch_request Request(std::uint64_t aNumber,
                                  work_rank aRank = work_rank::Urgent,
                                  const std::string& aAccount = "clinic")
  {
    dispatch_request request;
    request.mRequest = { 1, aNumber };
    request.mAccount = { aAccount };
    request.mRank = aRank;
    request.mModel = { "model" };
    request.mPromptTokens = 100;
    request.mMaxOutputTokens = 100;
    request.mContent = { 2, aNumber };
    return request;
  }

  void Enqueue(const dispatch_request& aRequest)
  {
    mSystem.Enqueue(aRequest, mNow);
  }

  dispatch_output Tick(std::chrono::milliseconds aStep = {})
  {
    mNow += aStep;
    return mSystem.Tick(mNow);
  }

  void Finish(std::uint64_t aNumber,
              attempt_outcome aOutcome = attempt_outcome::Completed)
  {
    mSystem.OnFinished({ 1, aNumber }, aOutcome, mNow);
  }

  static int CountStarted(const dispatch_output& aOutput,
                          std::uint64_t aFrom,
                          std::uint64_t aTo)
  {
    return static_cast<int>(std::count_if(
      aOutput.mStarts.begin(), aOutput.mStarts.end(), [&](const auto& aStart) {
        return aStart.mRequest.mLow >= aFrom && aStart.mRequest.mLow < aTo;
      }));
  }

  time_point mNow{ std::chrono::seconds(100) };
  dispatch_system mSystem{ Settings() };
};
