// Failure detection of the membership system.

#include <algorithm>

#include "Membership/MembershipSystem.h"

namespace {

/// Factor on the suspicion time for a suspicion reported by another node, so
/// that the reporting node has time to confirm or withdraw it.
constexpr int kToldSuspicionFactor = 3;

/// Limit of the probes in progress for other nodes.
constexpr std::size_t kMaxProbes = 256;

/// A longer time between two ticks means that this process was paused.
constexpr std::chrono::milliseconds kPauseLimit{ 2000 };

} // namespace

// Replies that arrived during a pause of the process have not been read when
// the first tick after it runs. Timeouts and suspicions therefore start again.
void membership_system::AllowForPause(time_point aNow)
{
  const bool paused = mLastTick && aNow - *mLastTick > kPauseLimit;
  mLastTick = aNow;
  if (!paused) {
    return;
  }
  for (auto& [id, replyBy] : mReplyBy) {
    replyBy = aNow + mSettings.mReplyLimit;
  }
  for (auto& [id, row] : mTable.Rows()) {
    if (row.mSuspicionEnds) {
      row.mSuspicionEnds = aNow + mSettings.mSuspicion;
    }
  }
}

void membership_system::ExpireReplies(time_point aNow)
{
  std::vector<node_id> late;
  for (const auto& [id, replyBy] : mReplyBy) {
    if (replyBy <= aNow) {
      late.push_back(id);
    }
  }
  for (const node_id& id : late) {
    mReplyBy.erase(id);
    OnUnreached(id, aNow);
  }
}

void membership_system::OnUnreached(const node_id& aPeer, time_point aNow)
{
  ++mCounters.mUnanswered;
  AnswerProbes(aPeer, false);
  // The peer may have been replaced by one that does not know this node.
  mToldSelf.erase(aPeer);
  member_row* row = mTable.Find(aPeer);
  if (row == nullptr || row->mHealth == member_health::Dead) {
    return;
  }
  if (row->mDeadTold) {
    SetHealth(*row, member_health::Dead, aNow);
    return;
  }
  const auto peer = mPeers.find(aPeer);
  if (peer == mPeers.end()) {
    return;
  }
  if (!row->mUnreachedHere) {
    ++mCounters.mSuspicions;
    SetHealth(*row, member_health::Suspect, aNow);
    row->mUnreachedHere = true;
    row->mSuspicionEnds = aNow + mSettings.mSuspicion;
    Spread(*row);
  }
  peer->second.mNext =
    std::min(peer->second.mNext, aNow + mSettings.mSuspectRetry);
  if (!row->mConfirmed) {
    AskConfirmers(*row);
  }
}

// Prefers members of different zones, since nodes of one zone often fail to
// reach the target for the same reason.
void membership_system::AskConfirmers(const member_row& aTarget)
{
  std::vector<const member_row*> candidates;
  for (const auto& [id, row] : mTable.Rows()) {
    if (id != aTarget.mId && row.mHealth == member_health::Alive) {
      candidates.push_back(&row);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), mRandom);
  std::set<zone_id> zones{ mSelf.mWhere.mZone };
  std::stable_partition(
    candidates.begin(), candidates.end(), [&](const member_row* aRow) {
      return zones.insert(aRow->mWhere.mZone).second;
    });
  const std::size_t count = std::min(mSettings.mConfirmers, candidates.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::set<node_id>& asks = mAsks[candidates[i]->mId];
    if (asks.size() < kMaxAskAbout) {
      asks.insert(aTarget.mId);
    }
    Queue(candidates[i]->mId);
  }
}

void membership_system::TakeAsks(const heartbeat& aMessage)
{
  for (const node_id& target : aMessage.mAskAbout) {
    if (target == mSelf.mId || mTable.Find(target) == nullptr ||
        mProbes.size() >= kMaxProbes) {
      continue;
    }
    mProbes.push_back({ target, aMessage.mFrom.mNode });
    Queue(target);
  }
}

void membership_system::AnswerProbes(const node_id& aTarget, bool aReached)
{
  for (const probe& asked : mProbes) {
    if (asked.mTarget == aTarget) {
      auto& reports = mReports[asked.mAsker];
      if (reports.size() < kMaxAskAbout) {
        reports[aTarget] = aReached;
      }
      Queue(asked.mAsker);
    }
  }
  std::erase_if(mProbes,
                [&](const probe& aProbe) { return aProbe.mTarget == aTarget; });
}

void membership_system::TakeReports(const heartbeat& aMessage)
{
  for (const node_id& target : aMessage.mUnreached) {
    member_row* row = mTable.Find(target);
    if (row != nullptr && row->mUnreachedHere &&
        aMessage.mFrom.mNode != target) {
      row->mConfirmed = true;
    }
  }
}

void membership_system::EndSuspicions(time_point aNow)
{
  for (auto& [id, row] : mTable.Rows()) {
    if (row.mSuspicionEnds && *row.mSuspicionEnds <= aNow) {
      EndSuspicion(row, aNow);
    }
  }
}

void membership_system::EndSuspicion(member_row& aRow, time_point aNow)
{
  if (aRow.mUnreachedHere && (aRow.mConfirmed || !HasThirdMember(aRow.mId))) {
    ++mCounters.mDeclaredDead;
    SetHealth(aRow, member_health::Dead, aNow);
    Spread(aRow);
    return;
  }
  // Without a confirmation by another node, this node may be the one that is
  // cut off. It then keeps the suspicion and does not declare the member dead.
  const bool peer = mPeers.contains(aRow.mId);
  const bool checking = aRow.mDeadTold && (mChecks.contains(aRow.mId) ||
                                           mReplyBy.contains(aRow.mId));
  if ((aRow.mUnreachedHere && peer) || checking) {
    aRow.mSuspicionEnds = aNow + mSettings.mSuspectRetry;
    return;
  }
  SetHealth(aRow, member_health::Alive, aNow);
}

bool membership_system::HasThirdMember(const node_id& aTarget) const
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
  aRow.mUnreachedHere = false;
  aRow.mConfirmed = false;
  aRow.mDeadTold = false;
  aRow.mSuspicionEnds.reset();
  if (aRow.mIncarnation != 0) {
    aRow.mForgetAt.reset();
  }
  mChecks.erase(aRow.mId);
  mTable.TouchShape();
  if (aHealth == member_health::Suspect) {
    aRow.mSuspicionEnds = aNow + kToldSuspicionFactor * mSettings.mSuspicion;
  }
  if (aHealth == member_health::Dead) {
    if (!aRow.mListed && !aRow.mForgetAt) {
      aRow.mForgetAt = aNow + mSettings.mForget;
    }
    Emit(member_event_kind::Dead, aRow);
  } else if (before == member_health::Dead) {
    Emit(member_event_kind::Returned, aRow);
  }
}

void membership_system::SetLeaving(member_row& aRow, bool aListed)
{
  const bool before = aRow.Leaving();
  (aListed ? aRow.mListedLeaving : aRow.mLeaving) = true;
  if (!before) {
    mTable.Touch();
    Emit(member_event_kind::Leaving, aRow);
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
    mToldSelf.erase(id);
    mTable.Erase(id);
  }
}
