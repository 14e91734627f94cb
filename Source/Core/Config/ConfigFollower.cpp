#include "Config/ConfigFollower.h"

#include <algorithm>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// A hinted version that the store does not return is either not yet on a
// lagging replica or wrong. After this many extra polls the regular interval
// applies.
constexpr std::uint32_t kMaxHintPolls = 8;
// Hints reach all nodes at about the same time; their polls are spread over
// this time.
constexpr milliseconds kHintPollSpread{ 200 };
// The retry delay doubles with each consecutive failure, at most this often.
constexpr std::uint32_t kMaxRetryDoublings = 2;
// A scan reads every section, so the delay before a repeated scan doubles up to
// 128 times the retry delay, 32 s by default.
constexpr std::uint32_t kMaxScanDoublings = 7;

std::string UnreadableText(config_row_error aError)
{
  return aError == config_row_error::NewerFormat
           ? "was written in a newer format"
           : "is malformed";
}

} // namespace

config_follower::config_follower(const config_follower_options& aOptions)
  : mOptions(aOptions)
  , mCurrent{ 0, std::make_shared<fleet_document>() }
{
}

config_requests config_follower::Tick(time_point aNow)
{
  ExpireRequests(aNow);
  ApplyWhenComplete(aNow);
  config_requests requests;
  if (mOpenRequests.empty() && aNow >= mNotBefore) {
    RequestDue(aNow, requests);
  }
  return requests;
}

void config_follower::OnRead(std::uint64_t aRequest,
                             const reply_rows& aReply,
                             time_point aNow)
{
  CloseRequest(aRequest, aReply, aNow);
  if (aReply.has_error()) {
    return;
  }
  for (const table_row& row : aReply.value()) {
    HandleRow(row);
  }
  if (!mReceivedNewRows && !MissingKeys().empty()) {
    // A lagging replica answered; an immediate retry would return the same
    // rows.
    mNotBefore = aNow + mOptions.mRetryDelay;
  }
  if (mHintedVersion > TargetVersion() && mHintPolls < kMaxHintPolls) {
    ++mHintPolls;
    mNextPoll = std::min(mNextPoll, aNow + microseconds(mOptions.mRetryDelay));
  }
}

void config_follower::OnScan(std::uint64_t aRequest,
                             const reply_rows& aReply,
                             time_point aNow)
{
  CloseRequest(aRequest, aReply, aNow);
  if (aReply.has_error()) {
    return;
  }
  const auto& rows = aReply.value();
  for (const table_row& row : rows) {
    HandleRow(row);
  }
  if (!mScan.mActive || aRequest < mScan.mFirstRequest) {
    return;
  }
  if (rows.size() < mOptions.mScanPageRows) {
    mScan.mActive = false;
  } else {
    mScan.mAfter = rows.back().mKey;
    mScan.mFirstRequest = mNextRequest;
  }
}

void config_follower::OnHint(std::uint64_t aVersion, time_point aNow)
{
  if (aVersion <= mHintedVersion || aVersion <= TargetVersion()) {
    return;
  }
  if (mHintedVersion == 0) {
    mHintDeadline = aNow + mOptions.mStartHintTimeout;
  }
  mHintedVersion = aVersion;
  mHintPolls = 0;
  const microseconds spread(mOptions.mSeed %
                            microseconds(kHintPollSpread).count());
  const time_point earliest = mLastPoll + mOptions.mRetryDelay;
  mNextPoll = std::min(mNextPoll, std::max(aNow + spread, earliest));
}

void config_follower::PollNow(time_point aNow)
{
  mNextPoll = std::min(mNextPoll, aNow);
}

std::uint64_t config_follower::SectionVersion(const std::string& aName) const
{
  const auto found = mSections.find(aName);
  return found == mSections.end() ? 0 : found->second;
}

