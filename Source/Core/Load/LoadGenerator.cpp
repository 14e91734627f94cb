#include "Load/LoadGenerator.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Arrivals are handed out at this period; their intended times stay exact.
constexpr milliseconds kTimerPeriod{ 2 };
constexpr milliseconds kProgressPeriod{ 1000 };

SoupSession* NewSession(const workload& aWorkload)
{
  // The defaults of 10 connections, 2 per host, would serialize the load. The
  // endpoint requests need a few connections of their own.
  const int connections = static_cast<int>(aWorkload.mMaxConcurrent) + 16;
  return soup_session_new_with_options("max-conns",
                                       connections,
                                       "max-conns-per-host",
                                       connections,
                                       "proxy-resolver",
                                       nullptr,
                                       nullptr);
}

std::string RankOf(const load_source& aSource)
{
  return aSource.mRank ? std::string(WorkRankName(*aSource.mRank)) : "default";
}

} // namespace

load_generator::load_generator(workload aWorkload,
                               const time_source& aTime,
                               callback aProgress,
                               callback aDone)
  : mWorkload(std::move(aWorkload))
  , mTime(aTime)
  , mProgress(std::move(aProgress))
  , mDoneCallback(std::move(aDone))
  , mRandom(mWorkload.mSeed)
  , mRun(std::random_device()())
  , mSession(NewSession(mWorkload))
  , mEndpoints(mSession, aTime, mWorkload.mNodes)
{
}

load_generator::~load_generator()
{
  mDone = true;
  CancelOpen();
  soup_session_abort(mSession);
  g_object_unref(mSession);
}

void load_generator::Start()
{
  mStart = mTime.Now();
  mLastArrival = mStart + mWorkload.mDuration;
  mDrainDeadline = mLastArrival + mWorkload.mDrain;
  mNextProgress = mStart + kProgressPeriod;
  for (std::size_t i = 0; i < mWorkload.mSources.size(); ++i) {
    const load_source& source = mWorkload.mSources[i];
    if (source.mRate > 0) {
      mArrivals.push_back({ i, mStart + NextGap(source) });
    }
  }
  mTimer.Every(kTimerPeriod, [this] { OnTimer(); });
}

void load_generator::Stop()
{
  const time_point now = mTime.Now();
  mLastArrival = std::min(mLastArrival, now);
  mDrainDeadline = std::min(mDrainDeadline, now + mWorkload.mDrain);
}

void load_generator::OnTimer()
{
  const time_point now = mTime.Now();
  const time_point until = std::min(now, mLastArrival);
  for (arrival_row& arrival : mArrivals) {
    const load_source& source = mWorkload.mSources[arrival.mSource];
    while (arrival.mNext <= until &&
           mReport.mRequests < mWorkload.mMaxRequests) {
      const time_point intended = arrival.mNext;
      arrival.mNext += NextGap(source);
      Arrive(source, intended);
    }
  }
  mReport.mElapsed = now - mStart;
  if (mProgress && now >= mNextProgress) {
    mNextProgress = now + kProgressPeriod;
    mProgress(mReport);
  }
  if (now >= mDrainDeadline) {
    CancelOpen();
  }
  FinishWhenIdle();
}

void load_generator::Arrive(const load_source& aSource, time_point aArrival)
{
  ++mReport.mRequests;
  ++mReport.mRanks[RankOf(aSource)].mRequests;
  ++mReport.mAccounts[aSource.mAccount].mRequests;
  if (mReport.mOpen >= mWorkload.mMaxConcurrent) {
    ++mReport.mOutcomes["skipped"];
    return;
  }
  ++mReport.mOpen;
  mReport.mMostOpen = std::max(mReport.mMostOpen, mReport.mOpen);
  mEndpoints.Get(aSource.mApiKey, [this, &aSource, aArrival](auto aEndpoints) {
    SendTo(aSource, aArrival, std::move(aEndpoints));
  });
}

