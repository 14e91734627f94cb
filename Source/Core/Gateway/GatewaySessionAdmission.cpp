// Parts of `gateway_session` that decide whether and where to send a request.

#include "Gateway/GatewaySession.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Common/Hash.h"
#include "Net/HttpStatus.h"

namespace {

using std::chrono::milliseconds;

// Longest wait for prepaid tokens that are being fetched: two transactions of a
// store that is not slowed down.
constexpr milliseconds kTokenWaitTimeout(150);
// Longest wait for a reply of the store or of a peer while the state is too old
// to act on. A process that was paused has recent state again within a few ms.
constexpr milliseconds kStateWaitTimeout(100);
constexpr milliseconds kBlockedRetryDelay(5000);
// Retry-After of a resumption whose software version has no server left. Its
// servers do not come back within the time of a stream.
constexpr milliseconds kVersionGoneRetryDelay(5000);
// Retry-After while another copy of a suspect is in progress: the time in which
// a silent server is noticed.
constexpr milliseconds kSuspectRetryDelay(2000);

} // namespace

void gateway_session::AdvanceState(time_point aNow)
{
  if (HasRecentState(aNow)) {
    mRoutes = mContext.mRoutes;
    mStage = stage::NeedTokens;
    Begin();
  }
}

bool gateway_session::HasRecentState(time_point aNow)
{
  if (mContext.mState != state_verdict::Outdated) {
    mStateWaitUntil.reset();
    return true;
  }
  if (!mStateWaitUntil) {
    mStateWaitUntil = aNow + kStateWaitTimeout;
  }
  if (aNow >= *mStateWaitUntil) {
    SendClientElsewhere();
    EndUnsent("state_outdated", kRefusalRetryDelay);
  }
  return false;
}

void gateway_session::AdvanceOrigin(time_point aNow)
{
  std::vector<service_id> services;
  for (const service_share& share : mRoute->mServices) {
    services.push_back(share.mService);
  }
  const stream_lookup found =
    mContext.mStreamOrigins.Lookup(StreamKey(mRequest.mResumedRequestId),
                                   services,
                                   mContext.mServersCurrentAt,
                                   mArrived,
                                   aNow);
  if (found.mState == stream_lookup::state::Pending) {
    return;
  }
  if (found.mState == stream_lookup::state::Unknown) {
    mContext.mMetrics.OnStreamResumption("unknown");
    Refuse("stream_version_unknown", kRefusalRetryDelay);
    return;
  }
  placement_query query = Query();
  query.mSoftware = found.mSoftware;
  bool evacuated = false;
  const auto service =
    std::ranges::find_if(services, [&](const service_id& aService) {
      query.mService = aService;
      evacuated =
        evacuated || mContext.mUpstreamRegistry.OnlyEvacuated(query, aNow);
      return mContext.mUpstreamRegistry.HasUsable(query, aNow);
    });
  if (service == services.end() && evacuated) {
    mContext.mMetrics.OnStreamResumption("zone_evacuated");
    EndUnsent("zone_evacuated", std::nullopt);
    return;
  }
  if (service == services.end()) {
    mContext.mMetrics.OnStreamResumption("version_gone");
    Refuse("stream_version_gone", kVersionGoneRetryDelay);
    return;
  }
  mContext.mMetrics.OnStreamResumption(found.mSource);
  mService = *service;
  mPinnedSoftware = found.mSoftware;
  mStage = stage::NeedTokens;
}

