#include <gtest/gtest.h>

#include "Gateway/SegmentCrashHistory.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kNow{ seconds(1000) };
constexpr segment_id kSystem{ 1, 1 };
constexpr segment_id kCrashing{ 1, 2 };
constexpr segment_id kDocument{ 1, 3 };
constexpr segment_id kOther{ 1, 4 };

server_run ServerRun(std::uint64_t aNumber)
{
  return { upstream_id{ "i-" + std::to_string(aNumber) }, 1 };
}

class segment_crash_history_test : public testing::Test
{
protected:
  segment_verdict Judge(const std::vector<segment_id>& aSegments) const
  {
    return mHistory.Judge(aSegments, mTime).mVerdict;
  }

  /// A further server ends while it runs a request with the segments.
  void EndServer(const std::vector<segment_id>& aSegments)
  {
    ++mEnded;
    for (const segment_id& segment : aSegments) {
      mHistory.Add({ segment, ServerRun(mEnded), mTime }, mTime);
    }
    mTime += seconds(1);
  }

  server_liveness mLiveness;
  segment_crash_history mHistory{ mLiveness };
  time_point mTime = kNow;
  std::uint64_t mEnded = 0;
};

} // namespace

// Guards against a crashing segment that is sent on, and against a fifth server
// that ends because two requests are sent before the fourth end is known.
TEST_F(segment_crash_history_test, RefusesASegmentAfterFourCrashes)
{
  EndServer({ kCrashing });
  EndServer({ kCrashing });
  EXPECT_EQ(Judge({ kCrashing }), segment_verdict::Send);
  EndServer({ kCrashing });
  EXPECT_EQ(Judge({ kCrashing }), segment_verdict::SendAlone);
  EndServer({ kCrashing });
  EXPECT_EQ(Judge({ kOther, kCrashing }), segment_verdict::Refuse);
  EXPECT_EQ(Judge({ kOther }), segment_verdict::Send);
}

// Guards against one server that counts several times, for each node that saw
// its end.
TEST_F(segment_crash_history_test, CountsEachServerRunOnce)
{
  EXPECT_TRUE(mHistory.Add({ kCrashing, ServerRun(1), mTime }, mTime));
  for (int i = 0; i < 5; ++i) {
    mTime += seconds(1);
    EXPECT_FALSE(mHistory.Add({ kCrashing, ServerRun(1), mTime }, mTime));
  }
  EXPECT_EQ(mHistory.CrashCount(kCrashing, mTime), 1U);
}

// Guards against popular segments that are refused because a rack or a link
// took several servers at once.
TEST_F(segment_crash_history_test, CountsServersThatEndTogetherOnce)
{
  for (std::uint64_t i = 0; i < 9; ++i) {
    mHistory.Add({ kSystem, ServerRun(i), mTime + milliseconds(i * 2) }, mTime);
  }
  EXPECT_EQ(mHistory.CrashCount(kSystem, mTime), 1U);
  EXPECT_EQ(Judge({ kSystem }), segment_verdict::Send);
}

// Guards against servers that one request ends in quick succession, because it
// is repeated after each crash, and that count as one.
TEST_F(segment_crash_history_test, CountsRepeatsOfOneRequestSeparately)
{
  for (std::uint64_t i = 0; i < 4; ++i) {
    mHistory.Add({ kCrashing, ServerRun(i), mTime }, mTime);
    mTime += milliseconds(30);
  }
  EXPECT_EQ(Judge({ kCrashing }), segment_verdict::Refuse);
}

// Guards against popular segments that are refused because their requests broke
// with the servers that another segment crashed.
TEST_F(segment_crash_history_test, ResponsesRefuteCrashes)
{
  for (int i = 0; i < 6; ++i) {
    EndServer({ kSystem, kCrashing });
    mHistory.OnServed(kSystem, mTime);
  }
  EXPECT_EQ(Judge({ kSystem }), segment_verdict::Send);
  EXPECT_EQ(Judge({ kSystem, kCrashing }), segment_verdict::Refuse);
  EXPECT_TRUE(mHistory.RefutedAt(kSystem, mTime + seconds(2)));
  EXPECT_FALSE(mHistory.RefutedAt(kSystem, mTime + seconds(3)));
}

// Guards against a segment that was sound and crashes servers from now on, and
// is trusted because of its earlier responses.
TEST_F(segment_crash_history_test, EarlierResponsesDoNotRefuteLaterCrashes)
{
  mHistory.OnServed(kCrashing, mTime);
  mTime += seconds(3);
  for (int i = 0; i < 4; ++i) {
    EndServer({ kCrashing });
  }
  EXPECT_EQ(Judge({ kCrashing }), segment_verdict::Refuse);
}

// Guards against sound requests that are refused for ever because their other
// segments came only with the crashing one so far.
TEST_F(segment_crash_history_test, CrashesOfAMissingSegmentDoNotCount)
{
  for (int i = 0; i < 5; ++i) {
    EndServer({ kSystem, kCrashing, kDocument });
  }
  EXPECT_EQ(Judge({ kSystem, kCrashing, kDocument }), segment_verdict::Refuse);
  EXPECT_EQ(Judge({ kSystem, kOther }), segment_verdict::SendAlone);
  // The crashing one of two segments that came together is found with few
  // further crashes.
  EndServer({ kCrashing });
  EXPECT_EQ(Judge({ kCrashing }), segment_verdict::SendAlone);
  EndServer({ kCrashing });
  EXPECT_EQ(Judge({ kCrashing }), segment_verdict::Refuse);
  EXPECT_EQ(Judge({ kSystem, kOther }), segment_verdict::SendAlone);
}

