// Failure detection of the membership system.

#include <algorithm>

#include "Membership/MembershipSystem.h"

namespace {

/// Factor on the suspicion time for a suspicion reported by another node, so
/// that the reporting node has time to confirm or withdraw it.
constexpr int kReportedSuspicionFactor = 3;

/// Limit of the probes in progress for other nodes.
constexpr std::size_t kMaxProbes = 256;

/// A longer time between two ticks means that this process was paused.
constexpr std::chrono::milliseconds kMaxTickInterval{ 2000 };

} // namespace

// Replies that arrived during a pause of the process have not been read when
// the first tick after it runs. Timeouts and suspicions therefore start again.
void membership_system::ExtendDeadlinesAfterPause(time_point aNow)
{
  const bool paused = mLastTick && aNow - *mLastTick > kMaxTickInterval;
  mLastTick = aNow;
  if (!paused) {
    return;
  }
  for (auto& [id, deadline] : mReplyDeadlines) {
    deadline = aNow + mSettings.mReplyTimeout;
  }
  for (auto& [id, row] : mTable.Rows()) {
    if (row.mSuspicionDeadline) {
      row.mSuspicionDeadline = aNow + mSettings.mSuspicionTimeout;
    }
  }
}

void membership_system::ExpireReplyDeadlines(time_point aNow)
{
  std::vector<node_id> expired;
  for (const auto& [id, deadline] : mReplyDeadlines) {
    if (deadline <= aNow) {
      expired.push_back(id);
    }
  }
  for (const node_id& id : expired) {
    mReplyDeadlines.erase(id);
    OnNoAnswer(id, aNow);
  }
}

void membership_system::OnNoAnswer(const node_id& aPeer, time_point aNow)
{
  ++mCounters.mUnanswered;
  QueueProbeResults(aPeer, false);
  // The peer may have been replaced by one that does not know this node.
  mSelfAnnouncements.erase(aPeer);
  member_row* row = mTable.Find(aPeer);
  if (row == nullptr || row->mHealth == member_health::Dead) {
    return;
  }
  if (row->mReportedDead) {
    SetHealth(*row, member_health::Dead, aNow);
    return;
  }
  const auto peer = mPeers.find(aPeer);
  if (peer == mPeers.end()) {
    return;
  }
  if (!row->mUnreachableLocally) {
    ++mCounters.mSuspicions;
    SetHealth(*row, member_health::Suspect, aNow);
    row->mUnreachableLocally = true;
    row->mSuspicionDeadline = aNow + mSettings.mSuspicionTimeout;
    QueueRumor(*row);
  }
  peer->second.mNextHeartbeat = std::min(
    peer->second.mNextHeartbeat, aNow + mSettings.mSuspectRetryInterval);
  if (!row->mConfirmed) {
    RequestConfirmations(*row);
  }
}

// Prefers members of different zones, since nodes of one zone often fail to
// reach the target for the same reason.
void membership_system::RequestConfirmations(const member_row& aTarget)
{
  std::vector<const member_row*> candidates;
  for (const auto& [id, row] : mTable.Rows()) {
    if (id != aTarget.mId && row.mHealth == member_health::Alive) {
      candidates.push_back(&row);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), mRandom);
  std::set<zone_id> zones{ mSelf.mDescriptor.mZone };
  std::stable_partition(
    candidates.begin(), candidates.end(), [&](const member_row* aRow) {
      return zones.insert(aRow->mDescriptor.mZone).second;
    });
  const std::size_t count =
    std::min(mSettings.mConfirmerCount, candidates.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::set<node_id>& requests = mPendingProbeRequests[candidates[i]->mId];
    if (requests.size() < kMaxAskAbout) {
      requests.insert(aTarget.mId);
    }
    QueueHeartbeat(candidates[i]->mId);
  }
}

void membership_system::AcceptProbeRequests(const heartbeat& aMessage)
{
  for (const node_id& target : aMessage.mProbeRequests) {
    if (target == mSelf.mId || mTable.Find(target) == nullptr ||
        mProbes.size() >= kMaxProbes) {
      continue;
    }
    mProbes.push_back({ target, aMessage.mFrom.mNode });
    QueueHeartbeat(target);
  }
}

