#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/HttpHeaders.h"
#include "Common/Identity.h"
#include "Common/Time.h"
#include "Net/HttpConnection.h"

/// Input and output types of the gateway's decisions.

/// Value of a document or header that cannot be used and counts as missing.
struct ignored_field
{
  /// JSON pointer into the document, or name of the header.
  std::string mPlace;
  /// The value, at most 64 bytes.
  std::string mValue;
  auto operator<=>(const ignored_field&) const = default;
};

/// Whether a request may be sent again after a server may have run it.
enum class request_kind : std::uint8_t
{
  Idempotent,
  NonIdempotent,
  /// A response of server-sent events.
  Streaming,
};

/// Share of a route's requests that goes to one service.
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
  /// Longest time from arrival to the final answer.
  std::chrono::milliseconds mTimeout{ 0 };
  /// Latency objective: time to the response, or to the first event of a
  /// stream.
  std::chrono::milliseconds mObjective{ 0 };
  /// Objective for the longest time between events of a stream.
  std::chrono::milliseconds mEventGapObjective{ 0 };
  /// 0 is the most urgent.
  int mPriority = 0;
  std::vector<service_share> mServices;
  /// Limit of the servers that one request is sent to.
  std::uint32_t mMaxAttempts = 1;
  /// Requests need no API key.
  bool mPublic = false;
  /// Requests share prompt prefixes, which servers keep in their KV cache.
  bool mSticky = false;
  /// A broken stream may be resumed at another server after the last event.
  bool mResumable = false;
  /// Regions in which requests may run; any if empty.
  std::vector<region_id> mHomes;
  auto operator<=>(const gateway_route&) const = default;
};

/// Limits of the model engines of a service.
struct engine_limits
{
  std::uint32_t mSlots = 0;
  /// Capacity of the KV cache in tokens, shared by running requests and cached
  /// prompts.
  std::int64_t mKvTokens = 0;
  /// Largest number of tokens in one event of a stream.
  std::uint32_t mTokensPerEvent = 1;
  auto operator<=>(const engine_limits&) const = default;
};

struct gateway_service
{
  service_id mName;
  /// Limit of the connections that one server accepts from all nodes together.
  std::uint32_t mMaxConnections = 0;
  /// Path at which servers tell their health.
  std::string mHealthPath;
  std::optional<engine_limits> mEngine;
  /// Time for which a server is cold after its start.
  std::optional<std::chrono::milliseconds> mColdTime;
  /// Requests a second that a cold server takes from all nodes together;
  /// unlimited if absent.
  std::optional<double> mColdPerSecond;
  auto operator<=>(const gateway_service&) const = default;
};

struct gateway_account
{
  account_id mName;
  std::vector<std::string> mKeys;
  /// Overrides the priority of the route.
  std::optional<int> mPriority;
  /// Tokens that the account may consume in total; unlimited if absent.
  std::optional<std::int64_t> mPrepaidTokens;
  /// Regions in which requests may run; any if empty.
  std::vector<region_id> mHomes;
  auto operator<=>(const gateway_account&) const = default;
};

struct gateway_config
{
  std::uint64_t mVersion = 0;
  std::vector<gateway_route> mRoutes;
  std::vector<gateway_service> mServices;
  std::vector<gateway_account> mAccounts;
  http_server_limits mLimits;
  std::vector<ignored_field> mIgnored;
};

enum class server_state : std::uint8_t
{
  Ready,
  /// Takes no new work.
  Leaving,
};

/// Version of a server's software. Versions have no order.
using software_version = named_id<struct software_version_tag>;

/// Entry that a server writes to the store about itself.
struct server_entry
{
  upstream_id mId;
  service_id mService;
  tcp_address mAddress;
  zone_id mZone;
  software_version mSoftware;
  std::uint32_t mSlots = 0;
  server_state mState = server_state::Ready;
  /// Rises with each start of the server; orders entries of servers with the
  /// same identity.
  std::uint64_t mIncarnation = 0;
  /// Orders the entries of one incarnation.
  std::uint64_t mSequence = 0;
  /// Rest of the cold time when the entry was written; 0 if the server is warm,
  /// absent if the entry does not say.
  std::optional<std::chrono::milliseconds> mColdTimeLeft;
  std::vector<ignored_field> mIgnored;
  auto operator<=>(const server_entry&) const = default;
};

/// Part of a prompt; requests with the same identity share its tokens.
struct prompt_segment
{
  std::string mId;
  std::int64_t mTokens = 0;
  auto operator<=>(const prompt_segment&) const = default;
};

/// Decoded request of a client.
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
  std::int64_t mMaxOutputTokens = 0;
  /// In prompt order; the last one belongs to this request alone.
  std::vector<prompt_segment> mPrompt;
  std::string mLastEventId;
  /// Identity of the request that brought the first event of the stream that
  /// the client resumes; empty if it names none.
  std::string mResumedRequestId;
  /// Whether another node passed the request on, because it reaches no server.
  bool mRelayed = false;
  /// Deadline that the client sent; absent if it sent none.
  std::optional<time_point> mDeadline;
  /// Name of a header whose value is out of range; empty if there is none. The
  /// request is answered 400.
  std::string mInvalidHeader;
  /// Headers that are forwarded to the server unchanged.
  http_headers mForwarded;
  std::string mBody;
};

/// Memory that the request takes, in bytes.
std::size_t RequestBytes(const gateway_request& aRequest);

/// A request that this node accepted and cannot send to a server.
struct relay_request
{
  gateway_request mRequest;
  std::string mRoute;
  /// Regions of nodes that the body may be sent to; any if absent.
  std::optional<std::set<region_id>> mRegions;
  time_point mArrived;
  /// Latest time for the final answer.
  time_point mDeadline;
};

/// Where and how a request is sent to a server.
struct upstream_send
{
  upstream_id mUpstream;
  account_id mAccount;
  std::chrono::milliseconds mTimeLeft{ 0 };
  /// Scheduling urgency at the server: 0 is first, 9 last.
  int mUrgency = 5;
  /// The stream is resumed after this event identity; empty at the first send.
  std::string mResumeAfter;
};

/// Information from the head of a server's response.
struct upstream_answer
{
  std::string mRequestId;
  /// The server states that it did not run the request.
  bool mNotRun = false;
  /// The address now belongs to another server.
  bool mMisdirected = false;
  /// The server falls over if it turns too many requests away in a second.
  bool mBrittle = false;
  /// Time for which the server, which had no room, wants no further request
  /// from this node; zero if it named none.
  std::chrono::milliseconds mPause{ 0 };
  /// The server leaves and wants no further requests.
  bool mLeaving = false;
  /// The response carries a server's stamp.
  bool mSigned = false;
  /// Requests a second that the server takes from all nodes together.
  std::optional<double> mRequestsPerSecond;
  /// The response names a limit that is no such number.
  bool mLimitUnreadable = false;
  /// Rest of the server's cold time; 0 if it is warm.
  std::optional<std::chrono::milliseconds> mColdTimeLeft;
  std::vector<ignored_field> mIgnored;
};
