#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "Endpoints/EndpointChoice.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLarge = 0.5;
constexpr double kSmall = 0.05;
// Longest time between updates that the choice asks for.
constexpr milliseconds kUpdatePeriod(1000);

/// A fleet in four zones whose hosts the tests change.
class endpoint_choice_test : public testing::Test
{
protected:
  void AddHosts(unsigned aCount, double aCapacity)
  {
    for (unsigned i = 0; i < aCount; ++i) {
      endpoint_host host;
      host.mAddress = fmt::format("10.0.{}.{}:7000", aCapacity, mHosts.size());
      host.mClientAddress = fmt::format("{}-{}", aCapacity, mHosts.size());
      host.mZone = zone_id{ fmt::format("z{}", i % 4) };
      host.mRegion = region_id{ i % 4 < 2 ? "north" : "south" };
      host.mCapacity = aCapacity;
      mHosts.push_back(host);
    }
  }

  void SetUse(double aUse)
  {
    for (endpoint_host& host : mHosts) {
      host.mUse = aUse;
    }
  }

  endpoint_view View() const
  {
    endpoint_view view{ {}, mPeersRun };
    for (endpoint_host host : mHosts) {
      const auto lost = mLost.find(host.mClientAddress);
      const time_point heardAt = lost == mLost.end() ? mNow : lost->second;
      host.mHeardAt = heardAt - milliseconds(200);
      host.mUseAt = heardAt - milliseconds(500);
      view.mHosts.push_back(host);
    }
    return view;
  }

  void Run(seconds aTime)
  {
    for (auto end = mNow + aTime; mNow < end; mNow += kUpdatePeriod) {
      mChanges += mChoice.Update(View(), mNow).size();
    }
  }

  std::vector<std::string> Ask(const std::string& aZone) const
  {
    return mChoice.Addresses(View(), zone_id{ aZone }, mNow);
  }

  static std::size_t Common(const std::vector<std::string>& aFirst,
                            const std::vector<std::string>& aSecond)
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(aFirst, [&](const std::string& aAddress) {
        return std::ranges::find(aSecond, aAddress) != aSecond.end();
      }));
  }

  static std::size_t SmallHosts(const std::vector<std::string>& aAddresses)
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(aAddresses, [](const std::string& aAddress) {
        return aAddress.starts_with(fmt::format("{}-", kSmall));
      }));
  }

  std::vector<endpoint_host> mHosts;
  /// Hosts that are not heard of any more, with the time since then.
  std::map<std::string, time_point> mLost;
  bool mPeersRun = true;
  endpoint_choice mChoice;
  std::size_t mChanges = 0;
  time_point mNow{ seconds(1000) };
};

} // namespace

// Guards against changed answers in fleets that need no choice.
TEST_F(endpoint_choice_test, SmallAndEqualFleetsNameAllHosts)
{
  AddHosts(4, kLarge);
  AddHosts(12, kSmall);
  SetUse(0.1);
  Run(seconds(60));
  EXPECT_FALSE(mChoice.IsSelective());
  EXPECT_EQ(Ask("z0").size(), 16U);
  mHosts.clear();
  AddHosts(64, kSmall);
  Run(seconds(60));
  EXPECT_EQ(Ask("z0").size(), 64U);
}

// Guards against clients of all zones that share the first addresses of a long
// answer: they use no more than 64.
TEST_F(endpoint_choice_test, AnswersNameTheNearestOfManyEqualHosts)
{
  AddHosts(296, kSmall);
  SetUse(0.1);
  Run(seconds(60));
  EXPECT_FALSE(mChoice.IsSelective());
  std::vector<std::string> all;
  for (const char* zone : { "z0", "z1", "z2", "z3" }) {
    const auto addresses = Ask(zone);
    EXPECT_EQ(addresses.size(), 64U) << zone;
    EXPECT_EQ(Common(addresses, all), 0U) << zone;
    all.insert(all.end(), addresses.begin(), addresses.end());
  }
  for (endpoint_host& host : mHosts) {
    host.mLeftAnswers = true;
  }
  EXPECT_EQ(Ask("z0").size(), 64U);
}

