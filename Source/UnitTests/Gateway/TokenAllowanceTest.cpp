#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>

#include "FakeRowStore.h"
#include "Gateway/ClaimRecovery.h"
#include "Gateway/TokenAllowance.h"

namespace {

using std::chrono::milliseconds;

const account_id kAccount{ "clinic" };
const row_key kGrantKey{ "prepaid", "clinic", "granted" };

/// One node of a simulated fleet: a `token_allowance` with its store calls. A
/// test calls `Step` to let it write.
class allowance_node
{
public:
  allowance_node(std::string aHost,
                 std::uint64_t aRun,
                 fake_row_store& aStore,
                 time_point& aNow)
    : mHost(std::move(aHost))
    , mRun(aRun)
    , mStore(aStore)
    , mNow(aNow)
    , mTokenAllowance(std::make_shared<token_allowance>(std::to_string(aRun),
                                                        allowance_settings{}))
  {
    mTokenAllowance->SetStart(mNow);
  }

  void Step()
  {
    for (const account_id& account : mTokenAllowance->TakeGrantReads(mNow)) {
      Read(account);
    }
    for (const grant_change& change : mTokenAllowance->TakeGrantChanges(mNow)) {
      Write(change);
    }
    WriteClaim();
  }
  void WriteClaim()
  {
    if (const auto claim = mTokenAllowance->TakeClaim(mNow)) {
      Write(*claim);
    }
  }

  std::string mHost;
  std::uint64_t mRun;
  fake_row_store& mStore;
  time_point& mNow;
  std::shared_ptr<token_allowance> mTokenAllowance;

private:
  void Read(const account_id& aAccount)
  {
    mStore.Read("prepaid",
                aAccount.mName,
                "granted",
                [weak = std::weak_ptr(mTokenAllowance), aAccount, &now = mNow](
                  auto aResult) {
                  const auto allowance = weak.lock();
                  if (!allowance || !aResult.has_value()) {
                    return;
                  }
                  for (const stored_row& row : aResult.value().mRows) {
                    allowance->OnGrantRead(
                      aAccount, *ParseGrantRow(row.mValue), row.mVersion, now);
                  }
                });
  }
  void Write(const grant_change& aChange)
  {
    row_transaction transaction;
    transaction.mConditions.push_back({ kGrantKey, aChange.mExpectedVersion });
    transaction.mWrites.push_back({ kGrantKey, WriteGrantRow(aChange.mRow) });
    mStore.Commit(transaction,
                  [weak = std::weak_ptr(mTokenAllowance),
                   account = aChange.mAccount,
                   &now = mNow](auto aResult) {
                    const auto allowance = weak.lock();
                    if (!allowance) {
                      return;
                    }
                    if (!aResult.has_value()) {
                      if (aResult.error() == row_store_error::Refused) {
                        allowance->OnRefused(account, now);
                      } else {
                        allowance->OnUnknown(account, now);
                      }
                      return;
                    }
                    const row_commit_reply& commit = aResult.value();
                    allowance->OnStoreTime(commit.mStoreTime, now);
                    if (commit.mCommitted) {
                      allowance->OnCommit(account, commit.mVersion, now);
                    } else if (commit.mCurrent.empty()) {
                      allowance->OnConflict(account, std::nullopt, 0, now);
                    } else {
                      allowance->OnConflict(
                        account,
                        ParseGrantRow(commit.mCurrent[0].mValue),
                        commit.mCurrent[0].mVersion,
                        now);
                    }
                  });
  }

