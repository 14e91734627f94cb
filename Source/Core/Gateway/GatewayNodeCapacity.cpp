// Parts of `gateway_node` that learn the capacity of servers.

#include <fmt/format.h>

#include "Common/Log.h"
#include "Gateway/GatewayNode.h"

namespace {

// Rounds of reports between two notices of observations: 1 s.
constexpr std::uint64_t kObservationRounds = 5;

} // namespace

void gateway_node::SendLoad(time_point aNow)
{
  if (!mSettings.mLearnServerCapacity) {
    return;
  }
  auto notice = mLoadSender.Update(
    mUpstreamRegistry.LocalWork(), mFleet.LiveNodeCount(aNow) - 1, aNow);
  if (notice) {
    mPeerTransport.SendLoad(std::move(*notice));
  }
}

void gateway_node::UpdateServerEstimates(time_point aNow)
{
  server_estimates* estimates = mUpstreamRegistry.Estimates();
  if (estimates == nullptr) {
    return;
  }
  mUpstreamRegistry.UpdateEstimates(aNow);
  if (++mEstimateRound % kObservationRounds == 0) {
    mPeerTransport.SendObservations(estimates->TakeObservations());
  }
  mMetrics.SetServerEstimates(estimates->EstimatedCount(),
                              mUpstreamRegistry.TurnedAwayShare(),
                              mPeerTransport.IgnoredObservations());
  for (const estimate_change& change : estimates->TakeChanges(aNow)) {
    Log(log_level::Info,
        "server_capacity_changed",
        { Field("server", mUpstreamRegistry.NameOf(change.mServer)),
          Field("slowness", fmt::format("{:.2f}", change.mSlowness)),
          Field("idle_gap_ms", fmt::format("{:.1f}", change.mIdleGapMs)),
          Field("limit", fmt::format("{:.1f}", change.mLimit)) });
  }
}
