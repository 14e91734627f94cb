#include <gtest/gtest.h>

#include "Gateway/UnansweredRequests.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kSent{ seconds(1000) };
const request_fingerprint kRequest{ { 1, 2 }, {} };

class unanswered_requests_test : public testing::Test
{
protected:
  unanswered_requests_test() { WriteEntry(kSent - milliseconds(100)); }

  /// The server writes its next entry, which is read at once.
  void WriteEntry(time_point aNow)
  {
    mEntry.mId = mRun.mUpstream;
    mEntry.mIncarnation = mRun.mIncarnation;
    ++mEntry.mSequence;
    mServers.Apply(mEntry, aNow);
  }

  std::size_t Silent(milliseconds aAfterSending)
  {
    const time_point now = kSent + aAfterSending;
    return mRequests.TakeSilent(mServers, now - mStoreAge, now).size();
  }

  server_run mRun{ upstream_id{ "i-1" }, 5 };
  server_entry mEntry;
  upstream_registry mServers{ placement_settings() };
  unanswered_requests mRequests;
  milliseconds mStoreAge{ 300 };
};

} // namespace

// Guards against a silent server that is noticed only after the time in which
// all nodes must know of a crash: 3 s.
TEST_F(unanswered_requests_test, ReportsASilentServerOnceWithinItsTime)
{
  mRequests.Add(kRequest, mRun, kSent);
  EXPECT_EQ(Silent(milliseconds(1500)), 0U);
  EXPECT_EQ(Silent(milliseconds(2000)), 1U);
  EXPECT_EQ(Silent(milliseconds(3000)), 0U);
}

// Guards against slow servers that are taken for silent ones.
TEST_F(unanswered_requests_test, EntriesAndBytesAreSignsOfLife)
{
  const auto ticket = mRequests.Add(kRequest, mRun, kSent);
  WriteEntry(kSent + milliseconds(1100));
  EXPECT_EQ(Silent(milliseconds(3000)), 0U);
  mServers.OnByte(mRun.mUpstream, kSent + milliseconds(2500));
  EXPECT_EQ(Silent(milliseconds(3400)), 0U);
  mRequests.Remove(ticket);
  EXPECT_EQ(Silent(milliseconds(9000)), 0U);
}

// Guards against silent servers that are missed because the client left or the
// route's timeout passed before.
TEST_F(unanswered_requests_test, ReportsAbandonedRequests)
{
  mRequests.Abandon(mRequests.Add(kRequest, mRun, kSent),
                    kSent + milliseconds(300));
  EXPECT_EQ(Silent(milliseconds(2000)), 1U);
  EXPECT_EQ(Silent(milliseconds(3000)), 0U);
}

// Guards against reports of abandoned requests whose server lives on but has
// nothing else to send.
TEST_F(unanswered_requests_test, ForgetsAbandonedRequestsOfLiveServers)
{
  mRequests.Abandon(mRequests.Add(kRequest, mRun, kSent),
                    kSent + milliseconds(300));
  WriteEntry(kSent + milliseconds(1400));
  EXPECT_EQ(Silent(milliseconds(1500)), 0U);
  EXPECT_EQ(Silent(milliseconds(9000)), 0U);
}

// Guards against servers that all count as silent because their entries cannot
// be read.
TEST_F(unanswered_requests_test, WaitsLongerWithoutTheStore)
{
  mStoreAge = seconds(5);
  mRequests.Add(kRequest, mRun, kSent);
  EXPECT_EQ(Silent(milliseconds(1900)), 0U);
  EXPECT_EQ(Silent(milliseconds(2000)), 1U);
}

// Guards against a server that restarts before its silence is noticed.
TEST_F(unanswered_requests_test, ReportsRequestsOfAnEarlierRun)
{
  mRequests.Abandon(mRequests.Add(kRequest, mRun, kSent),
                    kSent + milliseconds(300));
  server_entry next = mEntry;
  next.mIncarnation = 6;
  next.mSequence = 1;
  mServers.Apply(next, kSent + milliseconds(1500));
  EXPECT_EQ(Silent(milliseconds(1500)), 1U);
}
