#include <gtest/gtest.h>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

constexpr const char* kPrompt =
  "Authorization: Bearer key-1\r\nLentilswitch-Token-Counts: 900,200\r\n"
  "Lentilswitch-Prompt-Prefix: aa:900\r\n";
constexpr milliseconds kGap(10);

class learned_capacity_test : public gateway_fixture
{
protected:
  /// Streams events every 10 ms to one client while both nodes run.
  std::string StreamFor(milliseconds aTime)
  {
    http_server_connection* open = nullptr;
    AddServer("i-1", "engine").mScript =
      [&](http_server_connection& aConnection,
          const http_server_request& aRequest) {
        scripted_server::SendEvents(
          aConnection, aRequest, "id: 1\ndata: a\n\n");
        open = &aConnection;
      };
    StartTwoNodes(mStore);
    int events = 1;
    mEvents.Every(kGap, [&] {
      if (open != nullptr) {
        open->WriteBody("id: " + std::to_string(++events) + "\ndata: a\n\n");
      }
    });
    const auto exchange = BeginRequest("POST", "/s/x", kPrompt, "b");
    RunFor(aTime);
    mEvents.Cancel();
    return exchange->mBody;
  }

  loop_timer mEvents;
};

} // namespace

// Guards against a node that fails, or streams that break, when the load and
// the observations of a stream are exchanged.
TEST_F(learned_capacity_test, StreamsRunWhileCapacityIsLearned)
{
  mSettings.mLearnServerCapacity = true;
  const std::string body = StreamFor(milliseconds(1500));
  EXPECT_NE(body.find("id: 50\n"), std::string::npos);
}
