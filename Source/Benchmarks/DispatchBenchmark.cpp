#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "Dispatch/DispatchSystem.h"

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t kPromptBlocks = 16;

dispatch_settings BenchmarkSettings()
{
  dispatch_settings settings;
  settings.mNode = { "node-1" };
  settings.mZone = { "zone-1" };
  settings.mRegion = { "region-1" };
  settings.mConcurrency.mDefaultLimit = 64.0;
  return settings;
}

std::vector<listed_upstream> MakeUpstreams(std::int64_t aCount)
{
  std::vector<listed_upstream> entries;
  for (std::int64_t i = 0; i < aCount; ++i) {
    listed_upstream entry;
    entry.mUpstream = { "engine-" + std::to_string(i) };
    entry.mZone = { "zone-" + std::to_string(i % 11) };
    entry.mRegion = { "region-" + std::to_string(i % 3) };
    entries.push_back(entry);
  }
  return entries;
}

dispatch_request MakeRequest(std::uint64_t aNumber, std::int64_t aAccounts)
{
  dispatch_request request;
  request.mRequest = { 1, aNumber };
  const std::uint64_t account = aNumber % static_cast<std::uint64_t>(aAccounts);
  request.mAccount = { "account-" + std::to_string(account) };
  request.mRank = static_cast<work_rank>(aNumber % kWorkRankCount);
  request.mModel = { "model" };
  request.mPromptTokens = 1'000;
  request.mMaxOutputTokens = 200;
  request.mContent = { 2, aNumber };
  for (std::uint64_t block = 0; block < kPromptBlocks; ++block) {
    request.mPrefixBlocks.push_back(account * 1'000 + block);
  }
  return request;
}

/// Time from the arrival of a request to its start, with idle upstreams.
/// Arguments: upstreams, accounts.
void DispatchOneRequest(benchmark::State& aState)
{
  dispatch_system system(BenchmarkSettings());
  time_point now{ 100s };
  system.SetUpstreams(MakeUpstreams(aState.range(0)), now);
  std::uint64_t nextNumber = 0;
  for (auto step : aState) {
    aState.PauseTiming();
    const dispatch_request request = MakeRequest(nextNumber++, aState.range(1));
    now += 1ms;
    aState.ResumeTiming();
    system.Enqueue(request, now);
    const dispatch_output output = system.Tick(now);
    benchmark::DoNotOptimize(output);
    aState.PauseTiming();
    system.OnFirstToken(request.mRequest, now + 100ms);
    system.OnTokens(request.mRequest, 100, now);
    system.OnFinished(request.mRequest, attempt_outcome::Completed, now);
    aState.ResumeTiming();
  }
}

/// Time to enqueue a request and start another while a backlog is queued. In
/// each iteration one request arrives, one ends and one starts.
void DispatchUnderBacklog(benchmark::State& aState)
{
  dispatch_settings settings = BenchmarkSettings();
  // Disables early rejection. Each iteration has as many arrivals as starts, so
  // the length of the backlog stays constant.
  settings.mMaxExpectedWaitShare = 1e9;
  for (rank_settings& rank : settings.mRanks) {
    rank.mFirstTokenTarget = 3'600s;
    rank.mMaxQueued = 100'000;
  }
  dispatch_system system(settings);
  time_point now{ 100s };
  system.SetUpstreams(MakeUpstreams(aState.range(0)), now);
  std::uint64_t nextNumber = 0;
  std::vector<request_id> running;
  const auto collect = [&](const dispatch_output& aOutput) {
    for (const start_decision& start : aOutput.mStarts) {
      running.push_back(start.mRequest);
    }
  };
  for (int i = 0; i < 12'000; ++i) {
    system.Enqueue(MakeRequest(nextNumber++, aState.range(1)), now);
  }
  collect(system.Tick(now));
  std::size_t oldest = 0;
  for (auto step : aState) {
    aState.PauseTiming();
    const dispatch_request request = MakeRequest(nextNumber++, aState.range(1));
    now += 100us;
    system.OnTokens(running[oldest], 100, now);
    system.OnFinished(running[oldest++], attempt_outcome::Completed, now);
    aState.ResumeTiming();
    system.Enqueue(request, now);
    const dispatch_output output = system.Tick(now);
    aState.PauseTiming();
    collect(output);
    aState.ResumeTiming();
  }
  aState.counters["queued"] = system.QueuedCount();
}

/// Time of a tick without queued requests.
void DispatchTickIdle(benchmark::State& aState)
{
  dispatch_system system(BenchmarkSettings());
  time_point now{ 100s };
  system.SetUpstreams(MakeUpstreams(aState.range(0)), now);
  system.Enqueue(MakeRequest(0, 1), now);
  system.Tick(now);
  for (auto step : aState) {
    now += 20ms;
    benchmark::DoNotOptimize(system.Tick(now));
  }
}

/// Time of a tick with about 10,000 queued requests and all upstreams at their
/// concurrency limit.
void DispatchTickLoaded(benchmark::State& aState)
{
  dispatch_settings settings = BenchmarkSettings();
  for (rank_settings& rank : settings.mRanks) {
    rank.mFirstTokenTarget = 360'000s;
    rank.mMaxQueued = 100'000;
  }
  dispatch_system system(settings);
  time_point now{ 100s };
  system.SetUpstreams(MakeUpstreams(aState.range(0)), now);
  for (std::uint64_t i = 0; i < 12'000; ++i) {
    system.Enqueue(MakeRequest(i, aState.range(1)), now);
  }
  system.Tick(now);
  for (auto step : aState) {
    now += 1ms;
    benchmark::DoNotOptimize(system.Tick(now));
  }
  aState.counters["queued"] = system.QueuedCount();
}

/// Time to apply a host list and select the subset of upstreams from it.
void DispatchHostList(benchmark::State& aState)
{
  dispatch_system system(BenchmarkSettings());
  time_point now{ 100s };
  const auto upstreams = MakeUpstreams(aState.range(0));
  system.SetUpstreams(upstreams, now);
  system.Enqueue(MakeRequest(0, 1), now);
  for (auto step : aState) {
    now += 1s;
    system.SetUpstreams(upstreams, now);
    benchmark::DoNotOptimize(system.Tick(now));
  }
}

} // namespace

BENCHMARK(DispatchOneRequest)
  ->ArgsProduct({ { 10, 100, 2'000 }, { 10, 1'000, 9'800 } })
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(DispatchUnderBacklog)
  ->ArgsProduct({ { 10, 100, 2'000 }, { 10, 1'000, 9'800 } })
  ->Iterations(20'000)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(DispatchTickIdle)->Arg(10)->Arg(2'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(DispatchTickLoaded)
  ->ArgsProduct({ { 10, 2'000 }, { 10, 9'800 } })
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(DispatchHostList)
  ->Arg(10)
  ->Arg(100)
  ->Arg(2'000)
  ->Unit(benchmark::kMicrosecond);