// Guards against more addresses than clients use when all hosts are needed.
TEST_F(endpoint_choice_test, AnswersHoldNoMoreAddressesThanClientsUse)
{
  AddHosts(18, kLarge);
  AddHosts(277, kSmall);
  SetUse(0.59);
  Run(seconds(60));
  EXPECT_EQ(Ask("z0").size(), 64U);
  mLost[Ask("z0").front()] = mNow - seconds(2);
  EXPECT_EQ(Ask("z0").size(), 64U);
}

// Guards against a large account on a host with a tenth of the capacity.
TEST_F(endpoint_choice_test, NamesOnlyLargeHostsThatCarryTheTraffic)
{
  AddHosts(8, kLarge);
  AddHosts(72, kSmall);
  Run(seconds(1));
  EXPECT_EQ(SmallHosts(Ask("z0")), 0U) << "use is not known";
  SetUse(0.1);
  Run(seconds(120));
  for (const char* zone : { "z0", "z1", "z2", "z3", "", "unknown" }) {
    const auto addresses = Ask(zone);
    EXPECT_EQ(addresses.size(), 3U) << zone;
    EXPECT_EQ(SmallHosts(addresses), 0U) << zone;
  }
}

// Guards against large accounts on small hosts in the first seconds of a fleet
// with few large hosts: small ones leave the answers a few at a time.
TEST_F(endpoint_choice_test, FirstAnswersNameFewLargeHostsOnly)
{
  AddHosts(18, kLarge);
  AddHosts(277, kSmall);
  for (unsigned second = 0; second < 30; ++second) {
    Run(seconds(1));
    const auto addresses = Ask("z0");
    EXPECT_GE(addresses.size(), 3U) << second;
    EXPECT_EQ(SmallHosts(addresses), 0U) << second;
    SetUse(0.005);
  }
}

// Guards against answers of a single host while the use is not known, when most
// of the capacity is that of smaller ones.
TEST_F(endpoint_choice_test, FirstAnswersNameSmallHostsBesideASingleLargeOne)
{
  AddHosts(1, kLarge);
  AddHosts(99, kSmall);
  Run(seconds(1));
  EXPECT_GT(SmallHosts(Ask("z0")), 40U);
}

// Guards against answers that send clients to other zones and regions although
// near hosts have room.
TEST_F(endpoint_choice_test, NearestHostsComeFirst)
{
  AddHosts(8, kLarge);
  AddHosts(72, kSmall);
  SetUse(0.1);
  Run(seconds(120));
  const auto addresses = Ask("z0");
  std::map<std::string, endpoint_host> hosts;
  for (const endpoint_host& host : mHosts) {
    hosts[host.mClientAddress] = host;
  }
  ASSERT_EQ(addresses.size(), 3U);
  EXPECT_EQ(hosts[addresses[0]].mZone.mName, "z0");
  EXPECT_EQ(hosts[addresses[1]].mZone.mName, "z0");
  EXPECT_EQ(hosts[addresses[2]].mRegion.mName, "north");
}

// Guards against too few hosts: those of the next class join when the largest
// class does not carry the traffic.
TEST_F(endpoint_choice_test, TrafficDecidesHowManyHostsAreNamed)
{
  AddHosts(8, kLarge);
  AddHosts(72, kSmall);
  SetUse(0.3);
  Run(seconds(60));
  const std::size_t few = Ask("z0").size();
  EXPECT_LE(few, 8U);
  SetUse(0.59);
  Run(seconds(30));
  const auto many = Ask("z0");
  EXPECT_GT(many.size(), 40U);
  EXPECT_GE(Common(Ask("z1"), many), 8U);
}

// Guards against changes back and forth while the use varies.
TEST_F(endpoint_choice_test, VaryingUseDoesNotChangeTheAnswer)
{
  AddHosts(8, kLarge);
  AddHosts(72, kSmall);
  SetUse(0.3);
  Run(seconds(120));
  const auto before = Ask("z0");
  mChanges = 0;
  for (unsigned i = 0; i < 60; ++i) {
    SetUse(i % 2 == 0 ? 0.22 : 0.3);
    Run(seconds(1));
  }
  EXPECT_EQ(Ask("z0"), before);
  EXPECT_EQ(mChanges, 0U);
}

