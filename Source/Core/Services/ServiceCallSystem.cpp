#include "Services/ServiceCallSystem.h"

#include <algorithm>
#include <utility>

namespace {

constexpr int kSuccessStatus = 200;
constexpr int kClientErrorStatus = 400;
constexpr int kServerErrorStatus = 500;

call_outcome OutcomeOf(const service_response& aResponse)
{
  const bool known = aResponse.mStatus >= kSuccessStatus &&
                     aResponse.mStatus < kServerErrorStatus;
  // A server error does not show whether the call took effect before it.
  if (!known) {
    return call_outcome::Unknown;
  }
  return aResponse.mStatus < kClientErrorStatus ? call_outcome::Ok
                                                : call_outcome::Failed;
}

call_state StateOf(call_outcome aOutcome)
{
  switch (aOutcome) {
    case call_outcome::Ok:
      return call_state::Ok;
    case call_outcome::Failed:
      return call_state::Failed;
    case call_outcome::Unknown:
      return call_state::Unknown;
    case call_outcome::NotRun:
      return call_state::NotRun;
  }
  return call_state::Unknown;
}

bool IsNotApplied(table_error aError)
{
  return aError == table_error::Unavailable ||
         aError == table_error::RateLimited;
}

} // namespace

service_call_system::service_call_system(incarnation_id aSelf,
                                         service_call_settings aSettings)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
{
}

call_number service_call_system::Begin(const service_call& aCall,
                                       time_point aNow)
{
  ++mCounters.mStarted;
  const call_number number = mNextCall++;
  call_entry& entry = mCalls[number];
  entry.mCall = aCall;
  entry.mNextTableRequestAt = aNow;
  entry.mRecordDeadline = aCall.mDeadline + mSettings.mRecordTimeout;
  entry.mOverloaded = mCalls.size() > mSettings.mMaxCalls;
  if (aCall.mMayBeRetry) {
    entry.mStage = stage::ReadRow;
  } else {
    BeginIntent(number, entry);
  }
  return number;
}

service_call_system::call_entry* service_call_system::TakeEntryOfReply(
  call_request_number aRequest)
{
  const auto request = mRequestCalls.find(aRequest);
  if (request == mRequestCalls.end()) {
    return nullptr;
  }
  const auto found = mCalls.find(request->second);
  mRequestCalls.erase(request);
  // A late reply to a request that was repeated in the meantime is ignored.
  if (found == mCalls.end() || found->second.mPendingRequest != aRequest) {
    return nullptr;
  }
  found->second.mPendingRequest = 0;
  return &found->second;
}

void service_call_system::OnRead(call_request_number aRequest,
                                 const result<table_row, table_error>& aReply)
{
  if (call_entry* entry = TakeEntryOfReply(aRequest)) {
    entry->mReadReply = aReply;
  }
}

void service_call_system::OnCommit(
  call_request_number aRequest,
  const result<commit_reply, table_error>& aReply)
{
  if (call_entry* entry = TakeEntryOfReply(aRequest)) {
    entry->mCommitReply = aReply;
  }
}

void service_call_system::OnSent(call_number aCall)
{
  const auto found = mCalls.find(aCall);
  if (found != mCalls.end()) {
    found->second.mMayHaveBeenSent = true;
  }
}

void service_call_system::OnServiceResult(
  call_number aCall,
  const result<service_response, service_error>& aResult)
{
  const auto found = mCalls.find(aCall);
  if (found != mCalls.end() && found->second.mStage == stage::Sent &&
      !found->second.mServiceResult) {
    found->second.mServiceResult = aResult;
  }
}

service_call_output service_call_system::Tick(time_point aNow,
                                              wall_time aWallNow)
{
  tick current{ aNow, aWallNow, {} };
  for (auto it = mCalls.begin(); it != mCalls.end();) {
    Advance(it->first, it->second, current);
    if (it->second.mStage == stage::Done) {
      mRequestCalls.erase(it->second.mPendingRequest);
      it = mCalls.erase(it);
    } else {
      ++it;
    }
  }
  return std::move(current.mOutput);
}

void service_call_system::Advance(call_number aNumber,
                                  call_entry& aEntry,
                                  tick& aTick)
{
  if (aEntry.mOverloaded) {
    AnswerNotSent(aNumber, aEntry, call_reason::Overloaded, aTick);
    aEntry.mStage = stage::Done;
    return;
  }
  ExpireRequest(aEntry, aTick.mNow);
  if (!aEntry.mAnswered && aEntry.mCall.mDeadline <= aTick.mNow) {
    OnDeadline(aNumber, aEntry, aTick);
  }
  if (aEntry.mRecordDeadline <= aTick.mNow && aEntry.mStage != stage::Done) {
    ++mCounters.mNotRecorded;
    aEntry.mStage = stage::Done;
  }
  if (aEntry.mStage == stage::ReadRow) {
    AdvanceRead(aNumber, aEntry, aTick);
  }
  if (aEntry.mStage == stage::CommitIntent) {
    AdvanceIntent(aNumber, aEntry, aTick);
  }
  if (aEntry.mStage == stage::Send) {
    ++mCounters.mSent;
    aEntry.mStage = stage::Sent;
    aTick.mOutput.mSends.push_back(aNumber);
  }
  if (aEntry.mStage == stage::Sent) {
    AdvanceSent(aNumber, aEntry, aTick);
  }
  if (aEntry.mStage == stage::CommitOutcome) {
    AdvanceRecord(aNumber, aEntry, aTick);
  }
}

