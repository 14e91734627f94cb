#include <gtest/gtest.h>

#include <algorithm>

#include "ConfigCheck/ConfigCheck.h"

namespace {

using std::chrono::milliseconds;

gateway_route Route(const char* aHost, const char* aPrefix)
{
  gateway_route route;
  route.mHost = aHost;
  route.mPrefix = aPrefix;
  route.mTimeout = milliseconds(5000);
  route.mObjective = milliseconds(500);
  route.mServices = { { service_id{ "engine" }, 1 } };
  return route;
}

class config_check_test : public testing::Test
{
protected:
  config_check_test()
  {
    mConfig.mVersion = 7;
    mConfig.mRoutes = { Route("a.example", "/x/"), Route("a.example", "/y/") };
    gateway_service service;
    service.mName = service_id{ "engine" };
    mConfig.mServices = { service };
    gateway_account account;
    account.mName = account_id{ "clinic" };
    account.mKeys = { "secret-key" };
    mConfig.mAccounts = { account };
  }

  /// Findings of the configuration with the severity, as `section/index`.
  std::vector<std::string> Findings(
    finding_severity aSeverity = finding_severity::Problem,
    const std::set<region_id>& aRegions = {}) const
  {
    return Places(CheckConfig(mConfig, aRegions), aSeverity);
  }

  static std::vector<std::string> Places(
    const std::vector<config_finding>& aFindings,
    finding_severity aSeverity)
  {
    std::vector<std::string> places;
    for (const config_finding& finding : aFindings) {
      if (finding.mSeverity == aSeverity) {
        places.push_back(std::to_string(static_cast<int>(finding.mPart)) + "/" +
                         std::to_string(finding.mIndex));
      }
    }
    return places;
  }

  static std::string Place(config_part aPart, std::size_t aIndex)
  {
    return std::to_string(static_cast<int>(aPart)) + "/" +
           std::to_string(aIndex);
  }

  gateway_config mConfig;
};

const std::vector<std::string> kNone;

} // namespace

// Guards against findings in a sound configuration.
TEST_F(config_check_test, SoundConfigurationHasNoFindings)
{
  EXPECT_EQ(Findings(), kNone);
  EXPECT_EQ(Findings(finding_severity::Note), kNone);
}

// Guards against a route that another one hides.
TEST_F(config_check_test, FindsRoutesWithTheSamePrefix)
{
  mConfig.mRoutes.push_back(Route("a.example", "/x/"));
  mConfig.mRoutes.push_back(Route("b.example", "/x/"));
  EXPECT_EQ(Findings(), std::vector{ Place(config_part::Routes, 2) });
}

// Guards against prefixes that match no path, or more than was meant.
TEST_F(config_check_test, FindsPrefixesWithoutSlashes)
{
  mConfig.mRoutes[1].mPrefix = "/y";
  EXPECT_EQ(Findings(), std::vector{ Place(config_part::Routes, 1) });
}

// Guards against routes whose requests have no servers.
TEST_F(config_check_test, FindsServicesThatDoNotExist)
{
  mConfig.mRoutes[1].mServices = { { service_id{ "other" }, 1 } };
  EXPECT_EQ(Findings(), std::vector{ Place(config_part::Routes, 1) });
}

// Guards against services that are named but never chosen.
TEST_F(config_check_test, FindsWeightsOfZero)
{
  mConfig.mServices.push_back(mConfig.mServices[0]);
  mConfig.mServices[1].mName = service_id{ "next" };
  mConfig.mRoutes[0].mServices.push_back({ service_id{ "next" }, 0 });
  EXPECT_EQ(Findings(), std::vector{ Place(config_part::Routes, 0) });
}

// Guards against services that were forgotten, which are no problem.
TEST_F(config_check_test, NotesServicesThatNoRouteNames)
{
  mConfig.mServices.push_back(mConfig.mServices[0]);
  mConfig.mServices[1].mName = service_id{ "next" };
  EXPECT_EQ(Findings(), kNone);
  EXPECT_EQ(Findings(finding_severity::Note),
            std::vector{ Place(config_part::Services, 1) });
}

