#include "Config/ConfigEditor.h"

#include <algorithm>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace {

// Request numbers from here on are the editor's own reads. The follower numbers
// its requests from 1.
constexpr std::uint64_t kFirstEditorRequest = std::uint64_t{ 1 } << 63U;

/// Compares in constant time for equal lengths, so that the duration does not
/// reveal how many characters of a guessed secret are correct.
bool EqualSecrets(const std::string& aLeft, const std::string& aRight)
{
  unsigned difference = aLeft.size() == aRight.size() ? 0 : 1;
  for (std::size_t i = 0; i < std::min(aLeft.size(), aRight.size()); ++i) {
    difference |= static_cast<unsigned>(aLeft[i] ^ aRight[i]);
  }
  return difference == 0;
}

} // namespace

std::string_view EditStatusName(edit_status aStatus)
{
  switch (aStatus) {
    case edit_status::Committed:
      return "committed";
    case edit_status::Conflict:
      return "conflict";
    case edit_status::Forbidden:
      return "forbidden";
    case edit_status::Invalid:
      return "invalid";
    case edit_status::Unavailable:
      return "unavailable";
    case edit_status::Unknown:
      return "unknown";
  }
  return "unknown";
}

config_editor::config_editor(std::vector<operator_key> aKeys,
                             std::uint64_t aSeed,
                             const config_editor_options& aOptions)
  : mKeys(std::move(aKeys))
  , mOptions(aOptions)
  , mFollower(aOptions.mFollower)
  , mSeed(aSeed)
{
}

void config_editor::Put(section_edit aEdit,
                        wall_time aWallNow,
                        time_point aNow,
                        time_point aDeadline)
{
  mEdit = std::move(aEdit);
  mWallNow = aWallNow;
  mDeadline = aDeadline;
  mOutcome.reset();
  mSendCount = 0;
  mRefusalCount = 0;
  if (std::string message = FindPermissionError(); !message.empty()) {
    Finish(edit_status::Forbidden, std::move(message));
    return;
  }
  if (std::string message = FindValidationError(); !message.empty()) {
    Finish(edit_status::Invalid, std::move(message));
    return;
  }
  StartReading(aNow);
}

config_editor_requests config_editor::Tick(time_point aNow)
{
  config_editor_requests requests;
  requests.mRows = mFollower.Tick(aNow);
  if (mStep == edit_step::Idle) {
    return requests;
  }
  if (aNow >= mDeadline) {
    FinishAtDeadline();
    return requests;
  }
  if (mStep == edit_step::Reading) {
    TryPrepare(aNow);
  }
  if (mStep == edit_step::Reading && aNow >= mNextRead) {
    RequestRows(aNow, requests);
  }
  if (mStep == edit_step::Committing && aNow >= mNextCommit) {
    mNextCommit = aNow + mOptions.mReplyTimeout;
    ++mSendCount;
    requests.mCommit = mTransaction;
  }
  return requests;
}

void config_editor::OnRead(
  std::uint64_t aRequest,
  const result<std::vector<table_row>, table_error>& aReply,
  time_point aNow)
{
  if (aRequest < kFirstEditorRequest) {
    mFollower.OnRead(aRequest, aReply, aNow);
    return;
  }
  if (mStep != edit_step::Reading || aRequest != mRowsRequest) {
    return;
  }
  mNextRead = aNow + mOptions.mRetryDelay;
  if (aReply.has_value()) {
    StoreRows(aReply.value());
    TryPrepare(aNow);
  }
}

void config_editor::OnScan(
  std::uint64_t aRequest,
  const result<std::vector<table_row>, table_error>& aReply,
  time_point aNow)
{
  mFollower.OnScan(aRequest, aReply, aNow);
}

void config_editor::OnCommit(const transaction_id& aTransaction,
                             const result<commit_reply, table_error>& aReply,
                             time_point aNow)
{
  if (mStep != edit_step::Committing || aTransaction != mTransaction.mId) {
    return;
  }
  if (aReply.has_error()) {
    const bool refused = aReply.error() == table_error::Unavailable ||
                         aReply.error() == table_error::RateLimited;
    mRefusalCount += refused ? 1 : 0;
    mNextCommit = aNow + mOptions.mRetryDelay;
    return;
  }
  if (!aReply.value().mCommitted) {
    // Another change was committed first. Reading the rows again shows whether
    // it changed the same section.
    StartReading(aNow);
    return;
  }
  Finish(edit_status::Committed, "");
  mOutcome->mVersion = mNewVersion;
  mFollower.OnHint(mNewVersion, aNow);
}

std::string config_editor::FindPermissionError() const
{
  for (const operator_key& key : mKeys) {
    if (key.mId != mEdit.mOperatorId ||
        !EqualSecrets(key.mSecret, mEdit.mOperatorSecret)) {
      continue;
    }
    return OwnsSection(key, mEdit.mSection)
             ? ""
             : fmt::format("operator key \"{}\" does not own section \"{}\"",
                           key.mId,
                           mEdit.mSection);
  }
  return fmt::format("unknown operator key \"{}\" or wrong secret",
                     mEdit.mOperatorId);
}

std::string config_editor::FindValidationError() const
{
  if (!mEdit.mText) {
    return IsSectionName(mEdit.mSection)
             ? ""
             : fmt::format("\"{}\" is not a section", mEdit.mSection);
  }
  const auto section = ParseSection(mEdit.mSection, *mEdit.mText);
  return section.has_error() ? FormatConfigErrors(section.error()) : "";
}

void config_editor::StartReading(time_point aNow)
{
  mStep = edit_step::Reading;
  mHeadRow.reset();
  mSectionRow.reset();
  mNextRead = aNow;
  mFollower.PollNow(aNow);
}

