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
  /// Maximum size, in bytes, of an answer's body that is stored for later
  /// retries.
  std::size_t mMaxStoredBodyBytes = 16384;
  /// Time to live of a stored answer.
  std::chrono::hours mAnswerTimeToLive{ 24 };
  /// Initial and maximum backoff before a table request is repeated. It doubles
  /// with every repetition.
  std::chrono::milliseconds mInitialTableBackoff{ 100 };
  std::chrono::milliseconds mMaxTableBackoff{ 2000 };
  /// Timeout of a table request.
  std::chrono::milliseconds mTableTimeout{ 3000 };
  /// Grace period after the deadline of another attempt before an attempt that
  /// waits for its outcome gives up.
  std::chrono::milliseconds mWaitGracePeriod{ 2000 };
  /// How long after the caller's deadline a node retries to record the outcome.
  std::chrono::seconds mRecordTimeout{ 600 };
};

/// Number of a table request, to match its reply.
using call_request_number = std::uint64_t;

/// A table read to send; pass the reply to `OnRead` with the same number.
struct call_read
{
  call_request_number mRequest = 0;
  std::string mKey;
};

/// A table commit to send; pass the reply to `OnCommit` with the same number.
struct call_commit
{
  call_request_number mRequest = 0;
  table_transaction mTransaction;
};

/// Actions that the node must carry out.
struct service_call_output
{
  std::vector<call_read> mReads;
  std::vector<call_commit> mCommits;
  /// Calls to send to their service, exactly once each.
  std::vector<call_number> mSends;
  std::vector<call_answer> mAnswers;
};

struct service_call_counters
{
  std::uint64_t mStarted = 0;
  std::uint64_t mSent = 0;
  std::uint64_t mOk = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mNotRun = 0;
  /// Answers taken from the row of another attempt.
  std::uint64_t mAnsweredFromRow = 0;
  std::uint64_t mTableRetries = 0;
  /// Calls whose outcome could not be recorded in their row.
  std::uint64_t mNotRecorded = 0;
};

/// Runs non-idempotent calls at most once. Before a call is sent, an intent is
/// committed to the table service; afterwards the outcome is recorded in the
/// same row. Does no I/O: replies and time are passed in, requests and sends
/// are returned by `Tick`.
class service_call_system
{
public:
  service_call_system(incarnation_id aSelf, service_call_settings aSettings);

  /// Starts an attempt and returns its number.
  call_number Begin(const service_call& aCall, time_point aNow);
  void OnRead(call_request_number aRequest,
              const result<table_row, table_error>& aReply);
  void OnCommit(call_request_number aRequest,
                const result<commit_reply, table_error>& aReply);
  /// Records that the first byte may have been sent.
  void OnSent(call_number aCall);
  /// Records the result of a call that `Tick` asked to send.
  void OnServiceResult(call_number aCall,
                       const result<service_response, service_error>& aResult);
  /// Returns the work that is due. Call it after each reply and at least every
  /// 100 ms. `aWallNow` dates the stored answers.
  service_call_output Tick(time_point aNow, wall_time aWallNow);

  /// Number of attempts that are unanswered or whose outcome is not recorded
  /// yet.
  std::size_t Open() const { return mCalls.size(); }
  const service_call_counters& Counters() const { return mCounters; }

private:
  enum class stage : std::uint8_t
  {
    /// Reads the row, or waits until another attempt has ended.
    ReadRow,
    /// Commits the intent to send the call.
    CommitIntent,
    /// The intent is committed and nothing has been sent.
    Send,
    /// The node was asked to send the call.
    Sent,
    /// Commits the outcome.
    CommitOutcome,
    Done,
  };

  struct call_entry
  {
    service_call mCall;
    stage mStage = stage::CommitIntent;
    bool mAnswered = false;
    bool mOverloaded = false;
    /// The row was read at least once.
    bool mRowWasRead = false;
    /// Part of the call may have been sent.
    bool mMayHaveBeenSent = false;
    /// Table request whose reply is awaited; 0 for none.
    call_request_number mPendingRequest = 0;
    time_point mReplyDeadline;
    time_point mNextTableRequestAt;
    std::chrono::milliseconds mBackoff{ 0 };
    /// A commit of the current transaction timed out and may have taken effect.
    bool mMaybeApplied = false;
    std::uint32_t mTransactions = 0;
    transaction_id mTransaction;
    /// Row version that the next commit is conditional on.
    std::uint64_t mVersion = 0;
    /// Row that the current transaction writes.
    call_row mRow;
    time_point mRecordDeadline;
    std::optional<result<table_row, table_error>> mReadReply;
    std::optional<result<commit_reply, table_error>> mCommitReply;
    std::optional<result<service_response, service_error>> mServiceResult;
  };

  /// Time and collected work of one tick.
  struct tick
  {
    time_point mNow;
    wall_time mWallNow;
    service_call_output mOutput;
  };

  void Advance(call_number aNumber, call_entry& aEntry, tick& aTick);
  void OnDeadline(call_number aNumber, call_entry& aEntry, tick& aTick);
  void AdvanceRead(call_number aNumber, call_entry& aEntry, tick& aTick);
  void HandleRow(call_number aNumber, call_entry& aEntry, tick& aTick);
  void AnswerFromRow(call_number aNumber,
                     call_entry& aEntry,
                     const call_row& aRow,
                     tick& aTick);
  void AdvanceIntent(call_number aNumber, call_entry& aEntry, tick& aTick);
  void AdvanceSent(call_number aNumber, call_entry& aEntry, tick& aTick);
  void AdvanceRecord(call_number aNumber, call_entry& aEntry, tick& aTick);
  void OnIntentError(call_number aNumber,
                     call_entry& aEntry,
                     table_error aError,
                     tick& aTick);
  void BeginIntent(call_number aNumber, call_entry& aEntry);
  void BeginRecord(call_number aNumber,
                   call_entry& aEntry,
                   call_state aState,
                   const tick& aTick);
  void NewTransaction(call_number aNumber, call_entry& aEntry);
  void SendRead(call_number aNumber, call_entry& aEntry, tick& aTick);
  void SendCommit(call_number aNumber, call_entry& aEntry, tick& aTick);
  call_request_number RegisterRequest(call_number aNumber,
                                      call_entry& aEntry,
                                      time_point aNow);
  void ExpireRequest(call_entry& aEntry, time_point aNow);
  void BackOff(call_entry& aEntry, time_point aNow);
  void AnswerNotSent(call_number aNumber,
                     call_entry& aEntry,
                     call_reason aReason,
                     tick& aTick);
  void Answer(call_entry& aEntry, call_answer aAnswer, tick& aTick);
  call_entry* TakeEntryOfReply(call_request_number aRequest);

  incarnation_id mSelf;
  service_call_settings mSettings;
  call_number mNextCall = 1;
  call_request_number mNextRequest = 1;
  std::map<call_number, call_entry> mCalls;
  std::map<call_request_number, call_number> mRequestCalls;
  service_call_counters mCounters;
};
