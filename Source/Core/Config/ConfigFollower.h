#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"
#include "Config/ConfigRows.h"
#include "Config/FleetDocument.h"
#include "Remote/TableService.h"

/// Request for rows. The reply is handed to `OnRead` with the same number.
struct config_read
{
  std::uint64_t mRequest = 0;
  std::vector<std::string> mKeys;
  auto operator<=>(const config_read&) const = default;
};

/// Request for a page of rows. The reply is handed to `OnScan`.
struct config_scan
{
  std::uint64_t mRequest = 0;
  table_scan mScan;
  auto operator<=>(const config_scan&) const = default;
};

/// Requests to send now, returned by `Tick`.
struct config_requests
{
  std::vector<config_read> mReads;
  std::vector<config_scan> mScans;
};

struct config_follower_options
{
  /// Longest interval between reads of the head row.
  std::chrono::milliseconds mPollInterval{ 2000 };
  /// A request without a reply for this long is sent again.
  std::chrono::milliseconds mReplyTimeout{ 1000 };
  /// Delay before a request that failed or returned stale rows is repeated.
  /// Doubles with each consecutive failure, up to four times this value.
  std::chrono::milliseconds mRetryDelay{ 250 };
  /// Most rows requested by one `Tick`.
  std::uint32_t mMaxRowsPerTick = 64;
  /// Rows in one page of a section scan.
  std::uint32_t mScanPageRows = 256;
  /// A follower that is more versions behind scans all sections instead of
  /// reading the changes one by one.
  std::uint64_t mMaxChangesBehind = 512;
  /// How long after the first hint a node without a document waits for the
  /// hinted version before it applies an older one.
  std::chrono::milliseconds mStartHintTimeout{ 1500 };
  /// Seed of the poll jitter; usually a hash of the node's name.
  std::uint64_t mSeed = 0;
};

struct config_follower_counters
{
  std::uint64_t mAppliedVersions = 0;
  /// Versions not applied because the document was unreadable or invalid.
  std::uint64_t mRejected = 0;
  /// Rows that were malformed or in a newer format.
  std::uint64_t mUnreadableRows = 0;
  /// Rows older than what is already known.
  std::uint64_t mStaleRows = 0;
  std::uint64_t mFailedRequests = 0;
  /// Complete sets of rows that did not match the digest of their version.
  std::uint64_t mDigestMismatches = 0;
  std::uint64_t mScansStarted = 0;
  std::uint64_t mRowsRead = 0;
  std::uint64_t mBytesRead = 0;
  auto operator<=>(const config_follower_counters&) const = default;
};

/// The applied document. Version 0 and an empty document until the first one
/// is applied.
struct config_snapshot
{
  std::uint64_t mVersion = 0;
  std::shared_ptr<const fleet_document> mDocument;
};

/// Keeps a copy of the fleet's configuration up to date by polling the table
/// service. Performs no I/O: time and replies are passed in, requests are
/// returned. The applied version never decreases.
class config_follower
{
public:
  explicit config_follower(const config_follower_options& aOptions);

  /// Requests that are due. Applies a newer document when it is complete.
  config_requests Tick(time_point aNow);
  /// Handles the rows of a reply. Rows of late replies are used as well, since
  /// every row carries its version.
  void OnRead(std::uint64_t aRequest,
              const result<std::vector<table_row>, table_error>& aReply,
              time_point aNow);
  void OnScan(std::uint64_t aRequest,
              const result<std::vector<table_row>, table_error>& aReply,
              time_point aNow);
  /// A peer has applied this version: polls ahead of the schedule if it is
  /// newer than every known version.
  void OnHint(std::uint64_t aVersion, time_point aNow);
  /// Polls at the next `Tick`, for commands that need the newest document.
  void PollNow(time_point aNow);

