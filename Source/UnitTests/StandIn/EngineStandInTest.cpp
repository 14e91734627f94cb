#include "StandIn/EngineStandIn.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "Common/EventLoop.h"
#include "Remote/HttpClient.h"
#include "Remote/HttpStream.h"

using nlohmann::json;

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kWait{ 10000 };

/// A streamed chat call and what came back.
struct chat
{
  std::unique_ptr<http_stream> mStream;
  unsigned mStatus = 0;
  std::string mBytes;
  bool mEnded = false;
  std::optional<http_failure> mFailure;

  /// Complete events.
  std::vector<std::string> Events() const
  {
    std::vector<std::string> events;
    std::size_t from = 0;
    for (auto to = mBytes.find("\n\n"); to != std::string::npos;
         to = mBytes.find("\n\n", from)) {
      events.push_back(mBytes.substr(from + 6, to - from - 6));
      from = to + 2;
    }
    return events;
  }

  std::string Text() const
  {
    std::string text;
    for (const std::string& event : Events()) {
      if (event == "[DONE]") {
        break;
      }
      const json parsed = json::parse(event);
      for (const json& choice : parsed["choices"]) {
        text += choice["delta"].value("content", std::string());
      }
    }
    return text;
  }

  bool Complete() const { return mBytes.ends_with("data: [DONE]\n\n"); }
};

json ChatBody(const std::string& aPrompt, bool aStream = true)
{
  return { { "model", "small" },
           { "stream", aStream },
           { "messages",
             json::array(
               { { { "role", "user" }, { "content", aPrompt } } }) } };
}

class engine_test : public testing::Test
{
protected:
  void Start(const engine_stand_in_options& aOptions = Fast())
  {
    mEngine = std::make_unique<engine_stand_in>(aOptions);
    ASSERT_TRUE(mEngine->Start().has_value());
  }

  static engine_stand_in_options Fast()
  {
    engine_stand_in_options options;
    options.mSpeed.mFirstToken = microseconds(2000);
    options.mSpeed.mPerToken = microseconds(500);
    options.mCrashMarker = "poison";
    options.mCrashDowntime = milliseconds(1000);
    return options;
  }

  http_request Request(const std::string& aPath, const json& aBody = {})
  {
    http_request request;
    request.mUrl = "http://" + mEngine->Address() + aPath;
    if (!aBody.is_null()) {
      request.mMethod = "POST";
      request.mBody = aBody.dump();
    }
    return request;
  }

  std::unique_ptr<chat> Chat(const json& aBody, http_headers aHeaders = {})
  {
    auto call = std::make_unique<chat>();
    http_request request = Request("/v1/chat/completions", aBody);
    request.mHeaders = std::move(aHeaders);
    call->mStream = std::make_unique<http_stream>(
      mClient,
      request,
      http_stream_handlers{
        [&, c = call.get()](const http_response_head& aHead) {
          c->mStatus = aHead.mStatus;
        },
        [&, c = call.get()](std::string_view aPiece) { c->mBytes += aPiece; },
        [&, c = call.get()](std::optional<http_failure> aFailure) {
          c->mFailure = aFailure;
          c->mEnded = true;
        } });
    return call;
  }

  bool Await(const chat& aCall)
  {
    return mLoop.RunUntil([&] { return aCall.mEnded; }, kWait);
  }

  result<http_reply, http_failure> Send(const http_request& aRequest)
  {
    std::optional<result<http_reply, http_failure>> reply;
    mClient.Send(aRequest, mOwner, [&](auto aReply) { reply = aReply; });
    EXPECT_TRUE(mLoop.RunUntil([&] { return reply.has_value(); }, kWait));
    return *reply;
  }

  json GetJson(const std::string& aPath)
  {
    return json::parse(Send(Request(aPath)).value().mBody);
  }

  std::string Expected(const json& aBody)
  {
    return mEngine->ExpectedAnswer(ParseEngineRequest(aBody.dump()).value());
  }