void membership_system::QueueProbeResults(const node_id& aTarget, bool aReached)
{
  for (const probe& requested : mProbes) {
    if (requested.mTarget == aTarget) {
      auto& results = mPendingProbeResults[requested.mRequester];
      if (results.size() < kMaxAskAbout) {
        results[aTarget] = aReached;
      }
      QueueHeartbeat(requested.mRequester);
    }
  }
  std::erase_if(mProbes,
                [&](const probe& aProbe) { return aProbe.mTarget == aTarget; });
}

void membership_system::ApplyProbeResults(const heartbeat& aMessage)
{
  for (const node_id& target : aMessage.mUnreachable) {
    member_row* row = mTable.Find(target);
    if (row != nullptr && row->mUnreachableLocally &&
        aMessage.mFrom.mNode != target) {
      row->mConfirmed = true;
    }
  }
}

void membership_system::ExpireSuspicions(time_point aNow)
{
  for (auto& [id, row] : mTable.Rows()) {
    if (row.mSuspicionDeadline && *row.mSuspicionDeadline <= aNow) {
      ResolveSuspicion(row, aNow);
    }
  }
}

void membership_system::ResolveSuspicion(member_row& aRow, time_point aNow)
{
  if (aRow.mUnreachableLocally &&
      (aRow.mConfirmed || !HasOtherLiveMember(aRow.mId))) {
    ++mCounters.mDeclaredDead;
    SetHealth(aRow, member_health::Dead, aNow);
    QueueRumor(aRow);
    return;
  }
  // Without a confirmation by another node, this node may be the one that is
  // cut off. It then keeps the suspicion and does not declare the member dead.
  const bool peer = mPeers.contains(aRow.mId);
  const bool checking =
    aRow.mReportedDead &&
    (mDeathChecks.contains(aRow.mId) || mReplyDeadlines.contains(aRow.mId));
  if ((aRow.mUnreachableLocally && peer) || checking) {
    aRow.mSuspicionDeadline = aNow + mSettings.mSuspectRetryInterval;
    return;
  }
  SetHealth(aRow, member_health::Alive, aNow);
}

bool membership_system::HasOtherLiveMember(const node_id& aTarget) const
{
  return std::any_of(
    mTable.Rows().begin(), mTable.Rows().end(), [&](const auto& aEntry) {
      return aEntry.first != aTarget &&
             aEntry.second.mHealth != member_health::Dead;
    });
}

void membership_system::SetHealth(member_row& aRow,
                                  member_health aHealth,
                                  time_point aNow)
{
  const member_health before = aRow.mHealth;
  if (before == aHealth) {
    return;
  }
  aRow.mHealth = aHealth;
  aRow.mUnreachableLocally = false;
  aRow.mConfirmed = false;
  aRow.mReportedDead = false;
  aRow.mSuspicionDeadline.reset();
  if (aRow.mIncarnation != 0) {
    aRow.mForgetAt.reset();
  }
  mDeathChecks.erase(aRow.mId);
  mTable.BumpTopologyVersion();
  if (aHealth == member_health::Suspect) {
    aRow.mSuspicionDeadline =
      aNow + kReportedSuspicionFactor * mSettings.mSuspicionTimeout;
  }
  if (aHealth == member_health::Dead) {
    if (!aRow.mListed && !aRow.mForgetAt) {
      aRow.mForgetAt = aNow + mSettings.mForgetDelay;
    }
    AddEvent(member_event_kind::Dead, aRow);
  } else if (before == member_health::Dead) {
    AddEvent(member_event_kind::Returned, aRow);
  }
}

void membership_system::SetLeaving(member_row& aRow, bool aListed)
{
  const bool before = aRow.Leaving();
  (aListed ? aRow.mListedLeaving : aRow.mLeaving) = true;
  if (!before) {
    mTable.BumpVersion();
    AddEvent(member_event_kind::Leaving, aRow);
  }
}

void membership_system::ForgetMembers(time_point aNow)
{
  std::vector<node_id> forgotten;
  for (const auto& [id, row] : mTable.Rows()) {
    if (row.mForgetAt && *row.mForgetAt <= aNow) {
      forgotten.push_back(id);
    }
  }
  for (const node_id& id : forgotten) {
    mRumors.Erase(id);
    mSelfAnnouncements.erase(id);
    mTable.Erase(id);
  }
}