  void Write(const claim_change& aChange)
  {
    const row_key key{ "holdings", mHost, "statement" };
    row_transaction transaction;
    transaction.mConditions.push_back({ key, aChange.mExpectedVersion });
    transaction.mWrites.push_back({ key, WriteClaimRow(aChange.mRow) });
    mStore.Commit(
      transaction,
      [weak = std::weak_ptr(mTokenAllowance), &now = mNow, sentAt = mNow](
        auto aResult) {
        const auto allowance = weak.lock();
        if (!allowance) {
          return;
        }
        if (!aResult.has_value()) {
          allowance->OnClaimFailed(aResult.error() != row_store_error::Refused);
          return;
        }
        const row_commit_reply& commit = aResult.value();
        allowance->OnStoreTime(commit.mStoreTime, now);
        if (commit.mCommitted) {
          allowance->OnClaimCommitted(commit.mVersion, now);
        } else if (commit.mCurrent.empty()) {
          allowance->OnClaimConflict(
            std::nullopt, 0, commit.mStoreTime, sentAt);
        } else {
          allowance->OnClaimConflict(ParseClaimRow(commit.mCurrent[0].mValue),
                                     commit.mCurrent[0].mVersion,
                                     commit.mStoreTime,
                                     sentAt);
        }
      });
  }
};

class token_allowance_test : public testing::Test
{
protected:
  allowance_node MakeNode(const std::string& aHost)
  {
    allowance_node node(aHost, ++mRuns, mStore, mNow);
    node.mTokenAllowance->SetTotal(kAccount, kTotal);
    node.mTokenAllowance->SetNodes(2);
    return node;
  }
  void Advance(milliseconds aTime)
  {
    mNow += aTime;
    mStore.mTime += aTime;
  }
  /// Lets the node write to the store and receive replies for this time.
  void Run(allowance_node& aNode, milliseconds aTime)
  {
    for (milliseconds spent(0); spent < aTime; spent += milliseconds(10)) {
      aNode.Step();
      mStore.DeliverReplies();
      Advance(milliseconds(10));
    }
  }

  static constexpr std::int64_t kTotal = 100000;
  fake_row_store mStore;
  time_point mNow{ std::chrono::seconds(100) };
  std::uint64_t mRuns = 0;
};

} // namespace

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

// Guards against overspending by takeover from an expired claim: the ended run
// may have spent everything.
TEST_F(token_allowance_test, TakesNothingOverFromAnExpiredClaim)
{
  {
    allowance_node first = MakeNode("a");
    Run(first, milliseconds(1500));
  }
  const auto before = ParseGrantRow(*mStore.Value(kGrantKey))->mGranted;
  Advance(milliseconds(5000));
  allowance_node second = MakeNode("a");
  Run(second, milliseconds(200));
  const auto after = ParseGrantRow(*mStore.Value(kGrantKey))->mGranted;
  EXPECT_EQ(second.mTokenAllowance->FreeTokens(kAccount), after - before);
}

// Guards against spending above the limit of a claim, which the next run may
// take over.
TEST_F(token_allowance_test, KeepsToItsLimitUntilTheClaimExpires)
{
  allowance_node node = MakeNode("a");
  Run(node, milliseconds(1500));
  const std::int64_t held = node.mTokenAllowance->FreeTokens(kAccount);
  mStore.mUnreachable = true;
  node.Step();
  EXPECT_EQ(node.mTokenAllowance->Reserve(kAccount, held, mNow),
            reserve_verdict::Awaiting);
  // Only the hard limit is left once the claim has expired, and an idle node of
  // a small fleet keeps what it drew at the start.
  Advance(allowance_settings().mClaimTimeToLive + milliseconds(800));
  EXPECT_EQ(node.mTokenAllowance->Reserve(kAccount, held, mNow),
            reserve_verdict::Granted);
}

// Guards against tokens lost for good with a host that was off for a long time:
// the tokens above the hard limit are taken over, the others are not.
TEST_F(token_allowance_test, TakesOverAboveTheHardLimitOfAnExpiredClaim)
{
  constexpr std::int64_t kExtra = 20000;
  {
    allowance_node first = MakeNode("a");
    Run(first, milliseconds(500));
    first.mTokenAllowance->OnTakenOver({ { "clinic", kExtra } });
    Advance(milliseconds(400));
    first.WriteClaim();
    mStore.DeliverReplies();
  }
  const auto row = ParseClaimRow(*mStore.Value(ClaimRowKey("a")));
  ASSERT_TRUE(row);
  const claim_entry& entry = row->mAccounts.at("clinic");
  ASSERT_GE(entry.mReceived - entry.mHardLimit, kExtra / 2);
  Advance(milliseconds(60000));
  allowance_node second = MakeNode("a");
  second.mTokenAllowance->SetTotal(kAccount, 0);
  Run(second, milliseconds(100));
  EXPECT_EQ(second.mTokenAllowance->FreeTokens(kAccount),
            entry.mReceived - entry.mHardLimit);
}

