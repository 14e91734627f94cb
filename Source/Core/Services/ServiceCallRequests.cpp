// Table requests and transactions of the service call system.

#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Services/ServiceCallSystem.h"

void service_call_system::BeginIntend(call_number aNumber, call_entry& aEntry)
{
  aEntry.mStage = stage::Intend;
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
  aEntry.mStage = stage::Record;
  aEntry.mRow.mState = aState;
  aEntry.mRow.mExpires = aTick.mWallNow + mSettings.mKeep;
  NewTransaction(aNumber, aEntry);
}

void service_call_system::NewTransaction(call_number aNumber,
                                         call_entry& aEntry)
{
  // Unique without random numbers, because a run of a node never reuses a
  // number.
  const std::string name = fmt::format(
    "call/{}/{}/{}", FormatHolder(mSelf), aNumber, ++aEntry.mTransactions);
  aEntry.mTransaction = { StableHash(name), StableHash(name, 1) };
  aEntry.mMaybeApplied = false;
  aEntry.mBackoff = {};
  aEntry.mNextTry = {};
  aEntry.mCommit.reset();
}

void service_call_system::SendRead(call_number aNumber,
                                   call_entry& aEntry,
                                   tick& aTick)
{
  aTick.mWork.mReads.push_back(
    { Request(aNumber, aEntry, aTick.mNow),
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
  aTick.mWork.mCommits.push_back(
    { Request(aNumber, aEntry, aTick.mNow), std::move(transaction) });
}

call_request service_call_system::Request(call_number aNumber,
                                          call_entry& aEntry,
                                          time_point aNow)
{
  aEntry.mPending = mNextRequest++;
  aEntry.mReplyBy = aNow + mSettings.mTableLimit;
  mRequests[aEntry.mPending] = aNumber;
  return aEntry.mPending;
}

void service_call_system::ExpireRequest(call_entry& aEntry, time_point aNow)
{
  if (aEntry.mPending == 0 || aEntry.mReplyBy > aNow) {
    return;
  }
  mRequests.erase(std::exchange(aEntry.mPending, 0));
  if (aEntry.mStage == stage::Read) {
    aEntry.mRead = table_error::Timeout;
  } else {
    aEntry.mCommit = table_error::Timeout;
  }
}
