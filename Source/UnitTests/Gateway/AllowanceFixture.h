#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "FakeRowStore.h"
#include "Gateway/ClaimRecovery.h"
#include "Gateway/TokenAllowance.h"

// Fixture of the tests of `token_allowance`.

inline const account_id kAccount{ "clinic" };
inline const row_key kGrantKey{ "prepaid", "clinic", "granted" };

/// Clock of a test that advances `mNow`.
class test_time_source final : public time_source
{
public:
  explicit test_time_source(const time_point& aNow)
    : mNow(aNow)
  {
  }
  time_point Now() const override { return mNow; }
  wall_time WallNow() const override { return {}; }

private:
  const time_point& mNow;
};

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
    mRecovery = std::make_unique<claim_recovery>(
      *mTokenAllowance, mStore, *mTime, std::to_string(aRun));
  }

  void Step()
  {
    mTokenAllowance->OnStoreEra(mStore.Era(), mNow);
    for (const account_id& account : mTokenAllowance->TakeGrantReads(mNow)) {
      Read(account);
    }
    for (const grant_change& change : mTokenAllowance->TakeGrantChanges(mNow)) {
      Write(change);
    }
    WriteClaim();
    mRecovery->OnTick(mNow);
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
  std::unique_ptr<time_source> mTime = std::make_unique<test_time_source>(mNow);
  std::shared_ptr<token_allowance> mTokenAllowance;
  std::unique_ptr<claim_recovery> mRecovery;

private:
  void Read(const account_id& aAccount)
  {
    mStore.Read("prepaid",
                aAccount.mName,
                "granted",
                [weak = std::weak_ptr(mTokenAllowance),
                 aAccount,
                 &store = mStore,
                 &now = mNow](auto aResult) {
                  const auto allowance = weak.lock();
                  if (!allowance || !aResult.has_value()) {
                    return;
                  }
                  allowance->OnStoreEra(store.Era(), now);
                  const auto& rows = aResult.value().mRows;
                  if (rows.empty()) {
                    allowance->OnGrantRead(aAccount, std::nullopt, 0, now);
                  } else {
                    allowance->OnGrantRead(aAccount,
                                           ParseGrantRow(rows[0].mValue),
                                           rows[0].mVersion,
                                           now);
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
                   &store = mStore,
                   &now = mNow](auto aResult) {
                    const auto allowance = weak.lock();
                    if (!allowance) {
                      return;
                    }
                    allowance->OnStoreEra(store.Era(), now);
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
      [weak = std::weak_ptr(mTokenAllowance),
       &store = mStore,
       &now = mNow,
       sentAt = mNow](auto aResult) {
        const auto allowance = weak.lock();
        if (!allowance) {
          return;
        }
        allowance->OnStoreEra(store.Era(), now);
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
  void Advance(std::chrono::milliseconds aTime)
  {
    mNow += aTime;
    mStore.mTime += aTime;
  }
  /// Lets the node write to the store and receive replies for this time.
  void Run(allowance_node& aNode, std::chrono::milliseconds aTime)
  {
    for (std::chrono::milliseconds spent(0); spent < aTime;
         spent += std::chrono::milliseconds(10)) {
      aNode.Step();
      mStore.DeliverReplies();
      Advance(std::chrono::milliseconds(10));
    }
  }

  static constexpr std::int64_t kTotal = 100000;
  fake_row_store mStore;
  time_point mNow{ std::chrono::seconds(100) };
  std::uint64_t mRuns = 0;
};
