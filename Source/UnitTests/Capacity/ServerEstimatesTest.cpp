#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <set>

#include "Capacity/ObservationTargets.h"
#include "Capacity/OverloadGuard.h"
#include "Capacity/ServerEstimates.h"

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kServer = 5;
constexpr std::uint64_t kRun = 1796363764122;
constexpr std::uint32_t kSlots = 16;

class server_estimates_test : public testing::Test
{
protected:
  server_estimates_test()
  {
    mEstimates.SetServer(kServer, kRun, service_id{ "engine" }, kSlots);
    mEstimates.OnGapObjective(service_id{ "engine" }, milliseconds(100));
    mEstimates.Update(mNow);
  }

  /// Streams of a server with the knee, at all loads up to the slots.
  void Observe(server_estimates& aEstimates, double aGapMs, double aKnee)
  {
    for (std::int64_t n = 1; n <= kSlots; ++n) {
      const double rise =
        1.0 + 1.5 * std::max(static_cast<double>(n) - aKnee, 0.0) / aKnee;
      for (int i = 0; i < 10; ++i) {
        aEstimates.OnEventGap(kServer, kRun, n, aGapMs * rise);
      }
    }
  }

  void Update(int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      mNow += milliseconds(200);
      mEstimates.Update(mNow);
    }
  }

  time_point mNow{ std::chrono::seconds(100) };
  server_estimates mEstimates;
};

} // namespace

// Guards against limits far from the number of requests from which on the
// server slows down.
TEST_F(server_estimates_test, FindsTheKnee)
{
  for (int i = 0; i < 10; ++i) {
    Observe(mEstimates, 30.0, 4.0);
    Update(1);
  }
  EXPECT_NEAR(mEstimates.Estimate(kServer, 1)->mLimit, 4.0, 0.5);
  EXPECT_NEAR(mEstimates.Estimate(kServer, 1)->mGapMs, 30.0, 2.0);
  EXPECT_NEAR(mEstimates.Estimate(kServer, 8)->mGapMs, 75.0, 5.0);
  EXPECT_TRUE(mEstimates.InForce(service_id{ "engine" }, mNow));
}

// Guards against a limit for a server whose batches grow a little slower with
// each request and carry more with it.
TEST_F(server_estimates_test, AGentleSlopeIsNoKnee)
{
  for (int i = 0; i < 10; ++i) {
    for (std::int64_t n = 1; n <= kSlots; ++n) {
      for (int k = 0; k < 10; ++k) {
        mEstimates.OnEventGap(
          kServer, kRun, n, 20.0 + 0.5 * static_cast<double>(n));
      }
    }
    Update(1);
  }
  EXPECT_EQ(mEstimates.Estimate(kServer, 1)->mLimit, kSlots);
  EXPECT_FALSE(mEstimates.InForce(service_id{ "engine" }, mNow));
}

// Guards against wrong or forged observations that change the estimates.
TEST_F(server_estimates_test, IgnoresImplausibleObservations)
{
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const std::vector<capacity_observation> wrong = {
    { kServer, kRun + 1, 0, { 0, 0, 0, 10, 300 } },
    { kServer + 1, kRun, 0, { 0, 0, 0, 10, 300 } },
    { kServer, kRun, kLoadLevels, { 0, 0, 0, 10, 300 } },
    { kServer, kRun, 0, { 0, 0, 0, 0, 0 } },
    { kServer, kRun, 0, { 0, 0, 0, -10, -300 } },
    { kServer, kRun, 0, { 0, 0, 0, 10, 0 } },
    { kServer, kRun, 0, { 0, 0, 0, 10, 1e12 } },
    { kServer, kRun, 0, { 0, 0, 0, 1e9, 3e10 } },
    { kServer, kRun, 0, { 0, 0, 0, nan, 300 } },
    { kServer, kRun, 0, { 10, 300, nan, 0, 0 } },
    { kServer, kRun, 0, { 10, 0, 300, 0, 0 } },
  };
  EXPECT_EQ(mEstimates.OnObservations({ wrong }), wrong.size());
  for (const double ms : { 0.0, -1.0, 1e9, nan }) {
    mEstimates.OnEventGap(kServer, kRun, 1, ms);
    mEstimates.OnFirstEvent(kServer, kRun, 1, 50.0, ms);
    mEstimates.OnFirstEvent(kServer, kRun, 1, ms, 50.0);
  }
  mEstimates.OnEventGap(kServer, kRun + 1, 1, 30.0);
  Update(1);
  EXPECT_EQ(mEstimates.EstimatedCount(), 0U);
  EXPECT_TRUE(mEstimates.TakeObservations().mObservations.empty());
  EXPECT_EQ(mEstimates.Size(), 1U);
}

// Guards against a log line for each update while estimates swing.
TEST_F(server_estimates_test, ReportsChangesRarely)
{
  std::size_t changes = 0;
  for (int i = 0; i < 50; ++i) {
    Observe(mEstimates, i % 2 == 0 ? 20.0 : 90.0, i % 2 == 0 ? 4.0 : 8.0);
    Update(1);
    changes += mEstimates.TakeChanges(mNow).size();
  }
  EXPECT_GE(changes, 1U);
  EXPECT_LE(changes, 11U);
}

// Guards against nodes of large fleets that never get the observations of some
// others.
TEST(ObservationTargetsTest, SamplesOfLargeFleetsReachAllNodes)
{
  std::vector<std::string> peers;
  peers.reserve(339);
  for (int i = 0; i < 339; ++i) {
    peers.push_back("10.0.0." + std::to_string(i));
  }
  std::set<std::string> reached;
  for (std::uint64_t round = 0; round < 40; ++round) {
    const auto targets = ObservationTargets(peers, "self", round);
    EXPECT_EQ(targets.size(), 64U);
    reached.insert(targets.begin(), targets.end());
  }
  EXPECT_GT(reached.size(), 330U);
  peers.resize(79);
  EXPECT_EQ(ObservationTargets(peers, "self", 1), peers);
}

// Guards against a share of refusals that stays after an overload, or that
// begins below it.
TEST(OverloadGuardTest, TurnsAwayDuringOverloadOnly)
{
  overload_guard guard;
  for (int i = 0; i < 100; ++i) {
    guard.Update(85.0, 100.0);
  }
  EXPECT_EQ(guard.TurnedAwayShare(), 0.0);
  for (int i = 0; i < 50; ++i) {
    guard.Update(120.0, 100.0);
  }
  EXPECT_GT(guard.TurnedAwayShare(), 0.5);
  for (int i = 0; i < 100; ++i) {
    guard.Update(80.0, 100.0);
  }
  EXPECT_EQ(guard.TurnedAwayShare(), 0.0);
}