// Guards against two crashing segments that excuse each other because their
// requests ran on the same servers at times.
TEST_F(segment_crash_history_test, SegmentsWithCrashesOfTheirOwnAreRefused)
{
  for (int i = 0; i < 4; ++i) {
    EndServer({ kSystem, kCrashing });
    EndServer({ kSystem, kDocument });
  }
  mHistory.OnServed(kSystem, mTime);
  EXPECT_EQ(Judge({ kSystem, kCrashing }), segment_verdict::Refuse);
  EXPECT_EQ(Judge({ kSystem, kDocument }), segment_verdict::Refuse);
  EXPECT_EQ(Judge({ kSystem }), segment_verdict::Send);
}

// Guards against broken connections of servers that lived on.
TEST_F(segment_crash_history_test, LiveServersRefuteCrashes)
{
  for (int i = 0; i < 5; ++i) {
    EndServer({ kDocument });
  }
  ASSERT_EQ(Judge({ kDocument }), segment_verdict::Refuse);
  for (std::uint64_t server = 1; server <= 2; ++server) {
    server_entry entry;
    entry.mId = ServerRun(server).mUpstream;
    entry.mIncarnation = 1;
    for (entry.mSequence = 1; entry.mSequence < 8; ++entry.mSequence) {
      mLiveness.OnServerEntry(entry,
                              kNow + milliseconds(1200 * entry.mSequence));
    }
  }
  EXPECT_EQ(mHistory.CrashCount(kDocument, mTime), 3U);
}

// Guards against tables that grow with every segment that clients name.
TEST_F(segment_crash_history_test, KeepsATableOfLimitedSize)
{
  for (std::uint64_t i = 0; i < 50000; ++i) {
    mHistory.Add({ { 5, i }, ServerRun(i), mTime }, mTime);
    mHistory.OnServed({ 6, i }, mTime + milliseconds(i));
  }
  for (int i = 0; i < 4; ++i) {
    EndServer({ kCrashing });
  }
  EXPECT_EQ(Judge({ kCrashing }), segment_verdict::Refuse);
}

// Guards against a crashing segment that is forgotten while it still comes, and
// against one that is refused for ever.
TEST_F(segment_crash_history_test, RefusesForALimitedTime)
{
  for (int i = 0; i < 4; ++i) {
    EndServer({ kCrashing });
  }
  mHistory.Add({ kOther, ServerRun(1), mTime }, mTime);
  mTime += seconds(300);
  EXPECT_EQ(mHistory.Expire(mTime), std::vector<segment_id>{ kOther });
  EXPECT_EQ(Judge({ kCrashing }), segment_verdict::Refuse);
  mTime += seconds(301);
  EXPECT_EQ(Judge({ kCrashing }), segment_verdict::Send);
  EXPECT_EQ(mHistory.Expire(mTime).size(), 1U);
}

// Guards against sound segments that stay refused because their requests broke
// when all servers ended, and against several nodes that try at once.
TEST_F(segment_crash_history_test, OneNodeSendsARefusedSegmentAgainAfterAWhile)
{
  const std::vector<std::string> nodes = { "10.0.0.1:7",
                                           "10.0.0.2:7",
                                           "10.0.0.3:7" };
  std::vector<segment_crash_history> histories(
    nodes.size(), segment_crash_history(mLiveness));
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    std::vector<std::string> peers = nodes;
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
    histories[i].SetNodes(nodes[i], peers);
  }
  const auto crash = [&] {
    ++mEnded;
    for (auto& history : histories) {
      history.Add({ kDocument, ServerRun(mEnded), mTime }, mTime);
    }
  };
  const auto trials = [&] {
    std::size_t count = 0;
    for (auto& history : histories) {
      const auto verdict =
        history.Judge(std::span(&kDocument, 1), mTime).mVerdict;
      EXPECT_GE(verdict, segment_verdict::SendTrial);
      if (verdict == segment_verdict::SendTrial) {
        ++count;
        history.OnTrial(std::span(&kDocument, 1), mTime);
      }
    }
    return count;
  };
  for (int i = 0; i < 4; ++i) {
    crash();
    mTime += seconds(1);
  }
  EXPECT_EQ(trials(), 0U);
  mTime += seconds(20);
  EXPECT_EQ(trials(), 1U);
  EXPECT_EQ(trials(), 0U);
  // The trial ends a server; the next one comes later.
  crash();
  mTime += seconds(30);
  EXPECT_EQ(trials(), 0U);
  mTime += seconds(11);
  EXPECT_EQ(trials(), 1U);
  // A response clears the segment.
  for (auto& history : histories) {
    history.OnServed(kDocument, mTime);
    EXPECT_EQ(history.Judge(std::span(&kDocument, 1), mTime).mVerdict,
              segment_verdict::Send);
  }
}

// Guards against requests that are refused while other requests with their
// sound segments are in progress, which is always.
TEST_F(segment_crash_history_test, OnlySuspectSegmentsMustNotBeInProgress)
{
  for (int i = 0; i < 3; ++i) {
    EndServer({ kSystem, kDocument });
    mHistory.OnServed(kSystem, mTime);
  }
  const segment_id segments[] = { kSystem, kDocument };
  const auto judgement = mHistory.Judge(segments, mTime);
  EXPECT_EQ(judgement.mVerdict, segment_verdict::SendAlone);
  EXPECT_EQ(judgement.mSuspects, std::vector{ kDocument });
}
