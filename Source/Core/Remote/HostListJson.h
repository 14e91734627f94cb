#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Remote/HostList.h"

/// JSON bodies of the host list's HTTP protocol:
/// `{"version":N,"hosts":[{"name","role","state","zone","region","address",`
/// `"peer_address","service"}]}`. Roles are `node`, `engine` and `service`,
/// states `live` and `leaving`; the last two members may be absent.

nlohmann::json HostEntryJson(const host_entry& aHost);
std::optional<host_entry> ReadHostEntry(const nlohmann::json& aHost);

std::string WriteHostListSnapshot(const host_list_snapshot& aListing);
std::optional<host_list_snapshot> ParseHostListSnapshot(std::string_view aText);