void gateway_session::AdvanceTokens(time_point aNow)
{
  if (mContext.mUpstreamRegistry.ExceedsMemory(Query())) {
    // Coming back does not help.
    EndUnsent("larger_than_server", std::nullopt);
    return;
  }
  const std::int64_t need = mRequest.mPromptTokens + mRequest.mMaxOutputTokens;
  if (mAccount == nullptr || !mAccount->mPrepaidTokens || need == 0) {
    mStage = stage::NeedServer;
    return;
  }
  const reserve_verdict verdict =
    mContext.mTokenAllowance.Reserve(mAccount->mName, need, aNow);
  if (verdict == reserve_verdict::Granted) {
    mReserved = need;
    mStage = stage::NeedServer;
  } else if (need > *mAccount->mPrepaidTokens) {
    Answer(http_status::kPaymentRequired, "larger_than_prepaid", std::nullopt);
  } else if (mContext.mStop &&
             mContext.mTokenAllowance.FreeTokens(mAccount->mName) < need &&
             IsOtherNodeReady(aNow)) {
    // Tokens that are fetched now would soon have to be returned.
    EndUnsentInStop(aNow);
  } else if (verdict == reserve_verdict::Exhausted ||
             aNow >= mArrived + kTokenWaitTimeout ||
             !mContext.mTokenAllowance.MayCoverWithin(
               mAccount->mName,
               need,
               std::chrono::ceil<milliseconds>(mArrived + kTokenWaitTimeout -
                                               aNow),
               aNow)) {
    if (verdict == reserve_verdict::Awaiting) {
      mContext.mTokenAllowance.OnUnmetDemand(mAccount->mName, need, aNow);
    }
    const auto expected =
      mContext.mTokenAllowance.TokensExpectedAt(mAccount->mName, need, aNow);
    std::optional<milliseconds> retryAfter;
    if (expected) {
      retryAfter = std::chrono::ceil<milliseconds>(*expected - aNow);
    }
    Answer(http_status::kServiceUnavailable,
           verdict == reserve_verdict::Exhausted ? "prepaid_exhausted"
                                                 : "prepaid_unavailable",
           retryAfter);
  }
}

placement_query gateway_session::Query() const
{
  placement_query query;
  query.mService = mService;
  query.mSoftware = mPinnedSoftware;
  query.mZone = mContext.mSettings.mZone;
  query.mPromptTokens = mRequest.mPromptTokens;
  query.mOutputTokens = mRequest.mMaxOutputTokens;
  query.mPrompt = mRequest.mPrompt.empty() ? nullptr : &mRequest.mPrompt;
  query.mExcluded = mTriedUpstreams;
  query.mAllowedZones = mAllowedZones ? &*mAllowedZones : nullptr;
  if (mContext.mSettings.mLearnServerCapacity) {
    query.mRandom = StableHash(mRequest.mId);
    query.mEventGapObjective =
      mRoute == nullptr ? milliseconds(0) : mRoute->mEventGapObjective;
  }
  return query;
}

admission_query gateway_session::AdmissionQuery() const
{
  admission_query query;
  query.mArrived = mArrived;
  query.mDeadline = mDeadline;
  query.mObjective = mRoute == nullptr ? milliseconds(0) : mRoute->mObjective;
  return query;
}

bool gateway_session::EndIfSuspect(time_point aNow)
{
  const auto& [content, segments] = mFingerprint;
  if (mContext.mCrashes.Blocked(content, aNow)) {
    EndUnsent("request_crashes_servers", kBlockedRetryDelay);
    return true;
  }
  const segment_judgement judgement =
    mContext.mSegmentCrashes.Judge(segments, aNow);
  mSegmentVerdict = judgement.mVerdict;
  if (mSegmentVerdict == segment_verdict::Refuse) {
    EndUnsent("prompt_crashes_servers", kBlockedRetryDelay);
    return true;
  }
  if ((mContext.mCrashes.IsLastAttempt(content, aNow) &&
       mContext.mUnanswered.Contains(content)) ||
      mContext.mUnanswered.ContainsAny(judgement.mSuspects)) {
    EndUnsent("suspect_in_progress", kSuspectRetryDelay);
    return true;
  }
  return false;
}

std::optional<placement> gateway_session::ChooseServer(time_point aNow) const
{
  placement_query query = Query();
  if (mContext.mCrashes.CrashCount(mFingerprint.mContent, aNow) > 0) {
    std::ranges::copy(mContext.mUnanswered.ServersOfSuspects(
                        mContext.mCrashes, mFingerprint.mContent, aNow),
                      std::back_inserter(query.mExcluded));
    if (auto chosen = mContext.mUpstreamRegistry.Choose(query, aNow)) {
      return chosen;
    }
  }
  return mContext.mUpstreamRegistry.Choose(Query(), aNow);
}

bool gateway_session::FitsBeforeStop(time_point aNow) const
{
  return !mContext.mStop ||
         FitsBeforeEnd(
           *mContext.mStop,
           { LatestEnd(), mContext.mDurations.Longest(mRoute->mName, aNow) },
           aNow);
}

bool gateway_session::IsOtherNodeReady(time_point aNow) const
{
  return mContext.mFleet.HasRelayTarget(aNow, mRegions);
}

