#include <fmt/format.h>

#include "Gateway/StateFreshness.h"
#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

const time_point kNow{ std::chrono::seconds(100) };
const zone_id kZone{ "z2" };

/// Servers of one service in two zones, without a network.
class evacuated_registry_test : public testing::Test
{
protected:
  evacuated_registry_test()
  {
    gateway_service service;
    service.mName = service_id{ "app" };
    service.mHealthPath = "/health";
    mRegistry.SetService(service);
    Add("i-1", "z1");
    Add("i-2", "z2");
  }

  server_entry Add(const std::string& aId, const std::string& aZone)
  {
    server_entry entry;
    entry.mId = upstream_id{ aId };
    entry.mService = service_id{ "app" };
    entry.mAddress = { "10.0.0.1", 80 };
    entry.mZone = zone_id{ aZone };
    entry.mSlots = 8;
    entry.mIncarnation = 1;
    entry.mSequence = 1;
    mRegistry.Apply(entry, kNow);
    return entry;
  }

  placement_query Query(const std::string& aZone = "z2") const
  {
    placement_query query;
    query.mService = service_id{ "app" };
    query.mZone = zone_id{ aZone };
    return query;
  }

  std::string Chosen(const placement_query& aQuery)
  {
    const auto chosen = mRegistry.Choose(aQuery, kNow);
    return chosen ? chosen->mUpstream.mName : "";
  }

  upstream_registry mRegistry{ placement_settings{} };
};

/// A node and servers in two zones over the loopback.
class evacuated_zone_test : public gateway_fixture
{
protected:
  /// The nodes are in the evacuated zone, so they prefer its servers.
  evacuated_zone_test() { mSettings.mZone = kZone; }
  ~evacuated_zone_test() override { mSecondNode.reset(); }

  scripted_server& AddServerInZone(const std::string& aId,
                                   const std::string& aZone,
                                   const std::string& aService = "app")
  {
    scripted_server& server = AddServer(aId, aService);
    mStore.Put(
      { "servers", "", aId },
      fmt::format(R"({{"service":"{}","address":"{}","zone":"{}","slots":1,)"
                  R"("version":"v1","state":"ready","seq":2,"born":1}})",
                  aService,
                  server.Address(),
                  aZone));
    return server;
  }

  void Evacuate() { mStore.Put({ "op", "", "evacuate/z2" }, "{}"); }
};

// Time in which a node in contact reads a row of the operator's table.
constexpr milliseconds kReadTime(300);

} // namespace

// Guards against new sends to an evacuated zone, and against a zone that stays
// empty after its row was removed.
TEST_F(evacuated_registry_test, NewRequestsGoElsewhereUntilTheZoneIsTakenBack)
{
  EXPECT_EQ(Chosen(Query()), "i-2");
  EXPECT_TRUE(mRegistry.Evacuate(kZone));
  EXPECT_FALSE(mRegistry.Evacuate(kZone));
  EXPECT_EQ(Chosen(Query()), "i-1");
  mRegistry.Restore(kZone);
  EXPECT_EQ(Chosen(Query()), "i-2");
}

// Guards against repeats at a server of the zone because all others were tried
// or are suspect.
TEST_F(evacuated_registry_test, ServersAreNoLastResort)
{
  mRegistry.Evacuate(kZone);
  placement_query repeat = Query();
  repeat.mExcluded = { upstream_id{ "i-1" } };
  EXPECT_EQ(Chosen(repeat), "");
  mRegistry.OnFailure(upstream_id{ "i-1" }, kNow);
  EXPECT_EQ(Chosen(Query()), "i-1");
}

// Guards against sends to leaving, removed or suspect servers of the zone.
TEST_F(evacuated_registry_test, LeavingAndSuspectServersAreNotUsed)
{
  mRegistry.Remove(upstream_id{ "i-1" }, kNow);
  mRegistry.Evacuate(kZone);
  mRegistry.OnFailure(upstream_id{ "i-2" }, kNow);
  EXPECT_EQ(Chosen(Query()), "");
  EXPECT_FALSE(mRegistry.HasUsable(Query(), kNow));
  EXPECT_TRUE(mRegistry.OnlyEvacuated(Query(), kNow));
  mRegistry.Remove(upstream_id{ "i-2" }, kNow + milliseconds(500));
  EXPECT_EQ(Chosen(Query()), "");
  mRegistry.Restore(kZone);
  EXPECT_EQ(Chosen(Query()), "i-2");
}

