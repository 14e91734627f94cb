// Parts of `gateway_session` that concern cold servers.

#include "Gateway/GatewaySession.h"

#include <fmt/format.h>

#include "Common/Log.h"

void gateway_session::RecordCold(time_point aNow)
{
  // A misdirected request was answered by another server.
  if (mAnswer.mMisdirected) {
    return;
  }
  for (const ignored_field& field : mAnswer.mIgnored) {
    Log(log_level::Warning,
        "header_ignored",
        { Field("id", mRequest.mId),
          Field("server_run", FormatServerRun(mServerRun)),
          Field("place", field.mPlace),
          Field("value", field.mValue) });
  }
  if (mAnswer.mColdTimeLeft) {
    mContext.mUpstreamRegistry.OnColdStated(mServerRun.mUpstream,
                                            mServerRun.mIncarnation,
                                            *mAnswer.mColdTimeLeft,
                                            aNow);
  }
}

void gateway_session::LogColdSend(time_point aNow) const
{
  const server_rate_limits& limits = mContext.mUpstreamRegistry.RateLimits();
  const std::uint32_t server = upstream_registry::KeyOf(mServerRun.mUpstream);
  const auto cold = limits.FindCold(server);
  if (!cold || !limits.IsCold(server, aNow)) {
    return;
  }
  mContext.mMetrics.OnColdSend(mAttempts > 1);
  Log(log_level::Info,
      "cold_send",
      { Field("id", mRequest.mId),
        Field("server_run", FormatServerRun(mServerRun)),
        Field("per_second", cold->mRequestsPerSecond),
        Field("own_per_second", fmt::format("{:.3f}", limits.OwnRate(server))),
        Field("cold_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(
                cold->mUntil - aNow)
                .count()),
        Field("attempts", mAttempts) });
}
