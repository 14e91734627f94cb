#include <algorithm>
#include <utility>

#include "Budget/BudgetOperations.h"
#include "Budget/ChargeBackup.h"
#include "Budget/ChargeWriting.h"
#include "Common/Log.h"

namespace {

bool Contains(const std::vector<incarnation_id>& aHolders,
              const incarnation_id& aHolder)
{
  return std::find(aHolders.begin(), aHolders.end(), aHolder) != aHolders.end();
}

bool AllSealed(const holder_row& aRow)
{
  return std::all_of(aRow.mBackups.begin(),
                     aRow.mBackups.end(),
                     [&](const incarnation_id& aBackup) {
                       return aRow.mSealed.count(aBackup) > 0;
                     });
}

} // namespace

void charge_backup::OnHolderRow(const table_row& aRow, time_point aNow)
{
  if (aRow.mVersion == 0) {
    // The holder shut down in order, or its grants were returned. In both cases
    // all of its charges are in the table service.
    ForgetCharges(mJob.mHolder);
    EndJob(std::nullopt);
    return;
  }
  const auto parsed = ParseHolderRow(aRow.mValue);
  if (!parsed.has_value()) {
    Log(log_level::Error,
        "holder_row_unreadable",
        { { "holder", FormatIncarnation(mJob.mHolder) },
          { "error", std::string(RowErrorName(parsed.error())) } });
    EndJob(aNow + mSettings.mBackupCheckInterval);
    return;
  }
  mJob.mRow = parsed.value();
  mJob.mVersion = aRow.mVersion;
  holder_entry& entry = mHolders[mJob.mHolder];
  if (mJob.mRow.mState != holder_state::Open) {
    entry.mClosed = true;
  }
  if (!Contains(mJob.mRow.mBackups, mSelf) && !CanReclaimUnlisted(aNow)) {
    return;
  }
  SelectCharges(aNow);
  if (!mJob.mItems.empty()) {
    return;
  }
  AdvanceHolderState(aNow);
}

bool charge_backup::CanReclaimUnlisted(time_point aNow)
{
  holder_entry& entry = mHolders[mJob.mHolder];
  DeleteUnlistedCopies();
  // All charges are in the table service, so any node can return the grants: a
  // holder without backups writes a charge before it completes the response,
  // and a holder is closed only after its charges are written.
  const bool complete =
    mJob.mRow.mBackups.empty() || mJob.mRow.mState == holder_state::Closed;
  if (!entry.mClosed || mJob.mRow.mState == holder_state::WrittenOff) {
    EndJob(std::nullopt);
    return false;
  }
  if (!complete) {
    // A live holder that was declared dead by mistake can still add this node
    // to its backups. Its row then needs the seal of this node.
    EndJob(aNow + mSettings.mBackupCheckInterval);
    return false;
  }
  // Lets the listed backups return the grants first.
  if (!std::exchange(entry.mWaitedForListed, true)) {
    EndJob(aNow + mSettings.mBackupCheckInterval);
    return false;
  }
  return true;
}

void charge_backup::DeleteUnlistedCopies()
{
  // The holder removes a backup from its list only when no charge depends on
  // it. Charges that arrived after the read of the row was sent are kept, since
  // the list may have changed since.
  holder_entry& entry = mHolders[mJob.mHolder];
  mHeldCharges -= std::erase_if(entry.mCharges, [this](const auto& aHeld) {
    return aHeld.second.mReceivedAt < mJob.mStartedAt;
  });
}

