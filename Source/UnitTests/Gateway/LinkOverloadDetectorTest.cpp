#include <gtest/gtest.h>

#include "Gateway/LinkOverloadDetector.h"

namespace {

using std::chrono::milliseconds;

constexpr double kCapacity = 1250000.0;
constexpr milliseconds kPeriod(200);

class link_overload_test : public testing::Test
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
    mDetector.Update(mTraffic, mNow);
  }

  link_traffic mTraffic;
  time_point mNow{ std::chrono::seconds(100) };
  link_overload_detector mDetector{ kCapacity };
};

} // namespace

// Guards against collapse on an overloaded link: a host with 10 Mbit/s that got
// 15 Mbit/s of requests served 12 of 150 requests a second.
TEST_F(link_overload_test, DetectsAFullLinkAndItsEnd)
{
  for (unsigned i = 0; i < 20; ++i) {
    Period(0.5, 0.6);
    EXPECT_FALSE(mDetector.IsOverloaded());
  }
  for (unsigned i = 0; i < 5; ++i) {
    Period(0.95);
  }
  EXPECT_TRUE(mDetector.IsOverloaded());
  Period(0.1);
  Period(0.1);
  EXPECT_FALSE(mDetector.IsOverloaded());
}

// Guards against overload missed because only one direction of the link is
// full.
TEST_F(link_overload_test, CountsTheBusierDirection)
{
  for (unsigned i = 0; i < 5; ++i) {
    Period(0.2, 0.95);
  }
  EXPECT_TRUE(mDetector.IsOverloaded());
}

// Guards against a long overload state: clients treat a host that accepts no
// connections for seconds as broken.
TEST_F(link_overload_test, EndsTheOverloadStateInTime)
{
  unsigned paused = 0;
  unsigned longest = 0;
  unsigned open = 0;
  for (unsigned i = 0; i < 100; ++i) {
    Period(1.0);
    paused = mDetector.IsOverloaded() ? paused + 1 : 0;
    open += mDetector.IsOverloaded() ? 0U : 1U;
    longest = std::max(longest, paused);
  }
  EXPECT_LE(longest * kPeriod, milliseconds(1200));
  EXPECT_GE(open, 20U);
}

// Guards against refused connections on a host whose link capacity is not set.
TEST_F(link_overload_test, UnknownCapacityIsNeverOverloaded)
{
  link_overload_detector detector(0.0);
  detector.Update({ 0, 0 }, mNow);
  detector.Update({ 100000000, 0 }, mNow + kPeriod);
  EXPECT_FALSE(detector.IsOverloaded());
}
