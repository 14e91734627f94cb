// Parts of `gateway_session` and `gateway_node` that shed load of overloaded
// services, see `admission_control`.

#include <algorithm>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Gateway/GatewayNode.h"
#include "Gateway/GatewaySession.h"

namespace {

// Cost of an output token in prompt tokens.
constexpr double kOutputTokenCost = 10.0;

/// Share of each rank, the most urgent first.
std::string FormatShares(const std::map<int, double>& aShares)
{
  std::string text;
  for (const auto& [rank, share] : aShares) {
    text.append(
      fmt::format("{}{}:{:.2f}", text.empty() ? "" : ",", rank, share));
  }
  return text;
}

} // namespace

double gateway_session::AdmissionCost() const
{
  const double tokens =
    static_cast<double>(mRequest.mPromptTokens) +
    kOutputTokenCost * static_cast<double>(mRequest.mMaxOutputTokens);
  return std::max(tokens, 1.0);
}

bool gateway_session::EndIfShed(const admission_query& aQuery, time_point aNow)
{
  if (!mContext.mSettings.mShedByRank || mAdmitted || mMayHaveRun ||
      mAttempts > 0 || mResponseStarted || IsResumption()) {
    return false;
  }
  shed_query query;
  query.mService = ServiceKey(mService.mName);
  query.mAccount =
    AdmissionAccountKey(mAccount == nullptr ? "" : mAccount->mName.mName);
  query.mRank = mPriority;
  query.mCost = AdmissionCost();
  query.mContent = mFingerprint.mContent.mLow;
  query.mMaxDelay = LongestDelay(aQuery, aNow);
  const auto clock = mContext.mStore.Clock();
  const shed_decision decision = mContext.mAdmission.Decide(query, clock, aNow);
  mAdmitted = decision.mAdmit;
  if (mAdmitted) {
    return false;
  }
  auto comeBack = decision.mComeBack;
  if (!clock) {
    comeBack = RetryAfter(aQuery, aNow, StableHash(mRequest.mId));
  }
  mContext.mMetrics.OnShed(mPriority, decision.mComeBack.has_value());
  Log(log_level::Info,
      "request_shed",
      { Field("id", mRequest.mId),
        Field("service", mService.mName),
        Field("rank", mPriority),
        Field("share", fmt::format("{:.3f}", decision.mShare)),
        Field("position", fmt::format("{:.3f}", decision.mPosition)),
        Field("come_back_ms", comeBack ? comeBack->count() : -1) });
  EndUnsent("shed_by_rank", comeBack);
  return true;
}

void gateway_session::RecordNoRoom(const std::optional<placement>& aChosen,
                                   admission_query aQuery,
                                   time_point aNow)
{
  bool noRoom = false;
  if (aChosen) {
    // The wait for the link of this host says nothing of the servers.
    aQuery.mWaitMs = aChosen->mWaitMs;
    noRoom = WaitsTooLong(aQuery);
  } else {
    // A rate limit or an excluded server is no lack of places.
    noRoom = aNow >= aQuery.mLimitedUntil && mTriedUpstreams.empty();
  }
  if (noRoom) {
    mContext.mAdmission.OnNoRoom(ServiceKey(mService.mName), aNow);
  }
}

void gateway_node::UpdateAdmission(time_point aNow)
{
  if (!mSettings.mShedByRank) {
    // Drops what nodes with the setting report.
    mAdmission.Update(1, aNow);
    return;
  }
  double shedding = 0.0;
  std::map<std::uint16_t, std::string> names;
  for (const auto& [service, use] : mUpstreamRegistry.ServiceUse(aNow)) {
    const std::uint16_t key = ServiceKey(service.mName);
    names[key] = service.mName;
    mAdmission.SetLoad(key,
                       { static_cast<double>(use.mPlaces),
                         static_cast<double>(use.mTaken),
                         false },
                       aNow);
    shedding += mAdmission.InForce(key) ? 1.0 : 0.0;
  }
  mMetrics.SetSheddingServices(shedding);
  // Without overload, nothing is sent.
  const std::vector<offered_cost> costs = mAdmission.Report(aNow);
  if (!costs.empty()) {
    mPeerTransport.SendOfferedCosts(costs);
  }
  mAdmission.Update(mFleet.LiveNodeCount(aNow), aNow);
  for (const admission_state& state : mAdmission.TakeChanges(aNow)) {
    Log(log_level::Info,
        "admission_changed",
        { Field("service", names[state.mService]),
          Field("in_force", state.mInForce),
          Field("capacity", fmt::format("{:.0f}", state.mCapacity)),
          Field("shares", FormatShares(state.mShareByRank)) });
  }
}