// Guards against sends to a server of the zone whose entry is read after the
// evacuation, or that starts anew during it.
TEST_F(evacuated_registry_test, HoldsForEntriesThatAreReadLater)
{
  mRegistry.Evacuate(zone_id{ "z3" });
  mRegistry.Evacuate(zone_id{ "z1" });
  mRegistry.Evacuate(kZone);
  server_entry entry = Add("i-3", "z3");
  EXPECT_EQ(Chosen(Query("z3")), "");
  entry.mIncarnation = 2;
  mRegistry.Apply(entry, kNow);
  EXPECT_EQ(Chosen(Query("z3")), "");
}

// Guards against health requests to servers of the zone while the host probes
// servers.
TEST_F(evacuated_registry_test, ServersAreNotProbed)
{
  EXPECT_EQ(mRegistry.ProbeTargets().size(), 2U);
  mRegistry.Evacuate(kZone);
  EXPECT_EQ(mRegistry.ProbeTargets().size(), 1U);
}

// Guards against a stream that is resumed at the software of an evacuated zone.
TEST_F(evacuated_registry_test, SoftwareOfTheZoneIsNotUsable)
{
  server_entry entry = Add("i-4", "z2");
  entry.mSoftware = software_version{ "v2" };
  entry.mSequence = 2;
  mRegistry.Apply(entry, kNow);
  mRegistry.Evacuate(kZone);
  placement_query query = Query();
  query.mSoftware = SoftwareKey(entry.mService, entry.mSoftware);
  EXPECT_FALSE(mRegistry.HasUsable(query, kNow));
  EXPECT_TRUE(mRegistry.OnlyEvacuated(query, kNow));
}

// Guards against requests that leave the host later than the platform's bound
// of 5,000 ms after the acknowledgement: a node in contact acts on a copy of
// the operator's table that is at most `MaxStateAge` old.
TEST(EvacuationBoundTest, RequestsLeaveInTimeWhileInContact)
{
  for (const unsigned leave : { 2000U, 4000U, 600000U }) {
    const state_bounds bounds{ milliseconds(leave),
                               milliseconds(leave),
                               milliseconds(5000) };
    const time_point acknowledged = kNow;
    // The oldest copy that lacks the row and counts as recent.
    const time_point sentAt = acknowledged + MaxStateAge(bounds);
    EXPECT_LE(LatestLeavesAt(
                bounds, state_verdict::Current, acknowledged, sentAt, sentAt),
              acknowledged + milliseconds(4500))
      << leave;
  }
}

// Guards against the same with a store that was away, and acknowledges when it
// comes back: nodes read the row up to 2,400 ms later.
TEST(EvacuationBoundTest, RequestsLeaveInTimeAfterAnOutageOfTheStore)
{
  for (const unsigned leave : { 2000U, 4000U, 600000U }) {
    const state_bounds bounds{ milliseconds(leave),
                               milliseconds(leave),
                               milliseconds(5000) };
    const time_point acknowledged = kNow;
    const time_point sentAt = acknowledged + milliseconds(2400);
    const time_point old = acknowledged - std::chrono::seconds(60);
    EXPECT_LE(
      LatestLeavesAt(bounds, state_verdict::StoreAway, old, old, sentAt),
      acknowledged + milliseconds(4500))
      << leave;
  }
}

// Guards against a changed bound where the platform states no evacuation.
TEST(EvacuationBoundTest, NothingChangesWithoutTheBound)
{
  const state_bounds bounds{ milliseconds(2000), milliseconds(2600), {} };
  EXPECT_EQ(MaxStateAge(bounds), milliseconds(1400));
  EXPECT_EQ(LatestLeavesAt(bounds, state_verdict::Current, kNow, kNow, kNow),
            kNow + milliseconds(1800));
  EXPECT_EQ(LatestLeavesAt(bounds, state_verdict::StoreAway, {}, {}, kNow),
            kNow + milliseconds(1800));
}

