// Messages and the host list of the membership system.

#include <algorithm>
#include <bit>
#include <utility>

#include "Membership/MembershipSystem.h"

namespace {

/// Number of messages to a member that contain this node's descriptor.
constexpr int kSelfAnnouncementCount = 3;

/// Number of times that a rumor is sent, for each doubling of the fleet size.
/// Every node exchanges heartbeats with about twelve others.
constexpr std::uint32_t kRumorTransmissionsPerDoubling = 3;

} // namespace

void membership_system::ApplyMessage(const heartbeat& aMessage, time_point aNow)
{
  mConfigVersion = std::max(mConfigVersion, aMessage.mConfigVersion);
  ApplyUpdate(aMessage.mFrom, true, aNow);
  for (const member_update& update : aMessage.mUpdates) {
    ApplyUpdate(update, false, aNow);
  }
  ApplyProbeResults(aMessage);
  // The sender is running and has to learn that it is considered suspect or
  // dead, so that it can refute this.
  const member_row* row = mTable.Find(aMessage.mFrom.mNode);
  if (row != nullptr && row->mHealth != member_health::Alive) {
    QueueHeartbeat(row->mId);
  }
}

void membership_system::ApplyUpdate(const member_update& aUpdate,
                                    bool aDirect,
                                    time_point aNow)
{
  if (aUpdate.mNode == mSelf.mId) {
    ApplySelfUpdate(aUpdate);
    return;
  }
  member_row* row = mTable.Find(aUpdate.mNode);
  if (row == nullptr) {
    // An old rumor must not add a removed dead member again.
    if (!aUpdate.mDescriptor || aUpdate.mHealth == member_health::Dead) {
      return;
    }
    row = &mTable.FindOrCreate(aUpdate.mNode);
  }
  if (aUpdate.mIncarnation < row->mIncarnation) {
    return;
  }
  if (aUpdate.mIncarnation > row->mIncarnation) {
    ApplyNewIncarnation(*row, aUpdate);
  }
  ApplyDescriptor(*row, aUpdate, aDirect);
  ApplyHealth(*row, aUpdate, aNow);
  if (aUpdate.mLeaving && !row->mLeaving) {
    SetLeaving(*row, false);
    QueueRumor(*row);
  }
}

// A higher incarnation of a node replaces the known one.
void membership_system::ApplyNewIncarnation(member_row& aRow,
                                            const member_update& aUpdate)
{
  if (aRow.mIncarnation != 0 && aRow.mHealth != member_health::Dead) {
    AddEvent(member_event_kind::Dead, aRow);
  }
  const bool replaced = aRow.mIncarnation != 0;
  if (replaced) {
    // The host list referred to the earlier incarnation.
    aRow.mListedLeaving = false;
  }
  if (aRow.mHealth == member_health::Dead) {
    mTable.BumpTopologyVersion();
  }
  aRow.mIncarnation = aUpdate.mIncarnation;
  aRow.mCounter = aUpdate.mCounter;
  aRow.mHealth = member_health::Alive;
  aRow.mLeaving = false;
  aRow.mSelfDescribed = false;
  aRow.mUnreachableLocally = false;
  aRow.mConfirmed = false;
  aRow.mReportedDead = false;
  aRow.mSuspicionDeadline.reset();
  aRow.mForgetAt.reset();
  mDeathChecks.erase(aRow.mId);
  mSelfAnnouncements.erase(aRow.mId);
  mTable.BumpVersion();
  AddEvent(member_event_kind::Joined, aRow);
  // The first incarnation of a listed node is not urgent. When a whole fleet
  // starts at once, these rumors would delay those about dead nodes for
  // minutes.
  mRumors.Add(aRow.mId, replaced, false);
}

void membership_system::ApplyDescriptor(member_row& aRow,
                                        const member_update& aUpdate,
                                        bool aDirect)
{
  if (!aUpdate.mDescriptor || (aRow.mSelfDescribed && !aDirect)) {
    return;
  }
  aRow.mSelfDescribed = true;
  if (aRow.mDescriptor != *aUpdate.mDescriptor) {
    aRow.mDescriptor = *aUpdate.mDescriptor;
    mTable.BumpTopologyVersion();
    QueueRumor(aRow, true);
  }
}

