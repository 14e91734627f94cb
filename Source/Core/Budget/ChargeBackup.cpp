#include "Budget/ChargeBackup.h"

#include <algorithm>

#include "Common/Log.h"

namespace {

constexpr std::uint32_t kMaxBackoffSteps = 10;

} // namespace

charge_backup::charge_backup(incarnation_id aSelf,
                             const budget_settings& aSettings,
                             std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mRandom(aSeed)
{
}

hold_outcome charge_backup::OnHold(const incarnation_id& aFrom,
                                   const std::vector<charge>& aCharges,
                                   time_point aNow)
{
  const bool foreign =
    std::any_of(aCharges.begin(), aCharges.end(), [&](const charge& aItem) {
      return aItem.mHolder != aFrom;
    });
  holder_entry& entry = mHolders[aFrom];
  if (entry.mClosed) {
    ScheduleJob(aFrom, aNow);
    return hold_outcome::Closed;
  }
  if (mShuttingDown || foreign ||
      mHeldCharges + aCharges.size() > mSettings.mMaxHeldCharges) {
    return hold_outcome::Failed;
  }
  for (const charge& item : aCharges) {
    const bool added =
      entry.mCharges.insert_or_assign(item.mRequest, held_charge{ item, aNow })
        .second;
    mHeldCharges += added ? 1 : 0;
  }
  ScheduleJob(aFrom, aNow + mSettings.mBackupCheckInterval);
  return hold_outcome::Held;
}

void charge_backup::OnDrop(const incarnation_id& aFrom,
                           const std::vector<request_id>& aRequests)
{
  const auto found = mHolders.find(aFrom);
  if (found == mHolders.end()) {
    return;
  }
  for (const request_id& request : aRequests) {
    EraseCharge(found->second, request);
  }
}

void charge_backup::OnHolderDead(const incarnation_id& aHolder, time_point aNow)
{
  if (aHolder == mSelf) {
    return;
  }
  holder_entry& entry = mHolders[aHolder];
  if (!entry.mClosed) {
    entry.mClosed = true;
    Log(log_level::Warning,
        "budget_holder_closed",
        { { "holder", FormatIncarnation(aHolder) },
          Field("charges", entry.mCharges.size()) });
  }
  ScheduleJob(aHolder, aNow);
}

bool charge_backup::HasCopy(const incarnation_id& aHolder,
                            const request_id& aRequest) const
{
  const auto found = mHolders.find(aHolder);
  return found != mHolders.end() && found->second.mCharges.count(aRequest) > 0;
}

bool charge_backup::IsDrained() const
{
  const bool busy =
    std::any_of(mHolders.begin(), mHolders.end(), [](const auto& aEntry) {
      return aEntry.second.mClosed && !aEntry.second.mCharges.empty();
    });
  return mShuttingDown && !busy && mJob.mPhase == job_phase::Idle;
}

budget_output charge_backup::Tick(time_point aNow)
{
  if (mJob.mPhase == job_phase::Idle) {
    StartJob(aNow);
  }
  if (mJob.mPhase == job_phase::Commit && mJob.mCommitDue &&
      mJob.mCommitAt <= aNow) {
    mJob.mCommitDue = false;
    mOutput.mCommits.push_back(mJob.mTransaction);
  }
  return std::exchange(mOutput, {});
}

void charge_backup::OnRead(
  std::uint64_t aId,
  const result<std::vector<table_row>, table_error>& aReply,
  time_point aNow)
{
  if (aId != mJob.mReadId || mJob.mPhase == job_phase::Idle ||
      mJob.mPhase == job_phase::Commit) {
    return;
  }
  if (!aReply.has_value()) {
    ++mCounters.mTableErrors;
    RetryJobLater(aNow);
    return;
  }
  const std::vector<table_row>& rows = aReply.value();
  switch (mJob.mPhase) {
    case job_phase::Holder:
      OnHolderRow(rows.at(0), aNow);
      return;
    case job_phase::Rows:
      OnRows(rows, aNow);
      return;
    case job_phase::Segments:
      OnSegments(rows, aNow);
      return;
    case job_phase::Scan:
      OnGrantIndex(rows, aNow);
      return;
    case job_phase::ReclaimRows:
      ComposeReclaim(rows, aNow);
      return;
    case job_phase::Idle:
    case job_phase::Commit:
      return;
  }
}

void charge_backup::OnCommit(const transaction_id& aId,
                             const result<commit_reply, table_error>& aReply,
                             time_point aNow)
{
  if (mJob.mPhase != job_phase::Commit || aId != mJob.mTransaction.mId) {
    return;
  }
  holder_entry& entry = mHolders[mJob.mHolder];
  if (!aReply.has_value()) {
    // The outcome is unknown, so the same transaction is sent again.
    ++mCounters.mTableErrors;
    ++entry.mFailures;
    mJob.mCommitDue = true;
    mJob.mCommitAt = BackoffEnd(entry.mFailures, aNow);
    return;
  }
  if (!aReply.value().mCommitted) {
    ++mCounters.mConflicts;
    RetryJobLater(aNow);
    return;
  }
  entry.mFailures = 0;
  mCounters.mUngrantedCharges += mJob.mUngranted;
  mCounters.mUnfundedCharges += mJob.mUnfunded;
  mCounters.mCharges += mJob.mWrittenRequests.size();
  for (const request_id& request : mJob.mWrittenRequests) {
    EraseCharge(entry, request);
  }
  if (mJob.mDeletesHolder) {
    ForgetCharges(mJob.mHolder);
    EndJob(std::nullopt);
    return;
  }
  EndJob(aNow);
}

void charge_backup::ScheduleJob(const incarnation_id& aHolder, time_point aAt)
{
  const auto [place, added] = mScheduledAt.try_emplace(aHolder, aAt);
  if (!added && place->second <= aAt) {
    return;
  }
  mSchedule.erase({ place->second, aHolder });
  place->second = aAt;
  mSchedule.emplace(aAt, aHolder);
}

void charge_backup::StartJob(time_point aNow)
{
  if (mSchedule.empty() || mSchedule.begin()->first > aNow) {
    return;
  }
  mJob = job();
  mJob.mStartedAt = aNow;
  mJob.mHolder = mSchedule.begin()->second;
  mSchedule.erase(mSchedule.begin());
  mScheduledAt.erase(mJob.mHolder);
  RequestRows(job_phase::Holder, { HolderKey(mJob.mHolder) });
}

void charge_backup::RequestRows(job_phase aPhase,
                                std::vector<std::string> aKeys)
{
  mJob.mPhase = aPhase;
  mJob.mReadId = mNextCallId++;
  ++mCounters.mReads;
  mCounters.mRowsRead += aKeys.size();
  mOutput.mReads.push_back({ mJob.mReadId, std::move(aKeys) });
}

void charge_backup::ForgetCharges(const incarnation_id& aHolder)
{
  holder_entry& entry = mHolders[aHolder];
  mHeldCharges -= entry.mCharges.size();
  entry.mCharges.clear();
  // A holder never writes its row again after it was deleted, so it stays
  // closed.
  entry.mClosed = true;
}

void charge_backup::EraseCharge(holder_entry& aEntry,
                                const request_id& aRequest)
{
  mHeldCharges -= aEntry.mCharges.erase(aRequest);
}

void charge_backup::EndJob(std::optional<time_point> aRetryAt)
{
  const incarnation_id holder = mJob.mHolder;
  mJob = job();
  if (aRetryAt) {
    ScheduleJob(holder, *aRetryAt);
  }
}

void charge_backup::RetryJobLater(time_point aNow)
{
  holder_entry& entry = mHolders[mJob.mHolder];
  ++entry.mFailures;
  EndJob(BackoffEnd(entry.mFailures, aNow));
}

time_point charge_backup::BackoffEnd(std::uint32_t aFailures, time_point aNow)
{
  const std::chrono::microseconds doubled(
    mSettings.mInitialBackoff.count() << std::min(aFailures, kMaxBackoffSteps));
  const auto longest = std::min(mSettings.mMaxBackoff, doubled);
  std::uniform_int_distribution<std::int64_t> backoff(longest.count() / 4,
                                                      longest.count());
  return aNow + std::chrono::microseconds(backoff(mRandom));
}