void config_follower::ExpireRequests(time_point aNow)
{
  const auto expired = std::erase_if(
    mOpenRequests, [aNow](const auto& aOpen) { return aOpen.second <= aNow; });
  if (expired > 0) {
    RecordFailure(aNow);
  }
}

std::uint64_t config_follower::OpenRequest(time_point aNow)
{
  const std::uint64_t request = mNextRequest++;
  mOpenRequests[request] = aNow + mOptions.mReplyTimeout;
  mReceivedNewRows = false;
  return request;
}

void config_follower::CloseRequest(std::uint64_t aRequest,
                                   const reply_rows& aReply,
                                   time_point aNow)
{
  const bool wasOpen = mOpenRequests.erase(aRequest) > 0;
  if (aReply.has_value()) {
    mFailuresInRow = 0;
  } else if (wasOpen) {
    RecordFailure(aNow);
  }
}

void config_follower::RecordFailure(time_point aNow)
{
  ++mCounters.mFailedRequests;
  const std::uint32_t doublings = std::min(mFailuresInRow, kMaxRetryDoublings);
  mNotBefore = aNow + mOptions.mRetryDelay * (1U << doublings);
  mNextPoll = std::min(mNextPoll, mNotBefore);
  ++mFailuresInRow;
}

void config_follower::RequestDue(time_point aNow, config_requests& aRequests)
{
  const bool behind =
    TargetVersion() - std::min(mCoveredVersion, TargetVersion()) >
    mOptions.mMaxChangesBehind;
  const bool needsFirstScan =
    mHead.mVersion > 0 && !Ready() && mCoveredVersion == 0;
  if (!mScan.mActive && (behind || needsFirstScan)) {
    StartScan(aNow);
  }
  if (mScan.mActive) {
    if (aNow >= mScan.mNotBefore) {
      RequestScanPage(aNow, aRequests);
    }
  } else {
    std::vector<std::string> keys = MissingKeys();
    if (!keys.empty()) {
      aRequests.mReads.push_back({ OpenRequest(aNow), std::move(keys) });
    }
  }
  if (mOpenRequests.empty() && aNow >= mNextPoll) {
    RequestHead(aNow, aRequests);
  }
}

void config_follower::RequestHead(time_point aNow, config_requests& aRequests)
{
  mLastPoll = aNow;
  mNextPoll = aNow + NextPollDelay();
  aRequests.mReads.push_back(
    { OpenRequest(aNow), { std::string(kConfigHeadKey) } });
}

void config_follower::RequestScanPage(time_point aNow,
                                      config_requests& aRequests)
{
  aRequests.mScans.push_back({ OpenRequest(aNow),
                               { std::string(kConfigSectionPrefix),
                                 mScan.mAfter,
                                 mOptions.mScanPageRows } });
}

void config_follower::StartScan(time_point aNow)
{
  ++mCounters.mScansStarted;
  mScan.mActive = true;
  mScan.mAfter.clear();
  mScan.mFirstRequest = mNextRequest;
  mScan.mNotBefore = aNow;
  if (mScan.mAttempts > 0) {
    const std::uint32_t doublings =
      std::min(mScan.mAttempts - 1, kMaxScanDoublings);
    mScan.mNotBefore = aNow + mOptions.mRetryDelay * (1U << doublings);
  }
  ++mScan.mAttempts;
  // The pages are read after this head, so they contain every change up to it.
  // The digest detects pages that a lagging replica returned.
  mCoveredVersion = std::max(mCoveredVersion, mHead.mVersion);
}

microseconds config_follower::NextPollDelay()
{
  // 0.85 to 1 times the interval, so that nodes do not poll in step.
  const std::uint64_t jitterPerMille =
    StableHash("poll", mOptions.mSeed + mNextRequest) % 150;
  return microseconds(mOptions.mPollInterval) * (1000 - jitterPerMille) / 1000;
}

std::uint64_t config_follower::TargetVersion() const
{
  std::uint64_t targetVersion = std::max(mHead.mVersion, mCurrent.mVersion);
  for (const auto& [name, pending] : mPendingSections) {
    targetVersion = std::max(targetVersion, pending.mVersion);
  }
  return targetVersion;
}

