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
#include "Remote/TableService.h"
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
  /// A waiting attempt gives up this long after the deadline of the attempt
  /// that it waits for.
  std::chrono::milliseconds mWaitGrace{ 2000 };
  /// How long a node tries to record an outcome after the caller's deadline.
  std::chrono::seconds mRecord{ 600 };
};

/// Tells the replies of the table service apart.
using call_request = std::uint64_t;

/// A read to make; the reply goes to `OnRead` with the same number.
struct call_read
{
  call_request mRequest = 0;
  std::string mKey;
};

/// A commit to make; the reply goes to `OnCommit` with the same number.
struct call_commit
{
  call_request mRequest = 0;
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
  /// Calls or outcomes whose row could not be settled.
  std::uint64_t mNotRecorded = 0;
};

/// Runs non-idempotent calls at most once. Pure: replies and time are passed
/// in, requests and sends are returned by `Tick`.
class service_call_system
{
public:
  service_call_system(holder_id aSelf, service_call_settings aSettings);

  /// Starts an attempt.
  call_number Begin(const service_call& aCall, time_point aNow);
  void OnRead(call_request aRequest,
              const result<table_row, table_error>& aReply);
  void OnCommit(call_request aRequest,
                const result<commit_reply, table_error>& aReply);
  /// The first byte may have gone out.
  void OnSent(call_number aCall);
  /// How sending ended; for a call that `Tick` asked to send.
  void OnUpstreamResult(call_number aCall,
                        const result<service_response, service_error>& aResult);
  /// Work that is due. Call after each reply and every 100 ms or so. `aWallNow`
  /// dates the stored answers.
  call_work Tick(time_point aNow, wall_time aWallNow);

  /// Attempts that are unanswered or whose outcome is not recorded yet.
  std::size_t Open() const { return mCalls.size(); }
  const service_call_counters& Counters() const { return mCounters; }

private:
  enum class stage : std::uint8_t
  {
    /// Reads the row, or waits for another attempt to end.
    Read,
    /// Commits the intent.
    Intend,
    /// The intent is committed; nothing was sent.
    Send,
    /// Handed to the node for sending.
    Sent,
    /// Commits the outcome.
    Record,
    Done,
  };

  struct call_entry
  {
    service_call mCall;
    stage mStage = stage::Intend;
    bool mAnswered = false;
    bool mOverload = false;
    /// The row was read at least once.
    bool mSeen = false;
    /// A byte may have gone out.
    bool mFirstByte = false;
    /// Request that a reply is awaited for, 0 for none.
    call_request mPending = 0;
    time_point mReplyBy;
    time_point mNextTry;
    std::chrono::milliseconds mBackoff{ 0 };
    /// A commit of the current transaction timed out.
    bool mMaybeApplied = false;
    std::uint32_t mTransactions = 0;
    transaction_id mTransaction;
    /// Version of the row that the next commit builds on.
    std::uint64_t mVersion = 0;
    /// What the current transaction writes.
    call_row mRow;
    time_point mRecordUntil;
    std::optional<result<table_row, table_error>> mRead;
    std::optional<result<commit_reply, table_error>> mCommit;
    std::optional<result<service_response, service_error>> mUpstream;
  };

  /// Time and results of one tick.
  struct tick
  {
    time_point mNow;
    wall_time mWallNow;
    call_work mWork;
  };

  void Advance(call_number aNumber, call_entry& aEntry, tick& aTick);
  void OnDeadline(call_number aNumber, call_entry& aEntry, tick& aTick);
  void AdvanceRead(call_number aNumber, call_entry& aEntry, tick& aTick);
  void TakeRow(call_number aNumber, call_entry& aEntry, tick& aTick);
  void TakeOutcome(call_number aNumber,
                   call_entry& aEntry,
                   const call_row& aRow,
                   tick& aTick);
  void AdvanceIntend(call_number aNumber, call_entry& aEntry, tick& aTick);
  void AdvanceSent(call_number aNumber, call_entry& aEntry, tick& aTick);
  void AdvanceRecord(call_number aNumber, call_entry& aEntry, tick& aTick);
  void OnIntentError(call_number aNumber,
                     call_entry& aEntry,
                     table_error aError,
                     tick& aTick);
  void BeginIntend(call_number aNumber, call_entry& aEntry);
  void BeginRecord(call_number aNumber,
                   call_entry& aEntry,
                   call_state aState,
                   const tick& aTick);
  void NewTransaction(call_number aNumber, call_entry& aEntry);
  void SendRead(call_number aNumber, call_entry& aEntry, tick& aTick);
  void SendCommit(call_number aNumber, call_entry& aEntry, tick& aTick);
  call_request Request(call_number aNumber,
                       call_entry& aEntry,
                       time_point aNow);
  void ExpireRequest(call_entry& aEntry, time_point aNow);
  void BackOff(call_entry& aEntry, time_point aNow);
  void Refuse(call_number aNumber,
              call_entry& aEntry,
              call_reason aReason,
              tick& aTick);
  void Answer(call_entry& aEntry, call_answer aAnswer, tick& aTick);
  call_entry* Pending(call_request aRequest);

  holder_id mSelf;
  service_call_settings mSettings;
  call_number mNext = 1;
  call_request mNextRequest = 1;
  std::map<call_number, call_entry> mCalls;
  std::map<call_request, call_number> mRequests;
  service_call_counters mCounters;
};
