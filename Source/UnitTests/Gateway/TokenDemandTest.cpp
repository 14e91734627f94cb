#include "AllowanceFixture.h"

using std::chrono::milliseconds;

// Guards against tokens that stay with nodes whose clients have gone: in a
// large fleet they are back in the store within seconds.
TEST_F(token_allowance_test, IdleNodeOfALargeFleetReturnsItsTokens)
{
  allowance_node node = MakeNode("a");
  node.mTokenAllowance->SetNodes(71);
  for (unsigned i = 0; i < 20; ++i) {
    if (node.mTokenAllowance->Reserve(kAccount, 500, mNow) ==
        reserve_verdict::Granted) {
      node.mTokenAllowance->FinishReservation(kAccount, 500, 300, mNow);
    }
    Run(node, milliseconds(100));
  }
  EXPECT_GT(node.mTokenAllowance->FreeTokens(kAccount), 0);
  Run(node, milliseconds(10000));
  EXPECT_EQ(node.mTokenAllowance->FreeTokens(kAccount), 0);
}

// Guards against an account that is refused for good by a node that once saw
// all of its tokens granted: other nodes return tokens.
TEST_F(token_allowance_test, FindsTokensThatOthersReturned)
{
  mStore.Put(kGrantKey, WriteGrantRow({ kTotal, "other", 1 }));
  allowance_node node = MakeNode("a");
  node.mTokenAllowance->Reserve(kAccount, 1000, mNow);
  Run(node, milliseconds(3000));
  node.mTokenAllowance->Reserve(kAccount, 1000, mNow);
  Run(node, milliseconds(100));
  EXPECT_EQ(node.mTokenAllowance->Reserve(kAccount, 1000, mNow),
            reserve_verdict::Exhausted);
  mStore.Put(kGrantKey, WriteGrantRow({ kTotal - 5000, "other", 2 }));
  Run(node, milliseconds(500));
  // The first try raises the limit of the claim.
  node.mTokenAllowance->Reserve(kAccount, 1000, mNow);
  Run(node, milliseconds(50));
  EXPECT_EQ(node.mTokenAllowance->Reserve(kAccount, 1000, mNow),
            reserve_verdict::Granted);
}

// Guards against a refusal for good by a node that has just started and does
// not know yet which nodes hold tokens.
TEST_F(token_allowance_test, StartedNodeDoesNotConcludeExhaustion)
{
  mStore.Put(kGrantKey, WriteGrantRow({ kTotal, "other", 1 }));
  allowance_node node = MakeNode("a");
  node.mTokenAllowance->Reserve(kAccount, 1000, mNow);
  Run(node, milliseconds(300));
  EXPECT_EQ(node.mTokenAllowance->Reserve(kAccount, 1000, mNow),
            reserve_verdict::Awaiting);
}

// Guards against the last tokens of an account that reach the node with the
// demand in many small parts, or not at all while it has no contact to the
// store.
TEST_F(token_allowance_test, LastTenthMovesInOneMessage)
{
  constexpr std::int64_t kLast = kTotal / 10;
  mStore.Put(kGrantKey, WriteGrantRow({ kTotal - kLast, "other", 1 }));
  allowance_node holder = MakeNode("a");
  holder.mTokenAllowance->SetNodes(71);
  holder.mTokenAllowance->Reserve(kAccount, kLast, mNow);
  Run(holder, milliseconds(100));
  ASSERT_EQ(holder.mTokenAllowance->FreeTokens(kAccount), kLast);
  allowance_node user = MakeNode("b");
  user.mTokenAllowance->SetNodes(71);
  user.mTokenAllowance->OnGrantRead(
    kAccount, grant_row{ kTotal, "x", 2 }, 99, mNow);
  user.mTokenAllowance->SetHolders(
    { { AccountKey(kAccount), { { "a", kLast } } } });
  Advance(std::chrono::seconds(9));
  holder.WriteClaim();
  mStore.DeliverReplies();
  EXPECT_EQ(user.mTokenAllowance->Reserve(kAccount, 700, mNow),
            reserve_verdict::Awaiting);
  const auto requests =
    user.mTokenAllowance->TakeTokenRequests(user.mRun, mNow);
  ASSERT_EQ(requests.size(), 1U);
  auto transfer =
    holder.mTokenAllowance->AnswerRequest(requests[0].mRequest, mNow);
  if (!transfer) {
    // The limit of its claim is raised before the request is repeated.
    holder.WriteClaim();
    mStore.DeliverReplies();
    transfer =
      holder.mTokenAllowance->AnswerRequest(requests[0].mRequest, mNow);
  }
  ASSERT_TRUE(transfer);
  EXPECT_EQ(transfer->mTokens, kLast);
}

