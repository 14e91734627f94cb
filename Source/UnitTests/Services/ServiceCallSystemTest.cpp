#include <memory>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "ServiceNetwork.h"
#include "Services/CallSweepSystem.h"

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A caller that repeats its call at random nodes until it has a definite
/// answer.
struct caller
{
  std::string mKey;
  bool mWaiting = false;
  std::size_t mNode = 0;
  incarnation_id mNodeIncarnation;
  call_number mCall = 0;
  time_point mGiveUpAt;
  int mAttempts = 0;
  /// Every earlier attempt was answered `not_run`.
  bool mOnlyNotRunAnswers = true;
  std::optional<call_outcome> mLastOutcome;
};

class random_failures
{
public:
  static constexpr int kCallers = 12;
  static constexpr int kMaxAttempts = 6;

  explicit random_failures(std::uint64_t aSeed)
    : mNetwork(aSeed, 2 + aSeed % 3)
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
    call.mMayBeRetry = !aCaller.mOnlyNotRunAnswers;
    aCaller.mCall = node.mSystem->Begin(call, mNetwork.mNow);
    aCaller.mNodeIncarnation = node.mSelf;
    aCaller.mWaiting = true;
    aCaller.mGiveUpAt = mNetwork.mNow + limit + seconds(1);
    if (mNetwork.Chance(0.2)) {
      aCaller.mGiveUpAt = mNetwork.mNow + milliseconds(mNetwork.Pick(500));
    }
    ++aCaller.mAttempts;
    mNetwork.mKeys[{ node.mSelf, aCaller.mCall }] = aCaller.mKey;
  }

  void OnAnswer(std::size_t aNode, const call_answer& aAnswer)
  {
    const incarnation_id incarnation = mNetwork.mNodes[aNode].mSelf;
    for (caller& each : mCallers) {
      if (!each.mWaiting || each.mNodeIncarnation != incarnation ||
          each.mCall != aAnswer.mCall) {
        continue;
      }
      each.mWaiting = false;
      each.mLastOutcome = aAnswer.mOutcome;
      if (aAnswer.mOutcome == call_outcome::NotRun) {
        EXPECT_EQ(mNetwork.mRunCounts[each.mKey], 0) << each.mKey;
      } else {
        each.mOnlyNotRunAnswers = false;
      }
      if (aAnswer.mResponse) {
        EXPECT_EQ(aAnswer.mResponse->mBody, each.mKey);
        EXPECT_EQ(mNetwork.mRunCounts[each.mKey], 1) << each.mKey;
      }
    }
  }

  void StepCaller(caller& aCaller)
  {
    const bool gone =
      aCaller.mWaiting &&
      (mNetwork.mNow >= aCaller.mGiveUpAt ||
       mNetwork.mNodes[aCaller.mNode].mSelf != aCaller.mNodeIncarnation);
    if (gone) {
      aCaller.mWaiting = false;
      aCaller.mOnlyNotRunAnswers = false;
      aCaller.mLastOutcome.reset();
    }
    const bool ended = aCaller.mLastOutcome == call_outcome::Ok ||
                       aCaller.mLastOutcome == call_outcome::Failed;
    if (!aCaller.mWaiting && !ended && aCaller.mAttempts < kMaxAttempts &&
        mNetwork.Pick(10) == 0) {
      Attempt(aCaller);
    }
  }

  void InjectFaults()
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

  void Run()
  {
    for (int i = 0; i < 2000; ++i) {
      InjectFaults();
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
      EXPECT_LE(mNetwork.mRunCounts[each.mKey], 1) << each.mKey;
      if (each.mLastOutcome == call_outcome::NotRun) {
        EXPECT_EQ(mNetwork.mRunCounts[each.mKey], 0) << each.mKey;
      }
      if (each.mLastOutcome == call_outcome::Ok) {
        EXPECT_EQ(mNetwork.mRunCounts[each.mKey], 1) << each.mKey;
      }
    }
    for (const auto& node : mNetwork.mNodes) {
      EXPECT_EQ(node.mSystem->Open(), 0);
    }
  }

  service_network mNetwork;
  std::vector<caller> mCallers;
};

/// Two nodes without random faults.
class two_nodes
{
public:
  two_nodes() { mNetwork.mFaults = false; }

  call_number Begin(std::size_t aNode,
                    const std::string& aKey,
                    bool aMayBeRetry,
                    content_id aContent)
  {
    auto& node = mNetwork.mNodes[aNode];
    service_call call;
    call.mAccount = { "clinic" };
    call.mKey = aKey;
    call.mContent = aContent;
    call.mDeadline = mNetwork.mNow + seconds(5);
    call.mWallDeadline = mNetwork.Wall() + seconds(5);
    call.mMayBeRetry = aMayBeRetry;
    const call_number number = node.mSystem->Begin(call, mNetwork.mNow);
    mNetwork.mKeys[{ node.mSelf, number }] = aKey;
    return number;
  }

  call_answer Call(std::size_t aNode,
                   const std::string& aKey,
                   bool aMayBeRetry,
                   content_id aContent = {})
  {
    std::optional<call_answer> answer;
    const call_number number = Begin(aNode, aKey, aMayBeRetry, aContent);
    mNetwork.mOnAnswer = [&](std::size_t, const call_answer& aAnswer) {
      if (aAnswer.mCall == number) {
        answer = aAnswer;
      }
    };
    for (int i = 0; i < 400 && !answer; ++i) {
      mNetwork.Step();
    }
    EXPECT_TRUE(answer.has_value());
    // Lets the node record the outcome.
    for (int i = 0; i < 10; ++i) {
      mNetwork.Step();
    }
    return answer.value_or(call_answer{});
  }

