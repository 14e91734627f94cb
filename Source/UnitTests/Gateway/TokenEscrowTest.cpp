#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>

#include "FakeRowStore.h"
#include "Gateway/TokenEscrow.h"

namespace {

using std::chrono::milliseconds;

const account_id kAccount{ "clinic" };
const row_key kGrantKey{ "prepaid", "clinic", "granted" };

/// One node of a simulated fleet: a `token_escrow` with its store calls. A test
/// calls `Step` to let it write.
class escrow_node
{
public:
  escrow_node(std::string aHost,
              std::uint64_t aRun,
              fake_row_store& aStore,
              time_point& aNow)
    : mHost(std::move(aHost))
    , mRun(aRun)
    , mStore(aStore)
    , mNow(aNow)
    , mEscrow(
        std::make_shared<token_escrow>(std::to_string(aRun), escrow_settings{}))
  {
  }

  void Step()
  {
    for (const escrow_change& change : mEscrow->TakeChanges(mNow)) {
      Write(change);
    }
    if (const auto statement = mEscrow->TakeStatement(mNow)) {
      Write(*statement);
    }
  }

  std::string mHost;
  std::uint64_t mRun;
  fake_row_store& mStore;
  time_point& mNow;
  std::shared_ptr<token_escrow> mEscrow;

private:
  void Write(const escrow_change& aChange)
  {
    row_transaction transaction;
    transaction.mConditions.push_back({ kGrantKey, aChange.mExpectedVersion });
    transaction.mWrites.push_back({ kGrantKey, WriteEscrowRow(aChange.mRow) });
    mStore.Commit(
      transaction,
      [weak = std::weak_ptr(mEscrow), account = aChange.mAccount, &now = mNow](
        auto aResult) {
        const auto escrow = weak.lock();
        if (!escrow) {
          return;
        }
        if (!aResult.has_value()) {
          if (aResult.error() == row_store_error::Refused) {
            escrow->OnRefused(account, now);
          } else {
            escrow->OnUnknown(account, now);
          }
          return;
        }
        const row_commit& commit = aResult.value();
        escrow->OnStoreTime(commit.mStoreTime, now);
        if (commit.mCommitted) {
          escrow->OnCommit(account, commit.mVersion, now);
        } else if (commit.mCurrent.empty()) {
          escrow->OnConflict(account, std::nullopt, 0, now);
        } else {
          escrow->OnConflict(account,
                             ParseEscrowRow(commit.mCurrent[0].mValue),
                             commit.mCurrent[0].mVersion,
                             now);
        }
      });
  }