void load_generator::SendTo(const load_source& aSource,
                            time_point aArrival,
                            std::vector<socket_address> aEndpoints)
{
  if (mDone) {
    return;
  }
  const std::uint64_t number = mNextNumber++;
  if (!aEndpoints.empty()) {
    // Spreads the requests of an account over its endpoints.
    const auto first = aEndpoints.begin() +
                       static_cast<std::ptrdiff_t>(number % aEndpoints.size());
    std::rotate(aEndpoints.begin(), first, aEndpoints.end());
  }
  load_call call;
  call.mApiKey = aSource.mApiKey;
  call.mIdempotencyKey = fmt::format("load-{:x}-{}", mRun, number);
  call.mBody = BodyOf(aSource);
  call.mEndpoints = std::move(aEndpoints);
  call.mMaxAttempts = mWorkload.mMaxAttempts;
  call.mArrival = aArrival;
  const auto request = std::make_shared<load_request>(
    mSession, mTime, std::move(call), EventsOf(aSource, number));
  mOpen[number] = request;
  request->Start();
}

load_events load_generator::EventsOf(const load_source& aSource,
                                     std::uint64_t aNumber)
{
  load_events events;
  events.mFirstToken = [this, &aSource](microseconds aTime) {
    mReport.mRanks[RankOf(aSource)].mFirstToken.Add(aTime);
  };
  events.mBetweenTokens = [this, &aSource](microseconds aTime) {
    mReport.mRanks[RankOf(aSource)].mBetweenTokens.Add(aTime);
  };
  events.mRetry = [this] { ++mReport.mRetries; };
  events.mFinished = [this, &aSource, aNumber](const std::string& aOutcome,
                                               const completion_check& aCheck) {
    Finished(aSource, aNumber, aOutcome, aCheck);
  };
  return events;
}

void load_generator::Finished(const load_source& aSource,
                              std::uint64_t aNumber,
                              const std::string& aOutcome,
                              const completion_check& aCheck)
{
  --mReport.mOpen;
  ++mReport.mOutcomes[aOutcome];
  if (aOutcome == "ok") {
    account_report& account = mReport.mAccounts[aSource.mAccount];
    ++mReport.mRanks[RankOf(aSource)].mComplete;
    ++account.mComplete;
    account.mPromptTokens += aCheck.PromptTokens();
    account.mOutputTokens += aCheck.OutputTokens();
  }
  mOpen.erase(aNumber);
}

void load_generator::CancelOpen()
{
  const auto open = mOpen;
  for (const auto& [number, request] : open) {
    request->Cancel("unfinished");
  }
}

void load_generator::FinishWhenIdle()
{
  const time_point now = mTime.Now();
  const bool ended =
    now >= mLastArrival || mReport.mRequests >= mWorkload.mMaxRequests;
  // Requests that still wait for endpoints at the deadline are not in `mOpen`.
  if (mDone || !ended || (mReport.mOpen > 0 && now < mDrainDeadline)) {
    return;
  }
  if (mReport.mOpen > 0) {
    mReport.mOutcomes["unfinished"] += mReport.mOpen;
    mReport.mOpen = 0;
  }
  mDone = true;
  mTimer.Cancel();
  if (mDoneCallback) {
    mDoneCallback(mReport);
  }
}

microseconds load_generator::NextGap(const load_source& aSource)
{
  std::exponential_distribution<double> seconds(aSource.mRate);
  const double gap = std::min(seconds(mRandom), 1e6);
  return microseconds(static_cast<std::int64_t>(gap * 1e6));
}

std::uint32_t load_generator::Draw(const size_range& aRange)
{
  std::uniform_int_distribution<std::uint32_t> sizes(aRange.mLeast,
                                                     aRange.mMost);
  return sizes(mRandom);
}

std::string load_generator::BodyOf(const load_source& aSource)
{
  // About one token per word. The number makes prompts differ, so that they
  // have no common fingerprint.
  std::string prompt = fmt::format("{}", mRandom());
  const std::uint32_t words = Draw(aSource.mPromptTokens);
  for (std::uint32_t i = 1; i < words; ++i) {
    prompt += " word";
  }
  nlohmann::json body = {
    { "model", aSource.mModel.mName },
    { "messages", { { { "role", "user" }, { "content", prompt } } } },
    { "max_tokens", Draw(aSource.mOutputTokens) },
    { "stream", true },
    { "stream_options", { { "include_usage", true } } },
  };
  if (aSource.mRank) {
    body["rank"] = WorkRankName(*aSource.mRank);
  }
  return body.dump();
}