void service_call_system::OnDeadline(call_number aNumber,
                                     call_entry& aEntry,
                                     tick& aTick)
{
  switch (aEntry.mStage) {
    case stage::ReadRow:
      Answer(aEntry,
             { aNumber, call_outcome::Unknown, call_reason::OtherAttempt, {} },
             aTick);
      aEntry.mStage = stage::Done;
      break;
    case stage::CommitIntent:
      AnswerNotSent(aNumber, aEntry, call_reason::Deadline, aTick);
      // A commit that may have taken effect is resolved first, so that its row
      // does not stay open.
      if (!aEntry.mMaybeApplied && aEntry.mPendingRequest == 0 &&
          !aEntry.mCommitReply) {
        aEntry.mStage = stage::Done;
      }
      break;
    case stage::Sent:
      if (!aEntry.mServiceResult) {
        Answer(aEntry,
               { aNumber, call_outcome::Unknown, call_reason::Deadline, {} },
               aTick);
      }
      break;
    default:
      break;
  }
}

void service_call_system::AdvanceRead(call_number aNumber,
                                      call_entry& aEntry,
                                      tick& aTick)
{
  if (aEntry.mReadReply) {
    HandleRow(aNumber, aEntry, aTick);
  }
  if (aEntry.mStage == stage::ReadRow && aEntry.mPendingRequest == 0 &&
      aEntry.mNextTableRequestAt <= aTick.mNow) {
    SendRead(aNumber, aEntry, aTick);
  }
}

void service_call_system::HandleRow(call_number aNumber,
                                    call_entry& aEntry,
                                    tick& aTick)
{
  const auto reply = *std::exchange(aEntry.mReadReply, std::nullopt);
  if (!reply.has_value()) {
    if (reply.error() == table_error::Unavailable && !aEntry.mRowWasRead) {
      AnswerNotSent(aNumber, aEntry, call_reason::TableUnavailable, aTick);
      aEntry.mStage = stage::Done;
    } else {
      BackOff(aEntry, aTick.mNow);
    }
    return;
  }
  aEntry.mRowWasRead = true;
  aEntry.mVersion = reply.value().mVersion;
  if (aEntry.mVersion == 0) {
    BeginIntent(aNumber, aEntry);
    return;
  }
  const auto row = ParseCallRow(reply.value().mValue);
  if (!row.has_value()) {
    Answer(aEntry,
           { aNumber, call_outcome::Unknown, call_reason::OtherAttempt, {} },
           aTick);
    aEntry.mStage = stage::Done;
    return;
  }
  AnswerFromRow(aNumber, aEntry, row.value(), aTick);
}

void service_call_system::AnswerFromRow(call_number aNumber,
                                        call_entry& aEntry,
                                        const call_row& aRow,
                                        tick& aTick)
{
  call_answer answer{ aNumber, call_outcome::Unknown, call_reason::None, {} };
  if (aRow.mContent != aEntry.mCall.mContent ||
      aRow.mService != aEntry.mCall.mService) {
    // A row never changes its content, so this attempt never had an intent.
    answer.mOutcome = call_outcome::NotRun;
    answer.mReason = call_reason::KeyReused;
  } else if (aRow.mState == call_state::NotRun) {
    BeginIntent(aNumber, aEntry);
    return;
  } else if (aRow.mState == call_state::Open && aRow.mWriter == mSelf &&
             aRow.mAttempt == aNumber) {
    // The intent was committed although the table service no longer knows the
    // transaction.
    aEntry.mStage = stage::Send;
    return;
  } else if (aRow.mState == call_state::Open) {
    if (aTick.mWallNow < aRow.mDeadline + mSettings.mWaitGracePeriod) {
      BackOff(aEntry, aTick.mNow);
      return;
    }
    answer.mReason = call_reason::OtherAttempt;
  } else if (aRow.mState == call_state::Unknown) {
    answer.mReason = call_reason::AnswerLost;
  } else {
    ++mCounters.mAnsweredFromRow;
    answer.mOutcome =
      aRow.mState == call_state::Ok ? call_outcome::Ok : call_outcome::Failed;
    if (aRow.mResponse && aTick.mWallNow < aRow.mExpires) {
      answer.mResponse = aRow.mResponse;
    } else {
      answer.mReason = call_reason::AnswerNotKept;
    }
  }
  Answer(aEntry, std::move(answer), aTick);
  aEntry.mStage = stage::Done;
}