// Guards against overspending after a takeover from a node that is alive and
// has no contact to the store: it keeps to its hard limit for ever, and cannot
// write a claim before it has read what was taken.
TEST_F(token_allowance_test, OwnerKeepsToItsHardLimitAfterATakeover)
{
  constexpr std::int64_t kExtra = 20000;
  allowance_node owner = MakeNode("a");
  Run(owner, milliseconds(500));
  owner.mTokenAllowance->OnTakenOver({ { "clinic", kExtra } });
  Advance(milliseconds(400));
  owner.WriteClaim();
  mStore.DeliverReplies();
  const std::int64_t held = owner.mTokenAllowance->FreeTokens(kAccount);
  const auto row = ParseClaimRow(*mStore.Value(ClaimRowKey("a")));
  ASSERT_TRUE(row);
  const std::int64_t takeable = TakeableTokens(*row).at("clinic");

  allowance_node taker = MakeNode("b");
  const manual_time_source time;
  claim_recovery recovery(*taker.mTokenAllowance, mStore, time, "taker");
  recovery.Recover("a", mNow);
  mStore.DeliverReplies();
  mStore.DeliverReplies();
  EXPECT_EQ(taker.mTokenAllowance->FreeTokens(kAccount), takeable);

  mStore.mUnreachable = true;
  for (unsigned i = 0; i < 1000; ++i) {
    owner.Step();
    mStore.DeliverReplies();
    Advance(milliseconds(10));
  }
  EXPECT_NE(owner.mTokenAllowance->Reserve(kAccount, held - takeable + 1, mNow),
            reserve_verdict::Granted);
  EXPECT_EQ(owner.mTokenAllowance->FreeTokens(kAccount), held);
  mStore.mUnreachable = false;
  Run(owner, milliseconds(100));
  // The store's row now tells the owner what was taken, once.
  EXPECT_EQ(owner.mTokenAllowance->FreeTokens(kAccount), held - takeable);
  Run(owner, milliseconds(700));
  EXPECT_LE(owner.mTokenAllowance->FreeTokens(kAccount), held - takeable);
}

// Guards against a takeover that counts twice or not at all when its reply is
// lost after the row was replaced.
TEST_F(token_allowance_test, RecognizesItsOwnUnansweredTakeover)
{
  claim_row row;
  row.mRun = "ended";
  row.mAccounts["clinic"] = { 5000, 1000, 2000, 0 };
  mStore.Put(ClaimRowKey("a"), WriteClaimRow(row));
  allowance_node taker = MakeNode("b");
  manual_time_source time;
  claim_recovery recovery(*taker.mTokenAllowance, mStore, time, "taker");
  recovery.Recover("a", mNow);
  mStore.mFault = fake_row_store::fault::LoseReply;
  mStore.DeliverReplies();
  mStore.DeliverReplies();
  EXPECT_EQ(taker.mTokenAllowance->FreeTokens(kAccount), 0);
  mStore.mFault = fake_row_store::fault::None;
  time.Advance(std::chrono::seconds(1));
  recovery.OnTick(time.Now());
  mStore.DeliverReplies();
  EXPECT_EQ(taker.mTokenAllowance->FreeTokens(kAccount), 3000);
}