  void Write(const holding_change& aChange)
  {
    const row_key key{ "holdings", mHost, "statement" };
    row_transaction transaction;
    transaction.mConditions.push_back({ key, aChange.mExpectedVersion });
    transaction.mWrites.push_back({ key, WriteHoldingRow(aChange.mRow) });
    mStore.Commit(
      transaction, [weak = std::weak_ptr(mEscrow), &now = mNow](auto aResult) {
        const auto escrow = weak.lock();
        if (!escrow) {
          return;
        }
        if (!aResult.has_value()) {
          escrow->OnStatementFailed(aResult.error() !=
                                    row_store_error::Refused);
          return;
        }
        const row_commit& commit = aResult.value();
        escrow->OnStoreTime(commit.mStoreTime, now);
        if (commit.mCommitted) {
          escrow->OnStated(commit.mVersion, now);
        } else if (commit.mCurrent.empty()) {
          escrow->OnStatementConflict(std::nullopt, 0, commit.mStoreTime);
        } else {
          escrow->OnStatementConflict(
            ParseHoldingRow(commit.mCurrent[0].mValue),
            commit.mCurrent[0].mVersion,
            commit.mStoreTime);
        }
      });
  }
};

class token_escrow_test : public testing::Test
{
protected:
  escrow_node MakeNode(const std::string& aHost)
  {
    escrow_node node(aHost, ++mRuns, mStore, mNow);
    node.mEscrow->SetTotal(kAccount, kTotal);
    node.mEscrow->SetNodes(2);
    return node;
  }
  void Advance(milliseconds aTime)
  {
    mNow += aTime;
    mStore.mTime += aTime;
  }
  /// Lets the node write to the store and receive replies for this time.
  void Run(escrow_node& aNode, milliseconds aTime)
  {
    for (milliseconds spent(0); spent < aTime; spent += milliseconds(10)) {
      aNode.Step();
      mStore.Deliver();
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
TEST_F(token_escrow_test, SpendsOnlyWhatWasGranted)
{
  escrow_node node = MakeNode("a");
  EXPECT_EQ(node.mEscrow->Reserve(kAccount, 1000, mNow),
            reserve_verdict::Awaiting);
  Run(node, milliseconds(100));
  EXPECT_EQ(node.mEscrow->Reserve(kAccount, 1000, mNow),
            reserve_verdict::Granted);
}

// Guards against waiting for tokens that no node and no row has.
TEST_F(token_escrow_test, RefusesWhatNobodyHolds)
{
  escrow_node node = MakeNode("a");
  Run(node, milliseconds(100));
  EXPECT_EQ(node.mEscrow->Reserve(kAccount, kTotal + 1, mNow),
            reserve_verdict::Exhausted);
}

// Guards against a lost reply after an applied write: the grant must neither be
// lost nor count twice.
TEST_F(token_escrow_test, RecognizesItsOwnUnansweredGrant)
{
  escrow_node node = MakeNode("a");
  mStore.mFault = fake_row_store::fault::LoseReply;
  node.Step();
  mStore.Deliver();
  mStore.mFault = fake_row_store::fault::None;
  Advance(milliseconds(400));
  Run(node, milliseconds(200));
  const auto row = ParseEscrowRow(*mStore.Value(kGrantKey));
  ASSERT_TRUE(row);
  EXPECT_EQ(row->mGranted, node.mEscrow->Held(kAccount));
}

// Guards against too small draws when all clients of an account use one host of
// a large fleet: each draw took a 73rd of the remaining tokens, and only for
// requests that were served.
TEST_F(token_escrow_test, DrawsForMissedRequestsOfASoleUser)
{
  constexpr std::int64_t kMissed = 4000;
  escrow_node node = MakeNode("a");
  node.mEscrow->SetNodes(72);
  Run(node, milliseconds(1000));
  for (unsigned i = 0; i < 5; ++i) {
    node.mEscrow->OnMissed(kAccount, kMissed, mNow);
  }
  Run(node, milliseconds(50));
  EXPECT_GE(node.mEscrow->Held(kAccount), 5 * kMissed);
}

// Guards against a grant that counts twice because the write of an unanswered
// call is applied seconds later.
TEST_F(token_escrow_test, LateWriteGrantsNothingTwice)
{
  escrow_node node = MakeNode("a");
  mStore.mFault = fake_row_store::fault::Delay;
  node.Step();
  mStore.Deliver();
  mStore.mFault = fake_row_store::fault::None;
  Advance(milliseconds(400));
  node.Step();
  mStore.ApplyLate();
  mStore.Deliver();
  Run(node, milliseconds(200));
  const auto row = ParseEscrowRow(*mStore.Value(kGrantKey));
  ASSERT_TRUE(row);
  EXPECT_GE(row->mGranted, node.mEscrow->Held(kAccount));
}

// Guards against tokens lost by the restart of a process.
TEST_F(token_escrow_test, NextRunTakesOverWhatWasNotUsed)
{
  std::int64_t held = 0;
  {
    escrow_node first = MakeNode("a");
    Run(first, milliseconds(1500));
    held = first.mEscrow->Held(kAccount);
    ASSERT_GT(held, 0);
  }
  Advance(milliseconds(1000));
  escrow_node second = MakeNode("a");
  second.Step();
  mStore.Deliver();
  Run(second, milliseconds(100));
  EXPECT_GT(second.mEscrow->Held(kAccount), held / 2);
}

// Guards against large losses when all hosts lose power: with two requests of
// mean size in each claim's limit, small accounts lost most of what their nodes
// held.
TEST_F(token_escrow_test, PowerLossStrandsLessThanARequest)
{
  constexpr std::int64_t kSize = 4000;
  std::int64_t held = 0;
  {
    escrow_node first = MakeNode("a");
    for (unsigned i = 0; i < 60; ++i) {
      Run(first, milliseconds(20));
      if (first.mEscrow->Reserve(kAccount, kSize, mNow) ==
          reserve_verdict::Granted) {
        first.mEscrow->Settle(kAccount, kSize, 0, mNow);
      }
    }
    Run(first, milliseconds(700));
    held = first.mEscrow->Held(kAccount);
    ASSERT_GT(held, 2 * kSize);
  }
  Advance(milliseconds(1000));
  escrow_node second = MakeNode("a");
  second.mEscrow->SetTotal(kAccount, 0);
  second.Step();
  mStore.Deliver();
  Run(second, milliseconds(100));
  EXPECT_GE(second.mEscrow->Held(kAccount), held - kSize);
}

// Guards against overspending by takeover from an expired claim: the ended run
// may have spent everything.
TEST_F(token_escrow_test, TakesNothingOverFromAnOldStatement)
{
  {
    escrow_node first = MakeNode("a");
    Run(first, milliseconds(1500));
  }
  const auto before = ParseEscrowRow(*mStore.Value(kGrantKey))->mGranted;
  Advance(milliseconds(5000));
  escrow_node second = MakeNode("a");
  Run(second, milliseconds(200));
  const auto after = ParseEscrowRow(*mStore.Value(kGrantKey))->mGranted;
  EXPECT_EQ(second.mEscrow->Held(kAccount), after - before);
}

// Guards against spending above the limit of a claim, which the next run may
// take over.
TEST_F(token_escrow_test, KeepsToItsBoundWhileTheStatementHolds)
{
  escrow_node node = MakeNode("a");
  Run(node, milliseconds(1500));
  const std::int64_t held = node.mEscrow->Held(kAccount);
  mStore.mDown = true;
  node.Step();
  EXPECT_EQ(node.mEscrow->Reserve(kAccount, held, mNow),
            reserve_verdict::Awaiting);
  // Nobody can take the tokens over once the claim has expired.
  Advance(milliseconds(4100));
  EXPECT_EQ(node.mEscrow->Reserve(kAccount, held, mNow),
            reserve_verdict::Granted);
}

// Guards against tokens transferred or received twice when a datagram is
// repeated.
TEST_F(token_escrow_test, RepeatedRequestGetsTheSameTokens)
{
  escrow_node giver = MakeNode("a");
  Run(giver, milliseconds(200));
  Advance(milliseconds(5000));
  const std::int64_t held = giver.mEscrow->Held(kAccount);
  const token_request request{ "b", 7, 99, kAccount, 500, 600 };
  const auto first = giver.mEscrow->Give(request, mNow);
  const auto second = giver.mEscrow->Give(request, mNow);
  ASSERT_TRUE(first);
  EXPECT_EQ(first, second);
  EXPECT_EQ(giver.mEscrow->Held(kAccount), held - first->mTokens);
  escrow_node taker = MakeNode("b");
  taker.mEscrow->OnTransfer(*first, 99);
  taker.mEscrow->OnTransfer(*first, 99);
  EXPECT_EQ(taker.mEscrow->Held(kAccount), first->mTokens);
}

// Guards against overspending: in random schedules of grants, transfers, kills,
// restarts, outages, lost replies and late writes the fleet must never consume
// more than the account has. The 10,000 schedules are divided into 20 tests,
// because all of them take longer under the sanitizers than one test may.
class token_escrow_schedules
  : public token_escrow_test
  , public testing::WithParamInterface<unsigned>
{};

TEST_P(token_escrow_schedules, NeverOverspend)
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
      auto node = std::make_unique<escrow_node>(
        std::to_string(aHost), ++runs, store, now);
      node->mEscrow->SetTotal(kAccount, kTotal);
      node->mEscrow->SetNodes(kHosts);
      return node;
    };
    std::vector<std::unique_ptr<escrow_node>> nodes;
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
        store.mDown = !store.mDown;
      }
      token_holders holders;
      for (const auto& node : nodes) {
        holders[AccountKey(kAccount)].push_back(
          { node->mHost, node->mEscrow->Held(kAccount) });
      }
      for (auto& node : nodes) {
        node->mEscrow->SetHolders(holders);
        const std::int64_t size = 1 + random() % 12000;
        if (node->mEscrow->Reserve(kAccount, size, now) ==
            reserve_verdict::Granted) {
          // The tokens count as consumed at once, because a killed node cannot
          // end its reservations.
          const std::int64_t used = chance(50) ? size : size / 3;
          consumed += used;
          if (chance(80)) {
            node->mEscrow->Settle(kAccount, size, used, now);
          } else {
            consumed += size - used;
          }
        }
        for (const addressed_request& request :
             node->mEscrow->TakeRequests(node->mRun, now)) {
          auto& giver = nodes[std::stoul(request.mTo)];
          const auto transfer = giver->mEscrow->Give(request.mRequest, now);
          if (transfer && chance(80)) {
            node->mEscrow->OnTransfer(*transfer, node->mRun);
          }
        }
        node->Step();
      }
      if (chance(70)) {
        store.Deliver();
      }
      if (chance(10)) {
        store.ApplyLate();
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
                         token_escrow_schedules,
                         testing::Range(0U, 20U));