void charge_backup::AdvanceHolderState(time_point aNow)
{
  holder_entry& entry = mHolders[mJob.mHolder];
  const bool sealed = mJob.mRow.mSealed.count(mSelf) > 0;
  const bool alive = !entry.mClosed && entry.mCharges.empty();
  if (mJob.mRow.mState == holder_state::WrittenOff || alive) {
    EndJob(std::nullopt);
  } else if (mJob.mRow.mState == holder_state::Closed) {
    mJob.mPhase = job_phase::Scan;
    mJob.mReadId = mNextCallId++;
    ++mCounters.mReads;
    mOutput.mScans.push_back({ mJob.mReadId,
                               { GrantPrefix(mJob.mHolder),
                                 "",
                                 mSettings.mMaxRowsPerTransaction / 2 } });
  } else if (!entry.mClosed || sealed) {
    EndJob(aNow + mSettings.mBackupCheckInterval);
  } else {
    BeginTransaction();
    holder_row row = mJob.mRow;
    row.mSealed.insert(mSelf);
    row.mState = AllSealed(row) ? holder_state::Closed : holder_state::Closing;
    mJob.mTransaction.mWrites.push_back(
      { HolderKey(mJob.mHolder), FormatHolderRow(row) });
    Submit(aNow);
  }
}

void charge_backup::SelectCharges(time_point aNow)
{
  const holder_entry& entry = mHolders[mJob.mHolder];
  std::map<budget_id, std::vector<charge>> byBudget;
  std::size_t picked = 0;
  for (const auto& [request, held] : entry.mCharges) {
    const bool old = held.mReceivedAt + mSettings.mBackupCheckInterval <= aNow;
    if (!entry.mClosed && !old) {
      continue;
    }
    const charge& item = held.mCharge;
    if (picked == mSettings.mMaxChargesPerMessage) {
      break;
    }
    if (byBudget.size() < mSettings.mMaxRowsPerTransaction / 4 ||
        byBudget.count(item.mBudget) > 0) {
      byBudget[item.mBudget].push_back(item);
      ++picked;
    }
  }
  std::vector<std::string> keys;
  for (auto& [budget, charges] : byBudget) {
    keys.push_back(BudgetKey(budget));
    job_item& item = mJob.mItems.emplace_back();
    item.mBudget = budget;
    item.mCharges = std::move(charges);
  }
  if (!keys.empty()) {
    RequestRows(job_phase::Rows, std::move(keys));
  }
}

void charge_backup::OnRows(const std::vector<table_row>& aRows, time_point aNow)
{
  for (std::size_t i = 0; i < mJob.mItems.size(); ++i) {
    job_item& item = mJob.mItems[i];
    const table_row& row = aRows.at(i);
    const auto parsed = ParseBudgetRow(row.mValue);
    if (!parsed.has_value()) {
      ++mCounters.mUnreadableRows;
      item.mCharges.clear();
      continue;
    }
    item.mRow = parsed.value();
    item.mVersion = row.mVersion;
    std::uint64_t from = item.mRow.mNextSegment;
    for (const charge& held : item.mCharges) {
      from = std::min(from, held.mFromSegment);
    }
    for (; from < item.mRow.mNextSegment; ++from) {
      mJob.mSegmentsToRead.emplace_back(i, from);
    }
  }
  RequestSegments(aNow);
}

void charge_backup::RequestSegments(time_point aNow)
{
  if (mJob.mSegmentsRead == mJob.mSegmentsToRead.size()) {
    ComposeFlush(aNow);
    return;
  }
  std::vector<std::string> keys;
  mJob.mSegmentsRequested = mJob.mSegmentsRead;
  while (mJob.mSegmentsRequested < mJob.mSegmentsToRead.size() &&
         keys.size() < mSettings.mMaxKeysPerRead) {
    const auto& [item, segment] =
      mJob.mSegmentsToRead[mJob.mSegmentsRequested++];
    keys.push_back(SegmentKey(mJob.mItems[item].mBudget, segment));
  }
  RequestRows(job_phase::Segments, std::move(keys));
}

void charge_backup::OnSegments(const std::vector<table_row>& aRows,
                               time_point aNow)
{
  for (const table_row& row : aRows) {
    const auto& [index, number] = mJob.mSegmentsToRead[mJob.mSegmentsRead++];
    job_item& item = mJob.mItems[index];
    const auto parsed = ParseSegment(row.mValue, item.mBudget);
    if (!parsed.has_value()) {
      // A charge in the unreadable segment would be written twice.
      ++mCounters.mUnreadableRows;
      item.mCharges.clear();
      continue;
    }
    for (const charge& logged : parsed.value().mCharges) {
      const auto erased =
        std::erase_if(item.mCharges, [&](const charge& aHeld) {
          return aHeld.mRequest == logged.mRequest;
        });
      if (erased > 0) {
        mJob.mWrittenRequests.push_back(logged.mRequest);
      }
    }
  }
  RequestSegments(aNow);
}