// Guards against tokens that two nodes without enough of them pass to and fro.
TEST_F(token_allowance_test, OneOfTwoNodesInNeedCollects)
{
  allowance_node first = MakeNode("a");
  allowance_node second = MakeNode("b");
  for (allowance_node* node : { &first, &second }) {
    node->mTokenAllowance->OnGrantRead(
      kAccount, grant_row{ kTotal, "x", 2 }, 99, mNow);
    node->mTokenAllowance->OnTakenOver({ { "clinic", 600 } }, mNow);
    node->mTokenAllowance->SetHolders(
      { { AccountKey(kAccount), { { "other", 600 } } } });
    node->mTokenAllowance->Reserve(kAccount, 1000, mNow);
  }
  const auto ofFirst =
    first.mTokenAllowance->TakeTokenRequests(first.mRun, mNow);
  const auto ofSecond =
    second.mTokenAllowance->TakeTokenRequests(second.mRun, mNow);
  ASSERT_EQ(ofFirst.size() + ofSecond.size(), 2U);
  EXPECT_FALSE(
    first.mTokenAllowance->AnswerRequest(ofSecond[0].mRequest, mNow));
  EXPECT_TRUE(second.mTokenAllowance->AnswerRequest(ofFirst[0].mRequest, mNow));
}

// Guards against a retry delay for tokens that never come, and against none for
// tokens that do.
TEST_F(token_allowance_test, TellsWhenTokensAreExpected)
{
  mStore.Put(kGrantKey, WriteGrantRow({ kTotal - 6000, "other", 1 }));
  allowance_node node = MakeNode("a");
  node.mTokenAllowance->SetNodes(71);
  const auto expected = [&](std::int64_t aTokens) {
    return node.mTokenAllowance->TokensExpectedAt(kAccount, aTokens, mNow);
  };
  node.mTokenAllowance->Reserve(kAccount, 5000, mNow);
  Run(node, milliseconds(100));
  ASSERT_EQ(node.mTokenAllowance->Reserve(kAccount, 5000, mNow),
            reserve_verdict::Granted);
  // The other nodes, or the tokens of lost ones, are not known yet.
  EXPECT_TRUE(expected(9000));
  EXPECT_FALSE(expected(kTotal + 1));
  Run(node, milliseconds(10000));
  EXPECT_FALSE(expected(9000));
  // The request in progress may leave some of its tokens.
  EXPECT_TRUE(expected(3000));
  EXPECT_TRUE(expected(500));
  node.mTokenAllowance->FinishReservation(kAccount, 5000, 5000, mNow);
  EXPECT_FALSE(expected(3000));
}

// Guards against a node that holds too little for an outage right after its
// demand has grown: requests that are still in progress count.
TEST_F(token_allowance_test, HoldsTokensOfAnOutageWithinASecondOfGrowth)
{
  allowance_node node = MakeNode("a");
  node.mTokenAllowance->SetTotal(kAccount, 100 * kTotal);
  node.mTokenAllowance->SetNodes(71);
  const auto run = [&](unsigned aRequests, milliseconds aInterval) {
    for (unsigned i = 0; i < aRequests; ++i) {
      node.mTokenAllowance->Reserve(kAccount, 500, mNow);
      Run(node, aInterval);
    }
  };
  run(6, milliseconds(400));
  EXPECT_GE(node.mTokenAllowance->FreeTokens(kAccount), 500 * 9 * 5 / 2);
  run(20, milliseconds(50));
  EXPECT_GE(node.mTokenAllowance->FreeTokens(kAccount), 500 * 9 * 20);
}

