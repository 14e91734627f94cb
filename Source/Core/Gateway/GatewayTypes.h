#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/HttpHeaders.h"
#include "Common/Identity.h"
#include "Common/Time.h"
#include "Net/HttpConnection.h"

/// Values that the gateway's decisions take and return.

/// What may be repeated after a request may have run.
enum class request_kind : std::uint8_t
{
  Idempotent,
  NonIdempotent,
  /// A response of server-sent events.
  Streaming,
};

/// Part of a route's requests that goes to one service.
struct service_share
{
  service_id mService;
  std::uint32_t mWeight = 1;
  auto operator<=>(const service_share&) const = default;
};

struct gateway_route
{
  std::string mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPrefix;
  request_kind mKind = request_kind::NonIdempotent;
  /// Longest time until the final answer.
  std::chrono::milliseconds mTimeout{ 0 };
  /// Time to the response, or to the first event of a stream, for full value.
  std::chrono::milliseconds mObjective{ 0 };
  /// Longest pause between events for full value.
  std::chrono::milliseconds mPauseObjective{ 0 };
  /// 0 is the most urgent.
  int mPriority = 0;
  std::vector<service_share> mServices;
  /// Servers that one request may be sent to.
  std::uint32_t mMostAttempts = 1;
  /// Served without a key.
  bool mPublic = false;
  /// Requests share prompt parts that servers keep in memory.
  bool mSticky = false;
  /// A broken stream may go on at another server after the last event.
  bool mResumable = false;
  auto operator<=>(const gateway_route&) const = default;
};

/// Limits of the model engines of a service.
struct engine_limits
{
  std::uint32_t mSlots = 0;
  /// Tokens of KV cache that running requests and cached prompts share.
  std::int64_t mKvTokens = 0;
  /// Most tokens that one event of a stream holds.
  std::uint32_t mTokensPerEvent = 1;
  auto operator<=>(const engine_limits&) const = default;
};

struct gateway_service
{
  service_id mName;
  /// Connections that one server accepts from all nodes together.
  std::uint32_t mMostConnections = 0;
  std::optional<engine_limits> mEngine;
  auto operator<=>(const gateway_service&) const = default;
};

struct gateway_account
{
  account_id mName;
  std::vector<std::string> mKeys;
  /// Takes precedence over the priority of the route.
  std::optional<int> mPriority;
  /// Tokens that the account may consume in total; none is no limit.
  std::optional<std::int64_t> mPrepaidTokens;
  auto operator<=>(const gateway_account&) const = default;
};

struct gateway_config
{
  std::uint64_t mVersion = 0;
  std::vector<gateway_route> mRoutes;
  std::vector<gateway_service> mServices;
  std::vector<gateway_account> mAccounts;
  http_server_limits mLimits;
};

enum class server_state : std::uint8_t
{
  Ready,
  /// Takes no new work.
  Leaving,
};

/// What a server says of itself.
struct server_entry
{
  upstream_id mId;
  service_id mService;
  tcp_address mAddress;
  zone_id mZone;
  std::uint32_t mSlots = 0;
  server_state mState = server_state::Ready;
  /// Start of the server; orders entries of servers with the same identity.
  std::uint64_t mBorn = 0;
  /// Orders the entries of one start.
  std::uint64_t mSequence = 0;
  auto operator<=>(const server_entry&) const = default;
};

/// A run of prompt tokens that requests with the same identity share.
struct prompt_part
{
  std::string mId;
  std::int64_t mTokens = 0;
  auto operator<=>(const prompt_part&) const = default;
};

/// A client's request, decoded.
struct gateway_request
{
  std::string mId;
  std::string mMethod;
  std::string mTarget;
  std::string mHost;
  std::string mPath;
  std::string mKey;
  std::string mModel;
  std::int64_t mPromptTokens = 0;
  std::int64_t mMostOutputTokens = 0;
  /// In prompt order; the last one is the request's own.
  std::vector<prompt_part> mPrompt;
  std::string mLastEventId;
  /// What the client waits for; none when it does not say.
  std::optional<time_point> mDeadline;
  /// Headers that go to the server unchanged.
  http_headers mForwarded;
  std::string mBody;
};

/// Where and how a request is sent to a server.
struct upstream_send
{
  upstream_id mUpstream;
  account_id mAccount;
  std::chrono::milliseconds mTimeLeft{ 0 };
  /// 0 is first, 9 last.
  int mUrgency = 5;
  /// The stream goes on after this event; empty at the first send.
  std::string mResumeAfter;
};

/// What the head of a server's response says.
struct upstream_answer
{
  std::string mRequestId;
  /// The server states that the request did not run.
  bool mNotRun = false;
  /// The address belongs to another server now.
  bool mMisdirected = false;
  /// The response is signed by a server.
  bool mSigned = false;
};
