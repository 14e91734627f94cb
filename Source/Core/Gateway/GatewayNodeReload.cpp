// Part of `gateway_node` that applies changed settings.

#include "Gateway/GatewayNode.h"

#include "Common/Log.h"

void gateway_node::Reload(const gateway_settings& aSettings)
{
  mSettings.mRetries = aSettings.mRetries;
  mSettings.mGracePeriod = aSettings.mGracePeriod;
  mSettings.mSeeds = aSettings.mSeeds;
  mRetries.SetLimits(aSettings.mRetries);
  for (const std::string& seed : mSettings.mSeeds) {
    mFleet.AddCandidate(seed);
  }
  if (aSettings.mStore != mSettings.mStore ||
      aSettings.mClientAddress != mSettings.mClientAddress) {
    Log(log_level::Warning,
        "settings_need_restart",
        { Field("store", FormatTcpAddress(aSettings.mStore)),
          Field("clients", FormatTcpAddress(aSettings.mClientAddress)) });
  }
  Log(log_level::Info,
      "settings_reloaded",
      { Field("seeds", mSettings.mSeeds.size()) });
}
