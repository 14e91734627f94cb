#pragma once

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Gateway/GatewayTypes.h"

/// Lookups in one configuration.
class route_table
{
public:
  route_table() = default;
  explicit route_table(gateway_config aConfig);

  const gateway_config& Config() const { return mConfig; }
  std::uint64_t Version() const { return mConfig.mVersion; }

  /// Route with the longest prefix of the path; null when none matches.
  const gateway_route* FindRoute(std::string_view aHost,
                                 std::string_view aPath) const;
  /// Account that holds the key; null when no account does.
  const gateway_account* FindAccount(const std::string& aKey) const;
  const gateway_service* FindService(const service_id& aName) const;
  bool HasAccounts() const { return !mConfig.mAccounts.empty(); }

private:
  gateway_config mConfig;
  /// Indexes into the configuration, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mByHost;
  std::unordered_map<std::string, std::size_t> mByKey;
};

/// Service for a request of a split route: the same for every node and every
/// repetition of the identity.
const service_id& ChooseService(const gateway_route& aRoute,
                                std::string_view aRequestId);