// Guards against rows that the version in production cannot read, and against
// takeovers from its rows, which state no hard limit.
TEST(claim_row_test, BothVersionsReadTheRows)
{
  const auto old = ParseClaimRow(
    R"({"run":"r","sequence":3,"stated_at_ms":9,"accounts":{"a":[50,20]}})");
  ASSERT_TRUE(old);
  EXPECT_EQ(old->mTimeToLive, milliseconds(3300));
  EXPECT_TRUE(TakeableTokens(*old).empty());
  claim_row row = *old;
  row.mAccounts["a"] = { 50, 20, 30, 0 };
  const claim_row rest = WithoutTakeableTokens(row, "t", 7);
  EXPECT_EQ(ParseClaimRow(WriteClaimRow(rest)), rest);
  // The first two elements, which the version in production reads, no longer
  // contain the 20 tokens that were taken.
  const std::string text = WriteClaimRow(rest);
  EXPECT_NE(text.find(R"("a":[30,20,30,20])"), std::string::npos);
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
  user.mTokenAllowance->OnGrantRead(kAccount, { kTotal, "x", 2 }, 99, mNow);
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
    node->mTokenAllowance->OnGrantRead(kAccount, { kTotal, "x", 2 }, 99, mNow);
    node->mTokenAllowance->OnTakenOver({ { "clinic", 600 } });
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

// Guards against overspending: in random schedules of grants, transfers, kills,
// restarts, outages, lost replies and late writes the fleet must never consume
// more than the account has. The 10,000 schedules are divided into 20 tests,
// because all of them take longer under the sanitizers than one test may.
class token_allowance_schedules
  : public token_allowance_test
  , public testing::WithParamInterface<unsigned>
{};

TEST_P(token_allowance_schedules, NeverOverspend)
{
  constexpr unsigned kSchedules = 500;
  constexpr unsigned kSteps = 60;
  constexpr unsigned kHosts = 3;
  std::int64_t consumedByAll = 0;
  const unsigned firstSeed = GetParam() * kSchedules + 1;
  for (unsigned seed = firstSeed; seed < firstSeed + kSchedules; ++seed) {
    std::mt19937 random(seed);
    const auto chance = [&random](unsigned aPercent) {
      return random() % 100 < aPercent;
    };
    fake_row_store store;
    time_point now{ std::chrono::seconds(100) };
    std::uint64_t runs = 0;
    std::int64_t consumed = 0;
    const auto makeNode = [&](unsigned aHost) {
      auto node = std::make_unique<allowance_node>(
        std::to_string(aHost), ++runs, store, now);
      node->mTokenAllowance->SetTotal(kAccount, kTotal);
      node->mTokenAllowance->SetNodes(kHosts);
      return node;
    };
    std::vector<std::unique_ptr<allowance_node>> nodes;
    for (unsigned host = 0; host < kHosts; ++host) {
      nodes.push_back(makeNode(host));
    }
    for (unsigned step = 0; step < kSteps; ++step) {
      const milliseconds time(10 + random() % 500);
      now += time;
      store.mTime += time;
      store.mFault = chance(15)   ? fake_row_store::fault::LoseReply
                     : chance(10) ? fake_row_store::fault::Delay
                     : chance(10) ? fake_row_store::fault::Refuse
                                  : fake_row_store::fault::None;
      if (chance(8)) {
        store.mUnreachable = !store.mUnreachable;
      }
      token_holders holders;
      for (const auto& node : nodes) {
        holders[AccountKey(kAccount)].push_back(
          { node->mHost, node->mTokenAllowance->FreeTokens(kAccount) });
      }
      for (auto& node : nodes) {
        node->mTokenAllowance->SetHolders(holders);
        const std::int64_t size = 1 + random() % 12000;
        if (node->mTokenAllowance->Reserve(kAccount, size, now) ==
            reserve_verdict::Granted) {
          // The tokens count as consumed at once, because a killed node cannot
          // end its reservations.
          const std::int64_t used = chance(50) ? size : size / 3;
          consumed += used;
          if (chance(80)) {
            node->mTokenAllowance->FinishReservation(kAccount, size, used, now);
          } else {
            consumed += size - used;
          }
        }
        for (const addressed_request& request :
             node->mTokenAllowance->TakeTokenRequests(node->mRun, now)) {
          auto& sender = nodes[std::stoul(request.mTo)];
          const auto transfer =
            sender->mTokenAllowance->AnswerRequest(request.mRequest, now);
          if (transfer && chance(80)) {
            node->mTokenAllowance->OnTransfer(*transfer, node->mRun);
          }
        }
        node->Step();
      }
      if (chance(70)) {
        store.DeliverReplies();
      }
      if (chance(10)) {
        store.ApplyDelayedWrites();
      }
      if (chance(8)) {
        const unsigned host = random() % kHosts;
        nodes[host] = makeNode(host);
      }
    }
    ASSERT_LE(consumed, kTotal) << "seed " << seed;
    consumedByAll += consumed;
  }
  // The schedules must spend most tokens; otherwise they would prove nothing.
  EXPECT_GT(consumedByAll, kTotal / 2 * kSchedules);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         token_allowance_schedules,
                         testing::Range(0U, 20U));
