#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

/// Passes calls to another store and can hold back all replies, as a full link
/// of the host does.
class held_row_store final : public forwarding_row_store
{
public:
  using forwarding_row_store::forwarding_row_store;

  void Commit(const row_transaction& aTransaction,
              commit_callback aReply) override
  {
    forwarding_row_store::Commit(aTransaction, Guard(std::move(aReply)));
  }

  bool mHeld = false;

private:
  page_callback WrapPage(page_callback aReply) override
  {
    return Guard(std::move(aReply));
  }

  template<typename callback>
  callback Guard(callback aReply)
  {
    return [this, reply = std::move(aReply)](auto aResult) {
      if (mHeld) {
        reply(row_store_error::Unknown);
      } else {
        reply(std::move(aResult));
      }
    };
  }
};

/// A node that gets no reply of the store, while the store serves its peer.
class old_state_test : public gateway_fixture
{
protected:
  ~old_state_test() override { mSecondNode.reset(); }

  /// Statuses of requests to the node whose replies are held.
  std::vector<unsigned> CallLateNode(const std::string& aPath, unsigned aCount)
  {
    std::vector<unsigned> statuses;
    for (unsigned i = 0; i < aCount; ++i) {
      const auto exchange = BeginAtSecondNode(aPath);
      EXPECT_TRUE(RunUntil([&] { return exchange->Ended(); })) << aPath;
      statuses.push_back(exchange->mResponse.mStatus);
    }
    return statuses;
  }

  held_row_store mHeldStore{ mStore };
};

constexpr unsigned kRequests = 8;

} // namespace

// Guards against requests that reach a server later than the leave limit after
// it said that it leaves, because the node hears nothing of the store and takes
// that for an outage.
TEST_F(old_state_test, ServersThatLeftGetNoRequests)
{
  scripted_server& leaving = AddServer("i-1", "app");
  scripted_server& staying = AddServer("i-2", "app");
  StartTwoNodes(mHeldStore);
  mHeldStore.mHeld = true;
  RunFor(milliseconds(100));
  PutServer("i-1", leaving, "draining");
  RunFor(mSettings.mLeaveTimeout);
  const auto statuses = CallLateNode("/l/x", kRequests);
  EXPECT_EQ(leaving.mRequests.size(), 0U);
  EXPECT_EQ(staying.mRequests.size(), kRequests);
  EXPECT_EQ(statuses, std::vector<unsigned>(kRequests, 200));
}

// Guards against requests that go to a server whose entry was removed, because
// a node without contact to the store learns only of entries that were written.
TEST_F(old_state_test, ServersWhoseEntryWasRemovedGetNoRequests)
{
  scripted_server& removed = AddServer("i-1", "app");
  scripted_server& staying = AddServer("i-2", "app");
  StartTwoNodes(mHeldStore);
  mHeldStore.mHeld = true;
  RunFor(milliseconds(100));
  mStore.Remove({ "servers", "", "i-1" });
  RunFor(mSettings.mLeaveTimeout);
  const auto statuses = CallLateNode("/l/x", kRequests);
  EXPECT_EQ(removed.mRequests.size(), 0U);
  EXPECT_EQ(staying.mRequests.size(), kRequests);
  EXPECT_EQ(statuses, std::vector<unsigned>(kRequests, 200));
}

// Guards against requests to the last server of a service longer than the leave
// limit after its entry was removed, because the node counts from when it
// learned of the removal.
TEST_F(old_state_test, RemovedEntriesAreUsedByTheirAge)
{
  scripted_server& removed = AddServer("i-1", "app");
  StartTwoNodes(mHeldStore);
  mHeldStore.mHeld = true;
  RunFor(milliseconds(100));
  mStore.Remove({ "servers", "", "i-1" });
  RunFor(mSettings.mLeaveTimeout);
  const auto statuses = CallLateNode("/l/x", kRequests);
  EXPECT_EQ(removed.mRequests.size(), 0U);
  EXPECT_EQ(statuses, std::vector<unsigned>(kRequests, 503));
}

// Guards against removals taken as final after an outage: entries expire while
// the store is unreachable and are restored soon after.
TEST_F(old_state_test, RemovalsAfterAnOutageAreTentative)
{
  scripted_server& server = AddServer("i-1", "app");
  StartTwoNodes(mHeldStore);
  mStore.mUnreachable = true;
  RunFor(mSettings.mLeaveTimeout);
  mStore.Remove({ "servers", "", "i-1" });
  mStore.mUnreachable = false;
  RunFor(milliseconds(1000));
  EXPECT_EQ(CallLateNode("/l/x", kRequests),
            std::vector<unsigned>(kRequests, 200));
  RunFor(mSettings.mLeaveTimeout);
  EXPECT_EQ(CallLateNode("/l/x", kRequests),
            std::vector<unsigned>(kRequests, 503));
  EXPECT_EQ(server.mRequests.size(), kRequests);
}

