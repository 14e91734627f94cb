#include "Gateway/EscrowWriter.h"

#include <utility>

#include "Common/Log.h"

namespace {

constexpr const char* kEscrowTableName = "prepaid";
constexpr const char* kEscrowKey = "granted";
constexpr const char* kHoldingTableName = "holdings";
constexpr const char* kHoldingKey = "statement";

} // namespace

escrow_writer::escrow_writer(token_escrow& aEscrow,
                             row_store& aStore,
                             const time_source& aTime,
                             std::string aHost)
  : mEscrow(aEscrow)
  , mStore(aStore)
  , mTime(aTime)
  , mHost(std::move(aHost))
{
}

escrow_writer::~escrow_writer()
{
  *mAlive = false;
}

void escrow_writer::WriteChanges(time_point aNow)
{
  for (const escrow_change& change : mEscrow.TakeChanges(aNow)) {
    const row_key key{ kEscrowTableName, change.mAccount.mName, kEscrowKey };
    row_transaction transaction;
    transaction.mConditions.push_back({ key, change.mExpectedVersion });
    transaction.mWrites.push_back({ key, WriteEscrowRow(change.mRow) });
    mStore.Commit(
      transaction,
      [this, alive = mAlive, account = change.mAccount](auto aResult) {
        if (!*alive) {
          return;
        }
        const time_point now = mTime.Now();
        if (!aResult.has_value()) {
          if (aResult.error() == row_store_error::Refused) {
            mEscrow.OnRefused(account, now);
          } else {
            mEscrow.OnUnknown(account, now);
          }
          return;
        }
        const row_commit& commit = aResult.value();
        mEscrow.OnStoreTime(commit.mStoreTime, now);
        if (commit.mCommitted) {
          mEscrow.OnCommit(account, commit.mVersion, now);
          Log(log_level::Info,
              "tokens_granted",
              { Field("account", account.mName),
                Field("held", mEscrow.Held(account)),
                Field("rest", mEscrow.KnownRest(account)),
                Field("row", commit.mVersion) });
          return;
        }
        std::optional<escrow_row> current;
        std::uint64_t version = 0;
        if (!commit.mCurrent.empty() && commit.mCurrent[0].mVersion != 0 &&
            !commit.mCurrent[0].mRemoved) {
          current = ParseEscrowRow(commit.mCurrent[0].mValue);
          version = commit.mCurrent[0].mVersion;
          if (!current) {
            Log(log_level::Error,
                "prepaid_row_unreadable",
                { Field("account", account.mName), Field("row", version) });
          }
        }
        mEscrow.OnConflict(account, current, version, now);
      });
  }
}

void escrow_writer::WriteStatement(time_point aNow)
{
  const auto change = mEscrow.TakeStatement(aNow);
  if (!change) {
    return;
  }
  // Every node has its own store partition, so that claim writes of different
  // nodes do not queue behind each other.
  const row_key key{ kHoldingTableName, mHost, kHoldingKey };
  row_transaction transaction;
  transaction.mConditions.push_back({ key, change->mExpectedVersion });
  transaction.mWrites.push_back({ key, WriteHoldingRow(change->mRow) });
  mStore.Commit(transaction, [this, alive = mAlive](auto aResult) {
    if (!*alive) {
      return;
    }
    if (!aResult.has_value()) {
      mEscrow.OnStatementFailed(aResult.error() != row_store_error::Refused);
      return;
    }
    const row_commit& commit = aResult.value();
    mEscrow.OnStoreTime(commit.mStoreTime, mTime.Now());
    if (commit.mCommitted) {
      mEscrow.OnStated(commit.mVersion, mTime.Now());
      return;
    }
    std::optional<holding_row> current;
    std::uint64_t version = 0;
    if (!commit.mCurrent.empty() && !commit.mCurrent[0].mRemoved) {
      version = commit.mCurrent[0].mVersion;
      current = ParseHoldingRow(commit.mCurrent[0].mValue);
    }
    const std::int64_t taken =
      mEscrow.OnStatementConflict(current, version, commit.mStoreTime);
    Log(log_level::Info,
        "holdings_conflict",
        { Field("run", current ? current->mRun : "none"),
          Field("age_ms",
                current ? (commit.mStoreTime - current->mStatedAt).count() : 0),
          Field("taken_over", taken) });
  });
}
