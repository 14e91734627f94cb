#include "StandIn/EngineStandIn.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "Common/Log.h"
#include "Common/PrefixHash.h"
#include "Common/TextCodec.h"
#include "StandIn/EngineEvents.h"

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kTickPeriod{ 2 };
// A reader with more than this waiting gets no further tokens.
constexpr std::size_t kHoldBytes = 64U << 10U;
constexpr std::chrono::milliseconds kRestartRetry{ 500 };
constexpr std::size_t kRunsKept = 100000;

} // namespace

engine_stand_in::engine_stand_in(engine_stand_in_options aOptions)
  : mOptions(std::move(aOptions))
  , mBatch(mOptions.mSpeed)
  , mControl(mOptions.mControl)
  , mCache(mOptions.mCache)
{
  using call = const http_server_exchange_ptr&;
  mServer.Route("/", [](call aCall) {
    aCall->ReplyError(404, "not_found", "no such path");
  });
  mServer.Route("/v1/chat/completions",
                [this](call aCall) { HandleChat(aCall); });
  mServer.Route("/v1/endpoints",
                [this](call aCall) { HandleEndpoints(aCall); });
  mServer.Route("/v1/load", [this](call aCall) { HandleLoad(aCall); });
  mServer.Route("/v1/cache_events",
                [this](call aCall) { HandleCacheEvents(aCall); });
  mServer.Route("/v1/admin/commands",
                [this](call aCall) { HandleCommand(aCall); });
  mServer.Route("/v1/admin/state", [this](call aCall) { HandleState(aCall); });
  mServer.Route("/v1/admin/faults",
                [this](call aCall) { HandleFaults(aCall); });
}

engine_stand_in::~engine_stand_in()
{
  Stop();
}

result<void, http_listen_error> engine_stand_in::Start(
  const std::string& aAddress)
{
  mRestart.Cancel();
  SampleLoad();
  mLoadTimer.Every(std::max(mOptions.mLoadLag, kTickPeriod),
                   [this] { SampleLoad(); });
  return mServer.Listen(aAddress);
}

void engine_stand_in::Stop()
{
  DropStreams();
  mRestart.Cancel();
  mLoadTimer.Cancel();
  mDeferred.CancelAll();
  mServer.Close();
}

void engine_stand_in::Crash(std::chrono::milliseconds aDowntime)
{
  ++mCounters.mCrashes;
  ++mEpoch;
  Stop();
  mCache.Clear();
  mRestart.Once(aDowntime, [this] { RestartAfterCrash(); });
}

void engine_stand_in::RestartAfterCrash()
{
  const std::string address = Address();
  if (Start(address).has_value()) {
    return;
  }
  // An outgoing connection may hold the port meanwhile.
  Log(
    log_level::Warning, "engine_restart_failed", { Field("address", address) });
  mRestart.Once(kRestartRetry, [this] { RestartAfterCrash(); });
}

void engine_stand_in::SetSlowPercent(std::uint32_t aPercent)
{
  mBatch.SetSlowPercent(aPercent);
}

std::uint32_t engine_stand_in::Runs(const std::string& aRequestId) const
{
  const auto found = mRuns.find(aRequestId);
  return found == mRuns.end() ? 0 : found->second;
}

std::uint32_t engine_stand_in::Length(const engine_request& aRequest) const
{
  const std::uint32_t natural = AnswerLength(
    AnswerSeed(aRequest), mOptions.mShortestAnswer, mOptions.mLongestAnswer);
  return aRequest.mMaxTokens == 0 ? natural
                                  : std::min(natural, aRequest.mMaxTokens);
}

std::string engine_stand_in::ExpectedAnswer(
  const engine_request& aRequest) const
{
  return AnswerText(AnswerSeed(aRequest), 0, Length(aRequest));
}

void engine_stand_in::HandleChat(const http_server_exchange_ptr& aExchange)
{
  if (mLeaving) {
    ++mCounters.mRefused;
    aExchange->AddHeader("Connection", "close");
    aExchange->ReplyError(503, "leaving", "the engine takes no new requests");
    return;
  }
  auto request = ParseEngineRequest(aExchange->Body());
  const std::string_view resume = aExchange->Header("X-Resume-From");
  const auto from = resume.empty() ? 0 : ParseDecimal<std::uint32_t>(resume);
  if (!request.has_value() || !from) {
    ++mCounters.mRefused;
    aExchange->ReplyError(400,
                          "bad_request",
                          request.has_value() ? "X-Resume-From is not a number"
                                              : request.error().mMessage);
    return;
  }
  if (!mControl.Serves(request.value().mModel, mTime.Now())) {
    ++mCounters.mRefused;
    aExchange->ReplyError(404, "no_such_model", "the model is not loaded");
    return;
  }
  StartStream(aExchange, std::move(request.value()), *from);
}

