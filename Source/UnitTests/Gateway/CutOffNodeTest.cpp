#include "Gateway/FleetView.h"
#include "Gateway/ServerReachability.h"
#include "GatewayFixture.h"
#include "HostLinks.h"

namespace {

using std::chrono::milliseconds;

/// A node whose host can lose its links to all servers, and a peer that reaches
/// them.
class cut_off_node_test : public gateway_fixture
{
protected:
  ~cut_off_node_test() override { mSecondNode.reset(); }

  void StartNodes()
  {
    for (const char* id : { "i-1", "i-2", "i-3", "i-4" }) {
      AddServer(id, "app");
    }
    StartTwoNodes(mLinkedStore);
    EXPECT_EQ(CallCutNode("/l/x", kRequests), kRequests);
  }

  /// Sends requests to the node one after the other, and returns how many are
  /// served.
  unsigned CallCutNode(const std::string& aPath, unsigned aCount)
  {
    unsigned served = 0;
    for (unsigned i = 0; i < aCount; ++i) {
      const auto exchange = BeginAtSecondNode(aPath);
      EXPECT_TRUE(RunUntil([&] { return exchange->Ended(); }));
      served += exchange->mResponse.mStatus == 200 ? 1U : 0U;
    }
    return served;
  }

  /// Sends requests at an even rate for the time and does not wait for their
  /// answers.
  void SendTraffic(milliseconds aTime)
  {
    constexpr milliseconds kInterval(50);
    for (milliseconds sent(0); sent < aTime; sent += kInterval) {
      mTraffic.push_back(BeginAtSecondNode("/l/x"));
      RunFor(kInterval);
    }
  }

  unsigned Runs() const
  {
    unsigned runs = 0;
    for (const auto& server : mServers) {
      runs += static_cast<unsigned>(server->mRequests.size());
    }
    return runs;
  }

  static constexpr unsigned kRequests = 20;
  // Time after the begin of a cut from which on callers must be served.
  static constexpr milliseconds kStableTime{ 3000 };

  linked_row_store mLinkedStore{ mStore };
  std::vector<std::unique_ptr<client_exchange>> mTraffic;
};

} // namespace

// Guards against callers that are refused by a host whose connections to all
// servers are reset, while other hosts reach them.
TEST_F(cut_off_node_test, ServesWhileItsLinksReset)
{
  StartNodes();
  mLinkedStore.SetState(severable_link::state::Resets);
  SendTraffic(kStableTime);
  EXPECT_EQ(CallCutNode("/l/x", kRequests), kRequests);
  EXPECT_EQ(CallCutNode("/o/x", kRequests), kRequests);
}

// Guards against callers whose requests get no answer at a host whose
// connections to all servers hang.
TEST_F(cut_off_node_test, ServesWhileItsLinksHang)
{
  StartNodes();
  mLinkedStore.SetState(severable_link::state::Hangs);
  SendTraffic(kStableTime);
  EXPECT_EQ(CallCutNode("/l/x", kRequests), kRequests);
  EXPECT_EQ(CallCutNode("/o/x", kRequests), kRequests);
}

// Guards against callers that are refused where open connections to servers
// live on and new ones are refused.
TEST_F(cut_off_node_test, ServesWhileItsLinksRefuseNewConnections)
{
  StartNodes();
  mLinkedStore.SetState(severable_link::state::RefusesNew);
  SendTraffic(kStableTime);
  EXPECT_EQ(CallCutNode("/l/x", kRequests), kRequests);
  EXPECT_EQ(CallCutNode("/o/x", kRequests), kRequests);
}

// Guards against harmless requests that other nodes refuse as crashing, because
// a host that lost its links reported each broken connection as a crash.
TEST_F(cut_off_node_test, BrokenLinksAreNoCrashesAtOtherNodes)
{
  StartNodes();
  for (const auto& server : mServers) {
    server->mScript = [](http_server_connection&, const http_server_request&) {
    };
  }
  std::vector<std::unique_ptr<client_exchange>> exchanges;
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    exchanges.push_back(BeginAtSecondNode("/o/harmless"));
  }
  RunFor(milliseconds(50));
  mLinkedStore.SetState(severable_link::state::Resets);
  for (const auto& server : mServers) {
    server->mScript = {};
  }
  // Nodes tell each other of crashes within a few ms.
  RunFor(milliseconds(100));
  for (unsigned i = 0; i < kRequests; ++i) {
    const auto exchange = Call("POST", "/o/harmless", {}, "b");
    EXPECT_EQ(exchange->mResponse.mStatus, 200U);
    EXPECT_EQ(exchange->mBody, "done");
    RunFor(milliseconds(20));
  }
}

// Guards against clients that are sent to a host that is cut off, and against a
// host that stays out after its links are back.
TEST_F(cut_off_node_test, IsReadyOnlyWhileItReachesServers)
{
  StartNodes();
  mLinkedStore.SetState(severable_link::state::Hangs);
  SendTraffic(milliseconds(2000));
  EXPECT_FALSE(mSecondNode->Ready());
  EXPECT_TRUE(mNode->Ready());
  mLinkedStore.SetState(severable_link::state::Open);
  EXPECT_TRUE(RunUntil([this] { return mSecondNode->Ready(); }));
  const unsigned before = Runs();
  EXPECT_EQ(CallCutNode("/o/x", kRequests), kRequests);
  EXPECT_EQ(Runs(), before + kRequests);
}

