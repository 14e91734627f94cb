#include <memory>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "ServiceNetwork.h"

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A caller that repeats its call at any node until it has a definite answer.
struct caller
{
  std::string mKey;
  bool mWaiting = false;
  std::size_t mNode = 0;
  holder_id mRun;
  call_number mCall = 0;
  time_point mGivesUp;
  int mAttempts = 0;
  /// Every earlier attempt was answered `not_run`.
  bool mFirst = true;
  std::optional<call_outcome> mLast;
};

class random_failures : public testing::TestWithParam<std::uint64_t>
{
protected:
  static constexpr int kCallers = 12;
  static constexpr int kMaxAttempts = 6;

  random_failures()
    : mNetwork(GetParam(), 2 + GetParam() % 3)
  {
    for (int i = 0; i < kCallers; ++i) {
      mCallers.emplace_back().mKey = fmt::format("key-{}", i);
    }
    mNetwork.mOnAnswer = [this](std::size_t aNode, const call_answer& aAnswer) {
      OnAnswer(aNode, aAnswer);
    };
  }

  void Attempt(caller& aCaller)
  {
    aCaller.mNode = mNetwork.Pick(mNetwork.mNodes.size());
    auto& node = mNetwork.mNodes[aCaller.mNode];
    const milliseconds limit(200 + mNetwork.Pick(6000));
    service_call call;
    call.mAccount = { "clinic" };
    call.mKey = aCaller.mKey;
    call.mService = { "orders" };
    call.mDeadline = mNetwork.mNow + limit;
    call.mWallDeadline = mNetwork.Wall() + limit;
    call.mMayBeRetry = !aCaller.mFirst;
    aCaller.mCall = node.mSystem->Begin(call, mNetwork.mNow);
    aCaller.mRun = node.mSelf;
    aCaller.mWaiting = true;
    aCaller.mGivesUp = mNetwork.mNow + limit + seconds(1);
    if (mNetwork.Chance(0.2)) {
      aCaller.mGivesUp = mNetwork.mNow + milliseconds(mNetwork.Pick(500));
    }
    ++aCaller.mAttempts;
    mNetwork.mKeys[{ node.mSelf, aCaller.mCall }] = aCaller.mKey;
  }

  void OnAnswer(std::size_t aNode, const call_answer& aAnswer)
  {
    const holder_id run = mNetwork.mNodes[aNode].mSelf;
    for (caller& each : mCallers) {
      if (!each.mWaiting || each.mRun != run || each.mCall != aAnswer.mCall) {
        continue;
      }
      each.mWaiting = false;
      each.mLast = aAnswer.mOutcome;
      if (aAnswer.mOutcome == call_outcome::NotRun) {
        EXPECT_EQ(mNetwork.mRuns[each.mKey], 0) << each.mKey;
      } else {
        each.mFirst = false;
      }
      if (aAnswer.mResponse) {
        EXPECT_EQ(aAnswer.mResponse->mBody, each.mKey);
        EXPECT_EQ(mNetwork.mRuns[each.mKey], 1) << each.mKey;
      }
    }
  }

  void StepCaller(caller& aCaller)
  {
    const bool gone = aCaller.mWaiting &&
                      (mNetwork.mNow >= aCaller.mGivesUp ||
                       mNetwork.mNodes[aCaller.mNode].mSelf != aCaller.mRun);
    if (gone) {
      aCaller.mWaiting = false;
      aCaller.mFirst = false;
      aCaller.mLast.reset();
    }
    const bool ended = aCaller.mLast == call_outcome::Ok ||
                       aCaller.mLast == call_outcome::Failed;
    if (!aCaller.mWaiting && !ended && aCaller.mAttempts < kMaxAttempts &&
        mNetwork.Pick(10) == 0) {
      Attempt(aCaller);
    }
  }

  void Disturb()
  {
    if (mNetwork.Chance(0.01)) {
      mNetwork.Restart(mNetwork.Pick(mNetwork.mNodes.size()));
    }
    if (mNetwork.Chance(0.01)) {
      mNetwork.mNodes[mNetwork.Pick(mNetwork.mNodes.size())].mPausedUntil =
        mNetwork.mNow + milliseconds(mNetwork.Pick(30000));
    }
    if (mNetwork.Chance(0.01)) {
      mNetwork.mTableDown = !mNetwork.mTableDown;
    }
  }

  service_network mNetwork;
  std::vector<caller> mCallers;
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Seeds,
                         random_failures,
                         testing::Range<std::uint64_t>(1, 201));

// Guards against a call that runs twice, and against `not_run` for a call that
// ran, under crashes, pauses, lost replies, late commits and table outages.
TEST_P(random_failures, RunAtMostOnceAndAnswerTruly)
{
  for (int i = 0; i < 2000; ++i) {
    Disturb();
    mNetwork.Step();
    for (caller& each : mCallers) {
      StepCaller(each);
    }
  }
  mNetwork.mFaults = false;
  mNetwork.mTableDown = false;
  for (int i = 0; i < 1500; ++i) {
    mNetwork.Step();
  }
  for (const caller& each : mCallers) {
    EXPECT_LE(mNetwork.mRuns[each.mKey], 1) << each.mKey;
    if (each.mLast == call_outcome::NotRun) {
      EXPECT_EQ(mNetwork.mRuns[each.mKey], 0) << each.mKey;
    }
    if (each.mLast == call_outcome::Ok) {
      EXPECT_EQ(mNetwork.mRuns[each.mKey], 1) << each.mKey;
    }
  }
  for (const auto& node : mNetwork.mNodes) {
    EXPECT_EQ(node.mSystem->Open(), 0);
  }
}