// Guards against many clients that change hosts when one host is lost, and
// against a herd on it when it comes back.
TEST_F(endpoint_choice_test, OneHostThatGoesAndComesBackMovesFewClients)
{
  AddHosts(8, kLarge);
  AddHosts(72, kSmall);
  SetUse(0.2);
  Run(seconds(120));
  const auto before = Ask("z0");
  mLost[before.front()] = mNow - seconds(2);
  const auto atOnce = Ask("z0");
  EXPECT_EQ(atOnce.size(), before.size());
  EXPECT_EQ(Common(atOnce, before), before.size() - 1);
  Run(seconds(20));
  EXPECT_EQ(Common(Ask("z0"), before), before.size() - 1);
  EXPECT_EQ(SmallHosts(Ask("z0")), 0U);
  const auto without = Ask("z0");
  mLost.clear();
  Run(seconds(2));
  EXPECT_EQ(Ask("z0"), without) << "it has run for 2 s only";
  Run(seconds(20));
  EXPECT_GE(Common(Ask("z0"), before), before.size() - 1);
}

// Guards against lasting use of small hosts after all large ones were lost, and
// against a jump of all clients at once when they come back.
TEST_F(endpoint_choice_test, LargeHostsComeBackStepByStep)
{
  AddHosts(8, kLarge);
  AddHosts(72, kSmall);
  SetUse(0.3);
  Run(seconds(60));
  for (const endpoint_host& host : mHosts) {
    if (host.mCapacity == kLarge) {
      mLost[host.mClientAddress] = mNow - seconds(2);
    }
  }
  EXPECT_FALSE(Ask("z0").empty());
  Run(seconds(12));
  EXPECT_EQ(SmallHosts(Ask("z0")), Ask("z0").size());
  EXPECT_TRUE(mChoice.IsSelective());
  mLost.clear();
  SetUse(0.1);
  Run(seconds(60));
  EXPECT_EQ(SmallHosts(Ask("z0")), 0U);
}

// Guards against clients sent to a host that is close to its limit, and against
// empty answers when all hosts are.
TEST_F(endpoint_choice_test, HostsThatLeftAreNamedOnlyIfOthersAreMissing)
{
  AddHosts(8, kLarge);
  AddHosts(72, kSmall);
  SetUse(0.2);
  Run(seconds(60));
  const std::string left = Ask("z0").front();
  for (endpoint_host& host : mHosts) {
    host.mLeftAnswers = host.mClientAddress == left;
  }
  EXPECT_EQ(Common(Ask("z0"), { left }), 0U);
  for (endpoint_host& host : mHosts) {
    host.mLeftAnswers = true;
  }
  Run(seconds(10));
  EXPECT_EQ(Ask("z0").size(), 3U);
}

// Guards against a fleet in which nodes of an earlier version, which state no
// use and no zone, get nothing or everything.
TEST_F(endpoint_choice_test, UnknownHostsCountByCapacity)
{
  AddHosts(8, kLarge);
  AddHosts(72, kSmall);
  for (endpoint_host& host : mHosts) {
    host.mZone = {};
    host.mRegion = {};
  }
  Run(seconds(60));
  EXPECT_EQ(Ask("z0").size(), 8U);
  EXPECT_EQ(SmallHosts(Ask("z0")), 0U);
}

// Guards against answers that name dead hosts beside the node itself for ever,
// and against none at all from a node that does not serve.
TEST_F(endpoint_choice_test, ANodeWithoutPeersForgetsHostsInTime)
{
  mPeersRun = false;
  endpoint_view view{ {}, false };
  for (const char* name : { "b", "c" }) {
    endpoint_host host;
    host.mAddress = host.mClientAddress = name;
    host.mHeardAt = mNow;
    view.mHosts.push_back(host);
  }
  const auto ask = [&](milliseconds aLater) {
    return mChoice.Addresses(view, {}, mNow + aLater);
  };
  EXPECT_EQ(ask(milliseconds(2000)).size(), 2U);
  EXPECT_EQ(ask(milliseconds(60000)).size(), 2U) << "it knows nothing better";
  endpoint_host self;
  self.mAddress = self.mClientAddress = "a";
  self.mHeardAt = mNow + milliseconds(60000);
  view.mHosts.push_back(self);
  EXPECT_EQ(ask(milliseconds(2000)).size(), 3U);
  EXPECT_EQ(ask(milliseconds(3000)), std::vector<std::string>{ "a" });
}
