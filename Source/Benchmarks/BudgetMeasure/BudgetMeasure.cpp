#include <array>
#include <cstdio>

#include <fmt/format.h>

#include "FleetModel.h"

/// Prints the false refusals of the budget system and of two baselines for each
/// scenario, and the table load of one node by request rate. Every run prints
/// the same figures.

namespace {

struct scenario
{
  const char* mName;
  model_settings mSettings;
};

// Mean tokens that a request uses: 60 % of a reservation of 500 to 2500 tokens.
constexpr double kMeanUse = 900;

std::int64_t TotalFor(double aRequests, double aPartLeft)
{
  return static_cast<std::int64_t>(aRequests * kMeanUse / (1 - aPartLeft));
}

model_settings Base(double aRate, std::int64_t aSeconds, double aPartLeft)
{
  model_settings settings;
  settings.mRate = aRate;
  settings.mSeconds = aSeconds;
  settings.mTotal = TotalFor(aRate * static_cast<double>(aSeconds), aPartLeft);
  return settings;
}

model_settings Cut(model_settings aSettings)
{
  aSettings.mCutFrom = aSettings.mSeconds - 600;
  aSettings.mCutTo = aSettings.mSeconds;
  return aSettings;
}

model_settings Skewed(model_settings aSettings, double aShare)
{
  aSettings.mFirstShare = aShare;
  return aSettings;
}

model_settings Busy(model_settings aSettings)
{
  // The table allows 300 writes/s for the 6300 requests/s of the whole fleet.
  aSettings.mTableRate = 300 * aSettings.mRate / 6300;
  return aSettings;
}

void Print(const scenario& aScenario, payment aPayment, const char* aName)
{
  fleet_model model(aPayment, aScenario.mSettings);
  const model_result result = model.Run();
  const auto share = [](std::uint64_t aPart, std::uint64_t aWhole) {
    return aWhole == 0
             ? 0.0
             : 100.0 * static_cast<double>(aPart) / static_cast<double>(aWhole);
  };
  fmt::print("{:<42} {:<14} {:>8} {:>8} {:>8.3f} {:>8.3f} {:>7.2f} {:>6}\n",
             aScenario.mName,
             aName,
             result.mPayable,
             result.mFalseRefusals,
             share(result.mFalseRefusals, result.mPayable),
             share(result.mFalseAbove, result.mPayableAbove),
             100 * result.mLeft,
             result.mOverspend);
  std::fflush(stdout);
}

void PrintRefusals()
{
  fmt::print("{:<42} {:<14} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6}\n",
             "scenario (4 nodes, one budget)",
             "payment",
             "payable",
             "false",
             "%",
             "%>5left",
             "left%",
             "over");
  const std::array<scenario, 8> scenarios = { {
    { "no fault, 40 min, half left", Base(10, 2400, 0.5) },
    { "no fault, until it is used up", Base(10, 2400, -0.1) },
    { "no fault, skewed, until used up", Skewed(Base(10, 2400, -0.1), 0.7) },
    { "no fault, small budget (100 requests)", Base(0.2, 600, -0.2) },
    { "no fault, table shared by 6300 req/s", Busy(Base(10, 2400, 0.5)) },
    { "10 min partition, 50 % left after", Cut(Base(10, 2400, 0.5)) },
    { "10 min partition, 6 % left after", Cut(Base(10, 2400, 0.06)) },
    { "10 min partition, skewed, 6 % left after",
      Cut(Skewed(Base(10, 2400, 0.06), 0.7)) },
  } };
  for (const scenario& run : scenarios) {
    Print(run, payment::Escrow, "escrow");
    Print(run, payment::StaticShares, "equal shares");
    Print(run, payment::PerRequest, "per request");
  }
}

/// Prints the table load of one node and returns its transactions per second.
double PrintLoadOf(double aRate, std::size_t aBudgets)
{
  constexpr std::int64_t kSeconds = 1200;
  model_settings settings = Base(aRate, kSeconds, 0.5);
  settings.mNodes = 2;
  settings.mBudgets = aBudgets;
  settings.mFirstShare = 1;
  fleet_model model(payment::Escrow, settings);
  const model_result result = model.Run();
  const double perSecond = static_cast<double>(result.mTransactions) / kSeconds;
  fmt::print("{:>8} {:>8} {:>10.3f} {:>10.3f} {:>12.4f} {:>12.3f} {:>8}\n",
             aRate,
             aBudgets,
             perSecond,
             static_cast<double>(result.mRows) / kSeconds,
             perSecond / aRate,
             static_cast<double>(result.mRowsRead) / kSeconds,
             result.mFalseRefusals);
  return perSecond;
}

void PrintLoad()
{
  fmt::print("\n{:>8} {:>8} {:>10} {:>10} {:>12} {:>12} {:>8}\n",
             "req/s",
             "budgets",
             "tx/s",
             "rows/s",
             "tx/request",
             "rows read/s",
             "false");
  const double one = PrintLoadOf(1, 200);
  const double ten = PrintLoadOf(10, 200);
  const double hundred = PrintLoadOf(100, 200);
  // One node of a fleet of the target size: 6300 requests/s on 340 nodes, and
  // 340,000 budgets, each served by four nodes.
  PrintLoadOf(18.5, 4000);
  fmt::print("transactions per further request: {:.5f} from 1 to 10 req/s, "
             "{:.5f} from 10 to 100 req/s\n",
             (ten - one) / 9,
             (hundred - ten) / 90);
}

} // namespace

int main()
{
  PrintRefusals();
  PrintLoad();
  return 0;
}
