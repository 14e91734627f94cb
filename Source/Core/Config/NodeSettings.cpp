#include "Config/NodeSettings.h"

#include <fstream>
#include <set>
#include <sstream>

#include <fmt/format.h>

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

// Only called on values that passed the schema's check.
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
  return { aGroup["table"], aGroup["objects"], aGroup["hosts"],
           aGroup["weights"] };
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

bool IsWildcard(const std::string& aIp)
{
  return aIp == "0.0.0.0" || aIp == "::";
}

/// Other processes cannot connect to a wildcard address.
void CheckAdvertised(const json_text& aText,
                     const socket_address& aAddress,
                     const char* aListenKey,
                     std::vector<json_error>& aErrors)
{
  if (IsWildcard(aAddress.mIp)) {
    aErrors.push_back(aText.ErrorAt(
      fmt::format("/listen/{}", aListenKey),
      fmt::format("a wildcard address needs \"advertised_{}\"", aListenKey)));
  }
}

void CheckUniqueIds(const json_text& aText,
                    const char* aList,
                    std::vector<json_error>& aErrors)
{
  std::set<std::string> ids;
  std::size_t index = 0;
  for (const json& key : aText.mValue[aList]) {
    const std::string id = key["id"];
    if (!ids.insert(id).second) {
      aErrors.push_back(
        aText.ErrorAt(fmt::format("/{}/{}/id", aList, index),
                      fmt::format("key id \"{}\" is used twice", id)));
    }
    ++index;
  }
}

} // namespace

config_result<node_settings> ParseNodeSettings(std::string_view aText,
                                               std::string_view aSource)
{
  const auto text = ReadWithSchema(aText, aSource, NodeSettingSchema());
  if (text.has_error()) {
    return text.error();
  }
  node_settings settings = ReadAll(text.value().mValue);
  config_errors errors;
  const listen_settings& listen = settings.mListen;
  CheckAdvertised(text.value(), listen.mAdvertisedHttp, "http", errors.mErrors);
  CheckAdvertised(text.value(), listen.mAdvertisedPeer, "peer", errors.mErrors);
  CheckUniqueIds(text.value(), "peer_keys", errors.mErrors);
  CheckUniqueIds(text.value(), "operator_keys", errors.mErrors);
  if (!errors.mErrors.empty()) {
    return errors;
  }
  return settings;
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
