#include <gtest/gtest.h>

#include "Endpoints/HostLoad.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPeriod(200);

class host_load_test : public testing::Test
{
protected:
  void Run(milliseconds aTime, const host_measurement& aMeasurement)
  {
    for (const auto end = mNow + aTime; mNow < end;) {
      mNow += kPeriod;
      const bool before = mLoad.HasLeftAnswers();
      mLoad.Update(aMeasurement, mNow);
      mChanges += before == mLoad.HasLeftAnswers() ? 0U : 1U;
    }
  }

  time_point mNow{ std::chrono::seconds(100) };
  unsigned mChanges = 0;
  host_load mLoad{ "10.0.0.1:7000" };
};

} // namespace

// Guards against a host that is named until its link is overloaded, and against
// one that does not come back.
TEST_F(host_load_test, LeavesBeforeTheLinkIsFullAndComesBack)
{
  Run(milliseconds(5000), { 0.55, 0.3, {}, true });
  EXPECT_FALSE(mLoad.HasLeftAnswers());
  Run(milliseconds(200), { 0.65, 0.3, {}, true });
  EXPECT_TRUE(mLoad.HasLeftAnswers());
  EXPECT_EQ(mLoad.Cause(), "link");
  Run(milliseconds(2000), { 0.1, 0.1, {}, true });
  EXPECT_TRUE(mLoad.HasLeftAnswers()) << "clients keep answers for 3 s";
  Run(milliseconds(4000), { 0.1, 0.1, {}, true });
  EXPECT_FALSE(mLoad.HasLeftAnswers());
  EXPECT_EQ(mChanges, 2U);
}

// Guards against a host that leaves and comes back every few seconds.
TEST_F(host_load_test, StaysOutWhileUseVariesAroundTheLimit)
{
  for (unsigned i = 0; i < 100; ++i) {
    Run(milliseconds(400), { i % 2 == 0 ? 0.65 : 0.45, 0.3, {}, true });
  }
  EXPECT_EQ(mChanges, 1U);
}

// Guards against hosts with a full processor and an idle link, and against one
// that leaves because of a single sample.
TEST_F(host_load_test, LeavesWhenTheProcessorIsFull)
{
  Run(milliseconds(200), { 0.1, 3.0, {}, true });
  EXPECT_FALSE(mLoad.HasLeftAnswers());
  Run(milliseconds(3000), { 0.1, 0.95, {}, true });
  EXPECT_TRUE(mLoad.HasLeftAnswers());
  EXPECT_EQ(mLoad.Cause(), "processor");
}

// Guards against requests refused for lack of memory while other hosts have
// room.
TEST_F(host_load_test, LeavesBeforeTheMemoryIsFull)
{
  Run(milliseconds(200), { 0.1, 0.1, 0.65, true });
  EXPECT_FALSE(mLoad.HasLeftAnswers());
  Run(milliseconds(200), { 0.1, 0.1, 0.75, true });
  EXPECT_EQ(mLoad.Cause(), "memory");
  Run(milliseconds(6000), { 0.1, 0.1, 0.5, true });
  EXPECT_TRUE(mLoad.HasLeftAnswers());
  Run(milliseconds(200), { 0.1, 0.1, 0.1, true });
  EXPECT_FALSE(mLoad.HasLeftAnswers());
}

// Guards against clients sent to a host whose datagrams reach no peer.
TEST_F(host_load_test, LeavesWhileNoPeerHearsIt)
{
  Run(milliseconds(200), { 0.1, 0.1, {}, false });
  EXPECT_TRUE(mLoad.HasLeftAnswers());
  EXPECT_EQ(mLoad.Cause(), "peers");
  Run(milliseconds(6000), { 0.1, 0.1, {}, true });
  EXPECT_FALSE(mLoad.HasLeftAnswers());
}

// Guards against a host without known limits that leaves the answers.
TEST_F(host_load_test, UnknownLimitsNeverMakeAHostLeave)
{
  Run(milliseconds(5000), {});
  EXPECT_FALSE(mLoad.HasLeftAnswers());
  EXPECT_FALSE(mLoad.LinkUse());
}
