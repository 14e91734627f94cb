#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Config/ConfigFollower.h"
#include "Config/NodeSettings.h"

/// A change of one section.
struct section_edit
{
  std::string mSection;
  /// The section as written; nothing removes it.
  std::optional<std::string> mText;
  /// Version of the section that the operator started from; 0 for a new one.
  std::uint64_t mBaseVersion = 0;
  std::string mOperatorId;
  std::string mOperatorSecret;
  std::string mNote;
};

enum class edit_status : std::uint8_t
{
  /// In the table; takes effect everywhere within seconds.
  Committed,
  /// Someone else changed the section after `mBaseVersion`.
  Conflict,
  /// Key unknown, wrong secret, or not the section's owner.
  Forbidden,
  /// The document would not be valid.
  Invalid,
  /// Nothing was applied before the deadline.
  Unavailable,
  /// The deadline passed while the outcome of a commit was not known.
  Unknown,
};

std::string_view EditStatusName(edit_status aStatus);

/// Final outcome of an edit.
struct edit_outcome
{
  edit_status mStatus = edit_status::Unavailable;
  /// Version of the change, when committed.
  std::uint64_t mVersion = 0;
  /// On a conflict: the version started from and the version stored.
  std::uint64_t mBaseVersion = 0;
  std::uint64_t mStoredVersion = 0;
  std::optional<std::string> mStoredText;
  std::string mMessage;
};

/// What to send now.
struct editor_requests
{
  config_requests mRows;
  /// Handed to the table service; the reply goes to `OnCommit`.
  std::optional<table_transaction> mCommit;
};

struct editor_options
{
  follower_options mFollower;
  std::chrono::milliseconds mReplyLimit{ 1000 };
  std::chrono::milliseconds mRetryPause{ 250 };
};

/// Edits one section by compare-and-set. A pure system for one edit at a time.
/// A lost reply is settled by sending the same transaction again; a change of
/// another section in between is not a conflict.
class config_editor
{
public:
  /// `aSeed` must be random per editor: transaction identities come from it.
  config_editor(std::vector<operator_key> aKeys,
                std::uint64_t aSeed,
                const editor_options& aOptions);

  /// Starts an edit; the previous one must be finished.
  void Put(section_edit aEdit,
           wall_time aWallNow,
           time_point aNow,
           time_point aDeadline);

  editor_requests Tick(time_point aNow);
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
  /// The newest document that the editor knows.
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

  std::string WhyForbidden() const;
  std::string WhyInvalid() const;
  void StartReading(time_point aNow);
  void RequestRows(time_point aNow, editor_requests& aRequests);
  void TakeRows(const std::vector<table_row>& aRows);
  void TryPrepare(time_point aNow);
  bool FinishOnConflict();
  bool RowsMatchFollower() const;
  void BuildTransaction();
  void Finish(edit_status aStatus, std::string aMessage);
  void FinishLate();

  std::vector<operator_key> mKeys;
  editor_options mOptions;
  config_follower mFollower;
  std::uint64_t mSeed;
  std::uint64_t mTransactions = 0;

  edit_step mStep = edit_step::Idle;
  section_edit mEdit;
  wall_time mWallNow{};
  time_point mDeadline{};
  std::optional<edit_outcome> mOutcome;

  /// Rows to be replaced, with their row versions; unset until read.
  std::optional<table_row> mHeadRow;
  std::optional<table_row> mSectionRow;
  config_head mHead;
  config_section mSection;
  /// Request number of the last read of these rows.
  std::uint64_t mRowsRequest = 0;
  time_point mNextRead{};

  table_transaction mTransaction;
  std::uint64_t mNewVersion = 0;
  /// Sends of the transaction, and replies that it was not applied.
  std::uint32_t mSends = 0;
  std::uint32_t mRefusals = 0;
  time_point mNextCommit{};
};

/// True when one of the key's patterns matches the section.
bool OwnsSection(const operator_key& aKey, std::string_view aSection);

/// Keys of the newest `aCount` change rows, newest first, for `history`.
std::vector<std::string> HistoryKeys(std::uint64_t aHeadVersion,
                                     std::uint64_t aCount);
