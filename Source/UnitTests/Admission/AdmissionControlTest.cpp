#include <gtest/gtest.h>

#include <numeric>

#include "Admission/AdmissionControl.h"
#include "Admission/AdmissionShares.h"

using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t kService = 3;

time_point At(milliseconds aTime)
{
  return time_point(std::chrono::hours(1) + aTime);
}

/// Offers one account twice what ten slots carry for 2 s.
void Overload(admission_control& aControl)
{
  for (milliseconds now(0); now < milliseconds(2000); now += milliseconds(10)) {
    aControl.Decide({ kService, 1, 0, 1.0, 0, milliseconds(0) }, now, At(now));
    if (now.count() % 20 == 0) {
      aControl.OnCompleted(kService, 1.0, milliseconds(200), At(now));
    }
    aControl.SetLoad(kService, { 10.0, 10.0, false }, At(now));
    aControl.Update(1, At(now));
  }
}

} // namespace

// Guards against shares that exceed the capacity or waste some of it.
TEST(admission_shares_test, DividesTheCapacity)
{
  const std::vector<double> granted = DivideCapacity(
    { { 0, 60.0 }, { 1, 10.0 }, { 1, 50.0 }, { 2, 80.0 } }, 100.0, 10.0);
  EXPECT_EQ(granted, (std::vector<double>{ 60.0, 10.0, 20.0, 10.0 }));
}

// Guards against a group of small accounts that shares as if it were one.
TEST(admission_shares_test, AGroupCountsAsItsAccounts)
{
  const std::vector<double> granted =
    DivideCapacity({ { 0, 90.0, 1.0 }, { 0, 90.0, 3.0 } }, 80.0, 8.0);
  EXPECT_EQ(granted, (std::vector<double>{ 20.0, 60.0 }));
}

// Guards against floors that leave nothing for the urgent ranks.
TEST(admission_shares_test, FloorsOfManyRanksLeaveHalf)
{
  std::vector<admission_demand> demands(16, { 0, 100.0 });
  for (int rank = 0; rank < 16; ++rank) {
    demands[static_cast<std::size_t>(rank)].mRank = rank;
  }
  const std::vector<double> granted = DivideCapacity(demands, 100.0, 10.0);
  EXPECT_GE(granted.front(), 50.0);
  EXPECT_NEAR(
    std::accumulate(granted.begin(), granted.end(), 0.0), 100.0, 1e-9);
}

// Guards against reports that a node reads otherwise than they were written.
TEST(offered_costs_test, SurvivesTheWire)
{
  const std::vector<offered_cost> costs{
    { 513, offered_kind::Account, 3, 0xfedcba98, 12.5F, 40, 0.0F },
    { 2, offered_kind::Rest, 15, 70, 0.25F, 255, 0.0F },
    { 65535, offered_kind::Completed, 0, 0, 99.0F, 0, 4.5F }
  };
  const std::string bytes = WriteOfferedCosts(costs);
  EXPECT_EQ(bytes.size(), 36U);
  EXPECT_EQ(ParseOfferedCosts(bytes), costs);
  EXPECT_EQ(ParseOfferedCosts(bytes.substr(1)), std::nullopt);
  EXPECT_EQ(ParseOfferedCosts(std::string(12, '\xff')), std::nullopt);
  EXPECT_EQ(ParseOfferedCosts(std::string(12 * 33, '\0')), std::nullopt);
}

// Guards against a short burst that starts the shedding, and against shedding
// that does not end.
TEST(admission_control_test, IsInForceOnlyWhileServersAreFull)
{
  admission_control control;
  control.Decide({ kService, 1, 0, 1.0, 0, milliseconds(0) }, {}, At({}));
  control.SetLoad(kService, { 10.0, 9.0, false }, At(milliseconds(0)));
  control.SetLoad(kService, { 10.0, 9.0, false }, At(milliseconds(290)));
  EXPECT_FALSE(control.InForce(kService));
  control.SetLoad(kService, { 10.0, 9.0, false }, At(milliseconds(300)));
  EXPECT_TRUE(control.InForce(kService));
  control.SetLoad(kService, { 10.0, 6.0, false }, At(milliseconds(400)));
  control.SetLoad(kService, { 10.0, 6.0, false }, At(milliseconds(1390)));
  EXPECT_TRUE(control.InForce(kService));
  control.SetLoad(kService, { 10.0, 6.0, false }, At(milliseconds(1400)));
  EXPECT_FALSE(control.InForce(kService));
}

