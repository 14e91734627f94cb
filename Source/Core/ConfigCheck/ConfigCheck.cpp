#include "ConfigCheck/ConfigCheck.h"

#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace {

/// Collects the findings of one configuration.
class config_checker
{
public:
  config_checker(const gateway_config& aConfig,
                 const std::set<region_id>& aRegions)
    : mConfig(aConfig)
    , mRegions(aRegions)
  {
  }

  std::vector<config_finding> Check()
  {
    for (std::size_t i = 0; i < mConfig.mRoutes.size(); ++i) {
      CheckRoute(i);
    }
    CheckServices();
    CheckAccounts();
    if (mConfig.mLimits.mBodyBytes == 0) {
      Add(config_part::Limits, 0, "the largest body is 0 bytes");
    }
    if (mConfig.mLimits.mHeaderBytes == 0) {
      Add(config_part::Limits, 0, "the largest header is 0 bytes");
    }
    return std::move(mFindings);
  }

private:
  void Add(config_part aPart,
           std::size_t aIndex,
           std::string aText,
           finding_severity aSeverity = finding_severity::Problem)
  {
    mFindings.push_back({ aSeverity, aPart, aIndex, std::move(aText) });
  }

  void CheckRoute(std::size_t aIndex)
  {
    const gateway_route& route = mConfig.mRoutes[aIndex];
    const auto add = [&](std::string aText) {
      Add(config_part::Routes, aIndex, std::move(aText));
    };
    const auto [first, added] =
      mRoutes.emplace(std::pair(route.mHost, route.mPrefix), aIndex);
    if (!added) {
      add(fmt::format("host {} and prefix {} are those of route {} as well",
                      route.mHost,
                      route.mPrefix,
                      first->second));
    }
    if (!route.mPrefix.starts_with('/') || !route.mPrefix.ends_with('/')) {
      add(fmt::format("prefix {} does not begin and end with a slash",
                      route.mPrefix));
    }
    CheckRouteServices(aIndex, route);
    CheckRouteLimits(aIndex, route);
    CheckHomes(config_part::Routes, aIndex, route.mHomes);
    if (!route.mPublic && !route.mHomes.empty() && !mConfig.mAccounts.empty() &&
        std::ranges::none_of(mConfig.mAccounts, [&](const auto& aAccount) {
          return HaveCommonHome(route.mHomes, aAccount.mHomes);
        })) {
      add("no client account has a home in common with the route");
    }
  }

  void CheckRouteServices(std::size_t aIndex, const gateway_route& aRoute)
  {
    std::uint64_t total = 0;
    for (const service_share& share : aRoute.mServices) {
      mUsedServices.insert(share.mService);
      total += share.mWeight;
      if (std::ranges::find(
            mConfig.mServices, share.mService, &gateway_service::mName) ==
          mConfig.mServices.end()) {
        Add(config_part::Routes,
            aIndex,
            fmt::format("service {} does not exist", share.mService.mName));
      } else if (share.mWeight == 0) {
        Add(config_part::Routes,
            aIndex,
            fmt::format("service {} has weight 0", share.mService.mName));
      }
    }
    if (total == 0 && aRoute.mServices.size() > 1) {
      Add(config_part::Routes,
          aIndex,
          fmt::format("all weights are 0, so service {} gets all requests",
                      aRoute.mServices.front().mService.mName));
    }
  }

  void CheckRouteLimits(std::size_t aIndex, const gateway_route& aRoute)
  {
    const auto add = [&](std::string aText) {
      Add(config_part::Routes, aIndex, std::move(aText));
    };
    if (aRoute.mTimeout.count() <= 0) {
      add(fmt::format("timeout is {} ms", aRoute.mTimeout.count()));
      return;
    }
    if (aRoute.mObjective > aRoute.mTimeout) {
      add(fmt::format("latency objective {} ms exceeds the timeout of {} ms",
                      aRoute.mObjective.count(),
                      aRoute.mTimeout.count()));
    }
    if (aRoute.mEventGapObjective > aRoute.mTimeout) {
      add(fmt::format("event gap objective {} ms exceeds the timeout of {} ms",
                      aRoute.mEventGapObjective.count(),
                      aRoute.mTimeout.count()));
    }
    const bool stream = aRoute.mKind == request_kind::Streaming;
    const bool repeatable =
      aRoute.mKind == request_kind::Idempotent || (stream && aRoute.mResumable);
    if (aRoute.mMaxAttempts > 1 && !repeatable) {
      add(fmt::format("{} attempts, but a request may run only once",
                      aRoute.mMaxAttempts));
    }
    if (aRoute.mMaxAttempts == 0) {
      add("0 attempts");
    }
    if (aRoute.mResumable && !stream) {
      add("resumable, but not a stream");
    }
  }

