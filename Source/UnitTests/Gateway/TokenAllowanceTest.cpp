#include "AllowanceFixture.h"

using std::chrono::milliseconds;

// Guards against tokens spent before the store has granted them.
TEST_F(token_allowance_test, SpendsOnlyWhatWasGranted)
{
  allowance_node node = MakeNode("a");
  EXPECT_EQ(node.mTokenAllowance->Reserve(kAccount, 1000, mNow),
            reserve_verdict::Awaiting);
  Run(node, milliseconds(100));
  EXPECT_EQ(node.mTokenAllowance->Reserve(kAccount, 1000, mNow),
            reserve_verdict::Granted);
}

// Guards against waiting for tokens that no node and no row has.
TEST_F(token_allowance_test, RefusesWhatNobodyHolds)
{
  allowance_node node = MakeNode("a");
  Run(node, milliseconds(100));
  EXPECT_EQ(node.mTokenAllowance->Reserve(kAccount, kTotal + 1, mNow),
            reserve_verdict::Exhausted);
}

// Guards against a lost reply after an applied write: the grant must neither be
// lost nor count twice.
TEST_F(token_allowance_test, RecognizesItsOwnUnansweredGrant)
{
  allowance_node node = MakeNode("a");
  mStore.mFault = fake_row_store::fault::LoseReply;
  node.Step();
  mStore.DeliverReplies();
  mStore.mFault = fake_row_store::fault::None;
  Advance(milliseconds(400));
  Run(node, milliseconds(200));
  const auto row = ParseGrantRow(*mStore.Value(kGrantKey));
  ASSERT_TRUE(row);
  EXPECT_EQ(row->mGranted, node.mTokenAllowance->FreeTokens(kAccount));
}

// Guards against too small draws when all clients of an account use one host of
// a large fleet: each draw took a 73rd of the remaining tokens, and only for
// requests that were served.
TEST_F(token_allowance_test, DrawsForRefusedRequestsOfASoleUser)
{
  constexpr std::int64_t kMissed = 4000;
  allowance_node node = MakeNode("a");
  node.mTokenAllowance->SetNodes(72);
  Run(node, milliseconds(1000));
  for (unsigned i = 0; i < 5; ++i) {
    node.mTokenAllowance->OnUnmetDemand(kAccount, kMissed, mNow);
  }
  Run(node, milliseconds(50));
  EXPECT_GE(node.mTokenAllowance->FreeTokens(kAccount), 5 * kMissed);
}

// Guards against a grant that counts twice because the write of an unanswered
// call is applied seconds later.
TEST_F(token_allowance_test, LateWriteGrantsNothingTwice)
{
  allowance_node node = MakeNode("a");
  mStore.mFault = fake_row_store::fault::Delay;
  node.Step();
  mStore.DeliverReplies();
  mStore.mFault = fake_row_store::fault::None;
  Advance(milliseconds(400));
  node.Step();
  mStore.ApplyDelayedWrites();
  mStore.DeliverReplies();
  Run(node, milliseconds(200));
  const auto row = ParseGrantRow(*mStore.Value(kGrantKey));
  ASSERT_TRUE(row);
  EXPECT_GE(row->mGranted, node.mTokenAllowance->FreeTokens(kAccount));
}

// Guards against tokens that are lost because several replies in a row are:
// only the newest change could be recognized in the row.
TEST_F(token_allowance_test, CountsTokensAfterSeveralLostReplies)
{
  allowance_node node = MakeNode("a");
  Run(node, milliseconds(1000));
  const std::int64_t before = node.mTokenAllowance->FreeTokens(kAccount);
  mStore.mFault = fake_row_store::fault::LoseReply;
  for (int i = 1; i <= 5; ++i) {
    // The need, and with it the next change, grows.
    node.mTokenAllowance->Reserve(kAccount, before + 500 * i, mNow);
    node.Step();
    mStore.DeliverReplies();
    Advance(milliseconds(350));
  }
  mStore.mFault = fake_row_store::fault::None;
  Run(node, milliseconds(1000));
  const auto row = ParseGrantRow(*mStore.Value(kGrantKey));
  EXPECT_GT(row->mGranted, before);
  EXPECT_EQ(row->mGranted, node.mTokenAllowance->FreeTokens(kAccount));
}

