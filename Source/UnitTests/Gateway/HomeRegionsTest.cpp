#include <fmt/format.h>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

const region_id kEast{ "east" };
const region_id kWest{ "west" };
const region_id kNorth{ "north" };
using regions = std::set<region_id>;

home_regions ThreeRegions()
{
  return home_regions({ { zone_id{ "e1" }, kEast },
                        { zone_id{ "e2" }, kEast },
                        { zone_id{ "w1" }, kWest },
                        { zone_id{ "n1" }, kNorth } });
}

gateway_route Route(std::vector<region_id> aHomes)
{
  gateway_route route;
  route.mName = "r";
  route.mHost = "a.example";
  route.mHomes = std::move(aHomes);
  return route;
}

gateway_account Account(std::vector<region_id> aHomes)
{
  gateway_account account;
  account.mName = account_id{ "clinic" };
  account.mHomes = std::move(aHomes);
  return account;
}

node_report Report(const std::string& aAddress)
{
  node_report report;
  report.mAddress = aAddress;
  report.mClientAddress = aAddress + "0";
  report.mReady = true;
  return report;
}

/// A node whose zones lie in two regions.
class home_region_test : public gateway_fixture
{
protected:
  scripted_server& AddServerInZone(const std::string& aId,
                                   const std::string& aZone)
  {
    scripted_server& server = AddServer(aId, "app");
    mStore.Put(
      { "servers", "", aId },
      fmt::format(R"({{"service":"app","address":"{}","zone":"{}","slots":8,)"
                  R"("version":"v1","state":"ready","seq":2,"born":1}})",
                  server.Address(),
                  aZone));
    return server;
  }

  void SetHomes(const std::string& aRoute, const std::string& aAccount)
  {
    const std::string route = R"("priority": 2, "service": "app", )"
                              R"("maxAttempts": 1},)";
    mConfig.replace(mConfig.find(route),
                    route.size(),
                    R"("priority": 2, "service": "app", "maxAttempts": 1,)"
                    R"("allowedRegions": )" +
                      aRoute + "},");
    const std::string account = R"("apiKeys": ["key-1"])";
    mConfig.insert(mConfig.find(account),
                   R"("allowedRegions": )" + aAccount + ", ");
  }
};

} // namespace

// Guards against requests that run outside the homes of their route or account.
TEST(HomeRegionsTest, HomesOfRouteAndAccountApplyTogether)
{
  const home_regions homes = ThreeRegions();
  const gateway_account none = Account({});
  EXPECT_FALSE(homes.Allowed(Route({}), nullptr));
  EXPECT_FALSE(homes.Allowed(Route({}), &none));
  EXPECT_EQ(homes.Allowed(Route({ kEast }), nullptr), regions({ kEast }));
  const gateway_account account = Account({ kEast, kNorth });
  EXPECT_EQ(homes.Allowed(Route({}), &account), regions({ kEast, kNorth }));
  EXPECT_EQ(homes.Allowed(Route({ kEast, kWest }), &account),
            regions({ kEast }));
  EXPECT_EQ(homes.Allowed(Route({ kWest }), &account), regions());
  EXPECT_EQ(homes.ZonesOf(regions({ kEast })),
            (std::set<zone_id>{ zone_id{ "e1" }, zone_id{ "e2" } }));
  EXPECT_EQ(homes.ZonesOf(regions()), std::set<zone_id>());
  EXPECT_FALSE(homes.ZonesOf(std::nullopt));
}

// Guards against refusals because of a misspelt home, and against restrictions
// where all zones lie in one region.
TEST(HomeRegionsTest, UnknownHomesAndASingleRegionRestrictNothing)
{
  const home_regions homes = ThreeRegions();
  const region_id unknown{ "esat" };
  EXPECT_EQ(homes.Allowed(Route({ unknown, kWest }), nullptr),
            regions({ kWest }));
  EXPECT_FALSE(homes.Allowed(Route({ unknown }), nullptr));
  gateway_config config;
  config.mRoutes = { Route({ unknown, kWest }) };
  config.mAccounts = { Account({ unknown }) };
  EXPECT_EQ(homes.UnknownHomes(config),
            (std::vector<unknown_home>{ { "route r", unknown },
                                        { "account clinic", unknown } }));
  const home_regions single({ { zone_id{ "e1" }, kEast } });
  EXPECT_FALSE(single.Allowed(Route({ kEast }), nullptr));
  EXPECT_FALSE(home_regions({}).Allowed(Route({ kEast }), nullptr));
}