// Guards against shedding by the load of servers that are no longer known.
TEST(admission_control_test, OldLoadEndsTheShedding)
{
  admission_control control;
  Overload(control);
  EXPECT_TRUE(control.InForce(kService));
  control.Update(1, At(milliseconds(3100)));
  EXPECT_FALSE(control.InForce(kService));
}

// Guards against refusals while the servers are half empty.
TEST(admission_control_test, HalfEmptyServersRefuseNothing)
{
  admission_control control;
  Overload(control);
  control.SetLoad(kService, { 10.0, 4.9, false }, At(milliseconds(2000)));
  for (std::uint64_t i = 0; i < 64; ++i) {
    EXPECT_TRUE(control
                  .Decide({ kService, 1, 0, 1.0, i << 58U, milliseconds(0) },
                          milliseconds(2000),
                          At(milliseconds(2000)))
                  .mAdmit);
  }
}

// Guards against a promise that is broken because the share shrank meanwhile.
TEST(admission_control_test, PromisesHoldWhenTheShareShrinks)
{
  admission_control control;
  Overload(control);
  const milliseconds now(2000);
  int promised = 0;
  for (std::uint64_t i = 0; i < 64; ++i) {
    const shed_query query{ kService, 1, 0, 1.0, i << 58U, milliseconds(3000) };
    admission_control first = control;
    const shed_decision decision = first.Decide(query, now, At(now));
    if (!decision.mComeBack) {
      continue;
    }
    ++promised;
    // Four fifths of the servers are lost.
    first.SetLoad(kService, { 2.0, 2.0, false }, At(now));
    first.Update(1, At(now));
    for (const milliseconds error : { milliseconds(-50), milliseconds(50) }) {
      const milliseconds back = now + *decision.mComeBack;
      EXPECT_TRUE(first.Decide(query, back + error, At(now)).mAdmit) << i;
    }
  }
  EXPECT_GT(promised, 3);
}

// Guards against requests that are admitted, or promised, to places that are
// about to be lost.
TEST(admission_control_test, AdmitsLessWhilePlacesAreLost)
{
  admission_control control;
  std::map<int, double> shares;
  for (milliseconds now(0); now <= milliseconds(3300);
       now += milliseconds(100)) {
    const shed_query query{ kService, 1, 0, 2.0, 0, milliseconds(0) };
    shares[static_cast<int>(now.count())] =
      control.Decide(query, now, At(now)).mShare;
    control.OnCompleted(kService, 1.0, milliseconds(1000), At(now));
    // Two of ten places are lost between the last two loads.
    if (now.count() % 200 == 0) {
      const double places = now > milliseconds(3000) ? 8.0 : 10.0;
      control.SetLoad(kService, { places, places, false }, At(now));
      control.Update(1, At(now));
    }
  }
  EXPECT_GT(shares.at(3100), 0.3);
  EXPECT_LT(shares.at(3300), 0.5 * shares.at(3100));
}

// Guards against a promise that exceeds the time of the client.
TEST(admission_control_test, PromisesOnlyWhatIsInTime)
{
  admission_control control;
  Overload(control);
  int refused = 0;
  for (std::uint64_t i = 0; i < 64; ++i) {
    const shed_decision decision =
      control.Decide({ kService, 1, 0, 1.0, i << 58U, milliseconds(100) },
                     milliseconds(2000),
                     At(milliseconds(2000)));
    refused += decision.mAdmit ? 0 : 1;
    EXPECT_LE(decision.mComeBack.value_or(milliseconds(0)), milliseconds(100));
  }
  EXPECT_GT(refused, 10);
}

// Guards against tables and reports that clients can make grow.
TEST(admission_control_test, ReportsAreBounded)
{
  admission_control control;
  for (std::uint32_t account = 0; account < 3000; ++account) {
    control.Decide({ kService, account, 1, 1.0, 0, {} }, {}, At({}));
  }
  // Without overload, nothing is reported.
  EXPECT_TRUE(control.Report(At({})).empty());
  control.SetLoad(kService, { 10.0, 10.0, false }, At({}));
  const std::vector<offered_cost> report = control.Report(At({}));
  EXPECT_EQ(report.size(), kMaxOfferedCosts);
  double sum = 0.0;
  for (const offered_cost& cost : report) {
    sum += static_cast<double>(cost.mCost);
  }
  EXPECT_NEAR(sum, 3000.0, 1.0);
}
