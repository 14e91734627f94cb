#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Node/ChatAdmission.h"
#include "Node/SseScanner.h"
#include "Node/Trace.h"
#include "Remote/HttpServerExchange.h"
#include "Remote/HttpStream.h"

/// Processing step of a chat request.
enum class chat_step : std::uint8_t
{
  /// Waits for a budget grant that covers the largest possible price.
  AwaitingGrant,
  /// Waits in the dispatch queue for an upstream.
  Queued,
  /// An attempt at an upstream is in progress.
  Running,
  /// The attempt failed; a probe checks whether the upstream crashed.
  Probing,
  /// The response is complete. Its end is held back until the charge is
  /// protected, that is, stored outside this process.
  AwaitingProtection,
};

/// Trace spans of one request.
struct chat_spans
{
  trace_span mRequest;
  trace_span mGrant;
  trace_span mQueue;
  trace_span mUpstream;
};

/// State of one chat request from its arrival to its final answer.
struct chat_session
{
  request_id mRequest;
  admitted_chat mAdmitted;
  http_server_exchange_ptr mExchange;
  chat_step mStep = chat_step::AwaitingGrant;
  time_point mArrivalTime;
  time_point mGrantDeadline;
  time_point mProtectionDeadline;
  /// Start of the attempt, then time of the last read with a token.
  time_point mLastTokenTime;

  /// Upstream of the current attempt.
  upstream_id mUpstream;
  std::unique_ptr<http_stream> mStream;
  /// HTTP status of the current attempt, 0 before the response head.
  unsigned mUpstreamStatus = 0;
  /// The response head had `Connection: close`.
  bool mUpstreamClosing = false;
  /// Body of an upstream's error, or of a response that is not streamed.
  std::string mBufferedBody;

  sse_scanner mScanner;
  /// Tokens that earlier attempts delivered. The usage that the engine reports
  /// counts only the tokens of its own attempt.
  std::int64_t mResumeOffset = 0;
  /// Some attempt has delivered a token.
  bool mFirstTokenSeen = false;
  /// The current attempt has delivered a token.
  bool mAttemptTokenSeen = false;
  /// The response head has been sent to the caller.
  bool mHeadSent = false;
  /// Reading from the upstream is paused until the caller's send buffer drains.
  bool mUpstreamPaused = false;
  /// The budget has a reservation that must be settled or released.
  bool mHasReservation = false;
  chat_spans mSpans;

  const account_section& Account() const { return *mAdmitted.mAccount; }
  bool FreeTier() const { return Account().mFreeTier; }
};

/// Chat requests that have no final answer yet.
using chat_session_map =
  std::unordered_map<request_id, std::unique_ptr<chat_session>>;
