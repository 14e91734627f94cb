#include "Replay/ReplayFleet.h"

#include <algorithm>
#include <string>

#include "Common/Hash.h"

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr time_point kStart{ std::chrono::seconds(1'000) };
// Requests of the last moments get this long to finish.
constexpr milliseconds kRunOut{ 60'000 };
// Nodes must not start work on a leaving upstream after this (invariant 6).
constexpr milliseconds kLeavingLimit{ 3'000 };

time_point At(std::int64_t aMs)
{
  return kStart + milliseconds(aMs);
}

std::size_t RecordOf(const request_id& aRequest)
{
  return static_cast<std::size_t>(aRequest.mLow - 1);
}

std::vector<std::uint64_t> PrefixBlocks(std::uint64_t aPrefix,
                                        std::uint32_t aCount)
{
  std::vector<std::uint64_t> blocks;
  std::uint64_t chain = aPrefix;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    chain = StableHash("block", chain);
    blocks.push_back(chain);
  }
  return blocks;
}

} // namespace

replay_fleet::replay_fleet(const trace& aTrace,
                           policy_kind aPolicy,
                           const dispatch_settings& aSettings,
                           const replay_delays& aDelays,
                           const replay_engine_speed& aSpeed)
  : mTrace(aTrace)
  , mDelays(aDelays)
  , mSpeed(aSpeed)
  , mRandom(aTrace.mHeader.mSeed)
{
  const trace_header& header = aTrace.mHeader;
  for (const trace_engine& engine : header.mEngines) {
    mEngineNumbers[engine.mUpstream] =
      static_cast<std::uint32_t>(mEngines.size());
    mEngines.push_back(
      { engine_model(engine.mSlots, mSpeed), {}, {}, {}, {}, {}, {} });
    mEngines.back().mUp = true;
  }
  for (std::size_t i = 0; i < header.mNodes.size(); ++i) {
    dispatch_settings settings = aSettings;
    settings.mNode = header.mNodes[i].mNode;
    settings.mZone = header.mNodes[i].mZone;
    settings.mRegion = { "region" };
    settings.mNodesPerUpstream =
      static_cast<std::uint32_t>(header.mNodes.size());
    settings.mSeed = header.mSeed + i;
    node added;
    added.mPolicy = MakePolicy(aPolicy, settings);
    mNodes.push_back(std::move(added));
  }
}

replay_result replay_fleet::Run()
{
  mEvents.RunUntil(kStart);
  SendHostList();
  PostTrace();
  PostPeriodic();
  mEvents.RunUntil(At(mTrace.mHeader.mDurationMs) + kRunOut);
  return std::move(mResult);
}

void replay_fleet::PostTrace()
{
  mResult.mRecords.resize(mTrace.mArrivals.size());
  for (std::size_t i = 0; i < mTrace.mArrivals.size(); ++i) {
    mEvents.Post(At(mTrace.mArrivals[i].mAtMs), [this, i] { Arrive(i); });
  }
  for (const trace_event& event : mTrace.mEvents) {
    mEvents.Post(At(event.mAtMs), [this, &event] { PostEvent(event); });
  }
}

void replay_fleet::PostEvent(const trace_event& aEvent)
{
  if (aEvent.mKind == trace_event_kind::CrashMarker) {
    mCrashers[aEvent.mContent] = milliseconds(aEvent.mPeriodMs);
    return;
  }
  const auto found = mEngineNumbers.find(aEvent.mUpstream);
  if (found == mEngineNumbers.end()) {
    return;
  }
  if (aEvent.mKind == trace_event_kind::UpstreamLost) {
    LoseEngine(found->second, milliseconds(aEvent.mPeriodMs));
  } else {
    LeaveEngine(found->second);
  }
}

void replay_fleet::PostPeriodic()
{
  const time_point end = At(mTrace.mHeader.mDurationMs) + kRunOut;
  const auto repeat = [&](milliseconds aPeriod, void (replay_fleet::*aStep)()) {
    for (time_point at = kStart + aPeriod; at <= end; at += aPeriod) {
      mEvents.Post(at, [this, aStep] { (this->*aStep)(); });
    }
  };
  repeat(mDelays.mReportPeriod, &replay_fleet::SendReports);
  repeat(mDelays.mCachePeriod, &replay_fleet::SendCacheEvents);
  repeat(mDelays.mTick, &replay_fleet::TickAllNodes);
}

std::uint32_t replay_fleet::NodeOf(const trace_arrival& aArrival,
                                   std::size_t aNumber)
{
  std::vector<std::uint32_t>& nodes = mAccountNodes[aArrival.mAccount];
  if (nodes.empty()) {
    std::uint32_t count = 2;
    for (const trace_account& account : mTrace.mHeader.mAccounts) {
      count = account.mAccount == aArrival.mAccount ? account.mNodes : count;
    }
    std::vector<std::pair<std::uint64_t, std::uint32_t>> ranked;
    for (std::uint32_t i = 0; i < mNodes.size(); ++i) {
      ranked.emplace_back(
        RendezvousWeight(aArrival.mAccount.mName,
                         mTrace.mHeader.mNodes[i].mNode.mName),
        i);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    const std::size_t used = std::clamp<std::size_t>(count, 1, ranked.size());
    for (std::size_t i = 0; i < used; ++i) {
      nodes.push_back(ranked[i].second);
    }
  }
  return nodes[StableHash("caller", aNumber) % nodes.size()];
}

dispatch_request replay_fleet::MakeRequest(std::size_t aNumber) const
{
  const trace_arrival& arrival = mTrace.mArrivals[aNumber];
  dispatch_request request;
  request.mRequest = { 1, aNumber + 1 };
  request.mAccount = arrival.mAccount;
  for (const trace_account& account : mTrace.mHeader.mAccounts) {
    if (account.mAccount == arrival.mAccount) {
      request.mWeight = account.mWeight;
    }
  }
  request.mRank = arrival.mRank;
  request.mFreeTier = arrival.mFreeTier;
  request.mModel = arrival.mModel;
  request.mPromptTokens = arrival.mPromptTokens;
  request.mMaxOutputTokens = arrival.mMaxOutputTokens;
  request.mContent =
    MakeContentId(arrival.mAccount, std::to_string(arrival.mContent));
  request.mPrefixBlocks = PrefixBlocks(arrival.mPrefix, arrival.mPrefixBlocks);
  return request;
}

void replay_fleet::Arrive(std::size_t aNumber)
{
  request_record& record = mResult.mRecords[aNumber];
  record.mArrival = aNumber;
  record.mArrivedAt = mEvents.Now();
  const std::uint32_t at = NodeOf(mTrace.mArrivals[aNumber], aNumber);
  mNodes[at].mPolicy->Enqueue(MakeRequest(aNumber), mEvents.Now());
  TickNode(at);
}

void replay_fleet::TickAllNodes()
{
  for (std::uint32_t i = 0; i < mNodes.size(); ++i) {
    if (mNodes[i].mPolicy->HasWaiting()) {
      TickNode(i);
    }
  }
}

void replay_fleet::TickNode(std::uint32_t aNode)
{
  const dispatch_output output = mNodes[aNode].mPolicy->Tick(mEvents.Now());
  // Cancels go first: they make the room that starts use.
  for (const cancel_decision& cancel : output.mCancels) {
    HandleCancel(cancel);
  }
  for (const start_decision& start : output.mStarts) {
    HandleStart(aNode, start);
  }
  for (const reject_decision& reject : output.mRejects) {
    HandleReject(reject);
  }
  for (const quarantine_notice& notice : output.mNotices) {
    SendNotice(aNode, notice);
  }
}

void replay_fleet::HandleStart(std::uint32_t aNode,
                               const start_decision& aStart)
{
  const auto leaving = mLeavingSince.find(aStart.mUpstream);
  const bool late = leaving != mLeavingSince.end() &&
                    mEvents.Now() > leaving->second + kLeavingLimit;
  if (late || mNodes[aNode].mLeaving.contains(aStart.mUpstream)) {
    ++mResult.mStartsOnLeaving;
  }
  mResult.mRecords[RecordOf(aStart.mRequest)].mAttempts = aStart.mAttempt;
  mEvents.PostAfter(mDelays.mNetwork,
                    [this, aNode, aStart] { SubmitAttempt(aNode, aStart); });
}

void replay_fleet::HandleReject(const reject_decision& aReject)
{
  request_record& record = mResult.mRecords[RecordOf(aReject.mRequest)];
  record.mReject = aReject;
  if (aReject.mRun == run_state::NotRun && record.mRan) {
    ++mResult.mFalseNotRun;
  }
  if (aReject.mReason == reject_reason::Displaced) {
    ++mResult.mDisplaced;
  }
}

void replay_fleet::HandleCancel(const cancel_decision& aCancel)
{
  const std::uint32_t engine = mEngineNumbers.at(aCancel.mUpstream);
  const std::uint32_t attempt =
    mResult.mRecords[RecordOf(aCancel.mRequest)].mAttempts;
  mEvents.PostAfter(mDelays.mNetwork, [this, engine, aCancel, attempt] {
    mResult.mRecords[RecordOf(aCancel.mRequest)].mWastedTokens +=
      mEngines[engine].mModel.Cancel(aCancel.mRequest, attempt);
  });
}

void replay_fleet::SendNotice(std::uint32_t aNode,
                              const quarantine_notice& aNotice)
{
  for (std::uint32_t i = 0; i < mNodes.size(); ++i) {
    if (i == aNode) {
      continue;
    }
    const microseconds jitter(mRandom() % 1'000 * mDelays.mNoticeDelay.count());
    ToNode(i, mDelays.mNoticeDelay + jitter, [this, aNotice](auto& aPolicy) {
      aPolicy.OnQuarantineNotice(aNotice, mEvents.Now());
    });
  }
}

void replay_fleet::ToNode(std::uint32_t aNode,
                          microseconds aDelay,
                          std::function<void(replay_policy&)> aAction)
{
  mEvents.PostAfter(aDelay, [this, aNode, action = std::move(aAction)] {
    action(*mNodes[aNode].mPolicy);
    TickNode(aNode);
  });
}

void replay_fleet::SubmitAttempt(std::uint32_t aNode,
                                 const start_decision& aStart)
{
  const std::uint32_t number = mEngineNumbers.at(aStart.mUpstream);
  const std::size_t index = RecordOf(aStart.mRequest);
  const trace_arrival& arrival = mTrace.mArrivals[index];
  engine_attempt attempt;
  attempt.mRequest = aStart.mRequest;
  attempt.mNode = aNode;
  attempt.mAttempt = aStart.mAttempt;
  attempt.mPriority = aStart.mPriority;
  attempt.mPromptTokens = arrival.mPromptTokens;
  attempt.mOutputTokens = arrival.mOutputTokens;
  attempt.mBlocks = PrefixBlocks(arrival.mPrefix, arrival.mPrefixBlocks);
  engine& target = mEngines[number];
  if (!target.mUp) {
    const microseconds delay = target.mHostLost
                                 ? microseconds(mDelays.mConnectTimeout)
                                 : mDelays.mNetwork;
    Finish(attempt, attempt_outcome::RefusedBeforeRunning, delay);
    return;
  }
  const auto crasher = mCrashers.find(arrival.mContent);
  if (crasher != mCrashers.end()) {
    attempt.mCrashAfter = crasher->second;
  }
  mResult.mRecords[index].mRan = true;
  target.mModel.Submit(attempt);
  if (!target.mStepping) {
    BeginStep(number);
  }
}