  event_loop mLoop;
  http_client mClient;
  http_request_owner mOwner;
  std::unique_ptr<engine_stand_in> mEngine;
};

} // namespace

// Guards against two streams that mix: every caller gets its own answer.
TEST_F(engine_test, ConcurrentStreamsKeepTheirAnswers)
{
  Start();
  std::vector<std::unique_ptr<chat>> calls;
  calls.reserve(100);
  for (int i = 0; i < 100; ++i) {
    calls.push_back(Chat(ChatBody("question " + std::to_string(i))));
  }
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(Await(*calls[i]));
    EXPECT_TRUE(calls[i]->Complete());
    EXPECT_EQ(calls[i]->Text(),
              Expected(ChatBody("question " + std::to_string(i))));
  }
  EXPECT_EQ(mEngine->Counters().mFinished, 100U);
}

TEST_F(engine_test, WholeAnswerObeysMaxTokensAndReportsUsage)
{
  Start();
  json body = ChatBody("question", false);
  body["max_tokens"] = 3;
  const json answer =
    json::parse(Send(Request("/v1/chat/completions", body)).value().mBody);
  EXPECT_EQ(answer["choices"][0]["message"]["content"], Expected(body));
  EXPECT_EQ(answer["choices"][0]["finish_reason"], "length");
  EXPECT_EQ(answer["usage"]["completion_tokens"], 3);
  EXPECT_EQ(answer["usage"]["prompt_tokens"], 4);
}

// Guards against a resumed answer that repeats or skips tokens.
TEST_F(engine_test, ResumedStreamContinuesTheSameAnswer)
{
  Start();
  const json body = ChatBody("question");
  const auto call = Chat(body, { { "X-Resume-From", "5" } });
  ASSERT_TRUE(Await(*call));
  const std::string whole = Expected(body);
  EXPECT_EQ(whole.substr(whole.size() - call->Text().size()), call->Text());
  const auto events = call->Events();
  const json usage = json::parse(events[events.size() - 2])["usage"];
  EXPECT_EQ(usage["completion_tokens"], events.size() - 3);
  const auto seed = AnswerSeed(ParseEngineRequest(body.dump()).value());
  EXPECT_EQ(AnswerText(seed, 0, 5) + call->Text(), whole);
}

// Guards against a cancelled stream that continues to run.
TEST_F(engine_test, CancelledStreamStopsGenerating)
{
  engine_stand_in_options options = Fast();
  options.mShortestAnswer = options.mLongestAnswer = 100000;
  Start(options);
  auto streamed = Chat(ChatBody("streamed"));
  auto whole = Chat(ChatBody("whole", false));
  ASSERT_TRUE(mLoop.RunUntil(
    [&] {
      return !streamed->mBytes.empty() && mEngine->Counters().mStarted == 2;
    },
    kWait));
  streamed->mStream.reset();
  whole->mStream.reset();
  EXPECT_TRUE(
    mLoop.RunUntil([&] { return mEngine->Counters().mCancelled == 2; }, kWait));
  EXPECT_EQ(mEngine->Batch().Running(), 0U);
}

// Guards against memory growth behind a reader that does not read.
TEST_F(engine_test, SlowReaderHoldsItsStreamBack)
{
  constexpr std::uint32_t kTokens = 300000;
  constexpr std::size_t kLimit = 1U << 20U;
  engine_stand_in_options options = Fast();
  options.mShortestAnswer = options.mLongestAnswer = kTokens;
  options.mSpeed.mPerToken = microseconds(2);
  Start(options);
  const auto call = Chat(ChatBody("long"));
  call->mStream->Pause();
  const engine_counters& counters = mEngine->Counters();
  std::uint64_t before = 0;
  do {
    before = counters.mTokens;
    mLoop.RunUntil([] { return false; }, milliseconds(200));
  } while (counters.mTokens != before);
  EXPECT_GT(before, 0U);
  EXPECT_LT(before, kTokens / 2);
  EXPECT_LT(mEngine->PeakBuffered(), kLimit);
  call->mStream->Resume();
  EXPECT_TRUE(
    mLoop.RunUntil([&] { return counters.mTokens > before + 10000; }, kWait));
}

