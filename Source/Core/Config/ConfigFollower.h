#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"
#include "Config/ConfigRows.h"
#include "Config/FleetDocument.h"
#include "Platform/TableService.h"

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
  std::chrono::milliseconds mStartHintLimit{ 5000 };
  /// Spreads the polls of nodes; usually a hash of the node's name.
  std::uint64_t mSeed = 0;
};

struct follower_counters
{
  std::uint64_t mApplied = 0;
  /// Versions kept out because the document was unreadable or invalid.
  std::uint64_t mRejected = 0;
  /// Rows older than what is already known.
  std::uint64_t mStaleRows = 0;
  std::uint64_t mFailedRequests = 0;
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
  bool Ready() const { return mReady; }
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
    /// The row cannot be read by this program.
    bool mUnreadable = false;
  };

  bool InFlight(time_point aNow);
  std::uint64_t Target() const;
  void StartScan(time_point aNow);
  void RequestHead(time_point aNow, config_requests& aRequests);
  void RequestScanPage(time_point aNow, config_requests& aRequests);
  void RequestMissing(time_point aNow, config_requests& aRequests);
  std::vector<std::string> MissingKeys() const;
  std::map<std::string, std::uint64_t> WantedSections() const;
  std::uint64_t KnownVersion(const std::string& aName) const;
  void Retry(time_point aNow);
  void TakeRow(const table_row& aRow);
  void TakeHead(const table_row& aRow);
  void TakeChange(const table_row& aRow);
  void TakeSection(const table_row& aRow);
  void ApplyWhenComplete(time_point aNow);
  std::optional<std::uint64_t> DigestAt(std::uint64_t aVersion) const;
  std::uint64_t CandidateDigest() const;
  bool MustWaitForHint(std::uint64_t aTarget, time_point aNow);
  void ApplyPending(std::uint64_t aTarget);
  void Reject(std::uint64_t aTarget, std::string aFault);

  follower_options mOptions;
  follower_counters mCounters;
  config_snapshot mCurrent;
  bool mReady = false;
  std::uint64_t mDigest = 0;
  std::unordered_map<std::string, std::uint64_t> mSections;
  std::string mLastFault;

  config_head mHead;
  bool mHeadSeen = false;
  bool mHeadUnreadable = false;
  std::map<std::uint64_t, config_change> mChanges;
  std::map<std::string, pending_section> mPending;
  std::uint64_t mRejectedVersion = 0;

  std::uint64_t mHint = 0;
  std::uint32_t mHintPolls = 0;
  std::optional<time_point> mHintDeadline;

  /// Pages are asked for while set.
  bool mScanning = true;
  bool mScanDone = false;
  std::string mScanAfter;
  std::uint64_t mScanRequest = 0;

  std::uint64_t mNextRequest = 1;
  std::map<std::uint64_t, time_point> mOpenRequests;
  time_point mNextPoll{};
  time_point mNotBefore{};
};