void engine_stand_in::StartStream(const http_server_exchange_ptr& aExchange,
                                  engine_request aRequest,
                                  std::uint32_t aFrom)
{
  ++mCounters.mStarted;
  const std::string requestId(aExchange->Header("X-Request-Id"));
  if (!requestId.empty() && mRuns.size() < kRunsKept) {
    ++mRuns[requestId];
  }
  const std::uint64_t id = mNextId++;
  const auto blocks = PrefixBlocks(aRequest.mModel,
                                   aRequest.mPrompt,
                                   mOptions.mBlockBytes,
                                   aRequest.mPrompt.size());
  const std::size_t cached = mCache.Use(aRequest.mModel, blocks, mTime.Now());
  stream& added = mStreams[id];
  added.mExchange = aExchange;
  added.mId = id;
  added.mSeed = AnswerSeed(aRequest);
  added.mTo = std::max(Length(aRequest), aFrom);
  added.mFrom = aFrom;
  added.mCachedTokens =
    static_cast<std::uint32_t>(cached * mOptions.mBlockBytes / 4);
  added.mCrashes =
    !mOptions.mCrashMarker.empty() &&
    aRequest.mPrompt.find(mOptions.mCrashMarker) != std::string::npos;
  added.mEventHead = TokenEventHead(id, aRequest.mModel);
  added.mRequest = std::move(aRequest);
  const std::uint32_t prompt = CountPromptTokens(added.mRequest.mPrompt);
  mBatch.Add({ id,
               added.mRequest.mPriority,
               prompt - std::min(prompt, added.mCachedTokens),
               added.mFrom,
               added.mTo },
             mTime.Now());
  aExchange->OnClosed([this, id] {
    ++mCounters.mCancelled;
    Forget(id);
  });
  aExchange->OnDrained([this, id] { mBatch.Hold(id, false, mTime.Now()); });
  if (!mTick.Active()) {
    mTick.Every(kTickPeriod, [this] { Tick(); });
  }
}

void engine_stand_in::Tick()
{
  const std::vector<batch_step> steps = mBatch.Tick(mTime.Now());
  for (const batch_step& step : steps) {
    const auto found = mStreams.find(step.mId);
    if (found != mStreams.end() && found->second.mCrashes) {
      Crash(mOptions.mCrashDowntime);
      return;
    }
    Step(step);
  }
  if (mStreams.empty()) {
    mTick.Cancel();
  }
}

void engine_stand_in::Step(const batch_step& aStep)
{
  const auto found = mStreams.find(aStep.mId);
  if (found == mStreams.end()) {
    return;
  }
  mCounters.mTokens += aStep.mTo - aStep.mFrom;
  if (found->second.mRequest.mStream) {
    WriteTokens(aStep, found->second);
  }
  if (aStep.mDone) {
    ++mCounters.mFinished;
    const stream finished = std::move(found->second);
    mStreams.erase(found);
    finished.mExchange->OnClosed(nullptr);
    finished.mExchange->OnDrained(nullptr);
    FinishStream(finished);
  }
}

void engine_stand_in::WriteTokens(const batch_step& aStep, stream& aStream)
{
  http_server_exchange& exchange = *aStream.mExchange;
  if (aStep.mFrom == aStream.mFrom) {
    exchange.BeginStream(200, "text/event-stream");
  }
  std::string events;
  for (std::uint32_t index = aStep.mFrom; index < aStep.mTo; ++index) {
    events += aStream.mEventHead;
    events += AnswerToken(aStream.mSeed, index);
    events += kTokenEventEnd;
  }
  exchange.Write(events);
  mPeakBuffered = std::max(mPeakBuffered, exchange.Buffered());
  if (exchange.Buffered() > kHoldBytes) {
    mBatch.Hold(aStep.mId, true, mTime.Now());
  }
}

