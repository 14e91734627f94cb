#include "Gateway/GatewaySettings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "Common/JsonText.h"

namespace {

using nlohmann::json;

/// Reads members of one JSON object and keeps the first error.
class settings_reader
{
public:
  settings_reader(const json_text& aText, const json& aValue, std::string aPath)
    : mText(aText)
    , mValue(aValue)
    , mPath(std::move(aPath))
  {
  }

  std::string Text(const char* aKey)
  {
    const json* value = Find(aKey);
    if (value == nullptr || !value->is_string()) {
      Fail(aKey, "must be a text string");
      return {};
    }
    return value->get<std::string>();
  }

  double Number(const char* aKey, double aMin, double aMax)
  {
    const json* value = Find(aKey);
    if (value == nullptr || !value->is_number()) {
      Fail(aKey, "must be a number");
      return aMin;
    }
    const double number = value->get<double>();
    if (number < aMin || number > aMax) {
      Fail(aKey, "is out of range");
    }
    return number;
  }

  /// Nothing if the key is absent.
  std::optional<double> OptionalNumber(const char* aKey,
                                       double aMin,
                                       double aMax)
  {
    if (Find(aKey) == nullptr) {
      return std::nullopt;
    }
    return Number(aKey, aMin, aMax);
  }

  /// False if the key is absent.
  bool OptionalFlag(const char* aKey)
  {
    const json* value = Find(aKey);
    if (value == nullptr) {
      return false;
    }
    if (!value->is_boolean()) {
      Fail(aKey, "must be true or false");
      return false;
    }
    return value->get<bool>();
  }

  /// A list of objects with a zone's `name` and its `region`; empty if the key
  /// is absent.
  std::map<zone_id, region_id> ZoneRegions(const char* aKey)
  {
    std::map<zone_id, region_id> regions;
    const json* value = Find(aKey);
    if (value == nullptr) {
      return regions;
    }
    if (!value->is_array()) {
      Fail(aKey, "must be a list");
      return regions;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
      const std::string place = std::string(aKey) + "/" + std::to_string(i);
      if (!(*value)[i].is_object()) {
        Fail(place.c_str(), "must be an object");
        break;
      }
      settings_reader zone(mText, (*value)[i], mPath + "/" + place);
      const zone_id name{ zone.Text("name") };
      regions[name] = region_id{ zone.Text("region") };
      Merge(zone);
    }
    return regions;
  }

  tcp_address Address(const char* aKey)
  {
    const auto address = ParseTcpAddress(Text(aKey));
    if (!address) {
      Fail(aKey, "must be IP:port");
    }
    return address.value_or(tcp_address());
  }

  settings_reader Object(const char* aKey)
  {
    static const json sEmpty = json::object();
    const json* value = Find(aKey);
    if (value == nullptr || !value->is_object()) {
      Fail(aKey, "must be an object");
      return { mText, sEmpty, mPath + "/" + aKey };
    }
    return { mText, *value, mPath + "/" + aKey };
  }

  std::vector<std::string> Texts(const char* aKey)
  {
    std::vector<std::string> texts;
    const json* value = Find(aKey);
    if (value == nullptr || !value->is_array()) {
      Fail(aKey, "must be a list");
      return texts;
    }
    for (const json& entry : *value) {
      if (!entry.is_string()) {
        Fail(aKey, "must be a list of strings");
        break;
      }
      texts.push_back(entry.get<std::string>());
    }
    return texts;
  }

  void Merge(const settings_reader& aInner)
  {
    if (!mError) {
      mError = aInner.mError;
    }
  }
  void Fail(const char* aKey, const char* aMessage)
  {
    if (!mError) {
      mError = mText.ErrorAt(mPath + "/" + aKey, aMessage);
    }
  }
  const std::optional<json_error>& Error() const { return mError; }

private:
  const json* Find(const char* aKey) const
  {
    const auto found = mValue.find(aKey);
    return found == mValue.end() ? nullptr : &*found;
  }

