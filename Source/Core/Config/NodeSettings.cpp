#include "Config/NodeSettings.h"

#include <fstream>
#include <set>
#include <sstream>

#include <fmt/format.h>

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

// The Read functions are called only on values that passed the schema.
socket_address AddressOf(const json& aValue)
{
  return *ParseSocketAddress(aValue.get<std::string>());
}

socket_address AddressOr(const json& aGroup,
                         const char* aKey,
                         const socket_address& aDefault)
{
  return aGroup.contains(aKey) ? AddressOf(aGroup[aKey]) : aDefault;
}

listen_settings ReadListen(const json& aGroup)
{
  listen_settings listen;
  listen.mHttp = AddressOf(aGroup["http"]);
  listen.mPeer = AddressOf(aGroup["peer"]);
  listen.mAdvertisedHttp = AddressOr(aGroup, "advertised_http", listen.mHttp);
  listen.mAdvertisedPeer = AddressOr(aGroup, "advertised_peer", listen.mPeer);
  return listen;
}

platform_settings ReadPlatform(const json& aGroup)
{
  return {
    aGroup["table"], aGroup["objects"], aGroup["hosts"], aGroup["weights"]
  };
}

limit_settings ReadLimits(const json& aGroup)
{
  return { aGroup["header_bytes"],
           aGroup["body_bytes"],
           milliseconds(aGroup["slow_sender_ms"].get<std::int64_t>()),
           aGroup["open_streams"] };
}

timing_settings ReadTiming(const json& aGroup)
{
  return { milliseconds(aGroup["config_poll_ms"].get<std::int64_t>()),
           milliseconds(aGroup["endpoint_cache_ms"].get<std::int64_t>()) };
}

node_settings ReadAll(const json& aValue)
{
  node_settings settings;
  settings.mName = { aValue["name"] };
  settings.mZone = { aValue["zone"] };
  settings.mRegion = { aValue["region"] };
  settings.mListen = ReadListen(aValue["listen"]);
  settings.mPlatform = ReadPlatform(aValue["platform"]);
  for (const json& key : aValue["peer_keys"]) {
    settings.mPeerKeys.push_back({ key["id"], key["secret"] });
  }
  for (const json& key : aValue["operator_keys"]) {
    settings.mOperatorKeys.push_back(
      { key["id"], key["secret"], key["sections"] });
  }
  settings.mLimits = ReadLimits(aValue["limits"]);
  settings.mTiming = ReadTiming(aValue["timing"]);
  settings.mTrace = { aValue["trace"]["sampling"] };
  return settings;
}

bool IsWildcard(const std::string& aAddress)
{
  return aAddress.starts_with("0.0.0.0:") || aAddress.starts_with("[::]:");
}

/// Rejects a wildcard address as the advertised one, because other processes
/// cannot connect to it.
void CheckAdvertised(const json_text& aText,
                     const std::string& aListen,
                     const std::string& aAdvertised,
                     std::vector<json_error>& aErrors)
{
  const std::string advertised = StringAt(aText, aAdvertised);
  const std::string& pointer = advertised.empty() ? aListen : aAdvertised;
  if (IsWildcard(StringAt(aText, pointer))) {
    aErrors.push_back(aText.ErrorAt(
      pointer,
      fmt::format("a wildcard address cannot be advertised; set {} to an "
                  "address of the host",
                  aAdvertised)));
  }
}

void CheckUniqueIds(const json_text& aText,
                    const std::string& aList,
                    std::vector<json_error>& aErrors)
{
  const json::json_pointer list(aList);
  const std::size_t count =
    aText.mValue.contains(list) ? aText.mValue[list].size() : 0;
  std::set<std::string> ids;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string pointer = fmt::format("{}/{}/id", aList, i);
    const std::string id = StringAt(aText, pointer);
    if (!id.empty() && !ids.insert(id).second) {
      aErrors.push_back(
        aText.ErrorAt(pointer, fmt::format("key id \"{}\" is used twice", id)));
    }
  }
}

void CheckReferences(const json_text& aText, std::vector<json_error>& aErrors)
{
  CheckAdvertised(aText, "/listen/http", "/listen/advertised_http", aErrors);
  CheckAdvertised(aText, "/listen/peer", "/listen/advertised_peer", aErrors);
  CheckUniqueIds(aText, "/peer_keys", aErrors);
  CheckUniqueIds(aText, "/operator_keys", aErrors);
}

} // namespace

config_result<node_settings> ParseNodeSettings(std::string_view aText,
                                               std::string_view aSource)
{
  const auto text =
    ReadWithSchema(aText, aSource, NodeSettingSchema(), CheckReferences);
  if (text.has_error()) {
    return text.error();
  }
  return ReadAll(text.value().mValue);
}

config_result<node_settings> ReadNodeSettings(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return config_errors{ { { aPath, 0, "", "the file cannot be read" } } };
  }
  return ParseNodeSettings(text.str(), aPath);
}