// The same if other nodes have changed the row since.
TEST_F(token_allowance_test, CountsTokensOfAnEarlierChange)
{
  allowance_node node = MakeNode("a");
  allowance_node other = MakeNode("b");
  Run(other, milliseconds(1000));
  Run(node, milliseconds(1000));
  const std::int64_t before = node.mTokenAllowance->FreeTokens(kAccount);
  node.mTokenAllowance->Reserve(kAccount, before + 500, mNow);
  mStore.mFault = fake_row_store::fault::LoseReply;
  node.Step();
  mStore.DeliverReplies();
  mStore.mFault = fake_row_store::fault::None;
  const std::int64_t applied =
    ParseGrantRow(*mStore.Value(kGrantKey))->mGranted;
  EXPECT_GT(applied, before + other.mTokenAllowance->FreeTokens(kAccount));
  for (int i = 0; i < 3; ++i) {
    other.mTokenAllowance->Reserve(
      kAccount, other.mTokenAllowance->FreeTokens(kAccount) + 500, mNow);
    Run(other, milliseconds(50));
  }
  EXPECT_GT(ParseGrantRow(*mStore.Value(kGrantKey))->mGranted, applied);
  Advance(milliseconds(300));
  Run(node, milliseconds(1000));
  const auto row = ParseGrantRow(*mStore.Value(kGrantKey));
  EXPECT_EQ(ParseGrantRow(WriteGrantRow(*row)), row);
  EXPECT_EQ(row->mGranted,
            node.mTokenAllowance->FreeTokens(kAccount) +
              other.mTokenAllowance->FreeTokens(kAccount));
}

// Guards against tokens lost by the restart of a process.
TEST_F(token_allowance_test, NextRunTakesOverWhatWasNotUsed)
{
  std::int64_t held = 0;
  {
    allowance_node first = MakeNode("a");
    Run(first, milliseconds(1500));
    held = first.mTokenAllowance->FreeTokens(kAccount);
    ASSERT_GT(held, 0);
  }
  Advance(milliseconds(1000));
  allowance_node second = MakeNode("a");
  second.Step();
  mStore.DeliverReplies();
  Run(second, milliseconds(100));
  EXPECT_GT(second.mTokenAllowance->FreeTokens(kAccount), held / 2);
}

// Guards against large losses when all hosts lose power: with two requests of
// mean size in each claim's limit, small accounts lost most of what their nodes
// held.
TEST_F(token_allowance_test, PowerLossLosesLessThanARequest)
{
  constexpr std::int64_t kSize = 4000;
  std::int64_t held = 0;
  {
    allowance_node first = MakeNode("a");
    for (unsigned i = 0; i < 60; ++i) {
      Run(first, milliseconds(20));
      if (first.mTokenAllowance->Reserve(kAccount, kSize, mNow) ==
          reserve_verdict::Granted) {
        first.mTokenAllowance->FinishReservation(kAccount, kSize, 0, mNow);
      }
    }
    Run(first, milliseconds(700));
    held = first.mTokenAllowance->FreeTokens(kAccount);
    ASSERT_GT(held, 2 * kSize);
  }
  Advance(milliseconds(1000));
  allowance_node second = MakeNode("a");
  second.mTokenAllowance->SetTotal(kAccount, 0);
  second.Step();
  mStore.DeliverReplies();
  Run(second, milliseconds(100));
  EXPECT_GE(second.mTokenAllowance->FreeTokens(kAccount), held - kSize);
}

// Guards against lost tokens when the store replies late to a run that started
// while the claim of the ended run was in force.
TEST_F(token_allowance_test, TakesOverByTheTimeOfTheStart)
{
  std::int64_t held = 0;
  {
    allowance_node first = MakeNode("a");
    Run(first, milliseconds(1500));
    held = first.mTokenAllowance->FreeTokens(kAccount);
  }
  Advance(milliseconds(2500));
  allowance_node second = MakeNode("a");
  second.mTokenAllowance->SetTotal(kAccount, 0);
  Advance(milliseconds(5000));
  Run(second, milliseconds(100));
  EXPECT_GT(second.mTokenAllowance->FreeTokens(kAccount), held / 2);
}