// Guards against a host that takes itself for cut off because sound servers
// fall silent for a second, and that breaks off their requests.
TEST_F(cut_off_node_test, ShortSilencesOfServersAreBorne)
{
  const std::string timeout =
    R"("timeoutMs": 800, "targetLatencyMs": 300,
     "priority": 2, "service": "app", "maxAttempts": 1)";
  mConfig.replace(mConfig.find(timeout),
                  timeout.size(),
                  R"("timeoutMs": 4000, "targetLatencyMs": 300,
     "priority": 2, "service": "app", "maxAttempts": 1)");
  StartNodes();
  std::vector<std::pair<http_server_connection*, http_server_request>> silent;
  for (unsigned i = 0; i < 2; ++i) {
    mServers[i]->mScript = [&](http_server_connection& aConnection,
                               const http_server_request& aRequest) {
      silent.emplace_back(&aConnection, aRequest);
    };
  }
  std::vector<std::unique_ptr<client_exchange>> exchanges;
  for (unsigned i = 0; i < kRequests; ++i) {
    exchanges.push_back(BeginAtSecondNode("/o/x"));
    RunFor(milliseconds(60));
  }
  EXPECT_TRUE(mSecondNode->Ready());
  EXPECT_FALSE(silent.empty());
  for (const auto& [connection, request] : silent) {
    http_server_response response;
    scripted_server::Sign(response, request);
    connection->Respond(response, "done");
  }
  for (const auto& exchange : exchanges) {
    EXPECT_TRUE(RunUntil([&] { return exchange->Ended(); }));
    EXPECT_EQ(exchange->mResponse.mStatus, 200U);
  }
}

// Guards against a relayed stream that breaks off and looks complete, or whose
// events are lost on the way.
TEST_F(cut_off_node_test, RelayedStreamsAreWholeOrBroken)
{
  std::vector<http_server_connection*> streams;
  AddServer("e-1", "engine").mScript =
    [&](http_server_connection& aConnection,
        const http_server_request& aRequest) {
      scripted_server::SendEvents(aConnection, aRequest, "id: 1\ndata: a\n\n");
      streams.push_back(&aConnection);
    };
  StartNodes();
  mLinkedStore.SetState(severable_link::state::Resets);
  SendTraffic(milliseconds(1500));
  for (const bool whole : { true, false }) {
    streams.clear();
    const auto exchange = BeginAtSecondNode("/s/x");
    ASSERT_TRUE(RunUntil([&] { return !exchange->mBody.empty(); }));
    ASSERT_EQ(streams.size(), 1U);
    if (whole) {
      streams[0]->WriteBody("id: 2\ndata: b\n\n");
      streams[0]->FinishBody();
    } else {
      streams[0]->Abort();
    }
    ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
    EXPECT_EQ(exchange->mComplete, whole);
    EXPECT_EQ(exchange->mBody,
              whole ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
                    : "id: 1\ndata: a\n\n");
  }
}

// Guards against work that goes on after the client of a relayed request has
// left.
TEST_F(cut_off_node_test, RelayedRequestsEndWithTheirClient)
{
  scripted_server& engine = AddServer("e-1", "engine");
  engine.mScript = [](http_server_connection& aConnection,
                      const http_server_request& aRequest) {
    scripted_server::SendEvents(aConnection, aRequest, "id: 1\ndata: a\n\n");
  };
  StartNodes();
  mLinkedStore.SetState(severable_link::state::Resets);
  SendTraffic(milliseconds(1500));
  const auto exchange = BeginAtSecondNode("/s/x");
  ASSERT_TRUE(RunUntil([&] { return !exchange->mBody.empty(); }));
  exchange->mConnection->Cancel();
  EXPECT_TRUE(RunUntil([&] { return engine.mClientsGone > 0; }));
}

namespace {

const time_point kNow{ std::chrono::seconds(100) };

} // namespace

// Guards against a host that takes itself for cut off because two servers end,
// or because servers are silent while others answer.
TEST(server_reachability_test, OnlyFailuresOfSeveralServersInARowCount)
{
  constexpr std::size_t kServers = 9;
  server_reachability reachability;
  reachability.OnFailure(upstream_id{ "a" }, kNow);
  reachability.OnFailure(upstream_id{ "a" }, kNow);
  reachability.OnFailure(upstream_id{ "b" }, kNow);
  reachability.Update(kServers, kNow);
  EXPECT_FALSE(reachability.IsCutOff());
  reachability.OnByte(kNow);
  reachability.OnFailure(upstream_id{ "c" }, kNow);
  for (const char* id : { "d", "e", "f" }) {
    reachability.OnSilence(upstream_id{ id }, kNow + milliseconds(900));
  }
  reachability.Update(kServers, kNow + milliseconds(900));
  EXPECT_FALSE(reachability.IsCutOff());
  reachability.Update(kServers, kNow + milliseconds(1000));
  EXPECT_TRUE(reachability.IsCutOff());
  reachability.Update(kServers, kNow + std::chrono::seconds(60));
  EXPECT_TRUE(reachability.IsCutOff());
  reachability.OnByte(kNow + std::chrono::seconds(60));
  EXPECT_FALSE(reachability.IsCutOff());
}

// Guards against requests that are passed on to hosts that cannot serve them.
TEST(server_reachability_test, RequestsArePassedOnToNodesThatReachServers)
{
  node_report self;
  self.mAddress = "a:1";
  fleet_view view(self);
  for (const char* name : { "b", "c", "d" }) {
    node_report report;
    report.mAddress = std::string(name) + ":1";
    report.mClientAddress = std::string(name) + ":80";
    report.mReady = name[0] != 'c';
    report.mCutOff = name[0] == 'd';
    view.OnReport(report, kNow);
  }
  EXPECT_EQ(view.RelayTargets(1, kNow), std::vector<std::string>{ "b:80" });
  EXPECT_TRUE(view.RelayTargets(1, kNow + std::chrono::seconds(3)).empty());
}
