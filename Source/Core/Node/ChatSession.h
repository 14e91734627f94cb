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
#include "Remote/HttpExchange.h"
#include "Remote/HttpStream.h"

/// Step that a chat request is in.
enum class chat_step : std::uint8_t
{
  /// Waits until the budget has a grant that covers the worst case.
  AwaitingGrant,
  /// Waits in the dispatch queues.
  Queued,
  /// An upstream works on it.
  Running,
  /// The attempt broke; a probe finds out whether the upstream crashed.
  Probing,
  /// The response is complete; its end waits until the charge is protected.
  AwaitingProtection,
};

/// Spans of the hops of one request.
struct chat_spans
{
  trace_span mRequest;
  trace_span mGrant;
  trace_span mQueue;
  trace_span mUpstream;
};

/// One chat request from its arrival to its final answer.
struct chat_session
{
  request_id mRequest;
  admitted_chat mAdmitted;
  http_exchange_ptr mExchange;
  chat_step mStep = chat_step::AwaitingGrant;
  time_point mArrival;
  time_point mGrantDeadline;
  time_point mProtectDeadline;
  time_point mLastRead;

  /// Current attempt.
  upstream_id mUpstream;
  std::unique_ptr<http_stream> mStream;
  unsigned mStatus = 0;
  bool mUpstreamClosing = false;
  /// Body of an upstream's error, or of a whole response.
  std::string mWhole;

  sse_scanner mScanner;
  /// Tokens that earlier attempts delivered; the engine counts only its own.
  std::int64_t mResumedFrom = 0;
  bool mFirstToken = false;
  /// The current attempt has brought a token.
  bool mAttemptToken = false;
  /// The response head has been sent to the caller.
  bool mBegun = false;
  bool mPaused = false;
  /// The budget holds a reservation that must be settled or released.
  bool mReserved = false;
  chat_spans mSpans;

  const account_section& Account() const { return *mAdmitted.mAccount; }
  bool FreeTier() const { return Account().mFreeTier; }
};

/// Chat requests that have no final answer yet.
using chat_table =
  std::unordered_map<request_id, std::unique_ptr<chat_session>>;
