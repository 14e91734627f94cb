#include <fmt/format.h>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kNow{ seconds(100) };
constexpr milliseconds kColdTime(3000);

/// Servers of a service that states how little cold servers take.
class cold_server_test : public testing::Test
{
protected:
  cold_server_test()
  {
    mService.mName = service_id{ "engine" };
    mService.mEngine = engine_limits{ 64, 400000, 5 };
    mService.mColdTime = kColdTime;
    mService.mColdPerSecond = 4.0;
    mRegistry.SetService(mService);
    mRegistry.RateLimits().SetColdBound({ 1.5, 5.0 });
    mRegistry.RateLimits().SetNodes("a:1", {}, kNow - seconds(60));
  }

  server_entry Entry(const std::string& aId,
                     std::optional<milliseconds> aColdTimeLeft,
                     std::uint64_t aIncarnation = 1,
                     std::uint64_t aSequence = 1) const
  {
    server_entry entry;
    entry.mId = upstream_id{ aId };
    entry.mService = mService.mName;
    entry.mAddress = { "10.0.0.1", 80 };
    entry.mSlots = 64;
    entry.mIncarnation = aIncarnation;
    entry.mSequence = aSequence;
    entry.mColdTimeLeft = aColdTimeLeft;
    return entry;
  }

  /// Time from `kNow` to the end of the cold time; 0 if the server is warm.
  milliseconds ColdFor(const std::string& aId, time_point aNow = kNow) const
  {
    const std::uint32_t key = upstream_registry::KeyOf(upstream_id{ aId });
    if (!mRegistry.RateLimits().IsCold(key, aNow)) {
      return milliseconds(0);
    }
    return std::chrono::duration_cast<milliseconds>(
      mRegistry.RateLimits().FindCold(key)->mUntil - kNow);
  }

  gateway_service mService;
  upstream_registry mRegistry{ placement_settings{} };
  platform_codec mCodec;
};

stored_row ServerRow(const std::string& aCold)
{
  return { { "servers", "", "i-1" },
           fmt::format(
             R"({{"service":"engine","address":"10.0.0.1:80","zone":"z1",)"
             R"("slots":8,"version":"v1","state":"ready","seq":1,"born":1{}}})",
             aCold),
           1 };
}

} // namespace

// Guards against cold times that are not taken from the entry, or count from
// another moment than the one at which the node read it.
TEST_F(cold_server_test, EntriesTellTheColdTime)
{
  mRegistry.Apply(Entry("i-1", milliseconds(2000)), kNow);
  mRegistry.Apply(Entry("i-2", milliseconds(0)), kNow);
  EXPECT_EQ(ColdFor("i-1"), milliseconds(2000));
  EXPECT_EQ(ColdFor("i-2"), milliseconds(0));
  EXPECT_EQ(mRegistry.TakeNewCold(),
            std::vector<upstream_id>{ upstream_id{ "i-1" } });
  // A second reading of the same entry does not start the time anew.
  mRegistry.Apply(Entry("i-1", milliseconds(2000)), kNow + seconds(1));
  EXPECT_EQ(ColdFor("i-1"), milliseconds(2000));
  EXPECT_EQ(ColdFor("i-1", kNow + milliseconds(2000)), milliseconds(0));
  EXPECT_TRUE(mRegistry.TakeNewCold().empty());
}

// Guards against a server that becomes cold again while it runs, or warm early.
TEST_F(cold_server_test, NewerEntriesChangeTheColdTime)
{
  mRegistry.Apply(Entry("i-1", milliseconds(0)), kNow);
  mRegistry.Apply(Entry("i-1", milliseconds(2500), 1, 2), kNow);
  EXPECT_EQ(ColdFor("i-1"), milliseconds(2500));
  mRegistry.Apply(Entry("i-1", std::nullopt, 1, 3), kNow);
  EXPECT_EQ(ColdFor("i-1"), milliseconds(2500));
  mRegistry.Apply(Entry("i-1", milliseconds(0), 1, 4), kNow);
  EXPECT_EQ(ColdFor("i-1"), milliseconds(0));
}

// Guards against full load on a run that was not seen before and whose entry
// does not say whether it is cold.
TEST_F(cold_server_test, NewRunsWithoutTheFieldAreColdForTheTimeOfTheService)
{
  mRegistry.Apply(Entry("i-1", std::nullopt), kNow);
  EXPECT_EQ(ColdFor("i-1"), kColdTime);
  mRegistry.Apply(Entry("i-1", std::nullopt, 1, 2), kNow + kColdTime);
  EXPECT_EQ(ColdFor("i-1", kNow + kColdTime), milliseconds(0));
  mRegistry.Apply(Entry("i-1", std::nullopt, 2, 1), kNow + kColdTime);
  EXPECT_EQ(ColdFor("i-1", kNow + kColdTime), kColdTime * 2);
}

// Guards against an entry that was written before a response told of the cold
// time and is read after it.
TEST_F(cold_server_test, ResponsesTellTheColdTime)
{
  mRegistry.Apply(Entry("i-1", milliseconds(0)), kNow);
  mRegistry.OnColdStated(upstream_id{ "i-1" }, 2, milliseconds(900), kNow);
  EXPECT_EQ(ColdFor("i-1"), milliseconds(0));
  mRegistry.OnColdStated(upstream_id{ "i-1" }, 1, milliseconds(900), kNow);
  EXPECT_EQ(ColdFor("i-1"), milliseconds(900));
  mRegistry.Apply(Entry("i-1", milliseconds(0), 1, 2), kNow);
  EXPECT_EQ(ColdFor("i-1"), milliseconds(900));
}

