#include <gtest/gtest.h>

#include <iostream>
#include <string>

#include "CapacityFleet.h"

namespace {

using std::chrono::milliseconds;

struct fleet_size
{
  std::size_t mNodes = 0;
  std::size_t mServers = 0;
  /// Number of runs with other random numbers, whose streams are added up. A
  /// few servers give too few streams in one run.
  std::uint64_t mRuns = 1;
};

// Streams that arrive before this moment, while estimates are formed, do not
// count.
constexpr milliseconds kWarm(6000);
constexpr milliseconds kChange(12000);
constexpr milliseconds kEnd(24000);
// Time after a change from which on streams count.
constexpr milliseconds kAdaptation(5000);
// Share of the capacity of the knees.
constexpr double kHighLoad = 0.85;
constexpr double kMediumLoad = 0.65;

class capacity_fleet_test : public testing::TestWithParam<fleet_size>
{
protected:
  model_phase Phase(milliseconds aFrom,
                    double aPerSecond,
                    const std::vector<model_server>& aServers) const
  {
    return { aFrom, aPerSecond, aServers };
  }

  std::vector<model_outcome> Run(const std::vector<model_phase>& aPhases,
                                 milliseconds aEnd,
                                 const std::vector<model_window>& aWindows,
                                 bool aLearn) const
  {
    std::vector<model_outcome> sums(aWindows.size());
    for (std::uint64_t seed = 1; seed <= GetParam().mRuns; ++seed) {
      const auto outcomes =
        RunModel({ GetParam().mNodes, aPhases, aEnd, seed, aLearn }, aWindows);
      for (std::size_t i = 0; i < sums.size(); ++i) {
        sums[i] += outcomes[i];
      }
    }
    return sums;
  }

  std::vector<model_server> Uneven(std::uint64_t aSeed) const
  {
    return UnevenServers(GetParam().mServers, aSeed);
  }

  /// Writes the figures to the log of the test.
  void Print(const std::string& aCase,
             const model_outcome& aOutcome,
             bool aLearn) const
  {
    std::cout << GetParam().mNodes << " nodes, " << (aLearn ? "on, " : "off, ")
              << aCase << ": in time " << aOutcome.InTimeShare() << ", refused "
              << aOutcome.RefusedShare() << " of " << aOutcome.mOffered << "\n";
  }

  model_outcome AtLoad(double aLoad, bool aLearn) const
  {
    const auto servers = Uneven(1);
    const auto outcome =
      Run({ Phase(milliseconds(0), aLoad * KneeCapacity(servers), servers) },
          kChange,
          { { kWarm, kChange } },
          aLearn)
        .front();
    Print("load " + std::to_string(aLoad), outcome, aLearn);
    return outcome;
  }

  /// Outcomes at 0.85 of the capacity, from 5 s after all servers changed.
  model_outcome AfterChange(bool aLearn) const
  {
    const auto before = Uneven(1);
    const auto after = Uneven(2);
    const auto outcome =
      Run({ Phase(milliseconds(0), kHighLoad * KneeCapacity(before), before),
            Phase(kChange, kHighLoad * KneeCapacity(after), after) },
          kEnd,
          { { kChange + kAdaptation, kEnd } },
          aLearn)
        .front();
    Print("after a change", outcome, aLearn);
    return outcome;
  }

  /// Outcomes while a quarter of the servers are four times slower at a load
  /// of 0.65, and after they recovered at 0.85.
  std::vector<model_outcome> Recovery(const std::vector<model_server>& aServers,
                                      bool aLearn) const
  {
    std::vector<model_server> slow = aServers;
    for (std::size_t i = 0; i < slow.size(); i += 4) {
      slow[i].mSpeed /= 4.0;
    }
    const double capacity = KneeCapacity(aServers);
    auto outcomes =
      Run({ Phase(milliseconds(0), kMediumLoad * capacity, aServers),
            Phase(kWarm, kMediumLoad * capacity, slow),
            Phase(kChange, kHighLoad * capacity, aServers) },
          kEnd,
          { { kWarm, kChange }, { kChange, kEnd } },
          aLearn);
    Print("a quarter slower", outcomes[0], aLearn);
    Print("fast again", outcomes[1], aLearn);
    return outcomes;
  }

  /// Expects at least as many streams in time with estimates as without.
  void ExpectNotWorse(const std::vector<model_server>& aServers) const
  {
    const auto off = Recovery(aServers, false);
    const auto on = Recovery(aServers, true);
    for (std::size_t i = 0; i < off.size(); ++i) {
      EXPECT_GE(on[i].InTimeShare(), off[i].InTimeShare());
    }
  }
};

#ifdef __SANITIZE_ADDRESS__
// Under the sanitizers, which slow the model down many times, the small fleet
// covers the code within the time limit of a test.
const auto kFleets = testing::Values(fleet_size{ 6, 12, 8 });
#else
const auto kFleets =
  testing::Values(fleet_size{ 6, 12, 8 }, fleet_size{ 75, 60, 1 });
#endif

INSTANTIATE_TEST_SUITE_P(Fleets,
                         capacity_fleet_test,
                         kFleets,
                         [](const auto& aInfo) {
                           return std::to_string(aInfo.param.mNodes) + "Nodes";
                         });

} // namespace

// Guards against estimates that overload servers while most are idle.
TEST_P(capacity_fleet_test, StreamsAreInTimeAtLowLoad)
{
  const double off = AtLoad(0.3, false).InTimeShare();
  const double on = AtLoad(0.3, true).InTimeShare();
  EXPECT_GT(on, 0.95);
  EXPECT_GE(on, off);
}

// Guards against servers that are loaded beyond their knees while others have
// room.
TEST_P(capacity_fleet_test, StreamsAreInTimeBelowTheCapacity)
{
  const double off = AtLoad(kHighLoad, false).InTimeShare();
  const double on = AtLoad(kHighLoad, true).InTimeShare();
  EXPECT_GE(on, 0.9);
  EXPECT_GE(on, off);
}

// Guards against estimates that follow changed servers too slowly.
TEST_P(capacity_fleet_test, FollowsAChangeWithinFiveSeconds)
{
  const double off = AfterChange(false).InTimeShare();
  const double on = AfterChange(true).InTimeShare();
  EXPECT_GE(on, 0.9);
  EXPECT_GE(on, off);
}

// Guards against goodput that collapses when more is offered than the servers
// carry.
TEST_P(capacity_fleet_test, GoodputStaysUnderOverload)
{
  std::size_t peak = 0;
  std::vector<std::size_t> overloaded;
  for (const double load : { kHighLoad, 1.0, 1.3, 2.0 }) {
    const std::size_t inTime = AtLoad(load, true).mInTime;
    peak = std::max(peak, inTime);
    if (load > 1.0) {
      overloaded.push_back(inTime);
    }
  }
  for (const std::size_t inTime : overloaded) {
    EXPECT_GE(static_cast<double>(inTime), 0.9 * static_cast<double>(peak));
  }
}

// Guards against recovered servers that get no requests, and against estimates
// that are worse than none.
TEST_P(capacity_fleet_test, UsesRecoveredServers)
{
  ExpectNotWorse(Uneven(1));
}

// As above, with servers that behave as the prior says before and after.
TEST_P(capacity_fleet_test, UsesRecoveredServersOfThePrior)
{
  ExpectNotWorse(std::vector<model_server>(GetParam().mServers));
}
