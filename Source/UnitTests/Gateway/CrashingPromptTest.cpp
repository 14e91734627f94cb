#include <fmt/format.h>

#include "GatewayFixture.h"

namespace {

constexpr const char* kCrashingSegment = "bad";

/// Engines that end when they begin to answer a request whose prompt shares the
/// crashing segment, and answer all others.
class crashing_prompt_test : public gateway_fixture
{
protected:
  void AddServers(unsigned aCount)
  {
    for (unsigned i = 0; i < aCount; ++i) {
      scripted_server& server = AddServer(fmt::format("i-{}", i), "engine");
      server.mScript = [this, &server](http_server_connection& aConnection,
                                       const http_server_request& aRequest) {
        if (IsCrashing(aRequest)) {
          ++mCrashes;
          scripted_server::SendEvents(aConnection, aRequest, "");
          server.End();
          return;
        }
        scripted_server::SendEvents(
          aConnection, aRequest, "id: 1\ndata: a\n\n");
        aConnection.FinishBody();
      };
    }
  }

  static bool IsCrashing(const http_server_request& aRequest)
  {
    const std::string prompt(
      FindHeader(aRequest.mHeaders, "Lentilswitch-Prompt-Prefix"));
    return prompt.find(fmt::format("{}:20,", kCrashingSegment)) !=
           std::string::npos;
  }

  /// Sends a request whose prompt has the given shared segments and a last one
  /// of its own.
  std::unique_ptr<client_exchange> Ask(const std::vector<std::string>& aShared)
  {
    ++mSent;
    std::string prompt;
    for (const std::string& segment : aShared) {
      prompt += segment + ":20,";
    }
    return Call("POST",
                "/s/x",
                fmt::format("Lentilswitch-Token-Counts: 100,50\r\n"
                            "Lentilswitch-Prompt-Prefix: {}own{}:40\r\n",
                            prompt,
                            mSent),
                fmt::format("question {}", mSent));
  }

  unsigned mCrashes = 0;
  unsigned mSent = 0;
  unsigned mEvents = 0;
  loop_timer mTimer;
};

} // namespace

// Guards against a prompt segment that crashes servers and is sent on because
// each request that contains it is different.
TEST_F(crashing_prompt_test, IsRefusedInNewRequestsAfterFiveCrashes)
{
  AddServers(12);
  StartNode();
  for (unsigned i = 0; i < 8; ++i) {
    Ask({ "system", kCrashingSegment });
    EXPECT_EQ(Ask({ "system" })->mResponse.mStatus, 200U);
    RunFor(std::chrono::milliseconds(150));
  }
  EXPECT_LE(mCrashes, 5U);
  EXPECT_EQ(Ask({ "system", kCrashingSegment })->mResponse.mStatus, 503U);
}

// Guards against sound requests that are refused because their prompts share
// the other segments of the requests that crashed servers.
TEST_F(crashing_prompt_test, RequestsWithItsOtherSegmentsAreServed)
{
  AddServers(12);
  StartNode();
  for (unsigned i = 0; i < 8; ++i) {
    Ask({ "system", kCrashingSegment, "document" });
    RunFor(std::chrono::milliseconds(150));
  }
  EXPECT_LE(mCrashes, 5U);
  EXPECT_EQ(Ask({ "system", "document" })->mResponse.mStatus, 200U);
  EXPECT_EQ(Ask({ "system", "other" })->mResponse.mStatus, 200U);
  EXPECT_EQ(Ask({ "document" })->mResponse.mStatus, 200U);
  EXPECT_EQ(Ask({ "system", kCrashingSegment })->mResponse.mStatus, 503U);
}

// Guards against a long stream that breaks with its server and counts against
// its segments, although it was answered for a while.
TEST_F(crashing_prompt_test, AnswersInProgressClearTheirSegments)
{
  AddServers(6);
  for (const auto& server : mServers) {
    server->mScript = [this](http_server_connection& aConnection,
                             const http_server_request& aRequest) {
      scripted_server::SendEvents(aConnection, aRequest, "");
      mEvents = 0;
      mTimer.Every(std::chrono::milliseconds(60), [this, &aConnection] {
        ++mEvents;
        aConnection.WriteBody(fmt::format("id: {}\ndata: a\n\n", mEvents));
        if (mEvents == 10) {
          mTimer.Cancel();
          aConnection.Abort();
        }
      });
    };
  }
  StartNode();
  for (unsigned i = 0; i < 5; ++i) {
    EXPECT_EQ(Ask({ "document" })->mResponse.mStatus, 200U);
  }
}