  const config_snapshot& Current() const { return mCurrent; }
  /// True once a first document has been applied.
  bool Ready() const { return mCurrent.mVersion > 0; }
  /// Applied version of a section; 0 if it never existed.
  std::uint64_t SectionVersion(const std::string& aName) const;
  /// Digest of the applied sections.
  std::uint64_t Digest() const { return mDigest; }
  /// Errors of the latest rejected version or unreadable row; empty after a
  /// version was applied.
  const std::string& LastError() const { return mLastError; }
  const config_follower_counters& Counters() const { return mCounters; }

private:
  struct pending_section
  {
    std::uint64_t mVersion = 0;
    std::optional<std::string> mText;
  };

  /// Progress of a scan through the rows under `config/section/`.
  struct scan_state
  {
    bool mActive = false;
    std::string mAfter;
    /// First request for the current page. A reply to it or to one of its
    /// repetitions advances the scan, because otherwise a scan could not end
    /// while the store is slower than the reply timeout.
    std::uint64_t mFirstRequest = 0;
    /// Earliest start of the next scan.
    time_point mNotBefore{};
    std::uint32_t mAttempts = 0;
  };

  using reply_rows = result<std::vector<table_row>, table_error>;

  void ExpireRequests(time_point aNow);
  std::uint64_t OpenRequest(time_point aNow);
  void CloseRequest(std::uint64_t aRequest,
                    const reply_rows& aReply,
                    time_point aNow);
  void RequestDue(time_point aNow, config_requests& aRequests);
  void RequestHead(time_point aNow, config_requests& aRequests);
  void RequestScanPage(time_point aNow, config_requests& aRequests);
  void StartScan(time_point aNow);
  void RecordFailure(time_point aNow);
  std::chrono::microseconds NextPollDelay();

  std::uint64_t TargetVersion() const;
  std::vector<std::string> MissingKeys() const;
  std::uint64_t KnownVersion(const std::string& aName) const;

  void HandleRow(const table_row& aRow);
  void HandleHead(const table_row& aRow);
  void HandleChange(const table_row& aRow);
  void HandleSection(const table_row& aRow);
  void HandleUnreadable(const table_row& aRow, config_row_error aError);

  void ApplyWhenComplete(time_point aNow);
  std::optional<std::uint64_t> DigestAt(std::uint64_t aVersion) const;
  std::uint64_t CandidateDigest() const;
  bool MustWaitForHint(std::uint64_t aTargetVersion, time_point aNow) const;
  bool RejectUnreadable(std::uint64_t aTargetVersion);
  void ApplyPending(std::uint64_t aTargetVersion);
  void Reject(std::uint64_t aTargetVersion, std::string aError);

  config_follower_options mOptions;
  config_follower_counters mCounters;

  config_snapshot mCurrent;
  /// Versions of the applied sections.
  std::unordered_map<std::string, std::uint64_t> mSections;
  std::uint64_t mDigest = 0;

  /// Head row with the highest version seen.
  config_head mHead;
  bool mHeadSeen = false;
  /// Changes up to this version are covered by the applied document or by the
  /// latest scan; later ones are read one by one.
  std::uint64_t mCoveredVersion = 0;
  std::map<std::uint64_t, config_change> mChanges;
  std::map<std::string, pending_section> mPendingSections;
  /// Keys of rows that this program cannot read. Cleared when the target
  /// version rises, because the new change may have replaced such a row.
  std::set<std::string> mUnreadableKeys;
  std::uint64_t mUnreadableKeysTarget = 0;
  std::uint64_t mRejectedVersion = 0;
  std::string mLastError;
  scan_state mScan;

  std::uint64_t mHintedVersion = 0;
  std::uint32_t mHintPolls = 0;
  time_point mHintDeadline{};

  std::uint64_t mNextRequest = 1;
  /// Deadlines of requests without a reply.
  std::map<std::uint64_t, time_point> mOpenRequests;
  std::uint32_t mFailuresInRow = 0;
  /// Whether a reply since the last request contained anything new.
  bool mReceivedNewRows = false;
  time_point mLastPoll{};
  time_point mNextPoll{};
  time_point mNotBefore{};
};
