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
#include "Common/Time.h"

/// A transactional store of rows in partitioned tables with a change feed. The
/// gateway uses it; `table_service` is the flat key-value table of the nodes.

/// Key of a row. Transactions span the rows of one partition.
struct row_key
{
  std::string mTable;
  std::string mPartition;
  std::string mKey;
  auto operator<=>(const row_key&) const = default;
};

/// A row as read or as reported by the change feed.
struct stored_row
{
  row_key mKey;
  std::string mValue;
  /// Version of the transaction that wrote the row; rises with every
  /// transaction of the store.
  std::uint64_t mVersion = 0;
  bool mRemoved = false;
  auto operator<=>(const stored_row&) const = default;
};

/// Condition of a transaction: the row has this version, or does not exist if
/// the version is 0.
struct row_condition
{
  row_key mKey;
  std::uint64_t mVersion = 0;
  auto operator<=>(const row_condition&) const = default;
};

/// Sets the value of a row.
struct row_write
{
  row_key mKey;
  std::string mValue;
  auto operator<=>(const row_write&) const = default;
};

/// Applied as a whole or not at all. All rows belong to the same partition.
struct row_transaction
{
  std::vector<row_condition> mConditions;
  std::vector<row_write> mWrites;
  std::vector<row_key> mRemovals;
  auto operator<=>(const row_transaction&) const = default;
};

/// Reply to a transaction.
struct row_commit_reply
{
  bool mCommitted = false;
  /// Version of the rows written.
  std::uint64_t mVersion = 0;
  /// After a failed condition, the current state of the rows in the conditions.
  std::vector<stored_row> mCurrent;
  /// The store's monotonic clock at the time of the reply.
  std::chrono::milliseconds mStoreTime{ 0 };
  auto operator<=>(const row_commit_reply&) const = default;
};

/// Reply to a read or to a request for changes.
struct row_page
{
  std::vector<stored_row> mRows;
  /// More rows follow the last one of this page.
  bool mHasMore = false;
  /// Newest version of the store at the time of the read.
  std::uint64_t mVersion = 0;
  /// The store's monotonic clock, if the reply contains it.
  std::optional<std::chrono::milliseconds> mStoreTime{};
  /// Earliest local time at which the page can have been read; nothing if only
  /// the time of the call bounds it.
  std::optional<time_point> mReadAt{};
  auto operator<=>(const row_page&) const = default;
};

/// Why a call failed.
enum class row_store_error : std::uint8_t
{
  /// Refused or not connected: nothing was applied.
  Refused,
  /// No reply: a transaction may have been applied, or may be applied later if
  /// its conditions still hold.
  Unknown,
  /// The store no longer has the requested changes; the table must be read
  /// again.
  HistoryLost,
};

std::string_view RowStoreErrorName(row_store_error aError);

/// Abstract store. Replies come on the loop, never from inside the call. A
/// reply belongs to the era that `Era` tells when it is delivered.
class row_store
{
public:
  using commit_callback =
    std::function<void(result<row_commit_reply, row_store_error>)>;
  using page_callback = std::function<void(result<row_page, row_store_error>)>;

  virtual ~row_store() = default;

  virtual void Commit(const row_transaction& aTransaction,
                      commit_callback aReply) = 0;
  /// Reads rows of one partition in key order, starting at key `aFrom`.
  virtual void Read(const std::string& aTable,
                    const std::string& aPartition,
                    const std::string& aFrom,
                    page_callback aReply) = 0;
  /// Reads the changes of a table after a version. Without any the store waits
  /// up to `aWait` for the next one.
  virtual void ReadChanges(const std::string& aTable,
                           std::uint64_t aAfter,
                           std::chrono::milliseconds aWait,
                           page_callback aReply) = 0;

  /// Rises each time the store comes back from an older copy of its rows, which
  /// lacks what was written since; 0 until a reply has told it.
  virtual std::uint64_t Era() const = 0;
  /// The store's monotonic clock, estimated since the last reply that told it;
  /// nothing before.
  virtual std::optional<std::chrono::milliseconds> Clock() const = 0;
};
