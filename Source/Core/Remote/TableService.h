#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Identity.h"
#include "Common/Result.h"

/// The platform's transactional table service: rows by key, each with a
/// version that rises with every write.

/// Why a call to the table service failed.
enum class table_error : std::uint8_t
{
  /// No connection or an explicit refusal: nothing was applied.
  Unavailable,
  /// Over the service's rate limit: nothing was applied.
  RateLimited,
  /// No reply in time: the transaction may or may not have been applied.
  /// Committing the same transaction again returns the outcome.
  Timeout,
  /// The reply could not be parsed; treated like a timeout.
  Malformed,
};

std::string_view TableErrorName(table_error aError);

/// One row as read. An absent row has version 0 and no value.
struct table_row
{
  std::string mKey;
  std::uint64_t mVersion = 0;
  std::string mValue;
  auto operator<=>(const table_row&) const = default;
};

/// Condition of a transaction: the row has this version, or is absent if the
/// version is 0.
struct table_condition
{
  std::string mKey;
  std::uint64_t mVersion = 0;
  auto operator<=>(const table_condition&) const = default;
};

/// Writes a row, or deletes it when there is no value.
struct table_write
{
  std::string mKey;
  std::optional<std::string> mValue;
  auto operator<=>(const table_write&) const = default;
};

/// Applied as a whole or not at all.
struct table_transaction
{
  transaction_id mId;
  std::vector<table_condition> mConditions;
  std::vector<table_write> mWrites;
  auto operator<=>(const table_transaction&) const = default;
};

/// Reply to a commit.
struct commit_reply
{
  /// False when a condition failed; then nothing was written.
  bool mCommitted = false;
  /// Version of every row written by this transaction. The service gives one
  /// version to all rows of a transaction.
  std::uint64_t mVersion = 0;
  auto operator<=>(const commit_reply&) const = default;
};

/// Request for at most `mLimit` rows, in key order, whose keys start with the
/// prefix and come after `mAfter`.
struct table_scan
{
  std::string mPrefix;
  std::string mAfter;
  std::uint32_t mLimit = 0;
  auto operator<=>(const table_scan&) const = default;
};

/// Abstract table service. Replies come on the loop, never from inside the
/// call.
class table_service
{
public:
  using rows_callback =
    std::function<void(result<std::vector<table_row>, table_error>)>;
  using commit_callback =
    std::function<void(result<commit_reply, table_error>)>;

  virtual ~table_service() = default;

  /// Reads rows, in the order of the keys; absent rows have version 0.
  virtual void Read(std::vector<std::string> aKeys, rows_callback aReply) = 0;
  virtual void Scan(table_scan aScan, rows_callback aReply) = 0;
  /// Commits a transaction at most once per identifier, even if it is called
  /// repeatedly.
  virtual void Commit(table_transaction aTransaction,
                      commit_callback aReply) = 0;
};
