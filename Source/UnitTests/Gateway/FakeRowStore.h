#pragma once

#include <deque>
#include <map>
#include <memory>

#include "Common/EventLoop.h"
#include "Remote/RowStore.h"

/// A row store in memory with the faults of the platform's store: refusals,
/// lost replies, writes that are applied late, and dropped history.
class fake_row_store final : public row_store
{
public:
  enum class fault : std::uint8_t
  {
    None,
    Refuse,
    /// Applied, but no reply.
    LoseReply,
    /// No reply; applied by `ApplyLate` if the conditions still hold.
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

  /// Writes a row as the operator or a server does.
  void Put(const row_key& aKey, const std::string& aValue);
  void Remove(const row_key& aKey);
  void ApplyLate();
  /// Answers the calls made so far.
  void Deliver();
  std::optional<std::string> Value(const row_key& aKey) const;

  fault mFault = fault::None;
  bool mDown = false;
  std::uint64_t mHistoryFrom = 0;
  unsigned mCommits = 0;
  /// Clock of the store.
  std::chrono::milliseconds mTime{ 1000 };

private:
  row_commit_reply Apply(const row_transaction& aTransaction);

  std::uint64_t mVersion = 0;
  std::map<row_key, stored_row> mRows;
  std::deque<stored_row> mChanges;
  std::deque<row_transaction> mLate;
  std::deque<std::function<void()>> mReplies;
};