  service_network mNetwork{ 1, 2 };
};

} // namespace

// Guards against a call that runs twice, and against `not_run` for a call that
// ran. Nodes crash and pause, replies are lost, commits are late, and the table
// is at times unavailable.
TEST(service_call_system, RunsAtMostOnceAndReportsTheRunState)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE(seed);
    random_failures(seed).Run();
  }
}

// Guards against a retry at another node that runs the call again instead of
// returning the stored answer.
TEST(service_call_system, RetryAtAnotherNodeGetsTheStoredAnswer)
{
  two_nodes nodes;
  EXPECT_EQ(nodes.Call(0, "k", false).mOutcome, call_outcome::Ok);
  const call_answer again = nodes.Call(1, "k", true);
  EXPECT_EQ(again.mOutcome, call_outcome::Ok);
  ASSERT_TRUE(again.mResponse);
  EXPECT_EQ(again.mResponse->mBody, "k");
  EXPECT_EQ(nodes.mNetwork.mRunCounts["k"], 1);
}

// Guards against returning a stored answer after its expiry, and against
// running the call again then.
TEST(service_call_system, ExpiredAnswerStillGuardsTheKey)
{
  two_nodes nodes;
  nodes.Call(0, "k", false);
  nodes.mNetwork.mNow += hours(25);
  const call_answer again = nodes.Call(1, "k", true);
  EXPECT_EQ(again.mOutcome, call_outcome::Ok);
  EXPECT_EQ(again.mReason, call_reason::AnswerNotKept);
  EXPECT_EQ(nodes.mNetwork.mRunCounts["k"], 1);
}

// Guards against returning the answer of a different request when an
// idempotency key is used twice.
TEST(service_call_system, KeyWithOtherContentIsRefused)
{
  two_nodes nodes;
  nodes.Call(0, "k", false);
  const call_answer other = nodes.Call(1, "k", false, { 1, 2 });
  EXPECT_EQ(other.mOutcome, call_outcome::NotRun);
  EXPECT_EQ(other.mReason, call_reason::KeyReused);
}

// Guards against sending a call without a committed intent while the table is
// unavailable, and against reporting `not_run` to a retry.
TEST(service_call_system, TableOutageSendsNothing)
{
  two_nodes nodes;
  nodes.mNetwork.mTableDown = true;
  EXPECT_EQ(nodes.Call(0, "k", false).mOutcome, call_outcome::NotRun);
  EXPECT_EQ(nodes.Call(0, "l", true).mOutcome, call_outcome::Unknown);
  EXPECT_TRUE(nodes.mNetwork.mRunCounts.empty());
}

// Guards against a retry that waits forever for an intent whose node restarted.
TEST(service_call_system, OpenIntentOfARestartedNodeIsUnknown)
{
  two_nodes nodes;
  nodes.mNetwork.mOnAnswer = [](std::size_t, const call_answer&) {};
  nodes.Begin(0, "k", false, {});
  while (nodes.mNetwork.mTable.mRows.empty()) {
    nodes.mNetwork.Step();
  }
  nodes.mNetwork.Restart(0);
  const call_answer retry = nodes.Call(1, "k", true);
  EXPECT_EQ(retry.mOutcome, call_outcome::Unknown);
  EXPECT_EQ(retry.mReason, call_reason::OtherAttempt);
}

// Guards against stored rows that are never removed: expired answers are
// removed first and their rows later, while rows in use stay.
TEST(call_sweep_system, DropsExpiredAnswersThenRows)
{
  two_nodes nodes;
  nodes.Call(0, "k", false);
  nodes.mNetwork.mNow += hours(25);
  nodes.Call(0, "l", false);
  call_sweep_system sweep({ { "a" }, 1 }, {});
  memory_table& table = nodes.mNetwork.mTable;
  const auto round = [&] {
    nodes.mNetwork.mNow += seconds(20);
    sweep.Tick(nodes.mNetwork.mNow, nodes.mNetwork.Wall());
    std::vector<table_row> rows;
    for (const auto& [key, row] : table.mRows) {
      rows.push_back(row);
    }
    sweep.OnScan(rows);
    const auto work = sweep.Tick(nodes.mNetwork.mNow, nodes.mNetwork.Wall());
    if (work.mCommit) {
      sweep.OnCommit(table.Commit(*work.mCommit));
    }
  };
  const auto hasAnswer = [&](const char* aKey) {
    return ParseCallRow(table.Read(aKey).mValue).value().mResponse.has_value();
  };
  round();
  EXPECT_FALSE(hasAnswer("call/clinic/k"));
  EXPECT_TRUE(hasAnswer("call/clinic/l"));
  nodes.mNetwork.mNow += hours(24 * 29);
  round();
  EXPECT_EQ(table.mRows.size(), 1);
  EXPECT_EQ(sweep.Counters().mDeleted, 1);
  EXPECT_EQ(sweep.Counters().mFailures, 0);
}

// Guards against rows that cannot be parsed back, and against two accounts
// sharing a row.
TEST(call_row, TextRoundTrips)
{
  const call_row row{ call_state::Failed,
                      { { "a" }, 3 },
                      4,
                      { "orders" },
                      { 5, 6 },
                      wall_time(seconds(7)),
                      service_response{ 409, "x/y", std::string("\0\xff", 2) },
                      wall_time(seconds(8)) };
  EXPECT_EQ(ParseCallRow(FormatCallRow(row)).value(), row);
  EXPECT_FALSE(ParseCallRow("{}").has_value());
  EXPECT_FALSE(ParseCallRow("{").has_value());
  EXPECT_NE(CallRowKey({ "a" }, "b/c"), CallRowKey({ "a/b" }, "c"));
}