// Guards against limits where the configuration names none, and against entries
// that are read before the configuration.
TEST_F(cold_server_test, TheConfigurationSwitchesTheLimit)
{
  mRegistry.Apply(Entry("i-1", milliseconds(2000)), kNow);
  mService.mColdPerSecond.reset();
  mRegistry.SetService(mService);
  mRegistry.UpdateCold(kNow);
  EXPECT_EQ(ColdFor("i-1"), milliseconds(0));
  EXPECT_EQ(mRegistry.RateLimits().MaySendFrom(
              upstream_registry::KeyOf(upstream_id{ "i-1" })),
            time_point());
  mService.mColdPerSecond = 4.0;
  mRegistry.SetService(mService);
  mRegistry.UpdateCold(kNow + seconds(1));
  EXPECT_EQ(ColdFor("i-1", kNow + seconds(1)), milliseconds(2000));
}

// Guards against a cold server that takes the shared prompts of warm ones,
// which have them cached.
TEST_F(cold_server_test, SharedPromptsStayWhereTheyAreWarm)
{
  for (unsigned i = 0; i < 6; ++i) {
    mRegistry.Apply(Entry(fmt::format("i-{}", i), milliseconds(0)), kNow);
  }
  std::map<std::string, std::string> places;
  const auto choose = [&](const std::string& aShared, time_point aAt) {
    const std::vector<prompt_segment> prompt{ { aShared, 9000 }, { "o", 100 } };
    placement_query query;
    query.mService = mService.mName;
    query.mPromptTokens = 9100;
    query.mPrompt = &prompt;
    const auto chosen = mRegistry.Choose(query, aAt);
    EXPECT_TRUE(chosen);
    return chosen ? chosen->mUpstream.mName : "";
  };
  for (unsigned i = 0; i < 40; ++i) {
    const std::string shared = fmt::format("s-{}", i);
    places[shared] = choose(shared, kNow);
  }
  // Restarted servers come back without their caches.
  for (unsigned i = 6; i < 9; ++i) {
    mRegistry.Apply(Entry(fmt::format("i-{}", i), milliseconds(60000)), kNow);
  }
  for (const auto& [shared, place] : places) {
    EXPECT_EQ(choose(shared, kNow + seconds(2)), place);
  }
}

// Guards against bad values that are used, or that lose the rest of an entry.
TEST_F(cold_server_test, BadColdTimesOfEntriesCountAsMissing)
{
  const auto read = [&](const std::string& aCold) {
    const auto entry = mCodec.ReadUpstream(ServerRow(aCold));
    EXPECT_TRUE(entry) << aCold;
    return entry.value_or(server_entry{});
  };
  EXPECT_FALSE(read("").mColdTimeLeft);
  EXPECT_TRUE(read("").mIgnored.empty());
  EXPECT_EQ(read(R"(,"coldRemainingMs":1500.5)").mColdTimeLeft,
            milliseconds(1501));
  EXPECT_EQ(read(R"(,"coldRemainingMs":0)").mColdTimeLeft, milliseconds(0));
  EXPECT_EQ(read(R"(,"coldRemainingMs":600000)").mColdTimeLeft,
            milliseconds(600000));
  for (const char* bad :
       { "-1", "600001", "1e300", "\"2000\"", "null", "[]" }) {
    const server_entry entry =
      read(fmt::format(R"(,"coldRemainingMs":{})", bad));
    EXPECT_FALSE(entry.mColdTimeLeft) << bad;
    ASSERT_EQ(entry.mIgnored.size(), 1U) << bad;
    EXPECT_EQ(entry.mIgnored.front().mPlace, "/coldRemainingMs");
    EXPECT_EQ(entry.mSlots, 8U);
  }
}

// Guards against a bad header value that is used.
TEST_F(cold_server_test, BadColdTimesOfResponsesCountAsMissing)
{
  const auto read = [&](const std::string& aValue) {
    http_client_response response;
    response.mHeaders.emplace_back("Lentilswitch-Cold-Ms", aValue);
    return mCodec.ReadAnswer(response);
  };
  EXPECT_EQ(read("1500").mColdTimeLeft, milliseconds(1500));
  for (const char* bad : { "-1", "600001", "soon", "1 s" }) {
    EXPECT_FALSE(read(bad).mColdTimeLeft) << bad;
    EXPECT_EQ(read(bad).mIgnored,
              (std::vector<ignored_field>{ { "Lentilswitch-Cold-Ms", bad } }));
  }
}

// Guards against a configuration that is dropped because of one bad field.
TEST_F(cold_server_test, BadFieldsOfServicesCountAsMissing)
{
  const auto config = mCodec.ReadConfig(R"({"version": 3, "routes": [],
    "services": [
      {"name": "good", "coldS": 3, "coldPerS": 8.1},
      {"name": "bad", "coldS": -3, "coldPerS": "many"},
      {"name": "none"}]})");
  ASSERT_TRUE(config);
  ASSERT_EQ(config->mServices.size(), 3U);
  EXPECT_EQ(config->mServices[0].mColdTime, milliseconds(3000));
  EXPECT_EQ(config->mServices[0].mColdPerSecond, 8.1);
  EXPECT_FALSE(config->mServices[1].mColdTime);
  EXPECT_FALSE(config->mServices[1].mColdPerSecond);
  EXPECT_EQ(
    config->mIgnored,
    (std::vector<ignored_field>{ { "/services/1/coldS", "-3" },
                                 { "/services/1/coldPerS", "\"many\"" } }));
}