void membership_system::ApplyHealth(member_row& aRow,
                                    const member_update& aUpdate,
                                    time_point aNow)
{
  const bool newer = aUpdate.mCounter > aRow.mCounter;
  const bool worse =
    aUpdate.mCounter == aRow.mCounter && aUpdate.mHealth > aRow.mHealth;
  if (!newer && !worse) {
    return;
  }
  aRow.mCounter = aUpdate.mCounter;
  if (aUpdate.mHealth == member_health::Dead) {
    // Each node checks a reported death with its own heartbeat. Otherwise one
    // report from the other side of a partition would make all nodes of a side
    // look dead.
    if (newer || !aRow.mReportedDead) {
      SetHealth(aRow, member_health::Suspect, aNow);
      aRow.mReportedDead = true;
      mDeathChecks.insert(aRow.mId);
      QueueRumor(aRow);
    }
    return;
  }
  if (aUpdate.mHealth == member_health::Alive &&
      aRow.mHealth != member_health::Alive) {
    ++mCounters.mRefuted;
  }
  SetHealth(aRow, aUpdate.mHealth, aNow);
  QueueRumor(aRow);
}

void membership_system::ApplySelfUpdate(const member_update& aUpdate)
{
  if (aUpdate.mIncarnation > mSelf.mIncarnation) {
    if (std::exchange(mSuperseded, true)) {
      return;
    }
    const member_event replaced{ member_event_kind::Dead,
                                 { mSelf.mId, mSelf.mIncarnation } };
    mEvents.push_back(replaced);
    return;
  }
  if (aUpdate.mIncarnation < mSelf.mIncarnation ||
      aUpdate.mCounter < mCounter) {
    return;
  }
  mCounter = aUpdate.mCounter;
  if (aUpdate.mHealth != member_health::Alive) {
    ++mCounter;
    ++mCounters.mSelfRefuted;
  }
}

heartbeat membership_system::MakeMessage(const node_id& aPeer)
{
  heartbeat message;
  message.mFrom = { mSelf.mId, mSelf.mIncarnation,
                    mCounter,  member_health::Alive,
                    mLeaving,  std::nullopt };
  int& announcements = mSelfAnnouncements[aPeer];
  if (announcements < kSelfAnnouncementCount) {
    ++announcements;
    message.mFrom.mDescriptor = mSelf.mDescriptor;
  }
  message.mConfigVersion = mConfigVersion;
  const member_row* peer = mTable.Find(aPeer);
  if (peer != nullptr && peer->mHealth != member_health::Alive) {
    AddUpdate(message, *peer, false);
  }
  if (const auto requests = mPendingProbeRequests.extract(aPeer)) {
    for (const node_id& target : requests.mapped()) {
      const member_row* row = mTable.Find(target);
      if (row != nullptr && row->mHealth != member_health::Dead) {
        message.mProbeRequests.push_back(target);
        AddUpdate(message, *row, false);
      }
    }
  }
  if (const auto results = mPendingProbeResults.extract(aPeer)) {
    for (const auto& [target, reached] : results.mapped()) {
      const member_row* row = mTable.Find(target);
      if (!reached) {
        message.mUnreachable.push_back(target);
      } else if (row != nullptr) {
        AddUpdate(message, *row, false);
      }
    }
  }
  const std::size_t freeUpdates =
    kMaxUpdates - std::min(kMaxUpdates, message.mUpdates.size());
  for (const auto& rumor :
       mRumors.SelectForMessage(freeUpdates, MaxRumorTransmissions(), aPeer)) {
    const member_row* row = mTable.Find(rumor.mNode);
    if (row != nullptr) {
      AddUpdate(message, *row, rumor.mWithDescriptor);
    }
  }
  AddAntiEntropyUpdate(message);
  return message;
}

void membership_system::AddUpdate(heartbeat& aMessage,
                                  const member_row& aRow,
                                  bool aWithDescriptor)
{
  const bool present = std::any_of(
    aMessage.mUpdates.begin(),
    aMessage.mUpdates.end(),
    [&](const member_update& aUpdate) { return aUpdate.mNode == aRow.mId; });
  // The state of a member that is only listed is not known.
  const bool known =
    aRow.mIncarnation != 0 || aRow.mHealth != member_health::Alive;
  if (known && !present && aMessage.mUpdates.size() < kMaxUpdates) {
    aMessage.mUpdates.push_back(MakeUpdate(aRow, aWithDescriptor));
  }
}