// Guards against a key that gives access to another account than stated, and
// against keys in clear in the output.
TEST_F(config_check_test, FindsKeysOfTwoAccountsWithoutPrintingThem)
{
  mConfig.mAccounts.push_back(mConfig.mAccounts[0]);
  mConfig.mAccounts[1].mName = account_id{ "desk" };
  const auto findings = CheckConfig(mConfig, {});
  ASSERT_EQ(findings.size(), 1U);
  EXPECT_EQ(findings[0].mPart, config_part::Accounts);
  EXPECT_EQ(findings[0].mIndex, 1U);
  EXPECT_EQ(findings[0].mText.find("secret-key"), std::string::npos);
}

// Guards against accounts that nobody can use.
TEST_F(config_check_test, FindsAccountsWithoutKeysOrTokens)
{
  mConfig.mAccounts[0].mKeys.clear();
  mConfig.mAccounts[0].mPrepaidTokens = 0;
  EXPECT_EQ(Findings(), std::vector(2, Place(config_part::Accounts, 0)));
}

// Guards against homes that no server can be in, and routes without an account
// that may use them.
TEST_F(config_check_test, FindsHomesThatDoNotExist)
{
  const std::set<region_id> regions = { region_id{ "north" },
                                        region_id{ "south" } };
  mConfig.mRoutes[0].mHomes = { region_id{ "north" }, region_id{ "nroth" } };
  EXPECT_EQ(Findings(finding_severity::Problem, regions),
            std::vector{ Place(config_part::Routes, 0) });
  EXPECT_EQ(Findings(), kNone);
  mConfig.mRoutes[0].mHomes = { region_id{ "north" } };
  mConfig.mAccounts[0].mHomes = { region_id{ "south" } };
  EXPECT_EQ(Findings(finding_severity::Problem, regions),
            std::vector{ Place(config_part::Routes, 0) });
}

// Guards against limits that contradict each other.
TEST_F(config_check_test, FindsContradictingLimits)
{
  gateway_route& route = mConfig.mRoutes[0];
  const gateway_route sound = route;
  route.mObjective = milliseconds(6000);
  EXPECT_EQ(Findings().size(), 1U);
  route = sound;
  route.mEventGapObjective = milliseconds(6000);
  EXPECT_EQ(Findings().size(), 1U);
  route = sound;
  route.mMaxAttempts = 2;
  EXPECT_EQ(Findings().size(), 1U);
  route.mKind = request_kind::Idempotent;
  EXPECT_EQ(Findings(), kNone);
  route.mKind = request_kind::Streaming;
  EXPECT_EQ(Findings().size(), 1U);
  route.mResumable = true;
  EXPECT_EQ(Findings(), kNone);
  route = sound;
  route.mTimeout = milliseconds(0);
  EXPECT_EQ(Findings().size(), 1U);
  route = sound;
  mConfig.mServices[0].mColdPerSecond = 8.0;
  EXPECT_EQ(Findings(), std::vector{ Place(config_part::Services, 0) });
  mConfig.mServices[0].mColdTime = milliseconds(3000);
  mConfig.mServices[0].mEngine = engine_limits{ 0, 1000, 1 };
  EXPECT_EQ(Findings(), std::vector{ Place(config_part::Services, 0) });
}

// Guards against a version that all nodes ignore.
TEST_F(config_check_test, FindsVersionsThatAreNotNewer)
{
  const auto findings = CompareConfigs(mConfig, mConfig);
  EXPECT_EQ(Places(findings, finding_severity::Problem),
            std::vector{ Place(config_part::Document, 0) });
  EXPECT_EQ(findings.size(), 1U);
}

// Guards against changes that an operator did not mean to make.
TEST_F(config_check_test, ListsDifferences)
{
  gateway_config next = mConfig;
  next.mVersion = 8;
  next.mRoutes[0].mTimeout = milliseconds(4000);
  next.mRoutes[1] = Route("b.example", "/z/");
  next.mAccounts[0].mKeys = { "other-key" };
  next.mLimits.mBodyBytes = 1000;
  const auto findings = CompareConfigs(mConfig, next);
  EXPECT_EQ(Places(findings, finding_severity::Problem), kNone);
  EXPECT_EQ(Places(findings, finding_severity::Note),
            (std::vector{ Place(config_part::Routes, 0),
                          Place(config_part::Routes, 1),
                          Place(config_part::Routes, 1),
                          Place(config_part::Accounts, 0),
                          Place(config_part::Accounts, 0),
                          Place(config_part::Accounts, 0),
                          Place(config_part::Limits, 0) }));
  EXPECT_TRUE(std::ranges::none_of(findings, [](const auto& aFinding) {
    return aFinding.mText.find("-key") != std::string::npos;
  }));
}
