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
constexpr double kMeanTokensUsed = 900;

std::int64_t BudgetTotal(double aRequests, double aUnspentShare)
{
  return static_cast<std::int64_t>(aRequests * kMeanTokensUsed /
                                   (1 - aUnspentShare));
}

model_settings BaseSettings(double aRate,
                            std::int64_t aSeconds,
                            double aUnspentShare)
{
  model_settings settings;
  settings.mRate = aRate;
  settings.mDurationSeconds = aSeconds;
  settings.mTotal =
    BudgetTotal(aRate * static_cast<double>(aSeconds), aUnspentShare);
  return settings;
}

model_settings WithPartition(model_settings aSettings)
{
  aSettings.mPartitionStart = aSettings.mDurationSeconds - 600;
  aSettings.mPartitionEnd = aSettings.mDurationSeconds;
  return aSettings;
}

model_settings WithSkew(model_settings aSettings, double aShare)
{
  aSettings.mFirstNodeShare = aShare;
  return aSettings;
}

model_settings WithSharedTable(model_settings aSettings)
{
  // The table allows 300 writes/s for the 6300 requests/s of the whole fleet.
  aSettings.mTableRate = 300 * aSettings.mRate / 6300;
  return aSettings;
}

void Print(const scenario& aScenario,
           payment_method aPayment,
           const char* aName)
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
             share(result.mFalseRefusalsAbove, result.mPayableAbove),
             100 * result.mUnspentShare,
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
    { "no fault, 40 min, half left", BaseSettings(10, 2400, 0.5) },
    { "no fault, until it is used up", BaseSettings(10, 2400, -0.1) },
    { "no fault, skewed, until used up",
      WithSkew(BaseSettings(10, 2400, -0.1), 0.7) },
    { "no fault, small budget (100 requests)", BaseSettings(0.2, 600, -0.2) },
    { "no fault, table shared by 6300 req/s",
      WithSharedTable(BaseSettings(10, 2400, 0.5)) },
    { "10 min partition, 50 % left after",
      WithPartition(BaseSettings(10, 2400, 0.5)) },
    { "10 min partition, 6 % left after",
      WithPartition(BaseSettings(10, 2400, 0.06)) },
    { "10 min partition, skewed, 6 % left after",
      WithPartition(WithSkew(BaseSettings(10, 2400, 0.06), 0.7)) },
  } };
  for (const scenario& run : scenarios) {
    Print(run, payment_method::Grants, "escrow");
    Print(run, payment_method::StaticShares, "equal shares");
    Print(run, payment_method::PerRequest, "per request");
  }
}

/// Prints the table load of one node and returns its transactions per second.
double PrintNodeLoad(double aRate, std::size_t aBudgets)
{
  constexpr std::int64_t kSeconds = 1200;
  model_settings settings = BaseSettings(aRate, kSeconds, 0.5);
  settings.mNodes = 2;
  settings.mBudgets = aBudgets;
  settings.mFirstNodeShare = 1;
  fleet_model model(payment_method::Grants, settings);
  const model_result result = model.Run();
  const double perSecond = static_cast<double>(result.mTransactions) / kSeconds;
  fmt::print("{:>8} {:>8} {:>10.3f} {:>10.3f} {:>12.4f} {:>12.3f} {:>8}\n",
             aRate,
             aBudgets,
             perSecond,
             static_cast<double>(result.mRowsWritten) / kSeconds,
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
  const double one = PrintNodeLoad(1, 200);
  const double ten = PrintNodeLoad(10, 200);
  const double hundred = PrintNodeLoad(100, 200);
  // One node of a fleet of the target size: 6300 requests/s on 340 nodes, and
  // 340,000 budgets, each served by four nodes.
  PrintNodeLoad(18.5, 4000);
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
