#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/EventLoop.h"
#include "Common/PrefixHash.h"
#include "Common/Time.h"
#include "Remote/HttpServer.h"
#include "StandIn/DeferredCalls.h"
#include "StandIn/EngineAnswer.h"
#include "StandIn/EngineBatch.h"
#include "StandIn/EngineControl.h"
#include "StandIn/PrefixCache.h"

struct engine_stand_in_options
{
  engine_speed mSpeed{};
  engine_control_options mControl{};
  prefix_cache_options mCache{};
  /// Bytes of prompt in one block of the prefix cache.
  std::size_t mBlockBytes = kPrefixBlockBytes;
  /// Length of an answer without `max_tokens`.
  std::uint32_t mShortestAnswer = 16;
  std::uint32_t mLongestAnswer = 64;
  /// Load reports show the state of up to this long ago.
  std::chrono::milliseconds mLoadLag{ 100 };
  /// A prompt that contains this text crashes the engine before its first
  /// token; empty means never.
  std::string mCrashMarker{};
  /// Connections are refused this long after a crash.
  std::chrono::milliseconds mCrashDowntime{ 500 };
};

/// Requests since the start, over all crashes.
struct engine_counters
{
  std::uint64_t mStarted = 0;
  std::uint64_t mFinished = 0;
  std::uint64_t mCancelled = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mTokens = 0;
  auto operator<=>(const engine_counters&) const = default;
};

/// Stand-in for a model engine with an OpenAI-style interface.
///
/// | path | answer |
/// | --- | --- |
/// | `POST /v1/chat/completions` | the answer, streamed or whole |
/// | `GET /v1/endpoints` | this engine as the only address, so that a load
/// meant
///   for nodes can be sent to an engine for comparison |
/// | `GET /v1/load` | `{"models","adapters","role","running","waiting",`
///   `"capacity","cached_blocks","leaving","epoch"}`, some time old |
/// | `GET /v1/cache_events?after=N` | `{"epoch","events":[{"sequence",`
///   `"kind","model","block"}]}`, `kind` is `stored` or `evicted`, `block` has
///   16 hexadecimal digits |
/// | `POST /v1/admin/commands`, `GET /v1/admin/state` | see `engine_control` |
/// | `POST /v1/admin/faults` | sets `leaving`, `slow_percent`; `crash_ms`
///   crashes the engine for that time; absent members stay |
///
/// A streamed answer has one event per token, a chunk with the finish reason,
/// a chunk with the usage, and `data: [DONE]`. With `X-Resume-From: N` the
/// answer goes on after its first N tokens; `completion_tokens` then counts
/// the tokens of this response only. `max_tokens` counts from the first token
/// in both cases. The epoch changes with every crash, which empties the cache.
class engine_stand_in
{
public:
  explicit engine_stand_in(engine_stand_in_options aOptions = {});
  ~engine_stand_in();
  engine_stand_in(const engine_stand_in&) = delete;
  engine_stand_in& operator=(const engine_stand_in&) = delete;

  result<void, http_listen_error> Start(
    const std::string& aAddress = "127.0.0.1:0");
  /// Breaks all connections and refuses new ones until `Start`.
  void Stop();
  /// Loses all state and refuses connections for a while.
  void Crash(std::chrono::milliseconds aDowntime);
  /// A leaving engine finishes what runs and answers 503 with
  /// `Connection: close` to new requests.
  void SetLeaving(bool aLeaving) { mLeaving = aLeaving; }
  void SetSlowPercent(std::uint32_t aPercent);

  const std::string& Address() const { return mServer.Address(); }
  bool Running() const { return mServer.Listening(); }
  const engine_counters& Counters() const { return mCounters; }
  engine_control& Control() { return mControl; }
  const engine_batch& Batch() const { return mBatch; }
  const engine_stand_in_options& Options() const { return mOptions; }
  /// Times that a request was started, by its `X-Request-Id` header.
  std::uint32_t Runs(const std::string& aRequestId) const;
  /// Most bytes that waited for one reader.
  std::size_t PeakBuffered() const { return mPeakBuffered; }
  /// The whole answer that a request gets.
  std::string ExpectedAnswer(const engine_request& aRequest) const;

private:
  struct stream
  {
    http_server_exchange_ptr mExchange;
    engine_request mRequest;
    std::uint64_t mId = 0;
    std::uint64_t mSeed = 0;
    std::uint32_t mFrom = 0;
    std::uint32_t mTo = 0;
    std::uint32_t mCachedTokens = 0;
    bool mCrashes = false;
    /// Start of every streamed event, up to the token.
    std::string mEventHead;
  };

  void HandleChat(const http_server_exchange_ptr& aExchange);
  void StartStream(const http_server_exchange_ptr& aExchange,
                   engine_request aRequest,
                   std::uint32_t aFrom);
  void HandleEndpoints(const http_server_exchange_ptr& aExchange);
  void HandleLoad(const http_server_exchange_ptr& aExchange);
  void HandleCacheEvents(const http_server_exchange_ptr& aExchange);
  void HandleCommand(const http_server_exchange_ptr& aExchange);
  void HandleState(const http_server_exchange_ptr& aExchange);
  void HandleFaults(const http_server_exchange_ptr& aExchange);

  std::uint32_t Length(const engine_request& aRequest) const;
  void Tick();
  void Step(const batch_step& aStep);
  void WriteTokens(const batch_step& aStep, stream& aStream);
  void FinishStream(const stream& aStream);
  void Forget(std::uint64_t aId);
  void SampleLoad();
  void DropStreams();
  void RestartAfterCrash();

  engine_stand_in_options mOptions;
  system_time_source mTime;
  engine_batch mBatch;
  engine_control mControl;
  prefix_cache mCache;
  engine_counters mCounters;
  std::map<std::uint64_t, stream> mStreams;
  std::unordered_map<std::string, std::uint32_t> mRuns;
  nlohmann::json mLoad;
  std::uint64_t mNextId = 1;
  std::uint64_t mEpoch = 1;
  std::size_t mPeakBuffered = 0;
  bool mLeaving = false;
  loop_timer mTick;
  loop_timer mLoadTimer;
  loop_timer mRestart;
  deferred_calls mDeferred;
  http_server mServer;
};
