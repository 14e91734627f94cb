#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Identity.h"
#include "Config/ConfigError.h"
#include "Config/SettingSchema.h"
#include "Config/SocketAddress.h"

/// Settings of one node process, read once from its settings file.

/// Addresses that a node listens on and advertises.
struct listen_settings
{
  /// HTTP interface for clients.
  socket_address mHttp;
  /// RPC between nodes.
  socket_address mPeer;
  /// Address advertised to clients; the listen address unless set.
  socket_address mAdvertisedHttp;
  /// Address advertised to other nodes; the listen address unless set.
  socket_address mAdvertisedPeer;
  auto operator<=>(const listen_settings&) const = default;
};

/// Base URLs of the platform's services, without a final slash.
struct platform_settings
{
  std::string mTable;
  std::string mObjects;
  std::string mHosts;
  std::string mWeights;
  auto operator<=>(const platform_settings&) const = default;
};

/// Shared key that authenticates calls between nodes.
struct peer_key_setting
{
  std::string mId;
  std::string mSecret;
  auto operator<=>(const peer_key_setting&) const = default;
};

/// Key of an operator and the sections that it may change.
struct operator_key
{
  std::string mId;
  std::string mSecret;
  /// Section names; a final `*` matches any suffix.
  std::vector<std::string> mSections;
  auto operator<=>(const operator_key&) const = default;
};

/// Limits on requests and on responses in progress.
struct limit_settings
{
  std::uint32_t mHeaderBytes = 0;
  std::uint32_t mBodyBytes = 0;
  /// The connection of a request that is not complete this long after its
  /// headers is closed.
  std::chrono::milliseconds mBodyTimeout{ 0 };
  /// Most responses in progress at one time.
  std::uint32_t mMaxOpenStreams = 0;
  auto operator<=>(const limit_settings&) const = default;
};

/// Intervals of background work and lifetimes of cached answers.
struct timing_settings
{
  /// Interval of reading the configuration head.
  std::chrono::milliseconds mConfigPollInterval{ 0 };
  /// Time to live of `/v1/endpoints` in client caches. A leaving node keeps
  /// serving for this long.
  std::chrono::milliseconds mEndpointCacheTtl{ 0 };
  auto operator<=>(const timing_settings&) const = default;
};

struct trace_settings
{
  /// Share of requests that are traced, 0 to 1.
  double mSampling = 0;
  auto operator<=>(const trace_settings&) const = default;
};

/// All settings of a node.
struct node_settings
{
  node_id mName;
  zone_id mZone;
  region_id mRegion;
  listen_settings mListen;
  platform_settings mPlatform;
  /// New calls are signed with the first key; every listed key is accepted.
  std::vector<peer_key_setting> mPeerKeys;
  std::vector<operator_key> mOperatorKeys;
  limit_settings mLimits;
  timing_settings mTiming;
  trace_settings mTrace;
  auto operator<=>(const node_settings&) const = default;
};

/// Descriptors of all node settings, in the order of the reference page.
const setting_schema& NodeSettingSchema();

/// Reads settings from JSON with comments. `aSource` names the file in errors.
config_result<node_settings> ParseNodeSettings(std::string_view aText,
                                               std::string_view aSource);

/// Reads a settings file; an unreadable file is one error without a line.
config_result<node_settings> ReadNodeSettings(const std::string& aPath);