void gateway_session::EndUnsentInStop(time_point aNow)
{
  EndUnsent("node_leaving",
            RetryAfterInStop(*mContext.mStop, IsOtherNodeReady(aNow), aNow));
}

void gateway_session::AdvanceServer(time_point aNow)
{
  if (!FitsBeforeStop(aNow)) {
    EndUnsentInStop(aNow);
    return;
  }
  // State may have become old, or crashes known, since the request arrived or
  // was sent.
  if (!HasRecentState(aNow)) {
    return;
  }
  if (CanBeRelayed()) {
    mStage = stage::NeedRelay;
    return;
  }
  if (EndIfSuspect(aNow)) {
    return;
  }
  auto chosen = ChooseServer(aNow);
  if (!chosen && !mTriedUpstreams.empty()) {
    // No other server is left; one that failed before is better than none.
    placement_query query = Query();
    query.mExcluded.clear();
    chosen = mContext.mUpstreamRegistry.Choose(query, aNow);
  }
  admission_query query = AdmissionQuery();
  const time_point leavesAt = LeavesAt(aNow);
  const bool linkFull = leavesAt > mContext.mLatestLeavesAt;
  query.mHasPlacement = chosen && !linkFull;
  if (chosen) {
    const double linkMs =
      std::chrono::duration<double, std::milli>(leavesAt - aNow).count();
    query.mExpectedMs = chosen->mExpectedMs + linkMs;
    query.mWaitMs = chosen->mWaitMs + linkMs;
    query.mOutputMs = chosen->mOutputMs;
  } else {
    placement_query all = Query();
    all.mExcluded.clear();
    query.mLimitedUntil = mContext.mUpstreamRegistry.LimitedUntil(all, aNow);
  }
  if (EndIfShed(query, aNow)) {
    return;
  }
  admission_verdict verdict = Admit(query, aNow);
  if (verdict != admission_verdict::Send) {
    RecordNoRoom(chosen, query, aNow);
  }
  if (verdict == admission_verdict::Wait &&
      !mContext.mUpstreamRegistry.HasUsable(Query(), aNow)) {
    verdict = admission_verdict::Refuse;
  }
  if (verdict == admission_verdict::Refuse && !chosen &&
      mContext.mUpstreamRegistry.OnlyEvacuated(Query(), aNow)) {
    // Nobody knows when the zone is taken back, so no delay is promised.
    EndUnsent("zone_evacuated", std::nullopt);
    return;
  }
  if (verdict == admission_verdict::Refuse && mAllowedZones &&
      !mContext.mUpstreamRegistry.HasUsable(Query(), aNow)) {
    // Without a home in common, coming back does not help.
    EndUnsent(
      "no_home_server",
      mAllowedZones->empty()
        ? std::nullopt
        : std::optional(RetryAfter(query, aNow, StableHash(mRequest.mId))));
    return;
  }
  // Until the server has taken the body, it is held twice. A node that holds no
  // other request sends it all the same.
  const std::size_t body = mRequest.mBody.size();
  if (verdict == admission_verdict::Send && mAttempts == 0 &&
      mContext.mHeld.Of(held_kind::RequestBodies) > mHeldShare.Bytes() &&
      !mContext.mHeld.HasRoom(body)) {
    EndUnsent("memory_full", kRefusalRetryDelay);
    return;
  }
  if (verdict == admission_verdict::Send) {
    Send(*chosen, aNow);
  } else if (verdict == admission_verdict::Refuse) {
    const char* reason = chosen ? "too_late" : "servers_full";
    if (aNow < query.mLimitedUntil) {
      reason = mContext.mUpstreamRegistry.HasCold(Query(), aNow)
                 ? "servers_cold"
                 : "servers_limited";
    }
    if (chosen && linkFull) {
      reason = "link_full";
      SendClientElsewhere();
    }
    EndUnsent(mMayHaveRun ? "no_server_for_repeat" : reason,
              RetryAfter(query, aNow, StableHash(mRequest.mId)));
  }
}

void gateway_session::SendClientElsewhere()
{
  if (mClient != nullptr) {
    mClient->SetCloseAfterResponse();
  }
}

bool gateway_session::CanBeRelayed() const
{
  return mContext.mRelaying && !mRequest.mRelayed && !mResponseStarted &&
         (!mMayHaveRun || IsRetryable());
}
