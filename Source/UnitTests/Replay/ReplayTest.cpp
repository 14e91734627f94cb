#include "Replay/ReplayRunner.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>
#include <unistd.h>

#include "Replay/ReplayScenarios.h"

namespace {

using scenario_parameter = std::tuple<std::size_t, std::size_t>;

std::string ParameterName(
  const ::testing::TestParamInfo<scenario_parameter>& aInfo)
{
  const auto deployment =
    static_cast<deployment_kind>(std::get<0>(aInfo.param));
  const auto scenario = static_cast<scenario_kind>(std::get<1>(aInfo.param));
  return std::string(DeploymentName(deployment)) + "_" +
         std::string(ScenarioName(scenario));
}

/// A folder that is removed at the end of a test.
class temporary_folder
{
public:
  temporary_folder()
    : mPath(std::filesystem::temp_directory_path() /
            ("lentilswitch-replay-" + std::to_string(::getpid())))
  {
    std::filesystem::create_directories(mPath);
  }
  ~temporary_folder() { std::filesystem::remove_all(mPath); }
  std::string Path(const std::string& aName) const
  {
    return (mPath / aName).string();
  }

private:
  std::filesystem::path mPath;
};

void WriteText(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath) << aText;
}

} // namespace

/// Every generated scenario with the outcomes that the targets demand.
class scenario_test : public ::testing::TestWithParam<scenario_parameter>
{};

// Guards against changes of the dispatch code that break a target of the design
// page in one of the scenarios.
TEST_P(scenario_test, OutcomesHold)
{
  const auto [deployment, kind] = GetParam();
  const replay_scenario scenario = MakeScenario(
    static_cast<deployment_kind>(deployment), static_cast<scenario_kind>(kind));
  const replay_runner runner(ReplaySettings(), false);
  const replay_report report = runner.Run(scenario.mTrace, scenario.mOutcomes);
  std::ostringstream text;
  WriteReport(report, text);
  EXPECT_TRUE(report.AllHeld()) << text.str();
}

INSTANTIATE_TEST_SUITE_P(
  Scenarios,
  scenario_test,
  ::testing::Combine(::testing::Range<std::size_t>(0, kDeployments),
                     ::testing::Range<std::size_t>(0, kScenarios)),
  ParameterName);

// Guards against outcomes that hold for any policy: the baselines must break
// what the dispatch system holds.
TEST(Replay, BaselinesBreakTheTargets)
{
  const auto broken = [](scenario_kind aKind, policy_kind aPolicy) {
    const replay_scenario scenario =
      MakeScenario(deployment_kind::Dormivia, aKind);
    replay_fleet fleet(scenario.mTrace, aPolicy, ReplaySettings());
    const replay_figures figures = ComputeFigures(scenario.mTrace,
                                                  fleet.Run(),
                                                  ReplaySettings(),
                                                  scenario.mOutcomes.mWindow);
    int count = 0;
    for (const replay_outcome& outcome : scenario.mOutcomes.mOutcomes) {
      const double figure = OutcomeFigure(outcome, figures, 1.0);
      count += OutcomeHolds(outcome, figure) ? 0 : 1;
    }
    return count;
  };
  EXPECT_GT(
    broken(scenario_kind::BackgroundFlood, policy_kind::FirstInFirstOut), 0);
  EXPECT_GT(broken(scenario_kind::UrgentFlood, policy_kind::StrictPriority), 0);
  EXPECT_GT(broken(scenario_kind::CrashingRequest, policy_kind::StrictPriority),
            0);
}

// Guards against a broken outcome that is reported as held, and against exit
// codes that scripts cannot tell apart.
TEST(Replay, ExitCodeTellsHeldBrokenAndUnusable)
{
  const temporary_folder folder;
  const std::string path = folder.Path("small.trace");
  replay_scenario scenario =
    MakeScenario(deployment_kind::Dormivia, scenario_kind::ThreeUpstreamsLost);
  scenario.mTrace.mArrivals.resize(200);
  {
    std::ofstream file(path);
    WriteTrace(scenario.mTrace, file);
  }
  const auto run = [&](const std::string& aBound, std::string& aOutput) {
    const std::string outcomes = folder.Path("outcomes.json");
    WriteText(outcomes,
              R"({"version":1,"window":{"from_ms":0,"to_ms":20000},)"
              R"("outcomes":[{"name":"in time","metric":"within_target",)"
              R"("class":"urgent",)" +
                aBound + "}]}");
    std::ostringstream output;
    std::ostringstream errors;
    const int code = RunReplay(path, outcomes, output, errors);
    aOutput = output.str() + errors.str();
    return code;
  };
  std::string text;
  EXPECT_EQ(run(R"("at_least":0.5)", text), kReplayHeld);
  EXPECT_NE(text.find("held: in time"), std::string::npos);
  EXPECT_EQ(run(R"("at_least":1.5)", text), kReplayBroken);
  EXPECT_NE(text.find("BROKEN: in time"), std::string::npos);
  EXPECT_EQ(run(R"("bound":1)", text), kReplayUnusable);
  EXPECT_NE(text.find("outcomes.json:1: /outcomes/0"), std::string::npos);
  std::ostringstream output;
  std::ostringstream errors;
  EXPECT_EQ(RunReplay(folder.Path("none"), path, output, errors),
            kReplayUnusable);
}

// Guards against outcomes that change when they are written and read.
TEST(Replay, OutcomesRoundTrip)
{
  const replay_outcomes written =
    MakeScenario(deployment_kind::Dormivia, scenario_kind::HeavyTenants)
      .mOutcomes;
  std::stringstream file;
  WriteOutcomes(written, file);
  const auto read = ReadOutcomes(file, "file");
  ASSERT_TRUE(read.has_value()) << FormatJsonError(read.error());
  EXPECT_TRUE(read.value() == written);
}
