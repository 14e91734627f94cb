#include <gtest/gtest.h>

#include "Gateway/LinkGuard.h"

namespace {

using std::chrono::milliseconds;

constexpr double kCapacity = 1250000.0;
constexpr milliseconds kPeriod(200);

class link_guard_test : public testing::Test
{
protected:
  /// Advances by one period with traffic at this share of the capacity.
  void Period(double aReceived, double aSent = 0.0)
  {
    constexpr double kSeconds = 0.2;
    mTraffic.mReceived +=
      static_cast<std::uint64_t>(aReceived * kCapacity * kSeconds);
    mTraffic.mSent += static_cast<std::uint64_t>(aSent * kCapacity * kSeconds);
    mNow += kPeriod;
    mGuard.Update(mTraffic, mNow);
  }

  link_traffic mTraffic;
  time_point mNow{ std::chrono::seconds(100) };
  link_guard mGuard{ kCapacity };
};

} // namespace

// Guards against collapse on an overloaded link: a host with 10 Mbit/s that got
// 15 Mbit/s of requests served 12 of 150 requests a second.
TEST_F(link_guard_test, PausesOnAFullLinkAndOpensAgain)
{
  for (unsigned i = 0; i < 20; ++i) {
    Period(0.5, 0.6);
    EXPECT_FALSE(mGuard.Busy());
  }
  for (unsigned i = 0; i < 5; ++i) {
    Period(0.95);
  }
  EXPECT_TRUE(mGuard.Busy());
  Period(0.1);
  Period(0.1);
  EXPECT_FALSE(mGuard.Busy());
}

// Guards against overload missed because only one direction of the link is
// full.
TEST_F(link_guard_test, CountsTheBusierDirection)
{
  for (unsigned i = 0; i < 5; ++i) {
    Period(0.2, 0.95);
  }
  EXPECT_TRUE(mGuard.Busy());
}

// Guards against a long overload state: clients treat a host that accepts no
// connections for seconds as broken.
TEST_F(link_guard_test, NeverPausesForLong)
{
  unsigned paused = 0;
  unsigned longest = 0;
  unsigned open = 0;
  for (unsigned i = 0; i < 100; ++i) {
    Period(1.0);
    paused = mGuard.Busy() ? paused + 1 : 0;
    open += mGuard.Busy() ? 0U : 1U;
    longest = std::max(longest, paused);
  }
  EXPECT_LE(longest * kPeriod, milliseconds(1200));
  EXPECT_GE(open, 20U);
}

// Guards against refused connections on a host whose link capacity is not set.
TEST_F(link_guard_test, UnknownCapacityNeverPauses)
{
  link_guard guard(0.0);
  guard.Update({ 0, 0 }, mNow);
  guard.Update({ 100000000, 0 }, mNow + kPeriod);
  EXPECT_FALSE(guard.Busy());
}