  void CheckServices()
  {
    std::map<service_id, std::size_t> names;
    for (std::size_t i = 0; i < mConfig.mServices.size(); ++i) {
      const gateway_service& service = mConfig.mServices[i];
      const auto [first, added] = names.emplace(service.mName, i);
      if (!added) {
        Add(config_part::Services,
            i,
            fmt::format("service {} is entry {} as well",
                        service.mName.mName,
                        first->second));
      }
      if (!mUsedServices.contains(service.mName)) {
        Add(config_part::Services,
            i,
            fmt::format("no route names service {}", service.mName.mName),
            finding_severity::Note);
      }
      if (service.mColdPerSecond && !service.mColdTime) {
        Add(config_part::Services,
            i,
            fmt::format("cold rate of {} requests/s without a cold time",
                        *service.mColdPerSecond));
      }
      if (service.mEngine &&
          (service.mEngine->mSlots == 0 || service.mEngine->mKvTokens <= 0)) {
        Add(config_part::Services,
            i,
            fmt::format("engines have {} slots and a KV cache of {} tokens",
                        service.mEngine->mSlots,
                        service.mEngine->mKvTokens));
      }
    }
  }

  void CheckAccounts()
  {
    std::map<account_id, std::size_t> names;
    std::map<std::string, std::size_t> keys;
    for (std::size_t i = 0; i < mConfig.mAccounts.size(); ++i) {
      const gateway_account& account = mConfig.mAccounts[i];
      const auto add = [&](std::string aText) {
        Add(config_part::Accounts, i, std::move(aText));
      };
      const auto [first, added] = names.emplace(account.mName, i);
      if (!added) {
        add(fmt::format("client account {} is entry {} as well",
                        account.mName.mName,
                        first->second));
      }
      if (account.mKeys.empty()) {
        add("no keys, so nobody can use the client account");
      }
      for (const std::string& key : account.mKeys) {
        const auto [holder, isNew] = keys.emplace(key, i);
        if (!isNew) {
          add(fmt::format("key with hash {:016x} belongs to entry {} as well",
                          StableHash(key),
                          holder->second));
        }
      }
      if (account.mPrepaidTokens && *account.mPrepaidTokens <= 0) {
        add(fmt::format("{} prepaid tokens cover no request",
                        *account.mPrepaidTokens));
      }
      CheckHomes(config_part::Accounts, i, account.mHomes);
    }
  }

  void CheckHomes(config_part aPart,
                  std::size_t aIndex,
                  const std::vector<region_id>& aHomes)
  {
    for (const region_id& home : aHomes) {
      if (!mRegions.empty() && !mRegions.contains(home)) {
        Add(aPart,
            aIndex,
            fmt::format("home {} is no region of a zone", home.mName));
      }
    }
  }

  static bool HaveCommonHome(const std::vector<region_id>& aLeft,
                             const std::vector<region_id>& aRight)
  {
    return aLeft.empty() || aRight.empty() ||
           std::ranges::any_of(aLeft, [&](const region_id& aHome) {
             return std::ranges::find(aRight, aHome) != aRight.end();
           });
  }

  const gateway_config& mConfig;
  const std::set<region_id>& mRegions;
  std::map<std::pair<std::string, std::string>, std::size_t> mRoutes;
  std::set<service_id> mUsedServices;
  std::vector<config_finding> mFindings;
};

std::string NameOf(const gateway_route& aRoute)
{
  return fmt::format("route {}{}", aRoute.mHost, aRoute.mPrefix);
}

std::string NameOf(const gateway_service& aService)
{
  return fmt::format("service {}", aService.mName.mName);
}

std::string NameOf(const gateway_account& aAccount)
{
  return fmt::format("client account {}", aAccount.mName.mName);
}

