// Parts of `gateway_node` that apply configurations and changed settings.

#include "Gateway/GatewayNode.h"

#include <memory>
#include <utility>

#include "Common/Log.h"

void gateway_node::LogIgnored(const std::vector<ignored_field>& aFields,
                              const std::string& aRow,
                              std::uint64_t aVersion)
{
  for (const ignored_field& field : aFields) {
    Log(log_level::Warning,
        "field_ignored",
        { Field("row", aRow),
          Field("place", field.mPlace),
          Field("value", field.mValue),
          Field("version", aVersion) });
  }
}

void gateway_node::ApplyConfig(const stored_row& aRow)
{
  auto config = mCodec.ReadConfig(aRow.mValue);
  if (!config) {
    Log(log_level::Error,
        "configuration_unreadable",
        { Field("version", aRow.mVersion) });
    return;
  }
  if (mContext.mRoutes && config->mVersion <= mContext.mRoutes->Version()) {
    return;
  }
  Log(log_level::Info,
      "configuration_applied",
      { Field("version", config->mVersion),
        Field("routes", config->mRoutes.size()),
        Field("accounts", config->mAccounts.size()) });
  LogIgnored(config->mIgnored, aRow.mKey.mKey, aRow.mVersion);
  for (const unknown_home& home : mHomes.UnknownHomes(*config)) {
    Log(log_level::Warning,
        "home_region_unknown",
        { Field("owner", home.mOwner),
          Field("region", home.mRegion.mName),
          Field("version", config->mVersion) });
  }
  for (const gateway_service& service : config->mServices) {
    mUpstreamRegistry.SetService(service);
  }
  mUpstreamRegistry.UpdateCold(mTime.Now());
  for (const gateway_account& account : config->mAccounts) {
    if (account.mPrepaidTokens) {
      mTokenAllowance.SetTotal(account.mName, *account.mPrepaidTokens);
    }
  }
  mClientListener->SetLimits(config->mLimits);
  mFleet.Self().mConfigVersion = config->mVersion;
  mMetrics.SetConfigVersion(static_cast<double>(config->mVersion));
  mContext.mRoutes = std::make_shared<route_table>(std::move(*config));
}

allowed_regions gateway_node::AddressRegions(
  const std::string& aHost,
  const region_id& aClientRegion) const
{
  return mContext.mRoutes ? mHomes.ForAddresses(
                              mContext.mRoutes->Config(), aHost, aClientRegion)
                          : std::nullopt;
}

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
