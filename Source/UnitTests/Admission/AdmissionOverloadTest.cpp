#include <gtest/gtest.h>

#include <algorithm>

#include "AdmissionModel.h"

/// Overload at 1, 6 and 75 nodes, with clocks that differ by up to 50 ms.
class admission_overload_test : public testing::TestWithParam<std::size_t>
{
protected:
  model_settings Settings() const
  {
    model_settings settings;
    settings.mNodes = GetParam();
    settings.mSlots = GetParam() > 6 ? 320.0 : 120.0;
    return settings;
  }
  static double Served(const model_count& aCount)
  {
    return aCount.mServed / aCount.mOffered;
  }
  /// Served cost of a rank as a share of what the slots can serve in the 20 s
  /// that count.
  static double ShareOfCapacity(const model_settings& aSettings,
                                const model_count& aCount)
  {
    return aCount.mServed / (aSettings.mSlots * 20.0);
  }
};

// Guards against urgent requests that are lost in a flood of others, and
// against broken promises.
TEST_P(admission_overload_test, FloodOfTheLeastUrgentRank)
{
  model_settings settings = Settings();
  settings.mStreams = { { 0, 1, 0.3 },
                        { 1, 2, 0.2 },
                        { 2, 3, 2.0, std::chrono::seconds(3) } };
  const model_result result = RunAdmissionModel(settings);
  EXPECT_GE(Served(result.mByRank.at(0)), 0.95);
  EXPECT_GE(Served(result.mByRank.at(1)), 0.95);
  EXPECT_GE(ShareOfCapacity(settings, result.mByRank.at(2)), 0.1);
  EXPECT_GE(result.mCameBack, 20.0);
  EXPECT_GE(result.mCameBackServed, 0.95 * result.mCameBack);
}

// Guards against ranks that starve below a flood of the most urgent one.
TEST_P(admission_overload_test, FloodOfTheMostUrgentRankLeavesFloors)
{
  model_settings settings = Settings();
  settings.mStreams = { { 0, 1, 2.0, std::chrono::seconds(3) },
                        { 1, 2, 0.3 },
                        { 2, 3, 0.3 } };
  const model_result result = RunAdmissionModel(settings);
  EXPECT_GE(ShareOfCapacity(settings, result.mByRank.at(1)), 0.1);
  EXPECT_GE(ShareOfCapacity(settings, result.mByRank.at(2)), 0.1);
  EXPECT_GE(result.mCameBackServed, 0.95 * result.mCameBack);
}

// Guards against a large account that takes the share of small ones.
TEST_P(admission_overload_test, LargeAccountDoesNotStarveSmallOnes)
{
  model_settings settings = Settings();
  settings.mStreams = { { 0, 1, 1.6, std::chrono::seconds(3) } };
  for (std::uint32_t account = 2; account <= 5; ++account) {
    settings.mStreams.push_back({ 0, account, 0.12 });
  }
  const model_result result = RunAdmissionModel(settings);
  for (std::uint32_t account = 2; account <= 5; ++account) {
    EXPECT_GE(Served(result.mByAccount.at(account)), 0.98) << account;
  }
  EXPECT_GE(result.mCameBackServed, 0.95 * result.mCameBack);
}

// Guards against promises and urgent work that a sudden loss of servers breaks.
TEST_P(admission_overload_test, CapacityHalvesWithinASecond)
{
  model_settings settings = Settings();
  settings.mStreams = { { 0, 1, 0.35 }, { 1, 2, 0.5 }, { 2, 3, 0.5 } };
  settings.mHalvesAt = std::chrono::seconds(10);
  const model_result result = RunAdmissionModel(settings);
  EXPECT_GE(Served(result.mByRank.at(0)), 0.95);
  EXPECT_GE(result.mCameBackServed, 0.95 * result.mCameBack);
}

// Guards against decisions that need every report.
TEST_P(admission_overload_test, LostReports)
{
  model_settings settings = Settings();
  settings.mStreams = { { 0, 1, 0.4 }, { 1, 2, 1.6 } };
  settings.mLostReports = 0.4;
  const model_result result = RunAdmissionModel(settings);
  EXPECT_GE(Served(result.mByRank.at(0)), 0.95);
  EXPECT_GE(result.mCameBackServed, 0.95 * result.mCameBack);
}

// Guards against a node that decides nothing, or too much, without reports.
TEST_P(admission_overload_test, NoReports)
{
  model_settings settings = Settings();
  settings.mStreams = { { 0, 1, 0.4 }, { 1, 2, 1.6 } };
  settings.mLostReports = 1.0;
  const model_result result = RunAdmissionModel(settings);
  EXPECT_GE(Served(result.mByRank.at(0)), 0.95);
}

// Guards against goodput that falls when more is offered.
TEST_P(admission_overload_test, GoodputStaysAtItsPeak)
{
  double peak = 0.0;
  std::map<double, double> goodput;
  for (const double load : { 0.85, 1.0, 1.3, 2.0 }) {
    model_settings settings = Settings();
    settings.mStreams = { { 0, 1, 0.3 * load },
                          { 1, 2, 0.4 * load },
                          { 2, 3, 0.3 * load } };
    goodput[load] = RunAdmissionModel(settings).mGoodput;
    peak = std::max(peak, goodput[load]);
  }
  EXPECT_GE(goodput[1.3], 0.9 * peak);
  EXPECT_GE(goodput[2.0], 0.9 * peak);
}

// Guards against refusals without overload.
TEST_P(admission_overload_test, NothingIsShedBelowTheCapacity)
{
  model_settings settings = Settings();
  settings.mStreams = { { 0, 1, 0.2 }, { 1, 2, 0.2 }, { 2, 3, 0.2 } };
  EXPECT_EQ(RunAdmissionModel(settings).mShed, 0U);
}

// Guards against a promise that no common clock supports.
TEST_P(admission_overload_test, WithoutClockNothingIsPromised)
{
  model_settings settings = Settings();
  settings.mStreams = { { 0, 1, 0.4 }, { 1, 2, 1.6 } };
  settings.mHasClock = false;
  const model_result result = RunAdmissionModel(settings);
  EXPECT_EQ(result.mCameBack, 0.0);
  EXPECT_GT(result.mShed, 0U);
  EXPECT_GE(Served(result.mByRank.at(0)), 0.95);
}

INSTANTIATE_TEST_SUITE_P(Nodes,
                         admission_overload_test,
                         testing::Values(1, 6, 75));
