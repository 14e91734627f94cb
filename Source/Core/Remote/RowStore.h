#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Result.h"

/// A transactional store of rows in tables and parts, with a feed of changes.

struct row_key
{
  std::string mTable;
  std::string mPart;
  std::string mKey;
  auto operator<=>(const row_key&) const = default;
};

/// A row as read, or as a feed reports it.
struct stored_row
{
  row_key mKey;
  std::string mValue;
  /// Rises with every transaction of the store.
  std::uint64_t mVersion = 0;
  bool mRemoved = false;
  auto operator<=>(const stored_row&) const = default;
};

/// The transaction is applied only if the row has this version; 0 means that
/// the row must not exist.
struct row_condition
{
  row_key mKey;
  std::uint64_t mVersion = 0;
  auto operator<=>(const row_condition&) const = default;
};

struct row_write
{
  row_key mKey;
  std::string mValue;
  auto operator<=>(const row_write&) const = default;
};

/// Applied as a whole or not at all. All rows have the same part.
struct row_transaction
{
  std::vector<row_condition> mConditions;
  std::vector<row_write> mWrites;
  std::vector<row_key> mRemovals;
  auto operator<=>(const row_transaction&) const = default;
};

struct row_commit
{
  bool mCommitted = false;
  std::uint64_t mVersion = 0;
  /// When a condition failed: the rows that the conditions name, as they are.
  std::vector<stored_row> mCurrent;
  /// The store's steady clock when it answered.
  std::chrono::milliseconds mStoreTime{ 0 };
  auto operator<=>(const row_commit&) const = default;
};

struct row_page
{
  std::vector<stored_row> mRows;
  bool mMore = false;
  /// Newest version of the store at the time of the read.
  std::uint64_t mVersion = 0;
  /// The store's clock, where the reply tells it.
  std::optional<std::chrono::milliseconds> mStoreTime{};
  auto operator<=>(const row_page&) const = default;
};

/// Why a call gave no answer.
enum class row_store_error : std::uint8_t
{
  /// Refused or not connected: nothing was done.
  Refused,
  /// No answer: a transaction may have been applied, or may be applied later
  /// while its conditions hold.
  Unknown,
  /// The store no longer has the changes asked for; read the table again.
  HistoryLost,
};

std::string_view RowStoreErrorName(row_store_error aError);

/// Abstract store. Replies come on the loop, never from inside the call.
class row_store
{
public:
  using commit_callback =
    std::function<void(result<row_commit, row_store_error>)>;
  using page_callback = std::function<void(result<row_page, row_store_error>)>;

  virtual ~row_store() = default;

  virtual void Commit(const row_transaction& aTransaction,
                      commit_callback aReply) = 0;
  /// Rows of one part in key order, from `aFrom` on.
  virtual void Read(const std::string& aTable,
                    const std::string& aPart,
                    const std::string& aFrom,
                    page_callback aReply) = 0;
  /// Changes of a table after a version; waits for one up to `aWait`.
  virtual void Follow(const std::string& aTable,
                      std::uint64_t aAfter,
                      std::chrono::milliseconds aWait,
                      page_callback aReply) = 0;
};
