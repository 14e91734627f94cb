#pragma once

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Gateway/GatewayTypes.h"

/// Lookup tables for one configuration.
class route_table
{
public:
  route_table() = default;
  explicit route_table(gateway_config aConfig);

  const gateway_config& Config() const { return mConfig; }
  std::uint64_t Version() const { return mConfig.mVersion; }

  /// Finds the route with the longest prefix of the path; null if none matches.
  const gateway_route* FindRoute(std::string_view aHost,
                                 std::string_view aPath) const;
  /// Finds the account of an API key; null if there is none.
  const gateway_account* FindAccount(const std::string& aKey) const;
  const gateway_service* FindService(const service_id& aName) const;
  bool HasAccounts() const { return !mConfig.mAccounts.empty(); }

private:
  gateway_config mConfig;
  /// Indexes into the configuration, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mByHost;
  std::unordered_map<std::string, std::size_t> mByKey;
};

/// Chooses the service for a request of a route that is split between services.
/// The choice is the same at every node and for every retry with the same
/// identity.
const service_id& ChooseService(const gateway_route& aRoute,
                                std::string_view aRequestId);
