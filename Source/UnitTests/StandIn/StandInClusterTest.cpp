#include "StandIn/StandInCluster.h"

#include <optional>

#include <gtest/gtest.h>

#include "Common/EventLoop.h"
#include "Remote/HostListJson.h"
#include "Remote/HttpHostList.h"
#include "Remote/HttpObjectStore.h"
#include "Remote/HttpWeightStore.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWait{ 5000 };

class cluster_test : public testing::Test
{
protected:
  void SetUp() override { ASSERT_TRUE(mCluster.Start().has_value()); }

  /// Runs a call that takes a callback, until the callback has come.
  template<class Result, class Call>
  Result Await(Call aCall)
  {
    std::optional<Result> reply;
    aCall([&](Result aReply) { reply = std::move(aReply); });
    EXPECT_TRUE(mLoop.RunUntil([&] { return reply.has_value(); }, kWait));
    return *reply;
  }

  static platform_endpoint Endpoint(stand_in_server& aServer)
  {
    return { aServer.Address(), milliseconds(5000) };
  }

  event_loop mLoop;
  http_client mClient;
  stand_in_cluster mCluster{ { .mHosts = { milliseconds(500) } } };
};

} // namespace

// Guards against changes that are seen at once, and against a list sent again
// although nothing changed.
TEST_F(cluster_test, HostListLagsAndTellsWhenItIsUnchanged)
{
  using listing = result<host_list_snapshot, host_list_error>;
  http_host_list hosts(mClient, Endpoint(mCluster.Hosts().Server()));
  const auto fetch = [&](std::uint64_t aKnown) {
    return Await<listing>([&](auto aReply) { hosts.Fetch(aKnown, aReply); });
  };
  EXPECT_TRUE(fetch(0).value().mHosts.empty());
  EXPECT_TRUE(mLoop.RunUntil(
    [&] { return mCluster.Hosts().Visible().mHosts.size() == 5; }, kWait));
  const host_list_snapshot all = fetch(0).value();
  ASSERT_EQ(all.mHosts.size(), 5U);
  EXPECT_EQ(all.mHosts[1].mAddress, mCluster.Engine(1).Address());
  EXPECT_EQ(all.mHosts[1].mZone, "zone-b");
  EXPECT_EQ(all.mHosts[3].mService, "orders");
  EXPECT_EQ(fetch(all.mVersion).error(), host_list_error::NotModified);
  mCluster.Hosts().SetState("engine-1", host_state::Leaving);
  EXPECT_TRUE(mLoop.RunUntil(
    [&] { return mCluster.Hosts().Visible().mVersion > all.mVersion; }, kWait));
  EXPECT_EQ(fetch(all.mVersion).value().mHosts[0].mState, host_state::Leaving);
  mCluster.Hosts().Server().Stop();
  EXPECT_EQ(fetch(0).error(), host_list_error::Unavailable);
}

// Guards against names and bytes changed on the way, and against a stored
// object whose lost reply is reported as not stored.
TEST_F(cluster_test, ObjectsKeepNamesAndBytes)
{
  using get_result = result<std::string, object_error>;
  using put_result = result<void, object_error>;
  http_object_store store(mClient, Endpoint(mCluster.Objects().Server()));
  const std::string name = "a/b c%?";
  const std::string bytes("\0\xff\n", 3);
  const auto put = [&] {
    return Await<put_result>(
      [&](auto aReply) { store.Put(name, bytes, aReply); });
  };
  const auto get = [&](const std::string& aName) {
    return Await<get_result>([&](auto aReply) { store.Get(aName, aReply); });
  };
  EXPECT_EQ(get(name).error(), object_error::NotFound);
  mCluster.Objects().Server().Faults().mLoseReplies = 1;
  EXPECT_EQ(put().error(), object_error::Timeout);
  EXPECT_EQ(mCluster.Objects().Objects().at(name), bytes);
  EXPECT_TRUE(put().has_value());
  EXPECT_EQ(get(name).value(), bytes);
  mCluster.Objects().Server().Faults().mDown = true;
  EXPECT_EQ(put().error(), object_error::Unavailable);
}