// Guards against addresses of nodes outside the homes of a name and the
// client's region.
TEST(HomeRegionsTest, AddressesAreInHomesOrInTheRegionOfTheClient)
{
  const home_regions homes = ThreeRegions();
  gateway_config config;
  config.mRoutes = { Route({ kEast }), Route({}) };
  EXPECT_EQ(homes.ForAddresses(config, "a.example", kWest),
            regions({ kEast, kWest }));
  EXPECT_FALSE(homes.ForAddresses(config, "b.example", kWest));
  config.mRoutes.push_back(Route({ kEast, kNorth }));
  EXPECT_EQ(homes.ForAddresses(config, "a.example", kEast), regions({ kEast }));
  config.mRoutes.push_back(Route({ kNorth }));
  EXPECT_EQ(homes.ForAddresses(config, "a.example", kEast),
            regions({ kEast, kNorth }));
  const std::map<std::string, region_id> known{ { "1", kEast },
                                                { "2", kWest } };
  const std::vector<std::string> all{ "1", "2", "3" };
  EXPECT_EQ(FilterAddresses(all, std::nullopt, known), all);
  EXPECT_EQ(FilterAddresses(all, regions({ kEast }), known),
            std::vector<std::string>{ "1" });
}

// Guards against bodies that are passed on to nodes outside the homes, or to
// nodes whose region is not known.
TEST(HomeRegionsTest, RelaysGoToNodesInHomesOnly)
{
  const time_point now{ std::chrono::seconds(100) };
  fleet_view fleet(Report("10.0.0.1:7"));
  for (const char* peer : { "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7" }) {
    fleet.OnReport(Report(peer), now);
  }
  fleet.SetRegion("10.0.0.2:7", kEast);
  fleet.SetRegion("10.0.0.3:7", kWest);
  EXPECT_EQ(fleet.RelayTargets(1, now).size(), 3U);
  EXPECT_EQ(fleet.RelayTargets(1, now, regions({ kWest })),
            std::vector<std::string>{ "10.0.0.3:70" });
  EXPECT_TRUE(fleet.RelayTargets(1, now, regions()).empty());
}

// Guards against servers outside the homes that get requests, and against
// homes of one account that restrict others.
TEST_F(home_region_test, RequestsReachServersInHomesOnly)
{
  scripted_server& east = AddServerInZone("i-1", "z1");
  scripted_server& west = AddServerInZone("i-2", "w1");
  mSettings.mZoneRegions = { { zone_id{ "z1" }, kEast },
                             { zone_id{ "w1" }, kWest } };
  SetHomes(R"(["east", "west", 7])", R"(["west"])");
  StartNode();
  for (unsigned i = 0; i < 4; ++i) {
    EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 200U);
  }
  EXPECT_EQ(west.mRequests.size(), 4U);
  EXPECT_EQ(Call("POST", "/o/x", "Authorization: Bearer key-2\r\n", "b")
              ->mResponse.mStatus,
            200U);
  EXPECT_EQ(east.mRequests.size(), 1U);
}

// Guards against requests that wait or leave their homes when no server there
// is left, and against a retry delay where no region suits both.
TEST_F(home_region_test, RequestsWithoutAHomeServerAreRefused)
{
  scripted_server& east = AddServerInZone("i-1", "z1");
  mSettings.mZoneRegions = { { zone_id{ "z1" }, kEast },
                             { zone_id{ "w1" }, kWest } };
  SetHomes(R"(["east"])", R"(["west"])");
  StartNode();
  const auto refused = Call("POST", "/o/x", {}, "b");
  EXPECT_EQ(refused->mResponse.mStatus, 503U);
  EXPECT_EQ(refused->mBody, R"({"error":"no_home_server"})");
  EXPECT_EQ(FindHeader(refused->mResponse.mHeaders, "Retry-After"), "");
  EXPECT_EQ(east.mRequests.size(), 0U);
}

// Guards against a configuration that is dropped because of bad homes.
TEST_F(home_region_test, BadHomesCountAsMissing)
{
  const auto config = mCodec.ReadConfig(R"({"version": 3, "services": [],
    "routes": [{"host": "a", "prefix": "/", "service": "s",
                "allowedRegions": ["east", 7]}],
    "tenants": [{"name": "t", "allowedRegions": "east"}]})");
  ASSERT_TRUE(config);
  EXPECT_EQ(config->mRoutes.front().mHomes, std::vector<region_id>{ kEast });
  EXPECT_TRUE(config->mAccounts.front().mHomes.empty());
  EXPECT_EQ(config->mIgnored,
            (std::vector<ignored_field>{
              { "/routes/0/allowedRegions/1", "7" },
              { "/tenants/0/allowedRegions", "\"east\"" } }));
}
