#include <cstdlib>
#include <iostream>
#include <set>
#include <string>

#include <fmt/ranges.h>
#include <gtest/gtest.h>

#include "FleetSimulation.h"

namespace {

std::uint64_t FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

std::set<std::string> Distinct(const fleet_simulation& aSimulation)
{
  const auto& all = aSimulation.Violations();
  return { all.begin(), all.end() };
}

} // namespace

// Guards against overspent budgets, duplicate charges, lost charges of
// delivered responses and unusable tokens under random combinations of node,
// network and table service failures. BUDGET_SCHEDULES sets the number of
// schedules, BUDGET_SEED the first seed.
TEST(BudgetFailure, RandomSchedules)
{
  const std::uint64_t first = FromEnvironment("BUDGET_SEED", 1);
  const std::uint64_t schedules = FromEnvironment("BUDGET_SCHEDULES", 150);
  std::map<std::string, std::uint64_t> counts;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
    fleet_simulation simulation(seed);
    simulation.Run();
    for (const auto& [name, count] : simulation.Counts()) {
      counts[name] += count;
    }
    failed += simulation.Violations().empty() ? 0 : 1;
    if (!simulation.Violations().empty() && failed <= 5) {
      ADD_FAILURE() << "seed " << seed << ":\n"
                    << fmt::format("{}", fmt::join(Distinct(simulation), "\n"));
    }
  }
  for (const auto& [name, count] : counts) {
    std::cout << name << ": " << count << "\n";
  }
  EXPECT_EQ(failed, 0U) << "of " << schedules << " schedules";
  // Every kind of failure must occur, or the schedules do not test it.
  for (const char* name : { "deaths",
                            "fenced",
                            "duplicates",
                            "lost replies",
                            "exhausted",
                            "write-offs",
                            "planned stops" }) {
    EXPECT_GT(counts[name], 0U) << name;
  }
}