std::uint64_t config_follower::KnownVersion(const std::string& aName) const
{
  const auto pending = mPendingSections.find(aName);
  return pending != mPendingSections.end() ? pending->second.mVersion
                                           : SectionVersion(aName);
}

std::vector<std::string> config_follower::MissingKeys() const
{
  std::vector<std::string> keys;
  const auto add = [this, &keys](std::string aKey) {
    if (keys.size() < mOptions.mMaxRowsPerTick &&
        !mUnreadableKeys.contains(aKey)) {
      keys.push_back(std::move(aKey));
    }
  };
  const std::uint64_t targetVersion = TargetVersion();
  for (std::uint64_t version = mCoveredVersion + 1;
       version <= targetVersion && keys.size() < mOptions.mMaxRowsPerTick;
       ++version) {
    if (!mChanges.contains(version)) {
      add(ConfigChangeKey(version));
    }
  }
  std::map<std::string, std::uint64_t> latestVersions;
  for (const auto& [version, change] : mChanges) {
    latestVersions[change.mSection] = version;
  }
  for (const auto& [name, version] : latestVersions) {
    if (KnownVersion(name) < version) {
      add(ConfigSectionKey(name));
    }
  }
  return keys;
}

void config_follower::HandleRow(const table_row& aRow)
{
  ++mCounters.mRowsRead;
  mCounters.mBytesRead += aRow.mKey.size() + aRow.mValue.size();
  if (aRow.mKey == kConfigHeadKey) {
    HandleHead(aRow);
  } else if (aRow.mVersion == 0) {
    ++mCounters.mStaleRows;
  } else if (aRow.mKey.starts_with(kConfigChangePrefix)) {
    HandleChange(aRow);
  } else if (aRow.mKey.starts_with(kConfigSectionPrefix)) {
    HandleSection(aRow);
  }
}

void config_follower::HandleHead(const table_row& aRow)
{
  config_head head;
  if (aRow.mVersion > 0) {
    const auto read = ReadConfigHead(aRow.mValue);
    if (read.has_error()) {
      HandleUnreadable(aRow, read.error());
      return;
    }
    head = read.value();
  }
  mUnreadableKeys.erase(aRow.mKey);
  if (mHeadSeen && head.mVersion < mHead.mVersion) {
    ++mCounters.mStaleRows;
    return;
  }
  if (!mHeadSeen || head.mVersion > mHead.mVersion) {
    mHead = head;
    mHeadSeen = true;
    mReceivedNewRows = true;
  }
}

void config_follower::HandleChange(const table_row& aRow)
{
  const auto read = ReadConfigChange(aRow.mValue);
  if (read.has_error()) {
    HandleUnreadable(aRow, read.error());
    return;
  }
  const config_change& change = read.value();
  if (ConfigChangeKey(change.mVersion) != aRow.mKey) {
    HandleUnreadable(aRow, config_row_error::Malformed);
    return;
  }
  if (change.mVersion > mCoveredVersion) {
    mReceivedNewRows =
      mChanges.emplace(change.mVersion, change).second || mReceivedNewRows;
  }
}

void config_follower::HandleSection(const table_row& aRow)
{
  const auto read = ReadConfigSection(aRow.mValue);
  if (read.has_error()) {
    HandleUnreadable(aRow, read.error());
    return;
  }
  const config_section& section = read.value();
  if (ConfigSectionKey(section.mName) != aRow.mKey) {
    HandleUnreadable(aRow, config_row_error::Malformed);
    return;
  }
  const std::uint64_t known = KnownVersion(section.mName);
  if (section.mVersion < known) {
    ++mCounters.mStaleRows;
  } else if (section.mVersion > known) {
    mPendingSections[section.mName] = { section.mVersion, section.mText };
    mReceivedNewRows = true;
  }
}