// Guards against a rate limit or an unknown model reported as an outage.
TEST_F(cluster_test, WeightTicketsAreRateLimited)
{
  using ticket = result<weight_ticket, weight_error>;
  http_weight_store store(mClient, Endpoint(mCluster.Weights().Server()));
  const auto request = [&](const std::string& aModel) {
    return Await<ticket>([&](auto aReply) { store.Request(aModel, aReply); });
  };
  EXPECT_EQ(request("none").error(), weight_error::NotFound);
  EXPECT_EQ(request("small").value().mTicket, "small-1");
  EXPECT_EQ(request("small").error(), weight_error::RateLimited);
  mCluster.Weights().Server().Stop();
  EXPECT_EQ(request("small").error(), weight_error::Unavailable);
}

// Guards against double runs that the stand-in does not show: it runs a call
// as often as it receives it.
TEST_F(cluster_test, ServiceCountsEveryRunOfAKey)
{
  using reply = result<http_reply, http_failure>;
  http_request_owner owner;
  http_request request;
  request.mMethod = "POST";
  request.mBody = "{}";
  request.mHeaders = { { "Idempotency-Key", "k1" } };
  stand_in_server& server = mCluster.Service(0).Server();
  request.mUrl = "http://" + server.Address() + "/book";
  const auto post = [&] {
    return Await<reply>(
      [&](auto aReply) { mClient.Send(request, owner, aReply); });
  };
  server.Faults().mLoseReplies = 1;
  EXPECT_EQ(post().error(), http_failure::Broken);
  EXPECT_EQ(mCluster.ServiceRuns("k1"), 1U);
  EXPECT_EQ(post().value().mStatus, 200U);
  EXPECT_EQ(mCluster.ServiceRuns("k1"), 2U);
  server.Faults().mDown = true;
  EXPECT_EQ(post().value().mStatus, 503U);
  EXPECT_EQ(mCluster.ServiceRuns("k1"), 2U);
}

// Guards against faults that cannot be set from another process.
TEST_F(cluster_test, FaultsAreSetOverHttp)
{
  using reply = result<http_reply, http_failure>;
  http_request_owner owner;
  http_request request;
  request.mMethod = "POST";
  stand_in_server& server = mCluster.Table().Server();
  request.mUrl = "http://" + server.Address() + "/v1/admin/faults";
  const auto post = [&](const char* aBody) {
    request.mBody = aBody;
    return Await<reply>(
      [&](auto aReply) { mClient.Send(request, owner, aReply); });
  };
  EXPECT_EQ(post(R"({"delay_ms":20,"lose_replies":2})").value().mStatus, 200U);
  EXPECT_EQ(post(R"({"down":true})").value().mStatus, 200U);
  EXPECT_EQ(server.Faults(), (stand_in_faults{ true, milliseconds(20), 2 }));
  EXPECT_EQ(post(R"({"down":"yes"})").value().mStatus, 400U);
  EXPECT_EQ(post(R"({"refuse_ms":300})").value().mStatus, 200U);
  EXPECT_TRUE(mLoop.RunUntil([&] { return !server.Running(); }, kWait));
  EXPECT_EQ(post("{}").error(), http_failure::Unavailable);
  EXPECT_TRUE(mLoop.RunUntil([&] { return server.Running(); }, kWait));
  EXPECT_EQ(post("{}").value().mStatus, 200U);
}

// Guards against hosts that cannot be announced from another process.
TEST_F(cluster_test, HostsAreChangedOverHttp)
{
  using reply = result<http_reply, http_failure>;
  http_request_owner owner;
  http_request request;
  request.mMethod = "POST";
  request.mUrl =
    "http://" + mCluster.Hosts().Server().Address() + "/v1/admin/hosts";
  const auto post = [&](const std::string& aBody) {
    request.mBody = aBody;
    return Await<reply>(
      [&](auto aReply) { mClient.Send(request, owner, aReply); });
  };
  const host_entry node{ "node-1",         host_role::Node,
                         host_state::Live, "zone-a",
                         "region-1",       "127.0.0.1:1",
                         "127.0.0.1:2",    "" };
  const std::string put = HostEntryJson(node).dump();
  EXPECT_EQ(
    post(R"({"put":[)" + put + R"(],"remove":["engine-1"]})").value().mStatus,
    200U);
  EXPECT_EQ(post(R"({"put":[{"name":"x"}]})").value().mStatus, 400U);
  const auto& hosts = mCluster.Hosts().Visible().mHosts;
  EXPECT_TRUE(mLoop.RunUntil(
    [&] { return !hosts.empty() && hosts[0].mName == "engine-2"; }, kWait));
  EXPECT_EQ(hosts[2], node);
}