// Guards against new sends to the zone, and against requests that wait until
// their time is over although nobody may serve them.
TEST_F(evacuated_zone_test, RequestsGoElsewhereOrAreRefusedAtOnce)
{
  scripted_server& other = AddServerInZone("i-1", "z1");
  scripted_server& evacuated = AddServerInZone("i-2", "z2");
  StartNode();
  Evacuate();
  RunFor(kReadTime);
  for (unsigned i = 0; i < 3; ++i) {
    EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 200U);
    EXPECT_EQ(Call("POST", "/o/x", "Lentilswitch-Relayed: 1\r\n", "b")
                ->mResponse.mStatus,
              200U);
  }
  EXPECT_EQ(other.mRequests.size(), 6U);
  mStore.Remove({ "servers", "", "i-1" });
  RunFor(milliseconds(2500));
  const time_point before = mTime.Now();
  const auto refused = Call("POST", "/o/x", {}, "b");
  EXPECT_EQ(refused->mResponse.mStatus, 503U);
  EXPECT_EQ(refused->mBody, R"({"error":"zone_evacuated"})");
  EXPECT_EQ(FindHeader(refused->mResponse.mHeaders, "Retry-After"), "");
  EXPECT_LE(mTime.Now() - before, milliseconds(30));
  EXPECT_EQ(evacuated.mRequests.size(), 0U);
  mStore.Remove({ "op", "", "evacuate/z2" });
  RunFor(kReadTime);
  EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 200U);
  EXPECT_EQ(evacuated.mRequests.size(), 1U);
}

// Guards against a request that waits for a full server of the zone and is sent
// there when the server has room again after the evacuation.
TEST_F(evacuated_zone_test, WaitingRequestsAreRefused)
{
  scripted_server& server = AddServerInZone("i-1", "z2", "engine");
  std::vector<http_server_connection*> open;
  server.mScript = [&open](http_server_connection& aConnection,
                           const http_server_request& aRequest) {
    scripted_server::SendEvents(aConnection, aRequest, "id: 1\ndata: a\n\n");
    open.push_back(&aConnection);
  };
  const std::string route = R"("targetLatencyMs": 600,
     "priority": 1, "service": "engine", "maxAttempts": 1)";
  mConfig.replace(mConfig.find(route),
                  route.size(),
                  R"("targetLatencyMs": 16000,
     "priority": 1, "service": "engine", "maxAttempts": 1)");
  StartNode();
  const auto first = BeginRequest("POST", "/s/x", {}, "b");
  ASSERT_TRUE(RunUntil([&] { return open.size() == 1; }));
  const auto waiting =
    BeginRequest("POST", "/s/x", "Lentilswitch-Request-Id: r2\r\n", "b");
  RunFor(milliseconds(100));
  EXPECT_FALSE(waiting->Ended());
  Evacuate();
  ASSERT_TRUE(RunUntil([&] { return waiting->Ended(); }));
  EXPECT_EQ(waiting->mBody, R"({"error":"zone_evacuated"})");
  // The stream in progress ends where it runs.
  EXPECT_FALSE(first->Ended());
  open.front()->FinishBody();
  ASSERT_TRUE(RunUntil([&] { return first->Ended(); }));
  EXPECT_TRUE(first->mComplete);
  EXPECT_EQ(server.mRequests.size(), 1U);
}

// Guards against a stream that breaks in another zone, or in the evacuated one,
// and is resumed within its response at a server of the zone.
TEST_F(evacuated_zone_test, BrokenStreamsAreNotResumedThere)
{
  std::vector<http_server_connection*> open;
  for (const char* id : { "i-1", "i-2" }) {
    AddServerInZone(id, "z2", "engine").mScript =
      [&open](http_server_connection& aConnection,
              const http_server_request& aRequest) {
        scripted_server::SendEvents(
          aConnection, aRequest, "id: 1\ndata: a\n\n");
        open.push_back(&aConnection);
      };
  }
  StartNode();
  const auto stream = BeginRequest("POST", "/r/x", {}, "b");
  ASSERT_TRUE(RunUntil([&] { return !stream->mBody.empty(); }));
  Evacuate();
  RunFor(kReadTime);
  open.front()->Abort();
  ASSERT_TRUE(RunUntil([&] { return stream->Ended(); }));
  EXPECT_FALSE(stream->mComplete);
  EXPECT_EQ(open.size(), 1U);
}

