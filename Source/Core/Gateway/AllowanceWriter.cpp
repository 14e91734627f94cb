#include "Gateway/AllowanceWriter.h"

#include <algorithm>
#include <utility>

#include "Common/Log.h"

namespace {

constexpr const char* kGrantTableName = "prepaid";
constexpr const char* kGrantKey = "granted";

} // namespace

allowance_writer::allowance_writer(token_allowance& aTokenAllowance,
                                   row_store& aStore,
                                   const time_source& aTime,
                                   std::string aHost)
  : mTokenAllowance(aTokenAllowance)
  , mStore(aStore)
  , mTime(aTime)
  , mHost(std::move(aHost))
  , mRecovery(aTokenAllowance, aStore, aTime, aTokenAllowance.Run())
{
}

allowance_writer::~allowance_writer()
{
  *mAlive = false;
}

void allowance_writer::WriteChanges(time_point aNow)
{
  mTokenAllowance.OnStoreEra(mStore.Era(), aNow);
  ReadGrants(aNow);
  for (const grant_change& change : mTokenAllowance.TakeGrantChanges(aNow)) {
    const row_key key{ kGrantTableName, change.mAccount.mName, kGrantKey };
    row_transaction transaction;
    transaction.mConditions.push_back({ key, change.mExpectedVersion });
    transaction.mWrites.push_back({ key, WriteGrantRow(change.mRow) });
    mStore.Commit(
      transaction,
      [this, alive = mAlive, account = change.mAccount](auto aResult) {
        if (!*alive) {
          return;
        }
        const time_point now = mTime.Now();
        mTokenAllowance.OnStoreEra(mStore.Era(), now);
        if (!aResult.has_value()) {
          if (aResult.error() == row_store_error::Refused) {
            mTokenAllowance.OnRefused(account, now);
          } else {
            mTokenAllowance.OnUnknown(account, now);
          }
          return;
        }
        const row_commit_reply& commit = aResult.value();
        mTokenAllowance.OnStoreTime(commit.mStoreTime, now);
        if (commit.mCommitted) {
          mTokenAllowance.OnCommit(account, commit.mVersion, now);
          Log(log_level::Info,
              "tokens_granted",
              { Field("account", account.mName),
                Field("held", mTokenAllowance.FreeTokens(account)),
                Field("rest", mTokenAllowance.UngrantedTokens(account)),
                Field("row", commit.mVersion) });
          return;
        }
        std::optional<grant_row> current;
        std::uint64_t version = 0;
        if (!commit.mCurrent.empty() && commit.mCurrent[0].mVersion != 0 &&
            !commit.mCurrent[0].mRemoved) {
          current = ParseGrantRow(commit.mCurrent[0].mValue);
          version = commit.mCurrent[0].mVersion;
          if (!current) {
            Log(log_level::Error,
                "prepaid_row_unreadable",
                { Field("account", account.mName), Field("row", version) });
          }
        }
        mTokenAllowance.OnConflict(account, current, version, now);
      });
  }
}

void allowance_writer::ReadGrants(time_point aNow)
{
  for (const account_id& account : mTokenAllowance.TakeGrantReads(aNow)) {
    mStore.Read(
      kGrantTableName,
      account.mName,
      kGrantKey,
      [this, alive = mAlive, account](auto aResult) {
        if (!*alive || !aResult.has_value()) {
          return;
        }
        mTokenAllowance.OnStoreEra(mStore.Era(), mTime.Now());
        const auto& rows = aResult.value().mRows;
        const auto row = std::ranges::find_if(rows, [](const stored_row& aRow) {
          return aRow.mKey.mKey == kGrantKey && !aRow.mRemoved;
        });
        if (row == rows.end()) {
          mTokenAllowance.OnGrantRead(account, std::nullopt, 0, mTime.Now());
        } else if (const auto grant = ParseGrantRow(row->mValue)) {
          mTokenAllowance.OnGrantRead(
            account, *grant, row->mVersion, mTime.Now());
        }
      });
  }
}

void allowance_writer::WriteClaim(time_point aNow)
{
  const auto change = mTokenAllowance.TakeClaim(aNow);
  if (!change) {
    return;
  }
  // Every node has its own store partition, so that claim writes of different
  // nodes do not queue behind each other.
  const row_key key = ClaimRowKey(mHost);
  row_transaction transaction;
  transaction.mConditions.push_back({ key, change->mExpectedVersion });
  transaction.mWrites.push_back({ key, WriteClaimRow(change->mRow) });
  mStore.Commit(transaction, [this, alive = mAlive, aNow](auto aResult) {
    if (!*alive) {
      return;
    }
    mTokenAllowance.OnStoreEra(mStore.Era(), mTime.Now());
    if (!aResult.has_value()) {
      mTokenAllowance.OnClaimFailed(aResult.error() !=
                                    row_store_error::Refused);
      return;
    }
    const row_commit_reply& commit = aResult.value();
    mTokenAllowance.OnStoreTime(commit.mStoreTime, mTime.Now());
    if (commit.mCommitted) {
      mTokenAllowance.OnClaimCommitted(commit.mVersion, mTime.Now());
      return;
    }
    std::optional<claim_row> current;
    std::uint64_t version = 0;
    if (!commit.mCurrent.empty() && !commit.mCurrent[0].mRemoved) {
      version = commit.mCurrent[0].mVersion;
      current = ParseClaimRow(commit.mCurrent[0].mValue);
    }
    const claim_takeover takeover = mTokenAllowance.OnClaimConflict(
      current, version, commit.mStoreTime, aNow);
    if (takeover.mWaits) {
      return;
    }
    mEarlierRun.mTakenOver += takeover.mTakenOver;
    mEarlierRun.mLost += takeover.mLost;
    Log(log_level::Info,
        "holdings_conflict",
        { Field("run", current ? current->mRun : "none"),
          Field("age_ms",
                current ? (commit.mStoreTime - current->mStartsAt).count() : 0),
          Field("taken_over", takeover.mTakenOver),
          Field("lost", takeover.mLost),
          Field("proofs", takeover.mProofs),
          Field("proofs_needed", takeover.mProofsNeeded) });
  });
}

void allowance_writer::RecoverClaims(const std::vector<std::string>& aLostHosts,
                                     time_point aNow)
{
  mRecovery.OnTick(aNow);
  for (const std::string& host : mTokenAllowance.TakeUnhelpfulHolders()) {
    mRecovery.Recover(host, aNow);
  }
  for (const std::string& host : aLostHosts) {
    mRecovery.Recover(host, aNow);
  }
}