void service_call_system::AdvanceIntent(call_number aNumber,
                                        call_entry& aEntry,
                                        tick& aTick)
{
  if (const auto reply = std::exchange(aEntry.mCommitReply, std::nullopt)) {
    if (!reply->has_value()) {
      OnIntentError(aNumber, aEntry, reply->error(), aTick);
    } else if (!reply->value().mCommitted) {
      // Another attempt exists, so this one can no longer report that the call
      // did not run.
      aEntry.mCall.mMayBeRetry = true;
      aEntry.mStage = aEntry.mAnswered ? stage::Done : stage::ReadRow;
      aEntry.mNextTableRequestAt = aTick.mNow;
      AdvanceRead(aNumber, aEntry, aTick);
      return;
    } else {
      aEntry.mVersion = reply->value().mVersion;
      aEntry.mStage = stage::Send;
      if (aEntry.mAnswered) {
        BeginRecord(aNumber, aEntry, call_state::NotRun, aTick);
      }
      return;
    }
  }
  if (aEntry.mStage == stage::CommitIntent && aEntry.mPendingRequest == 0 &&
      aEntry.mNextTableRequestAt <= aTick.mNow) {
    SendCommit(aNumber, aEntry, aTick);
  }
}

void service_call_system::OnIntentError(call_number aNumber,
                                        call_entry& aEntry,
                                        table_error aError,
                                        tick& aTick)
{
  aEntry.mMaybeApplied = aEntry.mMaybeApplied || !IsNotApplied(aError);
  BackOff(aEntry, aTick.mNow);
  if (aEntry.mMaybeApplied) {
    return;
  }
  if (aError == table_error::Unavailable && !aEntry.mAnswered) {
    AnswerNotSent(aNumber, aEntry, call_reason::TableUnavailable, aTick);
  }
  if (aEntry.mAnswered) {
    aEntry.mStage = stage::Done;
  }
}

void service_call_system::AdvanceSent(call_number aNumber,
                                      call_entry& aEntry,
                                      tick& aTick)
{
  const auto upstream = std::exchange(aEntry.mServiceResult, std::nullopt);
  if (!upstream) {
    return;
  }
  if (!upstream->has_value()) {
    if (upstream->error() == service_error::NotSent &&
        !aEntry.mMayHaveBeenSent) {
      AnswerNotSent(aNumber, aEntry, call_reason::ServiceUnreachable, aTick);
      BeginRecord(aNumber, aEntry, call_state::NotRun, aTick);
      return;
    }
    Answer(aEntry,
           { aNumber, call_outcome::Unknown, call_reason::AnswerLost, {} },
           aTick);
    BeginRecord(aNumber, aEntry, call_state::Unknown, aTick);
    return;
  }
  const service_response& response = upstream->value();
  const call_outcome outcome = OutcomeOf(response);
  Answer(aEntry, { aNumber, outcome, call_reason::None, response }, aTick);
  if (response.mBody.size() <= mSettings.mMaxStoredBodyBytes) {
    aEntry.mRow.mResponse = response;
  }
  BeginRecord(aNumber, aEntry, StateOf(outcome), aTick);
}

void service_call_system::AdvanceRecord(call_number aNumber,
                                        call_entry& aEntry,
                                        tick& aTick)
{
  if (const auto reply = std::exchange(aEntry.mCommitReply, std::nullopt)) {
    if (reply->has_value()) {
      // Only the writer changes an open row, so a conflict is not expected.
      mCounters.mNotRecorded += reply->value().mCommitted ? 0 : 1;
      aEntry.mStage = stage::Done;
      return;
    }
    BackOff(aEntry, aTick.mNow);
  }
  if (aEntry.mPendingRequest == 0 && aEntry.mNextTableRequestAt <= aTick.mNow) {
    SendCommit(aNumber, aEntry, aTick);
  }
}

void service_call_system::BackOff(call_entry& aEntry, time_point aNow)
{
  ++mCounters.mTableRetries;
  aEntry.mBackoff =
    aEntry.mBackoff.count() == 0
      ? mSettings.mInitialTableBackoff
      : std::min(aEntry.mBackoff * 2, mSettings.mMaxTableBackoff);
  aEntry.mNextTableRequestAt = aNow + aEntry.mBackoff;
}

// Answers an attempt that sent nothing and will not send anything.
void service_call_system::AnswerNotSent(call_number aNumber,
                                        call_entry& aEntry,
                                        call_reason aReason,
                                        tick& aTick)
{
  const call_outcome outcome =
    aEntry.mCall.mMayBeRetry ? call_outcome::Unknown : call_outcome::NotRun;
  Answer(aEntry, { aNumber, outcome, aReason, {} }, aTick);
}

void service_call_system::Answer(call_entry& aEntry,
                                 call_answer aAnswer,
                                 tick& aTick)
{
  if (std::exchange(aEntry.mAnswered, true)) {
    return;
  }
  switch (aAnswer.mOutcome) {
    case call_outcome::Ok:
      ++mCounters.mOk;
      break;
    case call_outcome::Failed:
      ++mCounters.mFailed;
      break;
    case call_outcome::Unknown:
      ++mCounters.mUnknown;
      break;
    case call_outcome::NotRun:
      ++mCounters.mNotRun;
      break;
  }
  aTick.mOutput.mAnswers.push_back(std::move(aAnswer));
}