void charge_backup::ComposeFlush(time_point aNow)
{
  holder_entry& entry = mHolders[mJob.mHolder];
  BeginTransaction();
  for (job_item& item : mJob.mItems) {
    if (item.mCharges.empty()) {
      continue;
    }
    const std::int64_t before = GrantOf(item.mRow, mJob.mHolder);
    applied_charges written = ApplyCharges(item.mRow, item.mCharges);
    mJob.mUngranted += written.mUngranted;
    mJob.mUnfunded += written.mUnfunded;
    for (const charge& paid : written.mCharges) {
      mJob.mWrittenRequests.push_back(paid.mRequest);
    }
    AddSegmentWrite(
      mJob.mTransaction, item.mBudget, item.mRow, std::move(written.mCharges));
    AddBudgetWrite(mJob.mTransaction, item.mBudget, item.mVersion, item.mRow);
    AddGrantIndexWrite(mJob.mTransaction,
                       mJob.mHolder,
                       item.mBudget,
                       before,
                       GrantOf(item.mRow, mJob.mHolder));
  }
  if (!mJob.mTransaction.mWrites.empty()) {
    if (entry.mClosed && mJob.mRow.mState == holder_state::Open) {
      holder_row row = mJob.mRow;
      row.mState = holder_state::Closing;
      mJob.mTransaction.mWrites.push_back(
        { HolderKey(mJob.mHolder), FormatHolderRow(row) });
    }
    Submit(aNow);
    return;
  }
  const bool progress = !mJob.mWrittenRequests.empty();
  for (const request_id& request : mJob.mWrittenRequests) {
    EraseCharge(entry, request);
  }
  EndJob(progress ? aNow : aNow + mSettings.mBackupCheckInterval);
}

void charge_backup::OnGrantIndex(const std::vector<table_row>& aRows,
                                 time_point aNow)
{
  mCounters.mRowsRead += aRows.size();
  if (aRows.empty()) {
    BeginTransaction();
    mJob.mTransaction.mWrites.push_back(
      { HolderKey(mJob.mHolder), std::nullopt });
    mJob.mDeletesHolder = true;
    Submit(aNow);
    return;
  }
  const std::size_t prefix = GrantPrefix(mJob.mHolder).size();
  std::vector<std::string> keys;
  for (const table_row& row : aRows) {
    job_item& item = mJob.mItems.emplace_back();
    item.mBudget = { row.mKey.substr(prefix) };
    keys.push_back(BudgetKey(item.mBudget));
  }
  RequestRows(job_phase::ReclaimRows, std::move(keys));
}

void charge_backup::ComposeReclaim(const std::vector<table_row>& aRows,
                                   time_point aNow)
{
  returned_grants returned =
    ReturnGrants(mJob.mHolder, mJob.mVersion, aRows, NewTransactionId());
  mCounters.mUnreadableRows += returned.mUnreadable;
  mJob.mTransaction = std::move(returned.mTransaction);
  if (mJob.mTransaction.mWrites.empty()) {
    EndJob(aNow + mSettings.mBackupCheckInterval);
    return;
  }
  Submit(aNow);
}

transaction_id charge_backup::NewTransactionId()
{
  const std::uint64_t high = mRandom();
  return { high, mRandom() };
}

void charge_backup::BeginTransaction()
{
  mJob.mTransaction = { NewTransactionId(), {}, {} };
  mJob.mTransaction.mConditions.push_back(
    { HolderKey(mJob.mHolder), mJob.mVersion });
}

void charge_backup::Submit(time_point aNow)
{
  mJob.mPhase = job_phase::Commit;
  mJob.mCommitDue = true;
  mJob.mCommitAt = aNow;
  ++mCounters.mTransactions;
  mCounters.mRowsWritten += mJob.mTransaction.mWrites.size();
}
