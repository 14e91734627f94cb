#include <fmt/format.h>

#include "GatewayFixture.h"
#include "HostLinks.h"

namespace {

using std::chrono::milliseconds;

/// A node whose outgoing link is slower than what its clients send.
class full_link_test : public gateway_fixture
{
protected:
  ~full_link_test() override { mNode.reset(); }

  void SetUp() override
  {
    mSettings.mLinkBytesPerSecond = kBytesPerSecond;
    mSettings.mMemoryBytes = 100000000;
    // Gives requests more time than servers have to leave.
    const std::string order =
      R"("kind": "non_idempotent", "timeoutMs": 800, "targetLatencyMs": 300)";
    mConfig.replace(
      mConfig.find(order),
      order.size(),
      R"("kind": "non_idempotent", "timeoutMs": 9000, "targetLatencyMs": 6000)");
    mLinkedStore.SetBytesPerSecond(kBytesPerSecond);
  }

  void StartLinkedNode()
  {
    mStore.Put({ "op", "", "config" }, mConfig);
    std::string error;
    mNode = gateway_node::Start(
      mSettings, mCodec, mLinkedStore, mTime, [] {}, error);
    ASSERT_TRUE(mNode) << error;
    ASSERT_TRUE(RunUntil([this] { return mNode->Ready(); }));
  }

  /// Begins requests with large bodies at the same time.
  void BeginRequests(unsigned aCount)
  {
    for (unsigned i = 0; i < aCount; ++i) {
      mExchanges.push_back(BeginRequest(
        "POST",
        "/o/x",
        fmt::format("Lentilswitch-Request-Id: q{}\r\n", mExchanges.size()),
        std::string(kBodyBytes, 'b')));
    }
  }

  static constexpr unsigned kSlots = 64;
  static constexpr double kBytesPerSecond = 1e6;
  static constexpr std::size_t kBodyBytes = 100000;

  linked_row_store mLinkedStore{ mStore };
  std::vector<std::unique_ptr<client_exchange>> mExchanges;
};

} // namespace

// Guards against requests that reach a server later than the leave limit after
// it said that it leaves, because they waited behind others at the outgoing
// link of the host.
TEST_F(full_link_test, RequestsDoNotWaitAtTheLinkUntilTheirServerHasLeft)
{
  scripted_server& server = AddServer("i-1", "app");
  PutServer("i-1", server, "ready", kSlots);
  std::vector<time_point> arrivals;
  server.mScript = [&](http_server_connection& aConnection,
                       const http_server_request& aRequest) {
    arrivals.push_back(mTime.Now());
    http_server_response response;
    scripted_server::Sign(response, aRequest);
    aConnection.Respond(response, "done");
  };
  StartLinkedNode();
  BeginRequests(50);
  RunFor(milliseconds(100));
  PutServer("i-1", server, "draining", kSlots);
  const time_point leavingAt = mTime.Now();
  for (const auto& exchange : mExchanges) {
    RunUntil([&] { return exchange->Ended(); });
  }
  EXPECT_GE(arrivals.size(), 5U);
  for (const time_point arrival : arrivals) {
    EXPECT_LE(arrival, leavingAt + mSettings.mLeaveTimeout);
  }
}

// Guards against requests that reach a server after the node has given them up,
// because their bytes waited at the outgoing link.
TEST_F(full_link_test, CancelledRequestsLeaveNothingAtTheLink)
{
  scripted_server& server = AddServer("i-1", "app");
  PutServer("i-1", server, "ready", kSlots);
  StartLinkedNode();
  BeginRequests(10);
  RunFor(milliseconds(100));
  const std::size_t before = server.mRequests.size();
  for (const auto& exchange : mExchanges) {
    exchange->mConnection->Cancel();
  }
  // The link sends all of them within a second.
  RunFor(milliseconds(1500));
  EXPECT_LE(server.mRequests.size(), before + 2);
}
