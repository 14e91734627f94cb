#include "Dispatch/QuarantineTable.h"

#include <algorithm>

namespace {

constexpr std::chrono::seconds kExpiryInterval{ 1 };

} // namespace

void quarantine_table::ApplySettings(const node_id& aNode,
                                     const quarantine_settings& aSettings)
{
  mNode = aNode;
  mSettings = aSettings;
}

content_check quarantine_table::Check(const content_id& aContent,
                                      time_point aNow) const
{
  const auto found = mEntries.find(aContent);
  if (found == mEntries.end() || found->second.mExpires <= aNow) {
    return {};
  }
  const entry& known = found->second;
  if (known.mState == quarantine_state::Quarantined) {
    return { content_verdict::Quarantined, known.mExpires };
  }
  const bool tried = known.mRetryUntil > aNow;
  if (tried && known.mRetryNode != mNode) {
    return { content_verdict::RetriedElsewhere, known.mRetryUntil };
  }
  return { content_verdict::Suspect, known.mRetryNotBefore };
}

void quarantine_table::OnCrash(const upstream_id& aUpstream,
                               const std::vector<content_id>& aInFlight,
                               time_point aNow)
{
  const auto seen = mProcessedCrashes.find(aUpstream);
  if (seen != mProcessedCrashes.end() &&
      aNow - seen->second < mSettings.mCrashDeduplicationPeriod) {
    return;
  }
  mProcessedCrashes[aUpstream] = aNow;
  std::vector<content_id> suspects;
  for (const content_id& content : aInFlight) {
    if (Check(content, aNow).mVerdict != content_verdict::Clear) {
      suspects.push_back(content);
    }
  }
  const auto explained = mAttributedCrashes.find(aUpstream);
  const bool known =
    explained != mAttributedCrashes.end() &&
    aNow - explained->second < mSettings.mCrashDeduplicationPeriod;
  if (suspects.empty() && known) {
    return;
  }
  const std::vector<content_id>& blamed =
    suspects.empty() ? aInFlight : suspects;
  for (const content_id& content : blamed) {
    entry& found = FindOrAddSuspect(content, aNow);
    if (AddCrash(found, aUpstream, aNow)) {
      found.mRetryUntil = aNow;
      UpdateQuarantineState(found, 0, aNow);
      mPendingNotices[content] = aUpstream;
    }
  }
  if (!suspects.empty()) {
    mAttributedCrashes[aUpstream] = aNow;
  }
}

time_point quarantine_table::BeginRetry(const content_id& aContent,
                                        time_point aNow)
{
  const auto found = mEntries.find(aContent);
  if (found == mEntries.end()) {
    return aNow;
  }
  entry& known = found->second;
  known.mRetryNode = mNode;
  known.mRetryNotBefore = aNow + mSettings.mSuspectRetryDelay;
  known.mRetryUntil = known.mRetryNotBefore + mSettings.mSuspectRetryTimeout;
  mPendingNotices.try_emplace(aContent, known.mCrashes.back().mUpstream);
  return known.mRetryNotBefore;
}

void quarantine_table::EndRetry(const content_id& aContent)
{
  const auto found = mEntries.find(aContent);
  if (found == mEntries.end() || found->second.mRetryNode != mNode) {
    return;
  }
  found->second.mRetryUntil = time_point();
  mPendingNotices.try_emplace(aContent,
                              found->second.mCrashes.back().mUpstream);
}

bool quarantine_table::IsRetrying(const content_id& aContent,
                                  time_point aNow) const
{
  const auto found = mEntries.find(aContent);
  return found != mEntries.end() && found->second.mRetryNode == mNode &&
         found->second.mRetryUntil > aNow;
}

void quarantine_table::OnCompleted(const content_id& aContent)
{
  const auto found = mEntries.find(aContent);
  if (found == mEntries.end() ||
      found->second.mState != quarantine_state::Suspect) {
    return;
  }
  mEntries.erase(found);
  mPendingNotices[aContent] = {};
}

void quarantine_table::OnNotice(const quarantine_notice& aNotice,
                                time_point aNow)
{
  if (aNotice.mState == quarantine_state::Cleared) {
    const auto found = mEntries.find(aNotice.mContent);
    if (found != mEntries.end() &&
        found->second.mState == quarantine_state::Suspect) {
      mEntries.erase(found);
    }
    return;
  }
  entry& known = FindOrAddSuspect(aNotice.mContent, aNow);
  AddCrash(known, aNotice.mUpstream, aNow);
  // A claim of this node is not replaced by another node's.
  const bool isOwnRetry = known.mRetryNode == mNode && known.mRetryUntil > aNow;
  if (!isOwnRetry) {
    known.mRetryNode = aNotice.mNode;
    known.mRetryNotBefore = aNow + mSettings.mSuspectRetryDelay;
    known.mRetryUntil =
      aNotice.mRetrying ? known.mRetryNotBefore + mSettings.mSuspectRetryTimeout
                        : aNow;
  }
  UpdateQuarantineState(known, aNotice.mCrashes, aNow);
  if (aNotice.mState == quarantine_state::Quarantined) {
    UpdateQuarantineState(known, mSettings.mMaxCrashes, aNow);
  }
  if (aNotice.mCrashes > 1) {
    AttributeCrash(aNotice.mContent, aNotice.mUpstream, aNow);
  }
}

