#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Identity.h"
#include "Common/Result.h"
#include "Common/Time.h"
#include "Platform/TableService.h"
#include "Services/ServiceCall.h"

struct service_call_settings
{
  std::size_t mMaxCalls = 4096;
  /// Largest body kept for later retries.
  std::size_t mMaxKeptBody = 16384;
  /// How long a kept answer is given out.
  std::chrono::hours mKeep{ 24 };
  /// Wait before a table request is repeated; doubles up to the maximum.
  std::chrono::milliseconds mTableRetry{ 100 };
  std::chrono::milliseconds mMaxTableRetry{ 2000 };
  /// A table request without a reply counts as timed out after this.
  std::chrono::milliseconds mTableLimit{ 3000 };
  /// How long a node tries to record an outcome after the caller's deadline.
  std::chrono::seconds mRecord{ 600 };
};

/// A read to make; the reply goes to `OnRead` with the same number.
struct call_read
{
  call_number mCall = 0;
  std::string mKey;
};

/// A commit to make; the reply goes to `OnCommit` with the same number.
struct call_commit
{
  call_number mCall = 0;
  table_transaction mTransaction;
};

/// What the node must do now.
struct call_work
{
  std::vector<call_read> mReads;
  std::vector<call_commit> mCommits;
  /// Calls to send to their service, each exactly once.
  std::vector<call_number> mSends;
  std::vector<call_answer> mAnswers;
};

struct service_call_counters
{
  std::uint64_t mBegun = 0;
  std::uint64_t mSent = 0;
  std::uint64_t mOk = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mNotRun = 0;
  /// Answers taken from another attempt's row.
  std::uint64_t mShared = 0;
  std::uint64_t mTableRetries = 0;
  /// Outcomes that could not be recorded.
  std::uint64_t mNotRecorded = 0;
};

/// Runs non-idempotent calls at most once. Pure: replies and time are passed
/// in, requests and sends are returned by `Tick`.
class service_call_system
{
public:
  service_call_system(holder_id aSelf, service_call_settings aSettings);
  ~service_call_system();

  /// Starts an attempt.
  call_number Begin(const service_call& aCall, time_point aNow);
  void OnRead(call_number aCall,
              const result<table_row, table_error>& aReply,
              time_point aNow);
  void OnCommit(call_number aCall,
                const result<commit_reply, table_error>& aReply,
                time_point aNow);
  /// The first byte may have gone out.
  void OnSent(call_number aCall, time_point aNow);
  void OnUpstreamResult(call_number aCall,
                        const result<service_response, service_error>& aResult,
                        time_point aNow);
  /// Work that is due. `aWallNow` dates the stored answers.
  call_work Tick(time_point aNow, wall_time aWallNow);

  /// Attempts that are unanswered or whose outcome is not recorded yet.
  std::size_t Open() const { return mCalls.size(); }
  const service_call_counters& Counters() const { return mCounters; }

private:
  enum class stage : std::uint8_t;
  struct call_entry;

  holder_id mSelf;
  service_call_settings mSettings;
  call_number mNext = 1;
  std::map<call_number, call_entry> mCalls;
  service_call_counters mCounters;
};