// Guards against a node that starts during an evacuation and serves before it
// knows it, with the store away: a peer's snapshot tells it.
TEST_F(evacuated_zone_test, StartingNodesLearnOfItFromAPeer)
{
  scripted_server& other = AddServerInZone("i-1", "z1");
  scripted_server& evacuated = AddServerInZone("i-2", "z2");
  Evacuate();
  fake_row_store away;
  away.mUnreachable = true;
  loop_timer timer;
  timer.Every(milliseconds(2), [&] { away.DeliverReplies(); });
  StartTwoNodes(away);
  for (unsigned i = 0; i < 6; ++i) {
    const auto exchange = BeginAtSecondNode("/o/x");
    ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
    EXPECT_EQ(exchange->mResponse.mStatus, 200U);
  }
  EXPECT_EQ(other.mRequests.size(), 6U);
  EXPECT_EQ(evacuated.mRequests.size(), 0U);
  // The end of the evacuation reaches the node in the same way.
  mStore.Remove({ "op", "", "evacuate/z2" });
  mStore.Remove({ "servers", "", "i-1" });
  RunFor(milliseconds(3000));
  const auto exchange = BeginAtSecondNode("/o/x");
  ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
  EXPECT_EQ(exchange->mResponse.mStatus, 200U);
  EXPECT_EQ(evacuated.mRequests.size(), 1U);
  mSecondNode.reset();
}

// Guards against an evacuation that is forgotten or not applied because the
// store goes away after it, or between the request and its acknowledgement.
TEST_F(evacuated_zone_test, HoldsWhileTheStoreIsAway)
{
  scripted_server& other = AddServerInZone("i-1", "z1");
  scripted_server& evacuated = AddServerInZone("i-2", "z2");
  mSettings.mEvacuationTimeout = milliseconds(5000);
  StartNode();
  mStore.mUnreachable = true;
  RunFor(milliseconds(2500));
  // The store accepts the row when it is back.
  Evacuate();
  mStore.mUnreachable = false;
  RunFor(milliseconds(1000));
  mStore.mUnreachable = true;
  RunFor(milliseconds(2500));
  for (unsigned i = 0; i < 6; ++i) {
    EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 200U);
  }
  EXPECT_EQ(other.mRequests.size(), 6U);
  EXPECT_EQ(evacuated.mRequests.size(), 0U);
}

// Guards against rows that name no zone, a zone without servers, or stand in
// another partition or table.
TEST_F(evacuated_zone_test, UnusableRowsHaveNoEffect)
{
  AddServerInZone("i-1", "z2");
  mStore.Put({ "op", "", "evacuate/" }, "{}");
  mStore.Put({ "op", "", "evacuate/z9" }, "{}");
  mStore.Put({ "op", "x", "evacuate/z2" }, "{}");
  mStore.Put({ "servers", "", "evacuate/z2" }, "{}");
  StartNode();
  RunFor(kReadTime);
  EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 200U);
}

// Guards against a bound that is not read, and against an error without its
// place.
TEST(EvacuationSettingsTest, BoundIsOptionalAndChecked)
{
  const auto parse = [](const std::string& aBound) {
    return ParseGatewaySettings(
      R"({"name": "n", "zone": "z", "region": "r", "host": "10.0.0.1",
"listen": {"clients": "10.0.0.1:1", "readiness": "10.0.0.1:2",
"directory": "10.0.0.1:3"}, "peer_port": 4, "metrics_port": 5, "seeds": [],
"store": "10.0.0.1:6", "cpu_share": 1, "link_mbps": 10, "memory_mb": 88,
"leave_limit_ms": 2000, "config_limit_ms": 2000, "grace_s": 8,
)" + aBound +
        R"("retry": {"ratio": 0.1, "allowance": 5, "window_s": 10}})",
      "s.json");
  };
  ASSERT_TRUE(parse("").has_value());
  EXPECT_FALSE(parse("").value().mEvacuationTimeout);
  const auto given = parse("\"evacuation_limit_ms\": 5000,\n");
  ASSERT_TRUE(given.has_value());
  EXPECT_EQ(given.value().mEvacuationTimeout, milliseconds(5000));
  for (const char* bad : { "-1", "\"soon\"" }) {
    const auto refused =
      parse(fmt::format("\"evacuation_limit_ms\": {},\n", bad));
    ASSERT_FALSE(refused.has_value()) << bad;
    EXPECT_NE(refused.error().find("s.json:6: /evacuation_limit_ms"),
              std::string::npos)
      << refused.error();
  }
}
