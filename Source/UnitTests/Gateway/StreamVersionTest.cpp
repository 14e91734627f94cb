#include <fmt/format.h>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

/// Engines of two software versions whose streams break after the first event,
/// unless they resume for a client.
class stream_version_test : public gateway_fixture
{
protected:
  void AddEngine(const std::string& aId, const std::string& aSoftware)
  {
    scripted_server& server = AddServer(aId, "engine", aSoftware);
    server.mScript = [this, aSoftware](http_server_connection& aConnection,
                                       const http_server_request& aRequest) {
      const std::string id(
        FindHeader(aRequest.mHeaders, "Lentilswitch-Request-Id"));
      const bool resumed =
        !FindHeader(aRequest.mHeaders, "Last-Event-Id").empty();
      mRuns[id].push_back(aSoftware);
      scripted_server::SendEvents(aConnection,
                                  aRequest,
                                  resumed ? "id: 2\ndata: b\n\n"
                                          : "id: 1\ndata: a\n\n");
      if (resumed && mResumable) {
        aConnection.FinishBody();
      } else {
        aConnection.Abort();
      }
    };
  }

  void AddEngines()
  {
    AddEngine("i-1", "v1");
    AddEngine("i-2", "v2");
    AddEngine("i-3", "v1");
    AddEngine("i-4", "v2");
  }

  static std::string Headers(unsigned aNumber, const std::string& aTry)
  {
    return fmt::format("Lentilswitch-Request-Id: {}-{}\r\n"
                       "Lentilswitch-Token-Counts: 100,50\r\n"
                       "Lentilswitch-Prompt-Prefix: doc{}:60,own{}:40\r\n",
                       aTry,
                       aNumber,
                       aNumber,
                       aNumber);
  }

  static std::string Body(unsigned aNumber)
  {
    return fmt::format("question {}", aNumber);
  }

  /// A client begins a stream, which breaks after its first event.
  std::string Begin(unsigned aNumber)
  {
    mResumable = false;
    const auto begun =
      Call("POST", "/s/x", Headers(aNumber, "first"), Body(aNumber));
    EXPECT_EQ(begun->mBody, "id: 1\ndata: a\n\n");
    return mRuns[fmt::format("first-{}", aNumber)].at(0);
  }

  /// The client takes the stream up.
  std::unique_ptr<client_exchange> Resume(unsigned aNumber)
  {
    mResumable = true;
    return Call(
      "POST",
      "/s/x",
      Headers(aNumber, "second") +
        fmt::format("Resumes: first-{}\r\nLast-Event-Id: 1\r\n", aNumber),
      "b");
  }

  /// Software that the stream went on at; empty if it did not.
  std::vector<std::string> ResumedAt(unsigned aNumber)
  {
    return mRuns[fmt::format("second-{}", aNumber)];
  }

  std::map<std::string, std::vector<std::string>> mRuns;
  bool mResumable = false;
};

} // namespace

