#include "FakeRowStore.h"

#include <utility>

row_commit_reply fake_row_store::Apply(const row_transaction& aTransaction)
{
  row_commit_reply commit;
  commit.mVersion = mVersion;
  commit.mStoreTime = mTime;
  for (const row_condition& condition : aTransaction.mConditions) {
    const auto found = mRows.find(condition.mKey);
    const std::uint64_t version =
      found == mRows.end() ? 0 : found->second.mVersion;
    if (version != condition.mVersion) {
      if (found != mRows.end()) {
        commit.mCurrent.push_back(found->second);
      }
      return commit;
    }
  }
  commit.mCommitted = true;
  commit.mVersion = ++mVersion;
  for (const row_write& write : aTransaction.mWrites) {
    const stored_row row{ write.mKey, write.mValue, mVersion, false };
    mRows[write.mKey] = row;
    mChanges.push_back(row);
  }
  for (const row_key& key : aTransaction.mRemovals) {
    mRows.erase(key);
    mChanges.push_back({ key, {}, mVersion, true });
  }
  return commit;
}

void fake_row_store::Commit(const row_transaction& aTransaction,
                            commit_callback aReply)
{
  ++mCommits;
  if (mUnreachable || mFault == fault::Refuse) {
    Queue(aReply, row_store_error::Refused);
    return;
  }
  if (mFault == fault::Delay) {
    mDelayedWrites.push_back(aTransaction);
    Queue(aReply, row_store_error::Unknown);
    return;
  }
  const row_commit_reply commit = Apply(aTransaction);
  if (mFault == fault::LoseReply) {
    Queue(aReply, row_store_error::Unknown);
    return;
  }
  Queue(aReply, commit);
}

void fake_row_store::Read(const std::string& aTable,
                          const std::string& aPart,
                          const std::string& aFrom,
                          page_callback aReply)
{
  if (mUnreachable) {
    Queue(aReply, row_store_error::Refused);
    return;
  }
  row_page page;
  page.mVersion = mVersion;
  for (const auto& [key, row] : mRows) {
    if (key.mTable == aTable && key.mPartition == aPart && key.mKey >= aFrom) {
      page.mRows.push_back(row);
    }
  }
  Queue(aReply, page);
}

void fake_row_store::ReadChanges(const std::string& aTable,
                                 std::uint64_t aAfter,
                                 std::chrono::milliseconds,
                                 page_callback aReply)
{
  if (mUnreachable) {
    Queue(aReply, row_store_error::Refused);
    return;
  }
  if (aAfter < mHistoryFrom || aAfter > mVersion) {
    Queue(aReply, row_store_error::HistoryLost);
    return;
  }
  row_page page;
  page.mVersion = mVersion;
  for (const stored_row& change : mChanges) {
    if (change.mKey.mTable == aTable && change.mVersion > aAfter) {
      page.mRows.push_back(change);
    }
  }
  Queue(aReply, page);
}

void fake_row_store::Put(const row_key& aKey, const std::string& aValue)
{
  row_transaction transaction;
  transaction.mWrites.push_back({ aKey, aValue });
  Apply(transaction);
}

void fake_row_store::Remove(const row_key& aKey)
{
  row_transaction transaction;
  transaction.mRemovals.push_back(aKey);
  Apply(transaction);
}

void fake_row_store::ApplyDelayedWrites()
{
  for (const row_transaction& transaction : std::exchange(mDelayedWrites, {})) {
    Apply(transaction);
  }
}

void fake_row_store::DeliverReplies()
{
  const auto replies = std::exchange(mReplies, {});
  for (const queued_reply& reply : replies) {
    if (reply.mEra == mEra) {
      reply.mDeliver();
    } else {
      reply.mFail();
    }
  }
}

void fake_row_store::Restore(const copy& aCopy)
{
  mVersion = aCopy.mVersion;
  mRows = aCopy.mRows;
  mChanges = aCopy.mChanges;
  ++mEra;
}

std::optional<std::string> fake_row_store::Value(const row_key& aKey) const
{
  const auto found = mRows.find(aKey);
  return found == mRows.end() ? std::nullopt
                              : std::optional(found->second.mValue);
}