void config_editor::RequestRows(time_point aNow,
                                config_editor_requests& aRequests)
{
  ++mRowsRequest;
  mRowsRequest |= kFirstEditorRequest;
  mNextRead = aNow + mOptions.mReplyTimeout;
  aRequests.mRows.mReads.push_back(
    { mRowsRequest,
      { std::string(kConfigHeadKey), ConfigSectionKey(mEdit.mSection) } });
}

void config_editor::StoreRows(const std::vector<table_row>& aRows)
{
  for (const table_row& row : aRows) {
    if (row.mKey == kConfigHeadKey) {
      mHeadRow = row;
    } else if (row.mKey == ConfigSectionKey(mEdit.mSection)) {
      mSectionRow = row;
    }
  }
}

void config_editor::TryPrepare(time_point aNow)
{
  if (!mHeadRow || !mSectionRow) {
    return;
  }
  mHead = {};
  mSection = { mEdit.mSection, 0, std::nullopt };
  if (mHeadRow->mVersion > 0) {
    const auto head = ReadConfigHead(mHeadRow->mValue);
    if (head.has_error()) {
      Finish(edit_status::Invalid, "the stored head row cannot be read");
      return;
    }
    mHead = head.value();
  }
  if (mSectionRow->mVersion > 0) {
    const auto section = ReadConfigSection(mSectionRow->mValue);
    if (section.has_error()) {
      Finish(edit_status::Invalid, "the stored section row cannot be read");
      return;
    }
    mSection = section.value();
  }
  mFollower.OnHint(mHead.mVersion, aNow);
  if (!RowsMatchFollower() || FinishOnConflict()) {
    return;
  }
  const auto document =
    mFollower.Current().mDocument->With({ { mEdit.mSection, mEdit.mText } });
  if (document.has_error()) {
    Finish(edit_status::Invalid, FormatConfigErrors(document.error()));
    return;
  }
  BuildTransaction();
  mStep = edit_step::Committing;
  mNextCommit = aNow;
}

bool config_editor::RowsMatchFollower() const
{
  // Rows older than the document came from a lagging replica. If the document
  // is older than the rows, the follower is still reading the changes.
  return mFollower.Current().mVersion == mHead.mVersion &&
         mFollower.Digest() == mHead.mDigest &&
         mFollower.SectionVersion(mEdit.mSection) == mSection.mVersion;
}

bool config_editor::FinishOnConflict()
{
  if (mSection.mVersion == mEdit.mBaseVersion) {
    return false;
  }
  Finish(edit_status::Conflict,
         fmt::format("section \"{}\" is at version {}, the edit started from "
                     "version {}",
                     mEdit.mSection,
                     mSection.mVersion,
                     mEdit.mBaseVersion));
  mOutcome->mBaseVersion = mEdit.mBaseVersion;
  mOutcome->mStoredVersion = mSection.mVersion;
  mOutcome->mStoredText = mSection.mText;
  return true;
}

void config_editor::BuildTransaction()
{
  mNewVersion = mHead.mVersion + 1;
  mSendCount = 0;
  mRefusalCount = 0;
  const std::string changeKey = ConfigChangeKey(mNewVersion);
  const std::string sectionKey = ConfigSectionKey(mEdit.mSection);
  const std::uint64_t digest =
    mHead.mDigest ^ SectionDigest(mEdit.mSection, mSection.mVersion) ^
    SectionDigest(mEdit.mSection, mNewVersion);
  const config_change change{
    mNewVersion, mEdit.mSection,    mSection.mVersion, !mEdit.mText.has_value(),
    digest,      mEdit.mOperatorId, mEdit.mNote,       mWallNow
  };
  ++mTransactionCount;
  mTransaction.mId = { StableHash(fmt::format("config {}", mTransactionCount),
                                  mSeed),
                       StableHash(sectionKey, mSeed + mTransactionCount) };
  mTransaction.mConditions = { { std::string(kConfigHeadKey),
                                 mHeadRow->mVersion },
                               { sectionKey, mSectionRow->mVersion },
                               { changeKey, 0 } };
  mTransaction.mWrites = {
    { std::string(kConfigHeadKey), WriteConfigHead({ mNewVersion, digest }) },
    { changeKey, WriteConfigChange(change) },
    { sectionKey,
      WriteConfigSection({ mEdit.mSection, mNewVersion, mEdit.mText }) },
  };
}

void config_editor::Finish(edit_status aStatus, std::string aMessage)
{
  mStep = edit_step::Idle;
  mOutcome = edit_outcome{};
  mOutcome->mStatus = aStatus;
  mOutcome->mMessage = std::move(aMessage);
}

void config_editor::FinishAtDeadline()
{
  if (mStep == edit_step::Committing && mSendCount > mRefusalCount) {
    Finish(edit_status::Unknown,
           fmt::format("the outcome of change {} is not known; read the "
                       "section before editing it again",
                       mNewVersion));
    return;
  }
  Finish(edit_status::Unavailable,
         mFollower.LastError().empty()
           ? "the change could not be committed in time"
           : mFollower.LastError());
}

bool OwnsSection(const operator_key& aKey, std::string_view aSection)
{
  return std::ranges::any_of(aKey.mSections, [&](const std::string& aPattern) {
    return MatchesPattern(aPattern, aSection);
  });
}

std::vector<std::string> HistoryKeys(std::uint64_t aHeadVersion,
                                     std::uint64_t aCount)
{
  std::vector<std::string> keys;
  for (std::uint64_t i = 0; i < std::min(aCount, aHeadVersion); ++i) {
    keys.push_back(ConfigChangeKey(aHeadVersion - i));
  }
  return keys;
}
