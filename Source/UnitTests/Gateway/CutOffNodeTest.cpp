#include <map>

#include "Gateway/FleetView.h"
#include "Gateway/ServerReachability.h"
#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

/// Forwards connections to a server and can be cut like the link of a host.
class severable_link final : private tcp_listener::acceptor
{
public:
  enum class state : std::uint8_t
  {
    Open,
    /// Nothing is forwarded; connections stay open.
    Hangs,
    /// Connections are reset, also new ones.
    Resets,
    /// Open connections live on; new ones are refused.
    RefusesNew,
  };

  explicit severable_link(tcp_address aTarget)
    : mTarget(std::move(aTarget))
  {
    std::string error;
    mListener = tcp_listener::Listen({ "127.0.0.1", 0 }, *this, error);
  }

  std::string Address() const { return FormatTcpAddress(mListener->Address()); }

  void SetState(state aState)
  {
    std::string error;
    mState = aState;
    if (aState == state::RefusesNew) {
      mListener->Pause();
    } else {
      mListener->Resume(error);
    }
    if (aState == state::Resets || aState == state::Open) {
      // A connection whose bytes were dropped cannot go on.
      for (const auto& pair : mPairs) {
        pair->Reset();
      }
    }
  }

private:
  struct side final : tcp_observer
  {
    void OnData(std::string_view aBytes) override
    {
      if (mLink->mState != state::Hangs && mOther->mStream) {
        mOther->mStream->Write(aBytes);
      }
    }
    void OnEnd(tcp_end_reason) override
    {
      if (mOther->mStream) {
        mOther->mStream->CloseAfterDrain();
      }
    }
    severable_link* mLink = nullptr;
    side* mOther = nullptr;
    std::shared_ptr<tcp_stream> mStream;
  };
  struct connection_pair
  {
    void Reset()
    {
      mNear.mStream->Reset();
      mFar.mStream->Reset();
    }
    side mNear;
    side mFar;
  };

  void OnAccept(int aDescriptor) override
  {
    auto pair = std::make_unique<connection_pair>();
    pair->mNear.mLink = pair->mFar.mLink = this;
    pair->mNear.mOther = &pair->mFar;
    pair->mFar.mOther = &pair->mNear;
    pair->mNear.mStream = tcp_stream::Adopt(aDescriptor, {}, pair->mNear);
    pair->mFar.mStream = tcp_stream::Connect(mTarget, {}, pair->mFar);
    if (mState == state::Resets) {
      pair->Reset();
    }
    mPairs.push_back(std::move(pair));
  }

  tcp_address mTarget;
  state mState = state::Open;
  std::unique_ptr<tcp_listener> mListener;
  std::vector<std::unique_ptr<connection_pair>> mPairs;
};

/// The store as a host sees it whose way to the servers leads over links.
class linked_row_store final : public forwarding_row_store
{
public:
  using forwarding_row_store::forwarding_row_store;

  void SetState(severable_link::state aState)
  {
    for (const auto& [address, link] : mLinks) {
      link->SetState(aState);
    }
  }

private:
  page_callback WrapPage(page_callback aReply) override
  {
    return [this, reply = std::move(aReply)](auto aPage) {
      if (!aPage.has_value()) {
        reply(std::move(aPage));
        return;
      }
      row_page page = aPage.value();
      for (stored_row& row : page.mRows) {
        Reroute(row.mValue);
      }
      reply(std::move(page));
    };
  }

  void Reroute(std::string& aValue)
  {
    constexpr std::string_view kKey = "\"address\":\"";
    const auto found = aValue.find(kKey);
    if (found == std::string::npos) {
      return;
    }
    const auto from = found + kKey.size();
    const auto size = aValue.find('"', from) - from;
    const std::string address = aValue.substr(from, size);
    auto& link = mLinks[address];
    if (!link) {
      link = std::make_unique<severable_link>(*ParseTcpAddress(address));
    }
    aValue.replace(from, size, link->Address());
  }

  std::map<std::string, std::unique_ptr<severable_link>> mLinks;
};

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
