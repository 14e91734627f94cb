#include <algorithm>

#include "Budget/BudgetSystem.h"

namespace {

// A peer that failed to store charges gets none for this time.
constexpr std::chrono::seconds kPeerRetryDelay(1);

bool Contains(const std::vector<incarnation_id>& aHolders,
              const incarnation_id& aHolder)
{
  return std::find(aHolders.begin(), aHolders.end(), aHolder) != aHolders.end();
}

} // namespace

bool budget_system::CanProtectCharges() const
{
  return HasBackup() || mStoreReachable;
}

bool budget_system::IsUsableBackup(const incarnation_id& aPeer) const
{
  // The transaction in flight may remove this backup from the holder row. Once
  // it is applied, the copies at this backup would never be written, so its
  // acknowledgements do not count.
  const bool listed =
    Contains(mHolder.mBackups, aPeer) &&
    (!mUpdate.mNewHolder || Contains(mUpdate.mNewHolder->mBackups, aPeer));
  return mHolderVersion > 0 && listed && Contains(mBackupCandidates, aPeer);
}

bool budget_system::HasBackup() const
{
  return PickBackup().has_value();
}

std::optional<incarnation_id> budget_system::PickBackup() const
{
  for (const incarnation_id& peer : mBackupCandidates) {
    if (IsUsableBackup(peer) && mPeerFailedUntil.count(peer) == 0) {
      return peer;
    }
  }
  return std::nullopt;
}

bool budget_system::HasUsableCopy(const unflushed_charge& aCharge) const
{
  return std::any_of(
    aCharge.mHeldBy.begin(),
    aCharge.mHeldBy.end(),
    [this](const incarnation_id& aPeer) { return IsUsableBackup(aPeer); });
}

void budget_system::SendHolds(time_point aNow)
{
  while (!mChargesToHold.empty()) {
    const auto target = PickBackup();
    if (!target) {
      return;
    }
    hold_message message;
    message.mTo = *target;
    sent_hold sent;
    while (!mChargesToHold.empty() &&
           message.mCharges.size() < mSettings.mMaxChargesPerMessage) {
      const request_id request = mChargesToHold.front();
      mChargesToHold.pop_front();
      const auto found = mCharges.find(request);
      if (found == mCharges.end() || found->second.mHoldInFlight ||
          HasUsableCopy(found->second)) {
        continue;
      }
      found->second.mHoldInFlight = true;
      found->second.mSentTo.insert(*target);
      message.mCharges.push_back(found->second.mCharge);
      sent.mRequests.push_back(request);
    }
    if (message.mCharges.empty()) {
      return;
    }
    message.mId = mNextCallId++;
    sent.mTo = *target;
    sent.mDeadline = aNow + mSettings.mHoldTimeout;
    mHolds.emplace(message.mId, std::move(sent));
    mOutput.mHolds.push_back(std::move(message));
    ++mCounters.mHolds;
  }
}

void budget_system::ExpireHolds(time_point aNow)
{
  std::vector<std::uint64_t> expired;
  for (const auto& [id, sent] : mHolds) {
    if (sent.mDeadline <= aNow) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    OnHoldReply(id, hold_outcome::Failed, aNow);
  }
}

void budget_system::OnHoldReply(std::uint64_t aId,
                                hold_outcome aOutcome,
                                time_point aNow)
{
  const auto found = mHolds.find(aId);
  if (found == mHolds.end()) {
    return;
  }
  const sent_hold sent = std::move(found->second);
  mHolds.erase(found);
  const bool held = aOutcome == hold_outcome::Held && IsUsableBackup(sent.mTo);
  for (const request_id& request : sent.mRequests) {
    const auto unflushed = mCharges.find(request);
    if (unflushed == mCharges.end()) {
      mDrops[sent.mTo].push_back(request);
      continue;
    }
    unflushed->second.mHoldInFlight = false;
    if (held) {
      unflushed->second.mHeldBy.insert(sent.mTo);
    } else {
      mChargesToHold.push_back(request);
    }
  }
  if (aOutcome == hold_outcome::Failed) {
    ++mCounters.mHoldFailures;
    mPeerFailedUntil[sent.mTo] = aNow + kPeerRetryDelay;
  }
  if (aOutcome == hold_outcome::Closed) {
    std::erase(mBackupCandidates, sent.mTo);
    Fence(aNow);
  }
}

void budget_system::SetBackups(std::vector<incarnation_id> aCandidates)
{
  mBackupCandidates = std::move(aCandidates);
  std::erase_if(mBackupCandidates, [this](const incarnation_id& aPeer) {
    return aPeer == mSelf || mDeadPeers.count(aPeer) > 0;
  });
  RequeueChargesToHold();
}

void budget_system::OnHolderDead(const incarnation_id& aHolder, time_point aNow)
{
  // The acknowledgements of the dead peer are kept: it remains listed until
  // every charge that only it has is stored elsewhere. Otherwise a new backup
  // that considers this holder dead could close it without these charges.
  std::erase(mBackupCandidates, aHolder);
  mDeadPeers.insert(aHolder);
  RequeueChargesToHold();
  UpdateBackupState(aNow);
}

void budget_system::RequeueChargesToHold()
{
  std::vector<std::pair<time_point, request_id>> unheld;
  for (const auto& [request, unflushed] : mCharges) {
    if (!unflushed.mHoldInFlight && !HasUsableCopy(unflushed)) {
      unheld.emplace_back(unflushed.mChargedAt, request);
    }
  }
  std::sort(unheld.begin(), unheld.end());
  mChargesToHold.clear();
  for (const auto& [since, request] : unheld) {
    mChargesToHold.push_back(request);
  }
}

void budget_system::DropCopies(const unflushed_charge& aCharge)
{
  for (const incarnation_id& peer : aCharge.mSentTo) {
    mDrops[peer].push_back(aCharge.mCharge.mRequest);
  }
}

std::optional<std::vector<incarnation_id>> budget_system::NewBackupList() const
{
  std::vector<incarnation_id> list;
  std::size_t reachable = 0;
  for (const incarnation_id& backup : mHolder.mBackups) {
    const bool usable = Contains(mBackupCandidates, backup);
    if (usable || HasChargeOnlyAt(backup)) {
      list.push_back(backup);
      reachable += usable ? 1 : 0;
    }
  }
  for (const incarnation_id& peer : mBackupCandidates) {
    if (reachable < mSettings.mMaxBackups && !Contains(list, peer)) {
      list.push_back(peer);
      ++reachable;
    }
  }
  if (list == mHolder.mBackups) {
    return std::nullopt;
  }
  return list;
}

bool budget_system::HasChargeOnlyAt(const incarnation_id& aBackup) const
{
  return std::any_of(mCharges.begin(), mCharges.end(), [&](const auto& aEntry) {
    return aEntry.second.mHeldBy.count(aBackup) > 0 &&
           !HasUsableCopy(aEntry.second);
  });
}

void budget_system::UpdateBackupState(time_point aNow)
{
  std::erase_if(mPeerFailedUntil,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  const bool has = HasBackup();
  if (mHadBackup && !has) {
    ScheduleAll(aNow);
  }
  mHadBackup = has;
}