// Guards against overspending by takeover from an expired claim of a version
// whose limits jump: the ended run may have spent everything.
TEST_F(token_allowance_test, TakesNothingOverFromAnExpiredClaim)
{
  mStore.Put(
    { "holdings", "a", "statement" },
    R"({"run":"r","sequence":3,"stated_at_ms":1000,"in_force_ms":3300,)"
    R"("accounts":{"clinic":[9000,4000,9000,0,2000]}})");
  Advance(milliseconds(5000));
  allowance_node second = MakeNode("a");
  Run(second, milliseconds(200));
  const auto granted = ParseGrantRow(*mStore.Value(kGrantKey))->mGranted;
  EXPECT_EQ(second.mTokenAllowance->FreeTokens(kAccount), granted);
}

// The same for limits that keep rising: what the ended run can have spent until
// its end is not taken over.
TEST_F(token_allowance_test, TakesOverAboveTheRisenLimit)
{
  std::int64_t spent = 0;
  {
    allowance_node first = MakeNode("a");
    Run(first, milliseconds(1500));
    mStore.mUnreachable = true;
    for (int i = 0; i < 500; ++i) {
      Run(first, milliseconds(10));
      while (first.mTokenAllowance->Reserve(kAccount, 100, mNow) ==
             reserve_verdict::Granted) {
        spent += 100;
      }
    }
    mStore.mUnreachable = false;
  }
  EXPECT_GT(spent, 1000);
  const auto before = ParseGrantRow(*mStore.Value(kGrantKey))->mGranted;
  allowance_node second = MakeNode("a");
  Run(second, milliseconds(2000));
  const auto after = ParseGrantRow(*mStore.Value(kGrantKey))->mGranted;
  const std::int64_t taken =
    second.mTokenAllowance->FreeTokens(kAccount) - (after - before);
  EXPECT_GT(taken, 0);
  EXPECT_LE(taken, before - spent);
}

// Guards against spending above the limit of a claim, which the next run may
// take over.
TEST_F(token_allowance_test, KeepsToItsLimitWithoutTheStore)
{
  allowance_node node = MakeNode("a");
  Run(node, milliseconds(1500));
  const std::int64_t held = node.mTokenAllowance->FreeTokens(kAccount);
  mStore.mUnreachable = true;
  node.Step();
  EXPECT_EQ(node.mTokenAllowance->Reserve(kAccount, held, mNow),
            reserve_verdict::Awaiting);
  // The limit rises at an even rate, up to all that a node of a small fleet
  // holds.
  std::int64_t given = 0;
  const auto spend = [&](milliseconds aTime) {
    Advance(aTime);
    while (node.mTokenAllowance->Reserve(kAccount, held / 40, mNow) ==
           reserve_verdict::Granted) {
      given += held / 40;
    }
  };
  spend(milliseconds(5000));
  EXPECT_GT(given, held / 5);
  EXPECT_LT(given, held / 3);
  spend(milliseconds(16'000));
  EXPECT_GT(given, held * 9 / 10);
}

// Guards against tokens transferred or received twice when a datagram is
// repeated.
TEST_F(token_allowance_test, RepeatedRequestGetsTheSameTokens)
{
  allowance_node sender = MakeNode("a");
  Run(sender, milliseconds(200));
  Advance(milliseconds(5000));
  const std::int64_t held = sender.mTokenAllowance->FreeTokens(kAccount);
  const token_request request{ "b", 7, 99, kAccount, 500, 600 };
  const auto first = sender.mTokenAllowance->AnswerRequest(request, mNow);
  const auto second = sender.mTokenAllowance->AnswerRequest(request, mNow);
  ASSERT_TRUE(first);
  EXPECT_EQ(first, second);
  EXPECT_EQ(sender.mTokenAllowance->FreeTokens(kAccount),
            held - first->mTokens);
  allowance_node receiver = MakeNode("b");
  receiver.mTokenAllowance->OnTransfer(*first, 99);
  receiver.mTokenAllowance->OnTransfer(*first, 99);
  EXPECT_EQ(receiver.mTokenAllowance->FreeTokens(kAccount), first->mTokens);
}
