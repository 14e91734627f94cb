// Table requests and transactions of the service call system.

#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Services/ServiceCallSystem.h"

void service_call_system::BeginIntent(call_number aNumber, call_entry& aEntry)
{
  aEntry.mStage = stage::CommitIntent;
  aEntry.mRow = {};
  aEntry.mRow.mState = call_state::Open;
  aEntry.mRow.mWriter = mSelf;
  aEntry.mRow.mAttempt = aNumber;
  aEntry.mRow.mService = aEntry.mCall.mService;
  aEntry.mRow.mContent = aEntry.mCall.mContent;
  aEntry.mRow.mDeadline = aEntry.mCall.mWallDeadline;
  NewTransaction(aNumber, aEntry);
}

void service_call_system::BeginRecord(call_number aNumber,
                                      call_entry& aEntry,
                                      call_state aState,
                                      const tick& aTick)
{
  aEntry.mStage = stage::CommitOutcome;
  aEntry.mRow.mState = aState;
  aEntry.mRow.mExpires = aTick.mWallNow + mSettings.mAnswerTimeToLive;
  NewTransaction(aNumber, aEntry);
}

void service_call_system::NewTransaction(call_number aNumber,
                                         call_entry& aEntry)
{
  // Unique without random numbers, because a run of a node never reuses a
  // number.
  const std::string name = fmt::format(
    "call/{}/{}/{}", FormatIncarnation(mSelf), aNumber, ++aEntry.mTransactions);
  aEntry.mTransaction = { StableHash(name), StableHash(name, 1) };
  aEntry.mMaybeApplied = false;
  aEntry.mBackoff = {};
  aEntry.mNextTableRequestAt = {};
  aEntry.mCommitReply.reset();
}

void service_call_system::SendRead(call_number aNumber,
                                   call_entry& aEntry,
                                   tick& aTick)
{
  aTick.mOutput.mReads.push_back(
    { RegisterRequest(aNumber, aEntry, aTick.mNow),
      CallRowKey(aEntry.mCall.mAccount, aEntry.mCall.mKey) });
}

void service_call_system::SendCommit(call_number aNumber,
                                     call_entry& aEntry,
                                     tick& aTick)
{
  const std::string key = CallRowKey(aEntry.mCall.mAccount, aEntry.mCall.mKey);
  table_transaction transaction;
  transaction.mId = aEntry.mTransaction;
  transaction.mConditions.push_back({ key, aEntry.mVersion });
  transaction.mWrites.push_back({ key, FormatCallRow(aEntry.mRow) });
  aTick.mOutput.mCommits.push_back(
    { RegisterRequest(aNumber, aEntry, aTick.mNow), std::move(transaction) });
}

call_request_number service_call_system::RegisterRequest(call_number aNumber,
                                                         call_entry& aEntry,
                                                         time_point aNow)
{
  aEntry.mPendingRequest = mNextRequest++;
  aEntry.mReplyDeadline = aNow + mSettings.mTableTimeout;
  mRequestCalls[aEntry.mPendingRequest] = aNumber;
  return aEntry.mPendingRequest;
}

void service_call_system::ExpireRequest(call_entry& aEntry, time_point aNow)
{
  if (aEntry.mPendingRequest == 0 || aEntry.mReplyDeadline > aNow) {
    return;
  }
  mRequestCalls.erase(std::exchange(aEntry.mPendingRequest, 0));
  if (aEntry.mStage == stage::ReadRow) {
    aEntry.mReadReply = table_error::Timeout;
  } else {
    aEntry.mCommitReply = table_error::Timeout;
  }
}