  const json_text& mText;
  const json& mValue;
  std::string mPath;
  std::optional<json_error> mError;
};

constexpr double kMaxPort = 65535;
constexpr double kMaxMemoryMb = 1048576;
constexpr double kMaxCores = 1024;
constexpr double kMaxMbps = 1000000;
// Traffic that one core can forward, in Mbit/s; a node with 0.03 cores forwards
// about 6 Mbit/s.
constexpr double kMbpsPerCore = 200;
constexpr double kBytesPerMbit = 125000;
constexpr double kMaxMilliseconds = 600000;
constexpr double kMaxSeconds = 600;
constexpr double kMaxAllowance = 1000000;
constexpr double kMaxColdFactor = 1000;

std::chrono::milliseconds Milliseconds(double aValue)
{
  return std::chrono::milliseconds(static_cast<std::int64_t>(aValue));
}

} // namespace

result<gateway_settings, std::string> ParseGatewaySettings(
  std::string_view aText,
  std::string_view aSource)
{
  const auto text = ParseJsonText(aText, aSource);
  if (!text.has_value()) {
    return FormatJsonError(text.error());
  }
  settings_reader root(text.value(), text.value().mValue, "");
  gateway_settings settings;
  settings.mName = root.Text("name");
  settings.mZone = zone_id{ root.Text("zone") };
  settings.mRegion = region_id{ root.Text("region") };
  const std::string host = root.Text("host");
  auto listen = root.Object("listen");
  settings.mClientAddress = listen.Address("clients");
  settings.mReadiness = listen.Address("readiness");
  settings.mDirectory = listen.Address("directory");
  root.Merge(listen);
  const auto peerPort =
    static_cast<std::uint16_t>(root.Number("peer_port", 1, kMaxPort));
  settings.mPeer = { host, peerPort };
  settings.mMetrics = {
    host, static_cast<std::uint16_t>(root.Number("metrics_port", 0, kMaxPort))
  };
  for (const std::string& seed : root.Texts("seeds")) {
    const auto address = ParseTcpAddress(seed);
    if (!address) {
      root.Fail("seeds", "must be a list of IP:port");
      break;
    }
    // Every node uses the same port for its peers.
    settings.mSeeds.push_back(FormatTcpAddress({ address->mIp, peerPort }));
  }
  settings.mStore = root.Address("store");
  constexpr std::uint64_t kBytesPerMb = 1048576;
  settings.mMemoryBytes =
    static_cast<std::uint64_t>(root.Number("memory_mb", 1, kMaxMemoryMb)) *
    kBytesPerMb;
  const double linkMbps = root.Number("link_mbps", 0, kMaxMbps);
  settings.mCores = root.Number("cpu_share", 0, kMaxCores);
  settings.mCapacity = std::min(settings.mCores, linkMbps / kMbpsPerCore);
  settings.mLinkBytesPerSecond = linkMbps * kBytesPerMbit;
  settings.mLeaveTimeout =
    Milliseconds(root.Number("leave_limit_ms", 1, kMaxMilliseconds));
  settings.mConfigTimeout =
    Milliseconds(root.Number("config_limit_ms", 1, kMaxMilliseconds));
  if (const auto limit =
        root.OptionalNumber("evacuation_limit_ms", 1, kMaxMilliseconds)) {
    settings.mEvacuationTimeout = Milliseconds(*limit);
  }
  settings.mZoneRegions = root.ZoneRegions("zones");
  settings.mColdBound.mFactor =
    root.OptionalNumber("cold_over", 0, kMaxColdFactor)
      .value_or(settings.mColdBound.mFactor);
  settings.mColdBound.mSlack =
    root.OptionalNumber("cold_slack", 0, kMaxAllowance)
      .value_or(settings.mColdBound.mSlack);
  settings.mShedByRank = root.OptionalFlag("shed_by_rank");
  settings.mLearnServerCapacity = root.OptionalFlag("learn_server_capacity");
  constexpr double kMsPerSecond = 1000;
  settings.mGracePeriod =
    Milliseconds(root.Number("grace_s", 0, kMaxSeconds) * kMsPerSecond);
  auto retry = root.Object("retry");
  settings.mRetries.mRatio = retry.Number("ratio", 0, 1);
  settings.mRetries.mAllowance = retry.Number("allowance", 0, kMaxAllowance);
  settings.mRetries.mWindow =
    Milliseconds(retry.Number("window_s", 0, kMaxSeconds) * kMsPerSecond);
  root.Merge(retry);
  if (root.Error()) {
    return FormatJsonError(*root.Error());
  }
  return settings;
}

result<gateway_settings, std::string> ReadGatewaySettings(
  const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return aPath + ": cannot be read";
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseGatewaySettings(text.str(), aPath);
}
