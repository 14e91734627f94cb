#include <gtest/gtest.h>

#include "Endpoints/HostLoad.h"
#include "Endpoints/ProcessorMeter.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPeriod(200);
constexpr double kCores = 0.12;

/// A process whose totals grow by the same parts of each period.
class processor_meter_test : public testing::Test
{
protected:
  /// Runs for a time in which the loop waits for `aWaitShare` of it and the
  /// clock of the process advances by `aClockShare` of it. Returns the last
  /// use.
  double Run(double aWaitShare,
             double aClockShare,
             milliseconds aTime = seconds(10))
  {
    std::optional<double> use;
    for (const auto end = mSample.mAt + aTime; mSample.mAt < end;) {
      mSample.mAt += kPeriod;
      mSample.mWaitTime += Part(aWaitShare);
      mSample.mProcessorTime += Part(aClockShare);
      use = mMeter.Update(mSample);
      host_measurement measurement;
      measurement.mProcessorUse = use;
      mLoad.Update(measurement, mSample.mAt);
    }
    return use.value_or(-1.0);
  }

  processor_meter mMeter{ kCores };
  host_load mLoad{ "10.0.0.1:7000" };

private:
  static std::chrono::nanoseconds Part(double aShare)
  {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(kPeriod *
                                                                aShare);
  }

  processor_sample mSample{ {}, {}, time_point(seconds(1000)) };
};

} // namespace

// Guards against idle hosts that leave the address answers for good: where the
// processor clock goes on while the process waits, every host of a fleet of 295
// counted as full, and all answers named the same three.
TEST_F(processor_meter_test, IdleHostsWithoutUsableClockStayInTheAnswers)
{
  Run(0.0, 1.0, seconds(1));
  EXPECT_NEAR(Run(0.9, 1.0), 0.1, 1e-6);
  EXPECT_TRUE(mMeter.IsClockUnusable());
  EXPECT_FALSE(mLoad.HasLeftAnswers());
}

// Guards against saturated hosts that stay in the answers because their clock
// is not usable.
TEST_F(processor_meter_test, SaturatedHostsLeaveTheAnswers)
{
  Run(0.9, 1.0);
  ASSERT_TRUE(mMeter.IsClockUnusable());
  EXPECT_NEAR(Run(0.0, 1.0), 1.0, 1e-6);
  EXPECT_TRUE(mLoad.HasLeftAnswers());
  Run(0.9, 1.0);
  EXPECT_FALSE(mLoad.HasLeftAnswers());
}

// Guards against a quota that is used up without notice: until then the loop
// waits for most of the time.
TEST_F(processor_meter_test, QuotaIsMeasuredByTheClock)
{
  EXPECT_NEAR(Run(0.89, 0.11), 0.11 / kCores, 1e-6);
  EXPECT_FALSE(mMeter.IsClockUnusable());
  EXPECT_TRUE(mLoad.HasLeftAnswers());
  EXPECT_NEAR(Run(0.97, 0.03), 0.03 / kCores, 1e-6);
  EXPECT_FALSE(mLoad.HasLeftAnswers());
}

// Guards against a host that leaves for seconds because of a single busy
// period.
TEST_F(processor_meter_test, OneBusyPeriodIsNoOverload)
{
  Run(0.9, 1.0);
  Run(0.0, 1.0, kPeriod);
  EXPECT_FALSE(mLoad.HasLeftAnswers());
}

// Guards against a use without two readings, or by a clock that stands still.
TEST_F(processor_meter_test, NeedsTwoReadings)
{
  const processor_sample sample{ seconds(1),
                                 seconds(1),
                                 time_point(seconds(5)) };
  EXPECT_EQ(mMeter.Update(sample), std::nullopt);
  EXPECT_EQ(mMeter.Update(sample), std::nullopt);
}