void config_follower::HandleUnreadable(const table_row& aRow,
                                       config_row_error aError)
{
  mLastError = fmt::format("row {} {}", aRow.mKey, UnreadableText(aError));
  const bool added = mUnreadableKeys.insert(aRow.mKey).second;
  mUnreadableKeysTarget = TargetVersion();
  if (added) {
    ++mCounters.mUnreadableRows;
    mReceivedNewRows = true;
  }
}

void config_follower::ApplyWhenComplete(time_point aNow)
{
  const std::uint64_t targetVersion = TargetVersion();
  if (targetVersion > mUnreadableKeysTarget) {
    // The new change may have replaced an unreadable row.
    mUnreadableKeys.clear();
    mUnreadableKeysTarget = targetVersion;
  }
  const bool scanned = mCoveredVersion > 0;
  if (targetVersion <= mCurrent.mVersion || targetVersion == mRejectedVersion ||
      mScan.mActive || !scanned || !MissingKeys().empty() ||
      MustWaitForHint(targetVersion, aNow)) {
    return;
  }
  if (RejectUnreadable(targetVersion)) {
    return;
  }
  const std::optional<std::uint64_t> digest = DigestAt(targetVersion);
  if (digest != CandidateDigest()) {
    // The rows belong to different versions.
    ++mCounters.mDigestMismatches;
    StartScan(aNow);
    return;
  }
  ApplyPending(targetVersion);
}

bool config_follower::RejectUnreadable(std::uint64_t aTargetVersion)
{
  const std::string latest = ConfigChangeKey(aTargetVersion);
  for (const std::string& key : mUnreadableKeys) {
    // An older change row may be unreadable: the digest covers its section.
    if (key == latest || key.starts_with(kConfigSectionPrefix)) {
      Reject(aTargetVersion, mLastError);
      return true;
    }
  }
  return false;
}

std::optional<std::uint64_t> config_follower::DigestAt(
  std::uint64_t aVersion) const
{
  if (aVersion == mHead.mVersion) {
    return mHead.mDigest;
  }
  const auto change = mChanges.find(aVersion);
  if (change == mChanges.end()) {
    return std::nullopt;
  }
  return change->second.mDigest;
}

std::uint64_t config_follower::CandidateDigest() const
{
  std::uint64_t digest = mDigest;
  for (const auto& [name, pending] : mPendingSections) {
    digest ^= SectionDigest(name, SectionVersion(name));
    digest ^= SectionDigest(name, pending.mVersion);
  }
  return digest;
}

bool config_follower::MustWaitForHint(std::uint64_t aTargetVersion,
                                      time_point aNow) const
{
  return !Ready() && aTargetVersion < mHintedVersion && aNow < mHintDeadline;
}

void config_follower::ApplyPending(std::uint64_t aTargetVersion)
{
  std::vector<section_change> changes;
  for (const auto& [name, pending] : mPendingSections) {
    changes.push_back({ name, pending.mText });
  }
  auto document = mCurrent.mDocument->With(changes);
  if (document.has_error()) {
    Reject(aTargetVersion, FormatConfigErrors(document.error()));
    return;
  }
  mDigest = CandidateDigest();
  for (const auto& [name, pending] : mPendingSections) {
    mSections[name] = pending.mVersion;
  }
  mPendingSections.clear();
  mChanges.erase(mChanges.begin(), mChanges.upper_bound(aTargetVersion));
  mCoveredVersion = aTargetVersion;
  mScan.mAttempts = 0;
  mLastError.clear();
  mCurrent = { aTargetVersion,
               std::make_shared<const fleet_document>(
                 std::move(document.value())) };
  ++mCounters.mAppliedVersions;
}

void config_follower::Reject(std::uint64_t aTargetVersion, std::string aError)
{
  mRejectedVersion = aTargetVersion;
  mLastError = std::move(aError);
  ++mCounters.mRejected;
}