// Adds one member per message in turn, whether or not it changed, so that lost
// updates are repaired.
void membership_system::AddAntiEntropyUpdate(heartbeat& aMessage)
{
  if (aMessage.mUpdates.size() >= kMaxUpdates || mTable.Rows().empty()) {
    return;
  }
  auto position = mTable.Rows().upper_bound(mLastAntiEntropyMember);
  if (position == mTable.Rows().end()) {
    position = mTable.Rows().begin();
  }
  mLastAntiEntropyMember = position->first;
  AddUpdate(aMessage, position->second, false);
}

member_update membership_system::MakeUpdate(const member_row& aRow,
                                            bool aWithDescriptor) const
{
  member_update update;
  update.mNode = aRow.mId;
  update.mIncarnation = aRow.mIncarnation;
  update.mCounter = aRow.mCounter;
  update.mHealth = aRow.mReportedDead ? member_health::Dead : aRow.mHealth;
  update.mLeaving = aRow.mLeaving;
  if (aWithDescriptor && aRow.mSelfDescribed) {
    update.mDescriptor = aRow.mDescriptor;
  }
  return update;
}

std::uint32_t membership_system::MaxRumorTransmissions() const
{
  return kRumorTransmissionsPerDoubling *
         static_cast<std::uint32_t>(std::bit_width(mTable.Rows().size() + 1));
}

void membership_system::QueueRumor(const member_row& aRow, bool aWithDescriptor)
{
  mRumors.Add(aRow.mId, true, aWithDescriptor);
}

void membership_system::OnHostList(const host_list_snapshot& aListing,
                                   time_point aNow)
{
  if (aListing.mVersion < mListVersion) {
    return;
  }
  mListVersion = aListing.mVersion;
  std::set<node_id> listed;
  for (const host_entry& host : aListing.mHosts) {
    if (host.mRole != host_role::Node || host.mPeerAddress.empty()) {
      continue;
    }
    if (host.mName == mSelf.mId.mName) {
      ApplyListedSelf(host);
    } else {
      ApplyListedHost(host);
      listed.insert({ host.mName });
    }
  }
  for (auto& [id, row] : mTable.Rows()) {
    if (!listed.contains(row.mId)) {
      MarkUnlisted(row, aNow);
    }
  }
}

void membership_system::ApplyListedSelf(const host_entry& aHost)
{
  const bool leaving = aHost.mState == host_state::Leaving;
  if (leaving && !mSelfListedLeaving) {
    mEvents.push_back(
      { member_event_kind::Leaving, { mSelf.mId, mSelf.mIncarnation } });
  }
  if (leaving != mSelfListedLeaving) {
    mSelfListedLeaving = leaving;
    mTable.BumpVersion();
  }
}

void membership_system::ApplyListedHost(const host_entry& aHost)
{
  member_row& row = mTable.FindOrCreate({ aHost.mName });
  row.mListed = true;
  row.mForgetAt.reset();
  const member_descriptor where{
    { aHost.mZone }, { aHost.mRegion }, aHost.mAddress, aHost.mPeerAddress
  };
  // The host list lags, so the descriptor from the node itself has priority.
  if (!row.mSelfDescribed && row.mDescriptor != where) {
    row.mDescriptor = where;
    mTable.BumpTopologyVersion();
  }
  const bool leaving = aHost.mState == host_state::Leaving;
  if (leaving && !row.mLastListedLeaving) {
    SetLeaving(row, true);
  }
  if (!leaving && row.mListedLeaving) {
    row.mListedLeaving = false;
    mTable.BumpVersion();
  }
  row.mLastListedLeaving = leaving;
}

// The host list lags, so a node that has sent a heartbeat stays until it is
// dead. One that has not is kept for `mForgetDelay`, since a rumor about its
// incarnation may still arrive.
void membership_system::MarkUnlisted(member_row& aRow, time_point aNow)
{
  aRow.mListed = false;
  aRow.mLastListedLeaving = false;
  const bool heard = aRow.mIncarnation != 0;
  if ((!heard || aRow.mHealth == member_health::Dead) && !aRow.mForgetAt) {
    aRow.mForgetAt = aNow + mSettings.mForgetDelay;
  }
}
