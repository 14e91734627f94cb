#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

#include <gtest/gtest.h>

#include "Config/FleetDocument.h"
#include "Config/NodeSettings.h"
#include "Config/SettingsPage.h"

namespace {

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(std::string(LENTILSWITCH_ROOT) + "/" + aPath);
  EXPECT_TRUE(file) << aPath;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

fleet_document ReadFleet(const std::string& aName)
{
  const std::string path = "Reference/" + aName;
  auto document = ParseFleetDocument(ReadFile(path), path);
  EXPECT_TRUE(document.has_value()) << FormatConfigErrors(document.error());
  return document.has_value() ? document.value() : fleet_document();
}

} // namespace

// Guards against reference documents that the program no longer accepts.
TEST(Reference, DocumentsParse)
{
  const fleet_document chile = ReadFleet("dormivia.json");
  EXPECT_EQ(chile.AccountCount(), 10U);
  EXPECT_EQ(chile.BudgetCount(), 8U);
  EXPECT_FALSE(chile.FindUpstreamGroup("engine-old-c1")->mChecksFencing);
  EXPECT_EQ(chile.FindUpstreamGroup("engine-scl-a9"), nullptr);
  EXPECT_EQ(chile.FindAccountByKey(HashApiKey("example-app-free"))->mFreeTier,
            true);
  EXPECT_TRUE(IsNotRepeatable(
    *chile.FindService({ "subscriptions" }), "POST", "/v1/charges/1"));

  const fleet_document quito = ReadFleet("trituradores.json");
  EXPECT_EQ(quito.AccountCount(), 10U);
  EXPECT_EQ(
    quito.FindBudget({ "partners" })->mPrices.Find({ "answer-8b" })->mOutput,
    240U);
  EXPECT_TRUE(quito.FindUpstreamGroup("engine-uio-3")->mResumesStreams);
}

TEST(Reference, NodeSettingsParse)
{
  const auto settings = ReadNodeSettings(std::string(LENTILSWITCH_ROOT) +
                                         "/Reference/node-settings.json");
  ASSERT_TRUE(settings.has_value()) << FormatConfigErrors(settings.error());
  EXPECT_EQ(settings.value().mPeerKeys.size(), 2U);
  EXPECT_EQ(settings.value().mListen.mAdvertisedHttp.mIp, "10.20.1.11");
}

// Guards against a crash or an exception on a damaged file.
TEST(Reference, DamagedTextsAreErrors)
{
  std::mt19937 random(3);
  const std::string fleet = ReadFile("Reference/trituradores.json");
  const std::string node = ReadFile("Reference/node-settings.json");
  const std::string bytes = "{}[],:\"\\/*~-0a. \n";
  int rejected = 0;
  for (int i = 0; i < 1500; ++i) {
    std::string text = i % 3 == 0 ? fleet : node;
    for (int change = 0; change < 3; ++change) {
      const std::size_t at = random() % text.size();
      text.replace(at, random() % 20, 1, bytes[random() % bytes.size()]);
    }
    const bool parsed = i % 3 == 0 ? ParseFleetDocument(text, "f").has_value()
                                   : ParseNodeSettings(text, "n").has_value();
    rejected += parsed ? 0 : 1;
  }
  EXPECT_GT(rejected, 500);
}

// Guards against a settings page that differs from the descriptor tables. On a
// failure, write the page again by running this test with
// LENTILSWITCH_WRITE_PAGES=1 in its environment.
TEST(Reference, SettingsPageIsUpToDate)
{
  if (std::getenv("LENTILSWITCH_WRITE_PAGES") != nullptr) {
    std::ofstream file(std::string(LENTILSWITCH_ROOT) + "/docs/settings.md");
    file << SettingsPage();
  }
  EXPECT_EQ(ReadFile("docs/settings.md"), SettingsPage());
}
