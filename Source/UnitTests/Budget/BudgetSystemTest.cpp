#include "Budget/BudgetSystem.h"

#include <gtest/gtest.h>

#include "Budget/ChargeBackup.h"
#include "Common/Hash.h"
#include "FakeTable.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const incarnation_id kNode{ { "node-a" }, 1 };
const incarnation_id kPeer{ { "node-b" }, 1 };
const account_id kAccount{ "clinic" };
const budget_id kBudget{ "clinic-2026" };

request_id Request(int aNumber)
{
  return MakeRequestId(kAccount, std::to_string(aNumber));
}

/// One holder with a table and one backup that reply immediately.
class budget_system_test : public testing::Test
{
protected:
  budget_system_test() { PutBudget(10'000); }

  void PutBudget(std::int64_t aTotal)
  {
    budget_row row;
    row.mTotal = aTotal;
    mTable.Put(BudgetKey(kBudget), FormatBudgetRow(row));
  }

  void Serve(budget_system& aSystem, const budget_output& aOutput)
  {
    for (const budget_read& read : aOutput.mReads) {
      if (mStoreUp) {
        aSystem.OnRead(read.mId, mTable.Read(read.mKeys), mNow);
      } else {
        aSystem.OnRead(read.mId, table_error::Unavailable, mNow);
      }
    }
    for (const table_transaction& transaction : aOutput.mCommits) {
      mCommitted.push_back(transaction.mId);
      if (mLoseReplies) {
        mTable.Commit(transaction);
      }
      if (mStoreUp && !mLoseReplies) {
        aSystem.OnCommit(transaction.mId, mTable.Commit(transaction), mNow);
      } else {
        aSystem.OnCommit(transaction.mId, table_error::Timeout, mNow);
      }
    }
    for (const hold_message& hold : aOutput.mHolds) {
      const auto outcome =
        mPeerUp ? mBackup.OnHold(aSystem.Self(), hold.mCharges, mNow)
                : hold_outcome::Failed;
      aSystem.OnHoldReply(hold.mId, outcome, mNow);
    }
    for (const drop_message& drop : aOutput.mDrops) {
      mBackup.OnDrop(aSystem.Self(), drop.mRequests);
    }
  }

  void Run(std::chrono::microseconds aTime)
  {
    for (const auto end = mNow + aTime; mNow < end; mNow += milliseconds(50)) {
      Serve(mSystem, mSystem.Tick(mNow));
    }
  }

  result<void, budget_error> Reserve(int aNumber, std::int64_t aTokens)
  {
    return mSystem.Reserve(Request(aNumber), kAccount, kBudget, aTokens, mNow);
  }

  bool ReserveSoon(int aNumber, std::int64_t aTokens)
  {
    if (Reserve(aNumber, aTokens).has_value()) {
      return true;
    }
    Run(seconds(3));
    return Reserve(aNumber, aTokens).has_value();
  }

  budget_row Row()
  {
    return ParseBudgetRow(mTable.Row(BudgetKey(kBudget)).mValue).value();
  }

  fake_table mTable;
  time_point mNow{ seconds(1) };
  budget_settings mSettings;
  budget_system mSystem{ kNode, mSettings, 1 };
  charge_backup mBackup{ kPeer, mSettings, 2 };
  bool mStoreUp = true;
  bool mLoseReplies = false;
  bool mPeerUp = true;
  std::vector<transaction_id> mCommitted;
};

// Guards against tokens that are lost or counted twice between grant,
// reservation and charge.
TEST_F(budget_system_test, ReservesSettlesAndFlushes)
{
  mSystem.SetBackups({ kPeer });
  EXPECT_EQ(Reserve(1, 100).error(), budget_error::AwaitingGrant);
  ASSERT_TRUE(ReserveSoon(1, 100));
  EXPECT_EQ(Reserve(1, 100).error(), budget_error::DuplicateOpen);
  mSystem.Settle(Request(1), 60, wall_time(), mNow);
  EXPECT_FALSE(mSystem.IsChargeProtected(Request(1)));
  Run(milliseconds(100));
  EXPECT_TRUE(mSystem.IsChargeProtected(Request(1)));
  EXPECT_FALSE(mTable.HasCharge(kBudget, Request(1)));
  EXPECT_EQ(Reserve(1, 100).error(), budget_error::AlreadyCharged);
  Run(seconds(50));
  EXPECT_EQ(mTable.Charged(kBudget, Request(1)), 60);
  EXPECT_EQ(Reserve(1, 100).error(), budget_error::AlreadyCharged);
  EXPECT_EQ(mBackup.HeldChargeCount(), 0U);
  EXPECT_EQ(Row().mSpent, 60);
  EXPECT_TRUE(mTable.Violations().empty());
}

// Guards against a charge above the reservation, which the grant may not cover.
TEST_F(budget_system_test, ChargesAtMostTheReservation)
{
  ASSERT_TRUE(ReserveSoon(1, 100));
  ASSERT_TRUE(ReserveSoon(2, 100));
  mSystem.Settle(Request(1), 160, wall_time(), mNow);
  mSystem.Settle(Request(2), -1, wall_time(), mNow);
  Run(seconds(1));
  EXPECT_EQ(mTable.Charged(kBudget, Request(1)), 100);
  EXPECT_EQ(mTable.Charged(kBudget, Request(2)), 100);
  EXPECT_EQ(mSystem.Counters().mExcessTokens, 60);
  EXPECT_EQ(mSystem.Counters().mMissingUsage, 1U);
}

// Guards against refusing the last tokens of a budget, and against reserving
// them twice.
TEST_F(budget_system_test, SpendsTheWholeBudgetAndNoMore)
{
  mSystem.SetBackups({ kPeer });
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(ReserveSoon(i, 100)) << i;
    mSystem.Settle(Request(i), 100, wall_time(), mNow);
  }
  EXPECT_FALSE(ReserveSoon(100, 1));
  EXPECT_EQ(Reserve(100, 1).error(), budget_error::Exhausted);
  Run(seconds(60));
  EXPECT_EQ(Row().mSpent, 10'000);
  budget_row row = Row();
  row.mTotal += 500;
  mTable.Put(BudgetKey(kBudget), FormatBudgetRow(row));
  Run(seconds(3));
  EXPECT_TRUE(ReserveSoon(101, 500));
  EXPECT_EQ(mSystem.Counters().mUngrantedCharges, 0U);
}

// Guards against a transaction that is applied twice because the reply of the
// first commit was lost.
TEST_F(budget_system_test, RepeatsTheSameTransactionAfterATimeout)
{
  ASSERT_TRUE(ReserveSoon(1, 100));
  mSystem.Settle(Request(1), 100, wall_time(), mNow);
  mCommitted.clear();
  mLoseReplies = true;
  Run(seconds(10));
  ASSERT_GT(mCommitted.size(), 2U);
  EXPECT_EQ(mCommitted.front(), mCommitted.back());
  EXPECT_FALSE(mSystem.IsChargeProtected(Request(1)));
  mLoseReplies = false;
  Run(seconds(10));
  EXPECT_TRUE(mSystem.IsChargeProtected(Request(1)));
  EXPECT_EQ(Row().mSpent, 100);
  EXPECT_TRUE(mTable.Violations().empty());
}

// Guards against new requests whose charge would be lost with this process.
TEST_F(budget_system_test, RefusesRequestsWithoutStoreAndBackup)
{
  mSystem.SetBackups({ kPeer });
  ASSERT_TRUE(ReserveSoon(1, 100));
  ASSERT_TRUE(ReserveSoon(2, 100));
  mStoreUp = false;
  mSystem.Settle(Request(1), 100, wall_time(), mNow);
  Run(seconds(60));
  EXPECT_TRUE(mSystem.IsChargeProtected(Request(1)));
  EXPECT_TRUE(Reserve(3, 100).has_value());
  mPeerUp = false;
  mSystem.SetBackups({});
  mSystem.Settle(Request(2), 100, wall_time(), mNow);
  Run(seconds(10));
  EXPECT_FALSE(mSystem.IsChargeProtected(Request(2)));
  EXPECT_EQ(Reserve(4, 100).error(), budget_error::Unprotected);
  mStoreUp = true;
  Run(seconds(20));
  EXPECT_TRUE(mSystem.IsChargeProtected(Request(2)));
  EXPECT_TRUE(Reserve(4, 100).has_value());
}

// Guards against grants and holder rows that are left after a shutdown.
TEST_F(budget_system_test, ReturnsGrantsOnShutdown)
{
  mSystem.SetBackups({ kPeer });
  ASSERT_TRUE(ReserveSoon(1, 100));
  ASSERT_TRUE(ReserveSoon(2, 100));
  mSystem.BeginShutdown(mNow);
  EXPECT_EQ(Reserve(3, 100).error(), budget_error::ShuttingDown);
  Run(seconds(10));
  EXPECT_FALSE(mSystem.IsDrained());
  mSystem.Settle(Request(1), 70, wall_time(), mNow);
  mSystem.Release(Request(2), mNow);
  Run(seconds(2));
  EXPECT_TRUE(mSystem.IsDrained());
  EXPECT_EQ(Row().mSpent, 70);
  EXPECT_EQ(Row().OutstandingSum(), 0);
  EXPECT_EQ(mTable.Row(HolderKey(kNode)).mVersion, 0U);
  EXPECT_EQ(mTable.Scan({ "grant/", "", 10 }).size(), 0U);
}

// Guards against the loss of a dead node's charges or grants, and against new
// charges by that node after its backup has closed it.
TEST_F(budget_system_test, BackupClosesADeadHolder)
{
  mSystem.SetBackups({ kPeer });
  ASSERT_TRUE(ReserveSoon(1, 100));
  ASSERT_TRUE(ReserveSoon(2, 100));
  mSystem.Settle(Request(1), 60, wall_time(), mNow);
  Run(milliseconds(200));
  ASSERT_TRUE(mSystem.IsChargeProtected(Request(1)));
  mBackup.OnHolderDead(kNode, mNow);
  for (int i = 0; i < 50; ++i) {
    const budget_output output = mBackup.Tick(mNow);
    for (const auto& read : output.mReads) {
      mBackup.OnRead(read.mId, mTable.Read(read.mKeys), mNow);
    }
    for (const auto& scan : output.mScans) {
      mBackup.OnRead(scan.mId, mTable.Scan(scan.mScan), mNow);
    }
    for (const auto& transaction : output.mCommits) {
      mBackup.OnCommit(transaction.mId, mTable.Commit(transaction), mNow);
    }
  }
  EXPECT_EQ(Row().mSpent, 60);
  EXPECT_EQ(Row().OutstandingSum(), 0);
  mSystem.Settle(Request(2), 80, wall_time(), mNow);
  Run(seconds(60));
  EXPECT_TRUE(mSystem.IsFenced());
  EXPECT_TRUE(mSystem.IsDrained());
  EXPECT_FALSE(mSystem.IsChargeProtected(Request(2)));
  EXPECT_EQ(Reserve(3, 1).error(), budget_error::Fenced);
  EXPECT_EQ(Row().mSpent, 60);
  EXPECT_TRUE(mTable.Violations().empty());
}

// Guards against a new backup that closes this holder before the charges that
// only the dead backup had are written.
TEST_F(budget_system_test, KeepsADeadBackupListedWhileChargesDependOnIt)
{
  mSettings.mMaxChargesPerMessage = 1;
  budget_system system(kNode, mSettings, 3);
  const auto run = [&](int aTicks) {
    for (int i = 0; i < aTicks; ++i, mNow += milliseconds(50)) {
      Serve(system, system.Tick(mNow));
      const table_row row = mTable.Row(HolderKey(kNode));
      const bool kept = system.HasUnwrittenCharge(Request(1)) ||
                        system.HasUnwrittenCharge(Request(2)) ||
                        system.HasUnwrittenCharge(Request(3));
      const auto backups = ParseHolderRow(row.mValue).value().mBackups;
      EXPECT_TRUE(!kept || backups.front() == kPeer);
    }
  };
  system.SetBackups({ kPeer });
  Serve(system, system.Tick(mNow));
  const auto reserve = [&](int aNumber) {
    return system.Reserve(Request(aNumber), kAccount, kBudget, 100, mNow)
      .has_value();
  };
  EXPECT_FALSE(reserve(1));
  run(40);
  ASSERT_TRUE(reserve(1) && reserve(2) && reserve(3));
  for (int i : { 1, 2, 3 }) {
    system.Settle(Request(i), 100, wall_time(), mNow);
  }
  run(10);
  EXPECT_TRUE(system.IsChargeProtected(Request(3)));
  mPeerUp = false;
  system.OnHolderDead(kPeer, mNow);
  EXPECT_FALSE(system.IsChargeProtected(Request(3)));
  const incarnation_id third{ { "node-c" }, 1 };
  system.SetBackups({ third });
  run(200);
  EXPECT_EQ(Row().mSpent, 300);
  const table_row row = mTable.Row(HolderKey(kNode));
  EXPECT_EQ(ParseHolderRow(row.mValue).value().mBackups, std::vector{ third });
}

// Guards against a backup that deletes charges because a holder row that was
// read before they arrived does not list it.
TEST_F(budget_system_test, BackupKeepsChargesThatArriveAfterTheRowRead)
{
  charge held;
  held.mHolder = kNode;
  held.mRequest = Request(1);
  mBackup.OnHold(kNode, { held }, mNow);
  mNow += mSettings.mBackupCheckInterval;
  const budget_output asked = mBackup.Tick(mNow);
  ASSERT_EQ(asked.mReads.size(), 1U);
  held.mRequest = Request(2);
  mBackup.OnHold(kNode, { held }, mNow);
  const table_row row{ HolderKey(kNode), 1, FormatHolderRow({}) };
  mBackup.OnRead(asked.mReads[0].mId, std::vector{ row }, mNow);
  EXPECT_FALSE(mBackup.HasCopy(kNode, Request(1)));
  EXPECT_TRUE(mBackup.HasCopy(kNode, Request(2)));
}

// Guards against an older program that changes rows of a newer format.
TEST_F(budget_system_test, RefusesRowsOfANewerFormat)
{
  mTable.Put(BudgetKey(kBudget), R"({"format":2,"anything":1})");
  EXPECT_FALSE(ReserveSoon(1, 100));
  EXPECT_EQ(Reserve(1, 100).error(), budget_error::AwaitingGrant);
  Run(milliseconds(300));
  EXPECT_EQ(Reserve(1, 100).error(), budget_error::UnreadableRow);
  const auto missing =
    mSystem.Reserve(Request(2), kAccount, { "none" }, 1, mNow);
  EXPECT_EQ(missing.error(), budget_error::AwaitingGrant);
  Run(milliseconds(300));
  EXPECT_EQ(mSystem.Reserve(Request(2), kAccount, { "none" }, 1, mNow).error(),
            budget_error::UnknownBudget);
}

} // namespace
