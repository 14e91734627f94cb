#include <cstdio>
#include <fstream>
#include <string>

#include <benchmark/benchmark.h>
#include <unistd.h>

#include "Budget/BudgetSystem.h"
#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const account_id kAccount{ "clinic" };
constexpr std::int64_t kBudgetTokens = std::int64_t(1) << 50;

budget_id Budget(std::size_t aNumber)
{
  return { "budget-" + std::to_string(aNumber) };
}

/// Budget holder for which every read, commit and hold of charges succeeds and
/// no budget runs out.
class always_granting_node
{
public:
  always_granting_node()
  {
    mSettings.mMaxRowsPerTransaction = 100'000;
    mSettings.mMaxChargesPerMessage = 1'000'000;
    mSystem.SetBackups({ mPeer });
  }

  /// Advances the time by 10 ms and answers all reads, commits and holds.
  void RunTick()
  {
    mNow += milliseconds(10);
    const budget_output output = mSystem.Tick(mNow);
    for (const budget_read& read : output.mReads) {
      std::vector<table_row> rows;
      for (const std::string& key : read.mKeys) {
        const auto found = mRows.find(key);
        budget_row unusedRow;
        unusedRow.mTotal = kBudgetTokens;
        rows.push_back(found != mRows.end()
                         ? found->second
                         : table_row{ key, 1, FormatBudgetRow(unusedRow) });
      }
      mSystem.OnRead(read.mId, rows, mNow);
    }
    for (const table_transaction& commit : output.mCommits) {
      ++mVersion;
      for (const table_write& write : commit.mWrites) {
        if (write.mValue && write.mKey.starts_with("budget/")) {
          mRows[write.mKey] = { write.mKey, mVersion, *write.mValue };
        }
      }
      mSystem.OnCommit(commit.mId, commit_reply{ true, mVersion }, mNow);
    }
    for (const hold_message& hold : output.mHolds) {
      mSystem.OnHoldReply(hold.mId, hold_outcome::Held, mNow);
    }
  }

  /// Acquires a grant of each of `aBudgets` budgets.
  void AcquireGrants(std::size_t aBudgets)
  {
    for (std::size_t i = 0; i < aBudgets; ++i) {
      static_cast<void>(
        mSystem.Reserve(MakeRequestId({ "fill" }, std::to_string(i)),
                        kAccount,
                        Budget(i),
                        100,
                        mNow));
      if (i % 1000 == 999) {
        mNow += seconds(2);
        RunTick();
        RunTick();
      }
    }
    for (int i = 0; i < 200; ++i) {
      RunTick();
    }
  }

  incarnation_id mSelf{ { "node-a" }, 1 };
  incarnation_id mPeer{ { "node-b" }, 1 };
  budget_settings mSettings;
  time_point mNow{ seconds(1) };
  budget_system mSystem{ mSelf, mSettings, 1 };
  std::unordered_map<std::string, table_row> mRows;
  std::uint64_t mVersion = 1;
};

std::size_t ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t pages = 0;
  std::size_t resident = 0;
  file >> pages >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void ReserveAndSettle(benchmark::State& aState)
{
  always_granting_node node;
  node.AcquireGrants(1000);
  std::uint64_t number = 0;
  const wall_time at;
  for (auto step : aState) {
    const request_id request{ 1, ++number };
    const auto reserved = node.mSystem.Reserve(
      request, kAccount, Budget(number % 1000), 10, node.mNow);
    benchmark::DoNotOptimize(reserved);
    node.mSystem.Settle(request, 10, at, node.mNow);
    if (number % 1000 == 0) {
      // Excludes holds and flushes of charges from the time.
      aState.PauseTiming();
      node.mNow += seconds(1);
      node.RunTick();
      node.RunTick();
      aState.ResumeTiming();
    }
  }
}
BENCHMARK(ReserveAndSettle);

void IdleTick(benchmark::State& aState)
{
  const std::size_t before = ResidentBytes();
  always_granting_node node;
  node.AcquireGrants(static_cast<std::size_t>(aState.range(0)));
  node.mRows.clear();
  for (auto step : aState) {
    node.mNow += std::chrono::microseconds(1);
    benchmark::DoNotOptimize(node.mSystem.Tick(node.mNow));
  }
  aState.counters["budgets"] =
    static_cast<double>(node.mSystem.KnownBudgetCount());
  // Growth of the resident memory of the process. It is too low if the process
  // reuses memory that earlier runs freed.
  const std::size_t after = ResidentBytes();
  aState.counters["grown_mb"] =
    after > before ? static_cast<double>(after - before) / 1e6 : 0;
}
BENCHMARK(IdleTick)
  ->Arg(1000)
  ->Arg(10'000)
  ->Arg(100'000)
  ->Arg(340'000)
  ->Iterations(100'000);

} // namespace