std::vector<content_id> quarantine_table::RetriesBefore(
  const content_id& aContent,
  time_point aNow) const
{
  std::vector<content_id> before;
  for (const auto& [content, known] : mEntries) {
    if (known.mState == quarantine_state::Suspect && known.mRetryUntil > aNow &&
        content < aContent) {
      before.push_back(content);
    }
  }
  return before;
}

std::vector<quarantine_notice> quarantine_table::TakeNotices()
{
  std::vector<quarantine_notice> notices;
  for (const auto& [content, upstream] : mPendingNotices) {
    quarantine_notice notice{ content, quarantine_state::Cleared, {}, mNode };
    const auto found = mEntries.find(content);
    if (found != mEntries.end()) {
      const entry& known = found->second;
      notice.mState = known.mState;
      notice.mUpstream = upstream;
      notice.mCrashes = static_cast<std::uint32_t>(known.mCrashes.size());
      notice.mRetrying =
        known.mRetryNode == mNode && known.mRetryUntil > known.mRetryNotBefore;
    }
    notices.push_back(notice);
  }
  mPendingNotices.clear();
  return notices;
}

void quarantine_table::Expire(time_point aNow)
{
  if (aNow < mNextExpiry) {
    return;
  }
  mNextExpiry = aNow + kExpiryInterval;
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aEntry.second.mExpires <= aNow;
  });
  const auto past = [&](const auto& aEntry) {
    return aNow - aEntry.second >= mSettings.mCrashDeduplicationPeriod;
  };
  std::erase_if(mAttributedCrashes, past);
  std::erase_if(mProcessedCrashes, past);
}

std::uint32_t quarantine_table::Count(quarantine_state aState) const
{
  return static_cast<std::uint32_t>(
    std::count_if(mEntries.begin(), mEntries.end(), [&](const auto& aEntry) {
      return aEntry.second.mState == aState;
    }));
}

quarantine_table::entry& quarantine_table::FindOrAddSuspect(
  const content_id& aContent,
  time_point aNow)
{
  if (!mEntries.contains(aContent)) {
    EvictIfFull();
  }
  entry& known = mEntries[aContent];
  if (known.mExpires <= aNow) {
    known = {};
    known.mRetryNotBefore = aNow + mSettings.mSuspectRetryDelay;
  }
  if (known.mState == quarantine_state::Suspect) {
    known.mExpires = aNow + mSettings.mSuspectPeriod;
  }
  return known;
}

bool quarantine_table::SameCrash(const crash& aCrash,
                                 const upstream_id& aUpstream,
                                 time_point aNow) const
{
  return aCrash.mUpstream == aUpstream &&
         aNow - aCrash.mAt < mSettings.mCrashDeduplicationPeriod;
}

bool quarantine_table::AddCrash(entry& aEntry,
                                const upstream_id& aUpstream,
                                time_point aNow)
{
  for (const crash& known : aEntry.mCrashes) {
    if (SameCrash(known, aUpstream, aNow)) {
      return false;
    }
  }
  aEntry.mCrashes.push_back({ aUpstream, aNow });
  return true;
}

void quarantine_table::UpdateQuarantineState(entry& aEntry,
                                             std::uint32_t aCrashes,
                                             time_point aNow)
{
  const auto ownCrashes = static_cast<std::uint32_t>(aEntry.mCrashes.size());
  if (std::max(ownCrashes, aCrashes) >= mSettings.mMaxCrashes &&
      aEntry.mState != quarantine_state::Quarantined) {
    aEntry.mState = quarantine_state::Quarantined;
    aEntry.mExpires = aNow + mSettings.mQuarantinePeriod;
  }
}

void quarantine_table::AttributeCrash(const content_id& aCause,
                                      const upstream_id& aUpstream,
                                      time_point aNow)
{
  mAttributedCrashes[aUpstream] = aNow;
  std::erase_if(mEntries, [&](const auto& aEntry) {
    const entry& known = aEntry.second;
    return aEntry.first != aCause &&
           known.mState == quarantine_state::Suspect &&
           known.mCrashes.size() == 1 &&
           SameCrash(known.mCrashes.front(), aUpstream, aNow);
  });
}

void quarantine_table::EvictIfFull()
{
  if (mEntries.size() < mSettings.mMaxContents || mEntries.empty()) {
    return;
  }
  const auto first =
    std::min_element(mEntries.begin(),
                     mEntries.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.mExpires < aRight.second.mExpires;
                     });
  mEntries.erase(first);
}
