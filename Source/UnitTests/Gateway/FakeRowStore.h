#pragma once

#include <deque>
#include <map>
#include <memory>

#include "Common/EventLoop.h"
#include "Remote/RowStore.h"

/// In-memory row store with the faults of the platform's store: refused calls,
/// lost replies, writes that are applied late, and a truncated change history.
class fake_row_store final : public row_store
{
public:
  enum class fault : std::uint8_t
  {
    None,
    Refuse,
    /// The write is applied and its reply lost.
    LoseReply,
    /// No reply; `ApplyDelayedWrites` applies the write if its conditions still
    /// hold.
    Delay,
  };

  void Commit(const row_transaction& aTransaction,
              commit_callback aReply) override;
  void Read(const std::string& aTable,
            const std::string& aPart,
            const std::string& aFrom,
            page_callback aReply) override;
  void ReadChanges(const std::string& aTable,
                   std::uint64_t aAfter,
                   std::chrono::milliseconds aWait,
                   page_callback aReply) override;
  std::uint64_t Era() const override { return mEra; }
  std::optional<std::chrono::milliseconds> Clock() const override
  {
    return mTime;
  }

  /// Writes a row as the operator or a server does.
  void Put(const row_key& aKey, const std::string& aValue);
  void Remove(const row_key& aKey);
  void ApplyDelayedWrites();
  /// Rows and history of the store at one time.
  struct copy
  {
    std::uint64_t mVersion = 0;
    std::map<row_key, stored_row> mRows;
    std::deque<stored_row> mChanges;
  };
  copy TakeCopy() const { return { mVersion, mRows, mChanges }; }
  /// Comes back from a copy, in a new era.
  void Restore(const copy& aCopy);
  /// Delivers the replies to the calls made so far.
  void DeliverReplies();
  std::optional<std::string> Value(const row_key& aKey) const;

  fault mFault = fault::None;
  bool mUnreachable = false;
  std::uint64_t mHistoryFrom = 0;
  unsigned mCommits = 0;
  std::uint64_t mEra = 1;
  /// Clock of the store.
  std::chrono::milliseconds mTime{ 1000 };

private:
  row_commit_reply Apply(const row_transaction& aTransaction);

  std::uint64_t mVersion = 0;
  std::map<row_key, stored_row> mRows;
  std::deque<stored_row> mChanges;
  std::deque<row_transaction> mDelayedWrites;
  /// A reply of an era; it says `Unknown` when delivered in a later one.
  struct queued_reply
  {
    std::uint64_t mEra = 0;
    std::function<void()> mDeliver;
    std::function<void()> mFail;
  };
  template<typename callback, typename reply>
  void Queue(callback aCallback, reply aReply)
  {
    mReplies.push_back(
      { mEra,
        [aCallback, aReply] { aCallback(aReply); },
        [aCallback] { aCallback(row_store_error::Unknown); } });
  }
  std::deque<queued_reply> mReplies;
};