// Guards against a crash that leaves callers waiting or reports success.
TEST_F(engine_test, MarkedRequestCrashesTheEngineForAWhile)
{
  Start();
  const auto bystander = Chat(ChatBody(std::string(1000000, 'x')));
  const auto poison = Chat(ChatBody("some poison here"));
  ASSERT_TRUE(Await(*poison));
  ASSERT_TRUE(Await(*bystander));
  EXPECT_FALSE(poison->Complete());
  EXPECT_FALSE(bystander->Complete());
  EXPECT_EQ(Send(Request("/v1/load")).error(), http_failure::Unavailable);
  ASSERT_TRUE(mLoop.RunUntil([&] { return mEngine->Running(); }, kWait));
  EXPECT_EQ(GetJson("/v1/load")["epoch"], 2);
  EXPECT_EQ(mEngine->Counters().mCrashes, 1U);
}

// Guards against a leaving engine that takes new work or cuts running work.
TEST_F(engine_test, LeavingEngineFinishesWhatRuns)
{
  Start();
  const auto running = Chat(ChatBody("before"));
  ASSERT_TRUE(
    mLoop.RunUntil([&] { return mEngine->Counters().mStarted == 1; }, kWait));
  mEngine->SetLeaving(true);
  const auto refused =
    Send(Request("/v1/chat/completions", ChatBody("after"))).value();
  EXPECT_EQ(refused.mStatus, 503U);
  EXPECT_EQ(FindHeader(refused.mHeaders, "Connection"), "close");
  ASSERT_TRUE(Await(*running));
  EXPECT_TRUE(running->Complete());
  EXPECT_EQ(mEngine->Counters().mStarted, 1U);
}

// Guards against a stale command applied where tokens are checked, and against
// an engine that is meant to ignore them and does not.
TEST_F(engine_test, StaleFencingTokenIsRejectedWhereChecked)
{
  for (const bool checks : { true, false }) {
    engine_stand_in_options options = Fast();
    options.mControl.mChecksToken = checks;
    Start(options);
    const json role{ { "token", 7 },
                     { "command", "set_role" },
                     { "role", "prefill" } };
    const json load{ { "token", 6 },
                     { "command", "load_model" },
                     { "model", "large" },
                     { "version", "2" } };
    EXPECT_EQ(Send(Request("/v1/admin/commands", role)).value().mStatus, 200U);
    EXPECT_EQ(Send(Request("/v1/admin/commands", load)).value().mStatus,
              checks ? 409U : 200U);
    const json state = GetJson("/v1/admin/state");
    EXPECT_EQ(state["token"], 7);
    EXPECT_EQ(state["role"], "prefill");
    EXPECT_EQ(state["models"].size(), checks ? 1U : 2U);
  }
}

// Guards against load reports and cache events that are not late, and against
// counts that ignore what runs.
TEST_F(engine_test, LoadAndCacheEventsLag)
{
  engine_stand_in_options options = Fast();
  options.mShortestAnswer = options.mLongestAnswer = 100000;
  options.mLoadLag = milliseconds(1000);
  options.mCache.mEventLag = milliseconds(1000);
  Start(options);
  const auto call = Chat(ChatBody(std::string(1000, 'x')));
  ASSERT_TRUE(
    mLoop.RunUntil([&] { return mEngine->Counters().mStarted == 1; }, kWait));
  EXPECT_EQ(GetJson("/v1/load")["running"], 0);
  EXPECT_EQ(GetJson("/v1/cache_events?after=0")["events"].size(), 0U);
  mLoop.RunUntil([] { return false; }, milliseconds(2100));
  EXPECT_EQ(GetJson("/v1/load")["running"], 1);
  EXPECT_EQ(GetJson("/v1/cache_events?after=0")["events"].size(), 15U);
  EXPECT_EQ(GetJson("/v1/cache_events?after=10")["events"].size(), 5U);
}
