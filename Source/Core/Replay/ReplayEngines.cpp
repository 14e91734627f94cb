#include "Replay/ReplayFleet.h"

/// The engines' side of the fleet: steps, failures, reports.

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

} // namespace

void replay_fleet::BeginStep(std::uint32_t aEngine)
{
  engine& target = mEngines[aEngine];
  target.mStepping = true;
  const microseconds length = target.mModel.BeginStep(mEvents.Now());
  const std::uint64_t epoch = target.mEpoch;
  mEvents.PostAfter(length,
                    [this, aEngine, epoch] { EndStep(aEngine, epoch); });
}

void replay_fleet::EndStep(std::uint32_t aEngine, std::uint64_t aEpoch)
{
  engine& target = mEngines[aEngine];
  if (target.mEpoch != aEpoch) {
    return;
  }
  engine_progress progress = target.mModel.Step(mEvents.Now());
  if (progress.mCrashedBy) {
    CrashEngine(aEngine, *progress.mCrashedBy);
    return;
  }
  target.mCacheChanges.insert(target.mCacheChanges.end(),
                              progress.mCacheChanges.begin(),
                              progress.mCacheChanges.end());
  for (const engine_attempt& attempt : progress.mFirstTokens) {
    ToNode(attempt.mNode, mDelays.mNetwork, [this, attempt](auto& aPolicy) {
      request_record& record = mResult.mRecords[attempt.mRequest.mLow - 1];
      if (!record.mReject && !record.mFirstTokenAt) {
        record.mFirstTokenAt = mEvents.Now();
      }
      aPolicy.OnFirstToken(attempt.mRequest, mEvents.Now());
    });
  }
  for (const engine_attempt& attempt : progress.mFinished) {
    Finish(attempt, attempt_outcome::Completed, mDelays.mNetwork);
  }
  if (target.mModel.Idle()) {
    target.mStepping = false;
  } else {
    BeginStep(aEngine);
  }
}

void replay_fleet::Finish(const engine_attempt& aAttempt,
                          attempt_outcome aOutcome,
                          microseconds aDelay)
{
  ToNode(
    aAttempt.mNode, aDelay, [this, aAttempt, aOutcome](replay_policy& aPolicy) {
      request_record& record = mResult.mRecords[aAttempt.mRequest.mLow - 1];
      if (aOutcome != attempt_outcome::Completed) {
        record.mWastedTokens += aAttempt.mGenerated;
      } else if (!record.mReject) {
        record.mCompletedAt = mEvents.Now();
      }
      aPolicy.OnTokens(aAttempt.mRequest, aAttempt.mGenerated, mEvents.Now());
      aPolicy.OnFinished(aAttempt.mRequest, aOutcome, mEvents.Now());
    });
}

void replay_fleet::CrashEngine(std::uint32_t aEngine,
                               const engine_attempt& aCause)
{
  const trace_arrival& arrival = mTrace.mArrivals[aCause.mRequest.mLow - 1];
  ++mResult.mCrashes[arrival.mContent];
  engine& target = mEngines[aEngine];
  target.mUp = false;
  ++target.mEpoch;
  target.mStepping = false;
  for (const engine_attempt& lost : target.mModel.Fail()) {
    Finish(lost, attempt_outcome::UpstreamCrashed, mDelays.mNetwork);
  }
  mEvents.PostAfter(mDelays.mRestart, [this, aEngine] {
    if (!mEngines[aEngine].mHostLost) {
      RestartEngine(aEngine);
    }
  });
}

void replay_fleet::LoseEngine(std::uint32_t aEngine, milliseconds aPeriod)
{
  engine& target = mEngines[aEngine];
  target.mUp = false;
  target.mHostLost = true;
  ++target.mEpoch;
  target.mStepping = false;
  for (const engine_attempt& lost : target.mModel.Fail()) {
    const attempt_outcome outcome = lost.mGenerated > 0
                                      ? attempt_outcome::BrokeMidStream
                                      : attempt_outcome::BrokeBeforeFirstToken;
    Finish(lost, outcome, mDelays.mStreamTimeout);
  }
  mEvents.PostAfter(mDelays.mHostListLag, [this] { SendHostList(); });
  mEvents.PostAfter(aPeriod, [this, aEngine] {
    mEngines[aEngine].mHostLost = false;
    RestartEngine(aEngine);
    mEvents.PostAfter(mDelays.mHostListLag, [this] { SendHostList(); });
  });
}

void replay_fleet::RestartEngine(std::uint32_t aEngine)
{
  mEngines[aEngine].mUp = true;
  mEngines[aEngine].mCacheSequence = 0;
  mEngines[aEngine].mCacheChanges.clear();
}

void replay_fleet::LeaveEngine(std::uint32_t aEngine)
{
  const upstream_id name = mTrace.mHeader.mEngines[aEngine].mUpstream;
  mLeavingSince[name] = mEvents.Now();
  for (std::uint32_t i = 0; i < mNodes.size(); ++i) {
    ToNode(i, mDelays.mLeavingDelay, [this, i, name](auto& aPolicy) {
      mNodes[i].mLeaving.insert(name);
      aPolicy.OnUpstreamLeaving(name, mEvents.Now());
    });
  }
  mEvents.PostAfter(mDelays.mHostListLag, [this] { SendHostList(); });
}

void replay_fleet::SendReports()
{
  for (std::uint32_t number = 0; number < mEngines.size(); ++number) {
    const engine& source = mEngines[number];
    if (!source.mUp) {
      continue;
    }
    load_report report;
    report.mMeasuredAt = mEvents.Now();
    report.mRunning = source.mModel.Running();
    report.mWaiting = source.mModel.Waiting();
    report.mSlots = source.mModel.Slots();
    report.mModels = mTrace.mHeader.mEngines[number].mModels;
    const upstream_id name = mTrace.mHeader.mEngines[number].mUpstream;
    for (node& receiver : mNodes) {
      mEvents.PostAfter(mDelays.mReportLag, [this, &receiver, name, report] {
        receiver.mPolicy->OnLoadReport(name, report, mEvents.Now());
      });
    }
  }
}

void replay_fleet::SendCacheEvents()
{
  std::bernoulli_distribution lost(mDelays.mCacheLoss);
  for (std::uint32_t number = 0; number < mEngines.size(); ++number) {
    engine& source = mEngines[number];
    if (source.mCacheChanges.empty()) {
      continue;
    }
    const cache_events events{ ++source.mCacheSequence,
                               std::move(source.mCacheChanges) };
    source.mCacheChanges.clear();
    const upstream_id name = mTrace.mHeader.mEngines[number].mUpstream;
    for (node& receiver : mNodes) {
      if (lost(mRandom)) {
        continue;
      }
      mEvents.PostAfter(mDelays.mCacheLag, [this, &receiver, name, events] {
        receiver.mPolicy->OnCacheEvents(name, events, mEvents.Now());
      });
    }
  }
}

void replay_fleet::SendHostList()
{
  std::vector<listed_upstream> entries;
  for (std::size_t i = 0; i < mEngines.size(); ++i) {
    if (mEngines[i].mHostLost) {
      continue;
    }
    const trace_engine& listed = mTrace.mHeader.mEngines[i];
    listed_upstream entry;
    entry.mUpstream = listed.mUpstream;
    entry.mZone = listed.mZone;
    entry.mRegion = { "region" };
    entry.mLeaving = mLeavingSince.contains(listed.mUpstream);
    entry.mModels = listed.mModels;
    entries.push_back(std::move(entry));
  }
  for (node& receiver : mNodes) {
    receiver.mPolicy->SetUpstreams(entries, mEvents.Now());
  }
}
