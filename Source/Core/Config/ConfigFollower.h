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

/// What to send now.
struct config_requests
{
  std::vector<config_read> mReads;
  std::vector<config_scan> mScans;
};

struct follower_options
{
  std::chrono::milliseconds mPollPeriod{ 2000 };
  /// A request without a reply for this long is sent again.
  std::chrono::milliseconds mReplyLimit{ 1000 };
  /// Pause before repeating a request that failed or gave stale rows.
  std::chrono::milliseconds mRetryPause{ 250 };
  /// Rows asked for by one tick.
  std::uint32_t mRowsPerTick = 64;
  /// Rows of one page of the start-up scan.
  std::uint32_t mScanPage = 256;
  /// A follower that is further behind scans the sections instead of reading
  /// the changes.
  std::uint64_t mMaxChangesBehind = 512;
  /// How long a node without a document waits for a version that peers named.
  std::chrono::milliseconds mStartHintLimit{ 1500 };
  /// Spreads the polls of nodes; usually a hash of the node's name.
  std::uint64_t mSeed = 0;
};

struct follower_counters
{
  std::uint64_t mApplied = 0;
  /// Versions kept out because the document was unreadable or invalid.
  std::uint64_t mRejected = 0;
  /// Rows that were malformed or in a newer format.
  std::uint64_t mUnreadableRows = 0;
  /// Rows older than what is already known.
  std::uint64_t mStaleRows = 0;
  std::uint64_t mFailedRequests = 0;
  /// Row sets that did not match the digest of their version.
  std::uint64_t mMismatches = 0;
  std::uint64_t mScansStarted = 0;
  std::uint64_t mRowsRead = 0;
  std::uint64_t mBytesRead = 0;
  auto operator<=>(const follower_counters&) const = default;
};

/// A document in force. Version 0 with an empty document before the first.
struct config_snapshot
{
  std::uint64_t mVersion = 0;
  std::shared_ptr<const fleet_document> mDocument;
};

/// Follows the configuration of the fleet. A pure system: time and replies are
/// passed in, requests are returned. Versions in force only ever rise.
class config_follower
{
public:
  explicit config_follower(const follower_options& aOptions);

  /// Requests that are due. Applies a newer document when it is complete.
  config_requests Tick(time_point aNow);
  /// Rows of a reply. Late replies are used as well, since every row carries
  /// its version.
  void OnRead(std::uint64_t aRequest,
              const result<std::vector<table_row>, table_error>& aReply,
              time_point aNow);
  void OnScan(std::uint64_t aRequest,
              const result<std::vector<table_row>, table_error>& aReply,
              time_point aNow);
  /// A peer has this version in force: polls at once.
  void OnHint(std::uint64_t aVersion, time_point aNow);
  /// Polls at once, for commands that need the newest document.
  void PollNow(time_point aNow);

  const config_snapshot& Current() const { return mCurrent; }
  /// True once a first document is in force.
  bool Ready() const { return mCurrent.mVersion > 0; }
  /// Version of a section in force; 0 if it never existed.
  std::uint64_t SectionVersion(const std::string& aName) const;
  /// Digest of the sections in force.
  std::uint64_t Digest() const { return mDigest; }
  /// Faults of the latest rejected document; empty when none.
  const std::string& LastFault() const { return mLastFault; }
  const follower_counters& Counters() const { return mCounters; }

private:
  struct pending_section
  {
    std::uint64_t mVersion = 0;
    std::optional<std::string> mText;
  };

  /// Progress through the pages of `config/section/`.
  struct scan_state
  {
    bool mActive = false;
    std::string mAfter;
    /// First request for the current page. Any reply to it or to a repetition
    /// advances the scan; else a store slower than the reply limit would never
    /// let it end.
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
  void NoteFailure(time_point aNow);
  std::chrono::microseconds PollPause();

  std::uint64_t Target() const;
  std::vector<std::string> MissingKeys() const;
  std::uint64_t KnownVersion(const std::string& aName) const;

  void TakeRow(const table_row& aRow);
  void TakeHead(const table_row& aRow);
  void TakeChange(const table_row& aRow);
  void TakeSection(const table_row& aRow);
  void TakeUnreadable(const table_row& aRow, config_row_error aError);

  void ApplyWhenComplete(time_point aNow);
  std::optional<std::uint64_t> DigestAt(std::uint64_t aVersion) const;
  std::uint64_t CandidateDigest() const;
  bool MustWaitForHint(std::uint64_t aTarget, time_point aNow) const;
  bool RejectUnreadable(std::uint64_t aTarget);
  void ApplyPending(std::uint64_t aTarget);
  void Reject(std::uint64_t aTarget, std::string aFault);

  follower_options mOptions;
  follower_counters mCounters;

  config_snapshot mCurrent;
  /// Versions of the sections in force.
  std::unordered_map<std::string, std::uint64_t> mSections;
  std::uint64_t mDigest = 0;

  /// Highest head seen.
  config_head mHead;
  bool mHeadSeen = false;
  /// Changes after this version are read one by one.
  std::uint64_t mBase = 0;
  std::map<std::uint64_t, config_change> mChanges;
  std::map<std::string, pending_section> mPending;
  /// Keys of rows that this program cannot read, forgotten when the target
  /// rises.
  std::set<std::string> mUnreadable;
  std::uint64_t mUnreadableTarget = 0;
  std::uint64_t mRejectedVersion = 0;
  std::string mLastFault;
  scan_state mScan;

  std::uint64_t mHint = 0;
  std::uint32_t mHintPolls = 0;
  time_point mHintDeadline{};

  std::uint64_t mNextRequest = 1;
  /// Deadlines of requests without a reply.
  std::map<std::uint64_t, time_point> mOpenRequests;
  std::uint32_t mFailuresInRow = 0;
  /// Rows that brought something new since the last request.
  bool mProgress = false;
  time_point mLastPoll{};
  time_point mNextPoll{};
  time_point mNotBefore{};
};
