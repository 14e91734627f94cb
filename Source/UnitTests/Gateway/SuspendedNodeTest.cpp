#include <thread>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

/// A node that does not run for a while, although its host and the servers do.
class suspended_node_test : public gateway_fixture
{
protected:
  /// Adds a server whose response reaches the host while the node does not run.
  void AddServerAheadOfPause(const std::string& aId, milliseconds aPause)
  {
    AddServer(aId, "app").mScript =
      [this, aPause](http_server_connection& aConnection,
                     const http_server_request& aRequest) {
        ++mRuns;
        http_server_response response;
        scripted_server::Sign(response, aRequest);
        aConnection.Respond(response, "done");
        if (mRuns == 1) {
          std::this_thread::sleep_for(aPause);
        }
      };
  }

  unsigned mRuns = 0;
};

} // namespace

// Guards against work that is given up because the node did not run until its
// time limit had passed: the response is there, and is delivered late.
TEST_F(suspended_node_test, DeliversAResponseThatArrivedMeanwhile)
{
  AddServerAheadOfPause("i-1", milliseconds(1200));
  StartNode();
  const auto exchange = Call("POST", "/o/x", {}, "b");
  EXPECT_EQ(exchange->mResponse.mStatus, 200U);
  EXPECT_EQ(exchange->mBody, "done");
}

// Guards against work that is started again at another server because the node
// did not run, and the first server seems slow.
TEST_F(suspended_node_test, StartsNoWorkAgainThatIsDone)
{
  AddServerAheadOfPause("i-1", milliseconds(450));
  AddServerAheadOfPause("i-2", milliseconds(450));
  StartNode();
  const auto exchange = Call("POST", "/l/x", {}, "b");
  EXPECT_EQ(exchange->mResponse.mStatus, 200U);
  EXPECT_EQ(mRuns, 1U);
}

// Guards against servers that are taken for crashed under their requests
// because the node heard nothing of them while it did not run.
TEST_F(suspended_node_test, TakesNoServerForSilent)
{
  std::vector<http_server_connection*> open;
  for (const char* id : { "i-1", "i-2", "i-3" }) {
    AddServer(id, "engine").mScript = [&](http_server_connection& aConnection,
                                          const http_server_request& aRequest) {
      scripted_server::SendEvents(aConnection, aRequest, "id: 1\ndata: a\n\n");
      open.push_back(&aConnection);
    };
  }
  mConfig.replace(
    mConfig.find("\"timeoutMs\": 2000"), 17, "\"timeoutMs\": 9000");
  StartNode();
  std::vector<std::unique_ptr<client_exchange>> exchanges;
  for (unsigned i = 0; i < 3; ++i) {
    exchanges.push_back(BeginRequest(
      "POST", "/s/x", "Lentilswitch-Token-Counts: 100,50\r\n", "b"));
    ASSERT_TRUE(RunUntil([&] { return open.size() == i + 1; }));
  }
  RunFor(milliseconds(50));
  std::this_thread::sleep_for(milliseconds(2500));
  RunFor(milliseconds(300));
  // A copy of requests under which three servers ended would be refused.
  exchanges.push_back(
    BeginRequest("POST", "/s/x", "Lentilswitch-Token-Counts: 100,50\r\n", "b"));
  EXPECT_TRUE(RunUntil([&] { return open.size() == 4; }));
  for (http_server_connection* connection : open) {
    connection->FinishBody();
  }
  for (const auto& exchange : exchanges) {
    EXPECT_TRUE(RunUntil([&] { return exchange->Ended(); }));
    EXPECT_EQ(exchange->mResponse.mStatus, 200U);
  }
}