// Guards against a node without contact to the store whose request waits though
// nobody can cover it, and against a refusal at once while the store replies or
// another node reported tokens.
TEST_F(token_allowance_test, KnowsThatNoTokensCanCome)
{
  allowance_node node = MakeNode("a");
  node.mTokenAllowance->SetNodes(71);
  const auto mayCover = [&](std::int64_t aTokens) {
    return node.mTokenAllowance->MayCoverWithin(
      kAccount, aTokens, milliseconds(150), mNow);
  };
  EXPECT_TRUE(mayCover(500));
  node.mTokenAllowance->Reserve(kAccount, 500, mNow);
  Run(node, milliseconds(100));
  node.mTokenAllowance->Reserve(kAccount, 500, mNow);
  Run(node, milliseconds(400));
  EXPECT_TRUE(mayCover(kTotal / 2));
  mStore.mFault = fake_row_store::fault::Refuse;
  Run(node, milliseconds(500));
  EXPECT_FALSE(mayCover(kTotal / 2));
  EXPECT_TRUE(mayCover(500));
  node.mTokenAllowance->SetHolders(
    { { AccountKey(kAccount), { { "b", kTotal / 2 } } } });
  EXPECT_TRUE(mayCover(kTotal / 2));
  node.mTokenAllowance->SetHolders({});
  mStore.mFault = fake_row_store::fault::None;
  Run(node, milliseconds(500));
  EXPECT_TRUE(mayCover(kTotal / 2));
}

// Guards against a node with contact to the store that turns away a node
// without it, though the account has tokens that are not granted.
TEST_F(token_allowance_test, DrawsForAnotherNode)
{
  allowance_node node = MakeNode("a");
  node.mTokenAllowance->SetNodes(71);
  node.mTokenAllowance->Reserve(kAccount, 500, mNow);
  Run(node, milliseconds(400));
  const std::int64_t needed = node.mTokenAllowance->FreeTokens(kAccount) + 500;
  const token_request request{ "b", 1, 99, kAccount, needed, needed };
  EXPECT_FALSE(node.mTokenAllowance->AnswerRequest(request, mNow));
  std::optional<token_transfer> transfer;
  // The request is repeated until it expires.
  for (unsigned i = 0; i < 4 && !transfer; ++i) {
    Run(node, milliseconds(25));
    transfer = node.mTokenAllowance->AnswerRequest(request, mNow);
  }
  ASSERT_TRUE(transfer);
  EXPECT_EQ(transfer->mTokens, needed);
}

// Guards against a change of the rules for fleets of up to 16 nodes: no tokens
// beyond their target are drawn, and requests wait for the store.
TEST_F(token_allowance_test, SmallFleetKeepsItsRules)
{
  allowance_node node = MakeNode("a");
  node.mTokenAllowance->SetNodes(16);
  mStore.mFault = fake_row_store::fault::Refuse;
  node.mTokenAllowance->Reserve(kAccount, 500, mNow);
  Run(node, milliseconds(500));
  EXPECT_TRUE(node.mTokenAllowance->MayCoverWithin(
    kAccount, kTotal / 2, milliseconds(150), mNow));
  const token_request request{ "b", 1, 99, kAccount, 5000, 5000 };
  EXPECT_FALSE(node.mTokenAllowance->AnswerRequest(request, mNow));
  mStore.mFault = fake_row_store::fault::None;
  Run(node, milliseconds(500));
  // The initial share, and the three requests of mean size.
  EXPECT_LT(node.mTokenAllowance->FreeTokens(kAccount),
            kTotal * 15 / 100 / 16 + 3 * 500);
}