// Guards against a response that goes on at a server of another software
// version, which would not fit the events before.
TEST_F(stream_version_test, ResponsesGoOnAtTheVersionThatBeganThem)
{
  AddEngines();
  StartNode();
  mResumable = true;
  for (unsigned i = 0; i < 12; ++i) {
    const auto exchange = Call("POST", "/r/x", Headers(i, "only"), Body(i));
    EXPECT_EQ(exchange->mBody, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    const auto& runs = mRuns[fmt::format("only-{}", i)];
    ASSERT_EQ(runs.size(), 2U);
    EXPECT_EQ(runs[0], runs[1]);
  }
}

// Guards against a client's further try that goes on at a server of another
// software version.
TEST_F(stream_version_test, ClientsResumeAtTheVersionThatBeganTheStream)
{
  AddEngines();
  StartNode();
  for (unsigned i = 0; i < 12; ++i) {
    const std::string software = Begin(i);
    EXPECT_EQ(Resume(i)->mBody, "id: 2\ndata: b\n\n");
    EXPECT_EQ(ResumedAt(i), std::vector{ software });
  }
}

// Guards against a stream that goes on at another version because its own one
// has no server left: it can only be refused.
TEST_F(stream_version_test, RefusesStreamsWhoseVersionIsGone)
{
  AddEngine("i-1", "v1");
  StartNode();
  EXPECT_EQ(Begin(1), "v1");
  AddEngine("i-2", "v2");
  mStore.Remove({ "servers", "", "i-1" });
  RunFor(milliseconds(2000));
  const auto resumed = Resume(1);
  EXPECT_EQ(resumed->mResponse.mStatus, 503U);
  EXPECT_TRUE(ResumedAt(1).empty());
  // New streams begin at the new version.
  EXPECT_EQ(Begin(2), "v2");
}

// Guards against a stream of unknown origin that goes on at any of several
// versions.
TEST_F(stream_version_test, RefusesStreamsOfUnknownVersion)
{
  AddEngines();
  StartNode();
  for (unsigned i = 0; i < 4; ++i) {
    EXPECT_EQ(Resume(i)->mResponse.mStatus, 503U);
    EXPECT_TRUE(ResumedAt(i).empty());
  }
}

// Guards against text of two versions after the loss of all nodes: the node
// that comes back knows neither the streams nor the version whose servers have
// just left.
TEST_F(stream_version_test, RefusesStreamsOfTheTimeBeforeAllNodesWereLost)
{
  AddEngine("i-1", "v1");
  StartNode();
  EXPECT_EQ(Begin(1), "v1");
  AddEngine("i-2", "v2");
  mStore.Remove({ "servers", "", "i-1" });
  mNode.reset();
  StartNode();
  const auto resumed = Resume(1);
  EXPECT_EQ(resumed->mResponse.mStatus, 503U);
  EXPECT_NE(resumed->mBody.find("stream_version_unknown"), std::string::npos);
  EXPECT_TRUE(ResumedAt(1).empty());
}

// The same while both versions have servers.
TEST_F(stream_version_test, RefusesStreamsOfTwoVersionsAfterAllNodesWereLost)
{
  AddEngines();
  StartNode();
  for (unsigned i = 0; i < 4; ++i) {
    Begin(i);
  }
  mNode.reset();
  StartNode();
  for (unsigned i = 0; i < 4; ++i) {
    EXPECT_EQ(Resume(i)->mResponse.mStatus, 503U);
    EXPECT_TRUE(ResumedAt(i).empty());
  }
}

namespace {

/// Address of a loopback port that is free for datagrams and connections.
tcp_address FreeAddress(const time_source& aTime)
{
  class no_handler final : public http_request_handler
  {
    void OnRequest(http_server_connection&, http_server_request) override {}
    void OnClientDisconnected(http_server_connection&) override {}
    void OnClientDrained(http_server_connection&) override {}
    void OnConnectionClosed(http_server_connection&) override {}
  } handler;
  std::string error;
  return http_listener::Listen({ "127.0.0.1", 0 }, handler, aTime, error)
    ->Address();
}

/// Two nodes with one store.
class resumption_elsewhere_test : public stream_version_test
{
protected:
  void StartNodes()
  {
    mSettings.mPeer = FreeAddress(mTime);
    StartNode();
    mFirst = std::move(mNode);
    mSettings.mName = "node-2";
    mSettings.mPeer = FreeAddress(mTime);
    StartNode();
    // The nodes find each other by their rows.
    RunFor(milliseconds(1500));
    std::swap(mFirst, mNode);
  }

  void ExpectResumptions()
  {
    for (unsigned i = 0; i < 12; ++i) {
      EXPECT_EQ(Resume(i)->mBody, "id: 2\ndata: b\n\n");
      EXPECT_EQ(ResumedAt(i), std::vector{ mBeganAt[i] });
    }
  }

  void BeginAll()
  {
    for (unsigned i = 0; i < 12; ++i) {
      mBeganAt.push_back(Begin(i));
    }
    RunFor(milliseconds(50));
  }

  /// The node that is not in use.
  std::unique_ptr<gateway_node> mFirst;
  std::vector<std::string> mBeganAt;
};

} // namespace

// Guards against streams that clients take up at another node than the one that
// began them.
TEST_F(resumption_elsewhere_test, GoesOnAtTheVersionThatBeganTheStream)
{
  AddEngines();
  StartNodes();
  BeginAll();
  std::swap(mFirst, mNode);
  ExpectResumptions();
}

// Guards against streams that nobody can place once their node was killed.
TEST_F(resumption_elsewhere_test, GoesOnAfterTheNodeWasKilled)
{
  AddEngines();
  StartNodes();
  BeginAll();
  std::swap(mFirst, mNode);
  mFirst.reset();
  ExpectResumptions();
}

// Guards against streams that are refused because the store is away.
TEST_F(resumption_elsewhere_test, GoesOnWithoutTheStore)
{
  // Without the store, tokens that are not drawn cannot be spent.
  const std::string prepaid = R"(, "prepaid": 100000)";
  mConfig.erase(mConfig.find(prepaid), prepaid.size());
  AddEngines();
  StartNodes();
  mStore.mUnreachable = true;
  RunFor(milliseconds(2500));
  BeginAll();
  std::swap(mFirst, mNode);
  ExpectResumptions();
}
