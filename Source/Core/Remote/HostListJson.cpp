#include "Remote/HostListJson.h"

#include <array>
#include <utility>

using nlohmann::json;

namespace {

constexpr std::array<std::pair<host_role, std::string_view>, 3> kRoles{ {
  { host_role::Node, "node" },
  { host_role::Engine, "engine" },
  { host_role::Service, "service" },
} };

constexpr std::array<std::pair<host_state, std::string_view>, 2> kStates{ {
  { host_state::Live, "live" },
  { host_state::Leaving, "leaving" },
} };

template<class Table, class Value>
std::string NameOf(const Table& aTable, Value aValue)
{
  for (const auto& [value, name] : aTable) {
    if (value == aValue) {
      return std::string(name);
    }
  }
  return {};
}

template<class Value, std::size_t Size>
std::optional<Value> ValueOf(
  const std::array<std::pair<Value, std::string_view>, Size>& aTable,
  const std::string& aName)
{
  for (const auto& [value, name] : aTable) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace

json HostEntryJson(const host_entry& aHost)
{
  json host{ { "name", aHost.mName },
             { "role", NameOf(kRoles, aHost.mRole) },
             { "state", NameOf(kStates, aHost.mState) },
             { "zone", aHost.mZone },
             { "region", aHost.mRegion },
             { "address", aHost.mAddress } };
  if (!aHost.mPeerAddress.empty()) {
    host["peer_address"] = aHost.mPeerAddress;
  }
  if (!aHost.mService.empty()) {
    host["service"] = aHost.mService;
  }
  return host;
}

std::optional<host_entry> ReadHostEntry(const json& aHost)
{
  try {
    const auto role = ValueOf(kRoles, aHost.at("role").get<std::string>());
    const auto state = ValueOf(kStates, aHost.at("state").get<std::string>());
    if (!role || !state) {
      return std::nullopt;
    }
    return host_entry{ aHost.at("name").get<std::string>(),
                       *role,
                       *state,
                       aHost.at("zone").get<std::string>(),
                       aHost.at("region").get<std::string>(),
                       aHost.at("address").get<std::string>(),
                       aHost.value("peer_address", std::string()),
                       aHost.value("service", std::string()) };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string WriteHostListSnapshot(const host_list_snapshot& aListing)
{
  json hosts = json::array();
  for (const host_entry& host : aListing.mHosts) {
    hosts.push_back(HostEntryJson(host));
  }
  const json body{ { "version", aListing.mVersion }, { "hosts", hosts } };
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<host_list_snapshot> ParseHostListSnapshot(std::string_view aText)
{
  try {
    const json body = json::parse(aText);
    host_list_snapshot listing;
    listing.mVersion = body.at("version").get<std::uint64_t>();
    for (const json& entry : body.at("hosts")) {
      auto host = ReadHostEntry(entry);
      if (!host) {
        return std::nullopt;
      }
      listing.mHosts.push_back(std::move(*host));
    }
    return listing;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}
