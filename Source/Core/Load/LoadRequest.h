#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <libsoup/soup.h>

#include "Common/EventLoop.h"
#include "Common/Time.h"
#include "Config/SocketAddress.h"
#include "Load/EventStream.h"

/// What one request asks for.
struct load_call
{
  std::string mApiKey;
  /// Unique per request; every attempt sends the same one.
  std::string mIdempotencyKey;
  /// JSON body of `/v1/chat/completions`.
  std::string mBody;
  /// Tried in turn, from the first one.
  std::vector<socket_address> mEndpoints;
  std::uint32_t mMaxAttempts = 1;
  /// Intended arrival.
  time_point mArrival{};
};

/// Called as a request makes progress.
struct load_events
{
  std::function<void(std::chrono::microseconds)> mFirstToken;
  std::function<void(std::chrono::microseconds)> mBetweenTokens;
  std::function<void()> mRetry;
  /// The last call; the request may be released in it.
  std::function<void(const std::string& aOutcome,
                     const completion_check& aCheck)>
    mFinished;
};

/// One streamed completion with its retries, on the GLib loop.
class load_request : public std::enable_shared_from_this<load_request>
{
public:
  load_request(SoupSession* aSession,
               const time_source& aTime,
               load_call aCall,
               load_events aEvents);
  ~load_request();
  load_request(const load_request&) = delete;
  load_request& operator=(const load_request&) = delete;

  void Start();
  /// Ends the request with an outcome, unless it has ended.
  void Cancel(const std::string& aOutcome);

private:
  using self_pointer = std::shared_ptr<load_request>;

  void Send();
  void Read();
  void OnResponse(GAsyncResult* aResult);
  void OnBytes(GAsyncResult* aResult);
  void OnEvent(std::string_view aData);
  void OnRefusal();
  void RetryAfter(std::chrono::milliseconds aPause);
  bool MayRetry() const;
  void Finish(const std::string& aOutcome);
  void CloseStream();

  SoupSession* mSession;
  const time_source& mTime;
  load_call mCall;
  load_events mEvents;
  std::uint32_t mAttempts = 0;
  bool mFinished = false;

  SoupMessage* mMessage = nullptr;
  GInputStream* mStream = nullptr;
  GCancellable* mCancellable;
  loop_timer mRetryTimer;

  unsigned mStatus = 0;
  event_splitter mSplitter;
  completion_check mCheck;
  /// Body of a response that is not a stream.
  std::string mErrorBody;
  std::optional<time_point> mLastToken;
};