void engine_stand_in::FinishStream(const stream& aStream)
{
  const engine_request& request = aStream.mRequest;
  const engine_usage usage{ CountPromptTokens(request.mPrompt),
                            aStream.mTo - aStream.mFrom,
                            aStream.mCachedTokens };
  const bool cut = request.mMaxTokens != 0 && aStream.mTo >= request.mMaxTokens;
  const std::string reason = cut ? "length" : "stop";
  const std::uint64_t id = aStream.mId;
  if (request.mStream) {
    aStream.mExchange->Write(FinalEvents(id, request.mModel, reason, usage));
    aStream.mExchange->End();
    return;
  }
  const std::string text =
    AnswerText(aStream.mSeed, aStream.mFrom, aStream.mTo);
  aStream.mExchange->Reply(
    200,
    "application/json",
    WholeAnswer(id, request.mModel, text, reason, usage));
}

void engine_stand_in::Forget(std::uint64_t aId)
{
  mStreams.erase(aId);
  mBatch.Remove(aId, mTime.Now());
}

void engine_stand_in::DropStreams()
{
  for (auto& [id, stream] : mStreams) {
    stream.mExchange->OnClosed(nullptr);
    stream.mExchange->OnDrained(nullptr);
  }
  mStreams.clear();
  mBatch.Clear();
  mTick.Cancel();
}

void engine_stand_in::SampleLoad()
{
  const time_point now = mTime.Now();
  mLoad = { { "models", mControl.Models(now) },
            { "adapters", mControl.Adapters() },
            { "role", mControl.Role() },
            { "running", mBatch.Running() },
            { "waiting", mBatch.Waiting() },
            { "capacity", mOptions.mSpeed.mCapacity },
            { "cached_blocks", mCache.Size() },
            { "leaving", mLeaving },
            { "epoch", mEpoch } };
}

void engine_stand_in::HandleEndpoints(const http_server_exchange_ptr& aExchange)
{
  aExchange->ReplyJson(
    200,
    { { "endpoints", { { { "address", Address() }, { "zone", "" } } } },
      { "cache_ms", 60000 } });
}

void engine_stand_in::HandleLoad(const http_server_exchange_ptr& aExchange)
{
  aExchange->ReplyJson(200, mLoad);
}

void engine_stand_in::HandleCacheEvents(
  const http_server_exchange_ptr& aExchange)
{
  const auto after = ParseDecimal<std::uint32_t>(aExchange->Query("after"));
  json events = json::array();
  for (const cache_event& event :
       mCache.Events(after.value_or(0), mTime.Now())) {
    const bool stored = event.mKind == cache_event_kind::Stored;
    events.push_back({ { "sequence", event.mSequence },
                       { "kind", stored ? "stored" : "evicted" },
                       { "model", event.mModel },
                       { "block", fmt::format("{:016x}", event.mBlock) } });
  }
  aExchange->ReplyJson(200, { { "epoch", mEpoch }, { "events", events } });
}

void engine_stand_in::HandleCommand(const http_server_exchange_ptr& aExchange)
{
  const auto applied = mControl.Apply(aExchange->Body(), mTime.Now());
  if (applied.has_value()) {
    HandleState(aExchange);
  } else if (applied.error() == command_error::StaleToken) {
    aExchange->ReplyError(409, "stale_token", "a higher token was seen");
  } else {
    aExchange->ReplyError(400, "bad_request", "not a known command");
  }
}

void engine_stand_in::HandleState(const http_server_exchange_ptr& aExchange)
{
  json state = mControl.State(mTime.Now());
  state["leaving"] = mLeaving;
  state["epoch"] = mEpoch;
  aExchange->ReplyJson(200, state);
}

void engine_stand_in::HandleFaults(const http_server_exchange_ptr& aExchange)
{
  try {
    const json body = json::parse(aExchange->Body());
    mLeaving = body.value("leaving", mLeaving);
    SetSlowPercent(body.value("slow_percent", mBatch.SlowPercent()));
    const std::chrono::milliseconds crash(body.value("crash_ms", 0U));
    if (crash.count() > 0) {
      // The reply leaves first, and a server is not closed inside a handler.
      mDeferred.After(kTickPeriod, [this, crash] { Crash(crash); });
    }
  } catch (const json::exception& error) {
    aExchange->ReplyError(400, "bad_request", error.what());
    return;
  }
  aExchange->ReplyJson(200, { { "leaving", mLeaving } });
}
