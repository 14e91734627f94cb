// Parts of `gateway_node` that concern the load of the host and its place in
// the address answers.

#include "Gateway/GatewayNode.h"

#include <algorithm>
#include <ctime>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "Common/EventLoop.h"
#include "Common/Log.h"

namespace {

std::chrono::nanoseconds ProcessorTime()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::string FormatUse(const std::optional<double>& aUse)
{
  return aUse ? fmt::format("{:.2f}", *aUse) : "unknown";
}

} // namespace

void gateway_node::UpdateLinkOverload(time_point aNow)
{
  const bool wasBusy = mLinkOverload.IsOverloaded();
  mLinkOverload.Update(ProcessTraffic(), aNow);
  const bool busy = mLinkOverload.IsOverloaded();
  if (busy != wasBusy) {
    Log(log_level::Info,
        busy ? "link_full" : "link_free",
        { Field("use", fmt::format("{:.2f}", mLinkOverload.Utilization())),
          Field("open_requests", mSessions.size()) });
  }
  std::string error;
  if (!mLastRequestsUntil && !mClientListener->SetAccepting(!busy, error)) {
    Log(log_level::Error, "clients_address_lost", { Field("error", error) });
  }
}

void gateway_node::UpdateHostLoad(time_point aNow)
{
  host_measurement measurement;
  if (mSettings.mLinkBytesPerSecond > 0.0) {
    measurement.mLinkUse = mLinkOverload.Utilization();
  }
  const bool usable = !mProcessor.IsClockUnusable();
  measurement.mProcessorUse =
    mProcessor.Update({ ProcessorTime(), LoopWaitTime(), aNow });
  if (usable && mProcessor.IsClockUnusable()) {
    Log(log_level::Info, "processor_clock_unusable");
  }
  if (mHeld.Limit() > 0) {
    measurement.mMemoryUse = mHeld.Use();
  }
  // While the process was suspended no report was read.
  measurement.mHeardByPeers =
    !mStalls.CanJudgeSilence(aNow) || mFleet.IsHeardByPeers(aNow);
  const bool wasOut = mHostLoad.HasLeftAnswers();
  mHostLoad.Update(measurement, aNow);
  const bool out = mHostLoad.HasLeftAnswers();

  node_report& self = mFleet.Self();
  self.mLinkUse = mHostLoad.LinkUse();
  self.mProcessorUse = mHostLoad.ProcessorUse();
  self.mClientConnections = static_cast<std::uint32_t>(mClientListener->Open());
  self.mClientState = mLinkOverload.IsOverloaded() ? client_state::Refusing
                      : out                        ? client_state::LeftAnswers
                                                   : client_state::Accepting;
  mMetrics.SetLinkUse(self.mLinkUse.value_or(0.0));
  mMetrics.SetProcessorUse(self.mProcessorUse.value_or(0.0));
  mMetrics.SetLeftAnswers(out ? 1.0 : 0.0);
  if (out == wasOut) {
    return;
  }
  Log(log_level::Info,
      out ? "left_answers" : "returned_to_answers",
      { Field("cause", mHostLoad.Cause()),
        Field("link_use", FormatUse(self.mLinkUse)),
        Field("processor_use", FormatUse(self.mProcessorUse)),
        Field("connections", *self.mClientConnections),
        Field("open_requests", mSessions.size()),
        Field("in_effect", mFleet.ChoosesEndpoints()) });
}

void gateway_node::UpdateEndpoints(time_point aNow)
{
  for (const endpoint_change& change : mFleet.UpdateEndpoints(aNow)) {
    // Clients ask the nodes of their zone first.
    if (change.mZone != mSettings.mZone) {
      continue;
    }
    Log(log_level::Info,
        "named_hosts_changed",
        { Field("zone", change.mZone.mName),
          Field("added", fmt::format("{}", fmt::join(change.mAdded, ","))),
          Field("dropped", fmt::format("{}", fmt::join(change.mDropped, ","))),
          Field("hosts", change.mChosen),
          Field("demand", FormatUse(change.mDemand)) });
  }
}

bool gateway_node::SendsClientsElsewhere() const
{
  return mHostLoad.HasLeftAnswers() && mFleet.ChoosesEndpoints();
}
