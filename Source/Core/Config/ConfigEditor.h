#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Config/ConfigFollower.h"
#include "Config/NodeSettings.h"

/// A requested change of one section.
struct section_edit
{
  std::string mSection;
  /// New text of the section; without a text the section is removed.
  std::optional<std::string> mText;
  /// Version of the section that the operator started from; 0 for a new one.
  std::uint64_t mBaseVersion = 0;
  std::string mOperatorId;
  std::string mOperatorSecret;
  std::string mNote;
};

enum class edit_status : std::uint8_t
{
  /// Stored in the table. Nodes apply it after their next poll, within 5 s.
  Committed,
  /// Another edit changed the section after `mBaseVersion`.
  Conflict,
  /// The operator key is unknown, its secret is wrong, or it does not own the
  /// section.
  Forbidden,
  /// The changed document would not be valid.
  Invalid,
  /// The deadline passed and nothing was applied.
  Unavailable,
  /// The deadline passed while the outcome of a commit was not known.
  Unknown,
};

std::string_view EditStatusName(edit_status aStatus);

/// Final outcome of an edit.
struct edit_outcome
{
  edit_status mStatus = edit_status::Unavailable;
  /// Version of the document after the change; 0 unless committed.
  std::uint64_t mVersion = 0;
  /// On a conflict: the version started from and the version stored.
  std::uint64_t mBaseVersion = 0;
  std::uint64_t mStoredVersion = 0;
  std::optional<std::string> mStoredText;
  std::string mMessage;
};

/// Requests to send now, returned by `Tick`.
struct config_editor_requests
{
  config_requests mRows;
  /// Transaction for the table service. The reply is handed to `OnCommit`.
  std::optional<table_transaction> mCommit;
};

struct config_editor_options
{
  config_follower_options mFollower;
  /// A request without a reply for this long is sent again.
  std::chrono::milliseconds mReplyTimeout{ 1000 };
  /// Delay before a request that failed is sent again.
  std::chrono::milliseconds mRetryDelay{ 250 };
};

/// Changes one section of the fleet document by compare-and-set, one edit at a
/// time. Performs no I/O: time and replies are passed in, requests are
/// returned. After a lost reply it sends the same transaction again, which the
/// table service applies at most once. A concurrent change of another section
/// is not a conflict.
class config_editor
{
public:
  /// Transaction identifiers are derived from `aSeed`, so every editor needs a
  /// random one.
  config_editor(std::vector<operator_key> aKeys,
                std::uint64_t aSeed,
                const config_editor_options& aOptions);

  /// Starts an edit; the previous one must be finished.
  void Put(section_edit aEdit,
           wall_time aWallNow,
           time_point aNow,
           time_point aDeadline);

  config_editor_requests Tick(time_point aNow);
  void OnRead(std::uint64_t aRequest,
              const result<std::vector<table_row>, table_error>& aReply,
              time_point aNow);
  void OnScan(std::uint64_t aRequest,
              const result<std::vector<table_row>, table_error>& aReply,
              time_point aNow);
  void OnCommit(const transaction_id& aTransaction,
                const result<commit_reply, table_error>& aReply,
                time_point aNow);

  /// Set when the edit is finished.
  const std::optional<edit_outcome>& Outcome() const { return mOutcome; }
  /// Follower that holds the newest document known to the editor.
  const config_follower& Follower() const { return mFollower; }

private:
  enum class edit_step : std::uint8_t
  {
    Idle,
    /// Brings the document up to date and reads the rows to be replaced.
    Reading,
    /// Sends a transaction until its outcome is known.
    Committing,
  };

  std::string FindPermissionError() const;
  std::string FindValidationError() const;
  void StartReading(time_point aNow);
  void RequestRows(time_point aNow, config_editor_requests& aRequests);
  void StoreRows(const std::vector<table_row>& aRows);
  void TryPrepare(time_point aNow);
  bool FinishOnConflict();
  bool RowsMatchFollower() const;
  void BuildTransaction();
  void Finish(edit_status aStatus, std::string aMessage);
  void FinishAtDeadline();

  std::vector<operator_key> mKeys;
  config_editor_options mOptions;
  config_follower mFollower;
  std::uint64_t mSeed;
  std::uint64_t mTransactionCount = 0;

  edit_step mStep = edit_step::Idle;
  section_edit mEdit;
  wall_time mWallNow{};
  time_point mDeadline{};
  std::optional<edit_outcome> mOutcome;

  /// The rows that the transaction replaces; unset until read.
  std::optional<table_row> mHeadRow;
  std::optional<table_row> mSectionRow;
  config_head mHead;
  config_section mSection;
  /// Request number of the last read of these rows.
  std::uint64_t mRowsRequest = 0;
  time_point mNextRead{};

  table_transaction mTransaction;
  std::uint64_t mNewVersion = 0;
  /// How often the transaction was sent, and how many replies said that it was
  /// not applied.
  std::uint32_t mSendCount = 0;
  std::uint32_t mRefusalCount = 0;
  time_point mNextCommit{};
};

/// True when one of the key's patterns matches the section.
bool OwnsSection(const operator_key& aKey, std::string_view aSection);

/// Keys of the newest `aCount` change rows, newest first, for `history`.
std::vector<std::string> HistoryKeys(std::uint64_t aHeadVersion,
                                     std::uint64_t aCount);