// Guards against requests to a server longer than the leave limit after its
// entry was removed, because the removal counts as an effect of an outage that
// ended before and the limit begins when the node learns of it.
TEST_F(old_state_test, RemovalsSeenSoonAfterAnOutageCountFromTheLastRead)
{
  scripted_server& removed = AddServer("i-1", "app");
  StartTwoNodes(mHeldStore);
  mStore.mUnreachable = true;
  RunFor(mSettings.mLeaveTimeout);
  mStore.mUnreachable = false;
  RunFor(milliseconds(1000));
  mHeldStore.mHeld = true;
  mStore.Remove({ "servers", "", "i-1" });
  RunFor(milliseconds(700));
  mHeldStore.mHeld = false;
  RunFor(mSettings.mLeaveTimeout - milliseconds(700));
  EXPECT_EQ(CallLateNode("/l/x", kRequests),
            std::vector<unsigned>(kRequests, 503));
  EXPECT_EQ(removed.mRequests.size(), 0U);
}

// Guards against requests that are handled as a configuration says that was
// replaced longer ago than a change may take to be in force.
TEST_F(old_state_test, RoutesThatMovedAreInForce)
{
  scripted_server& before = AddServer("i-1", "app");
  scripted_server& after = AddServer("i-2", "moved");
  StartTwoNodes(mHeldStore);
  mHeldStore.mHeld = true;
  RunFor(milliseconds(100));
  std::string config = mConfig;
  config.replace(config.find("\"version\": 7"), 12, "\"version\": 9");
  const std::string route =
    R"("priority": 2, "service": "app", "maxAttempts": 2)";
  config.replace(config.find(route),
                 route.size(),
                 R"("priority": 2, "service": "moved", "maxAttempts": 2)");
  const std::string services = R"({"name": "app", "healthPath")";
  config.insert(config.find(services),
                R"({"name": "moved", "healthPath": "/health"},)");
  mStore.Put({ "op", "", "config" }, config);
  RunFor(mSettings.mLeaveTimeout);
  const auto statuses = CallLateNode("/l/x", kRequests);
  EXPECT_EQ(before.mRequests.size(), 0U);
  EXPECT_EQ(after.mRequests.size(), kRequests);
  EXPECT_EQ(statuses, std::vector<unsigned>(kRequests, 200));
}

// Guards against a fleet that serves nothing while the store is away for all.
TEST_F(old_state_test, OldStateIsUsedWhileTheStoreServesNobody)
{
  scripted_server& server = AddServer("i-1", "app");
  StartTwoNodes(mHeldStore);
  mStore.mUnreachable = true;
  RunFor(mSettings.mLeaveTimeout * 2);
  const auto statuses = CallLateNode("/l/x", kRequests);
  EXPECT_EQ(server.mRequests.size(), kRequests);
  EXPECT_EQ(statuses, std::vector<unsigned>(kRequests, 200));
}

// Guards against further requests to a server that says in its responses that
// it leaves, while its entry in the store does not say so yet or an older entry
// is applied late.
TEST_F(old_state_test, ServersThatSayThatTheyLeaveGetNoRequests)
{
  scripted_server& leaving = AddServer("i-1", "app");
  leaving.mScript = [](http_server_connection& aConnection,
                       const http_server_request& aRequest) {
    http_server_response response;
    scripted_server::Sign(response, aRequest);
    response.mHeaders.emplace_back("Server-Leaving", "1");
    aConnection.Respond(response, "done");
  };
  StartNode();
  EXPECT_EQ(Call("POST", "/l/x", {}, "b")->mResponse.mStatus, 200U);
  scripted_server& staying = AddServer("i-2", "app");
  PutServer("i-1", leaving, "ready");
  RunFor(milliseconds(600));
  for (unsigned i = 0; i < kRequests; ++i) {
    EXPECT_EQ(Call("POST", "/l/x", {}, "b")->mResponse.mStatus, 200U);
  }
  EXPECT_EQ(leaving.mRequests.size(), 1U);
  EXPECT_EQ(staying.mRequests.size(), kRequests);
}