/// Lists the entries that were added, removed or changed.
template<typename Entry>
void CompareEntries(const std::vector<Entry>& aOld,
                    const std::vector<Entry>& aNew,
                    config_part aPart,
                    std::vector<config_finding>& aFindings)
{
  const auto add = [&](std::size_t aIndex, std::string aText) {
    aFindings.push_back(
      { finding_severity::Note, aPart, aIndex, std::move(aText) });
  };
  std::map<std::string, const Entry*> old;
  for (const Entry& entry : aOld) {
    old.emplace(NameOf(entry), &entry);
  }
  std::set<std::string> present;
  for (std::size_t i = 0; i < aNew.size(); ++i) {
    const std::string name = NameOf(aNew[i]);
    present.insert(name);
    const auto found = old.find(name);
    if (found == old.end()) {
      add(i, name + " is added");
    } else if (*found->second != aNew[i]) {
      add(i, name + " is changed");
    }
  }
  for (std::size_t i = 0; i < aOld.size(); ++i) {
    if (!present.contains(NameOf(aOld[i]))) {
      add(i, NameOf(aOld[i]) + " is removed");
    }
  }
}

/// Holder of each key by the key's hash.
std::map<std::uint64_t, std::pair<std::string, std::size_t>> KeyHolders(
  const gateway_config& aConfig)
{
  std::map<std::uint64_t, std::pair<std::string, std::size_t>> holders;
  for (std::size_t i = 0; i < aConfig.mAccounts.size(); ++i) {
    for (const std::string& key : aConfig.mAccounts[i].mKeys) {
      holders.emplace(StableHash(key),
                      std::pair(aConfig.mAccounts[i].mName.mName, i));
    }
  }
  return holders;
}

void CompareKeys(const gateway_config& aInForce,
                 const gateway_config& aConfig,
                 std::vector<config_finding>& aFindings)
{
  const auto old = KeyHolders(aInForce);
  const auto added = KeyHolders(aConfig);
  const auto list = [&](const auto& aKeys, const auto& aOthers, auto aVerb) {
    for (const auto& [hash, holder] : aKeys) {
      const auto other = aOthers.find(hash);
      if (other == aOthers.end() || other->second.first != holder.first) {
        aFindings.push_back({ finding_severity::Note,
                              config_part::Accounts,
                              holder.second,
                              fmt::format("key with hash {:016x} of {} is {}",
                                          hash,
                                          holder.first,
                                          aVerb) });
      }
    }
  };
  list(added, old, "added");
  list(old, added, "removed");
}

bool SameLimits(const http_server_limits& aLeft,
                const http_server_limits& aRight)
{
  return aLeft.mHeaderBytes == aRight.mHeaderBytes &&
         aLeft.mBodyBytes == aRight.mBodyBytes &&
         aLeft.mHeaderTimeout == aRight.mHeaderTimeout &&
         aLeft.mIdleTimeout == aRight.mIdleTimeout;
}

} // namespace

std::vector<config_finding> CheckConfig(const gateway_config& aConfig,
                                        const std::set<region_id>& aRegions)
{
  return config_checker(aConfig, aRegions).Check();
}

std::vector<config_finding> CompareConfigs(const gateway_config& aInForce,
                                           const gateway_config& aConfig)
{
  std::vector<config_finding> findings;
  if (aConfig.mVersion <= aInForce.mVersion) {
    findings.push_back(
      { finding_severity::Problem,
        config_part::Document,
        0,
        fmt::format("version {} is not newer than version {} in force",
                    aConfig.mVersion,
                    aInForce.mVersion) });
  }
  CompareEntries(
    aInForce.mRoutes, aConfig.mRoutes, config_part::Routes, findings);
  CompareEntries(
    aInForce.mServices, aConfig.mServices, config_part::Services, findings);
  CompareEntries(
    aInForce.mAccounts, aConfig.mAccounts, config_part::Accounts, findings);
  CompareKeys(aInForce, aConfig, findings);
  if (!SameLimits(aInForce.mLimits, aConfig.mLimits)) {
    findings.push_back({ finding_severity::Note,
                         config_part::Limits,
                         0,
                         "the limits are changed" });
  }
  return findings;
}
