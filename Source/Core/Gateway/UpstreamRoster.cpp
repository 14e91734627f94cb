#include "Gateway/UpstreamRoster.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

// Time for which a server is suspect after a failure, doubled with each further
// one.
constexpr milliseconds kFirstSuspicion(300);
constexpr unsigned kMostDoublings = 5;
// A server with open requests that sent nothing for this long is suspect;
// engines send an event to some request every few milliseconds.
constexpr milliseconds kSilence(1500);
// Weight of the newest observation in the moving average of the slowness, and
// its limits.
constexpr double kSlownessGain = 0.15;
constexpr double kLeastSlowness = 0.7;
constexpr double kMostSlowness = 8.0;
// Expected times below this many ms give no useful observation of speed.
constexpr double kLeastObservedMs = 20.0;
// Weight of the newest time between events in its moving average.
constexpr double kGapGain = 0.1;
// Observed times between events are valid for this long.
constexpr milliseconds kGapMemory(1000);
// Limit of the remembered prompt segments; all are dropped when it is exceeded.
constexpr std::size_t kMostHeldParts = 20000;
// Limit of the requests of all nodes at a plain server, as a multiple of its
// slots. Requests of a node with a slow link stay open long after the server
// has answered, so a server whose slots seem taken may be idle.
constexpr std::int64_t kPlainQueueFactor = 2;
// Assumed time of a plain request in ms, to compare the load of servers.
constexpr double kPlainWorkMs = 30.0;

double Milliseconds(std::chrono::microseconds aTime)
{
  return static_cast<double>(aTime.count()) / 1000.0;
}

} // namespace

upstream_work& upstream_work::operator+=(const upstream_work& aOther)
{
  mRequests += aOther.mRequests;
  mPrefillTokens += aOther.mPrefillTokens;
  mKvTokens += aOther.mKvTokens;
  return *this;
}

upstream_work& upstream_work::operator-=(const upstream_work& aOther)
{
  mRequests -= aOther.mRequests;
  mPrefillTokens -= aOther.mPrefillTokens;
  mKvTokens -= aOther.mKvTokens;
  return *this;
}

upstream_roster::shared_prompt upstream_roster::SharedPrompt(
  const std::vector<prompt_part>* aPrompt)
{
  shared_prompt shared;
  if (aPrompt == nullptr) {
    return shared;
  }
  std::string key;
  for (std::size_t i = 0; i + 1 < aPrompt->size(); ++i) {
    const prompt_part& part = (*aPrompt)[i];
    key.append(part.mId).push_back('/');
    shared.mParts.emplace_back(key, part.mTokens);
    shared.mTokens += part.mTokens;
  }
  return shared;
}

std::uint32_t upstream_roster::KeyOf(const upstream_id& aId)
{
  return static_cast<std::uint32_t>(StableHash(aId.mName));
}

void upstream_roster::SetService(const gateway_service& aService)
{
  mServices[aService.mName.mName] = aService;
}

void upstream_roster::Apply(const server_entry& aEntry, time_point aNow)
{
  upstream_record& record = mUpstreams[aEntry.mId];
  const server_entry& old = record.mEntry;
  const bool known = !old.mId.mName.empty();
  // Writes that are applied late may bring an older entry after a newer one.
  if (known && !record.mRemoved &&
      std::pair(aEntry.mBorn, aEntry.mSequence) <
        std::pair(old.mBorn, old.mSequence)) {
    return;
  }
  const bool restarted =
    !known || aEntry.mBorn != old.mBorn || aEntry.mAddress != old.mAddress;
  if (restarted) {
    record.mSuspectUntil = {};
    record.mFailures = 0;
    record.mSlowness = 1.0;
    record.mKey = KeyOf(aEntry.mId);
    for (auto& [part, holders] : mHeldParts) {
      holders.erase(record.mKey);
    }
  }
  record.mEntry = aEntry;
  record.mRemoved = false;
  if (aEntry.mState == server_state::Ready) {
    record.mUsableUntil.reset();
  } else if (!record.mUsableUntil) {
    record.mUsableUntil = aNow;
  }
}

void upstream_roster::Remove(const upstream_id& aId, time_point aUsableUntil)
{
  const auto found = mUpstreams.find(aId);
  if (found == mUpstreams.end()) {
    return;
  }
  found->second.mRemoved = true;
  if (!found->second.mUsableUntil) {
    found->second.mUsableUntil = aUsableUntil;
  }
}

void upstream_roster::Expire(time_point aNow)
{
  std::erase_if(mUpstreams, [&](const auto& aPair) {
    const upstream_record& record = aPair.second;
    return record.mRemoved && record.mUsableUntil &&
           *record.mUsableUntil < aNow && record.mOwn.mRequests == 0;
  });
  if (mHeldParts.size() > kMostHeldParts) {
    mHeldParts.clear();
  }
}

upstream_work upstream_roster::WorkAt(const upstream_record& aRecord) const
{
  upstream_work work = aRecord.mOwn;
  const auto peers = mPeerWork.find(aRecord.mKey);
  if (peers != mPeerWork.end()) {
    work += peers->second;
  }
  return work;
}

bool upstream_roster::Silent(const upstream_record& aRecord,
                             time_point aNow) const
{
  return aRecord.mOwn.mRequests > 0 &&
         aNow > std::max(aRecord.mLastByte, aRecord.mOldestSilent) + kSilence;
}

std::int64_t upstream_roster::UncachedTokens(const upstream_record& aRecord,
                                             const shared_prompt& aShared,
                                             time_point aNow) const
{
  std::int64_t uncached = 0;
  bool held = true;
  for (const auto& [key, tokens] : aShared.mParts) {
    if (held) {
      const auto part = mHeldParts.find(key);
      held = false;
      if (part != mHeldParts.end()) {
        const auto holder = part->second.find(aRecord.mKey);
        held = holder != part->second.end() && holder->second > aNow;
      }
    }
    if (!held) {
      uncached += tokens;
    }
  }
  return uncached;
}

std::vector<const upstream_roster::upstream_record*>
upstream_roster::Candidates(const placement_query& aQuery,
                            time_point aNow) const
{
  std::vector<const upstream_record*> sound;
  std::vector<const upstream_record*> suspect;
  std::vector<const upstream_record*> leaving;
  for (const auto& [id, record] : mUpstreams) {
    if (record.mEntry.mService != aQuery.mService ||
        std::ranges::find(aQuery.mExcluded, id) != aQuery.mExcluded.end()) {
      continue;
    }
    if (record.mUsableUntil) {
      if (aNow < *record.mUsableUntil) {
        leaving.push_back(&record);
      }
    } else if (aNow < record.mSuspectUntil || Silent(record, aNow)) {
      suspect.push_back(&record);
    } else {
      sound.push_back(&record);
    }
  }
  if (!sound.empty()) {
    return sound;
  }
  return suspect.empty() ? leaving : suspect;
}

std::optional<upstream_roster::rated_placement> upstream_roster::RateEngine(
  const upstream_record& aRecord,
  const upstream_work& aWork,
  const engine_limits& aLimits,
  const placement_query& aQuery,
  const shared_prompt& aShared,
  bool aHome,
  time_point aNow) const
{
  const std::int64_t uncached =
    aHome ? 0 : UncachedTokens(aRecord, aShared, aNow);
  const std::int64_t read =
    std::max<std::int64_t>(aQuery.mPromptTokens - aShared.mTokens, 0) +
    uncached;
  rated_placement rated;
  placement& option = rated.mPlacement;
  option.mWork.mPrefillTokens = read;
  option.mWork.mKvTokens = aQuery.mPromptTokens + aQuery.mOutputTokens;
  const auto most = static_cast<std::int64_t>(
    static_cast<double>(aLimits.mKvTokens) * mSettings.mKvShare);
  if (aWork.mRequests > 0 && aWork.mKvTokens + option.mWork.mKvTokens > most) {
    return std::nullopt;
  }
  option.mWaitMs = aRecord.mSlowness *
                   static_cast<double>(aWork.mPrefillTokens) /
                   mSettings.mPrefillTokensPerMs;
  if (aNow < aRecord.mGapValidUntil) {
    option.mOutputMs = aRecord.mEventGapMs * mSettings.mOutputShare *
                       static_cast<double>(aQuery.mOutputTokens) /
                       aLimits.mTokensPerEvent;
  }
  option.mExpectedMs =
    aRecord.mSlowness *
    (static_cast<double>(aWork.mPrefillTokens + read) /
       mSettings.mPrefillTokensPerMs +
     mSettings.mPerRequestMs * static_cast<double>(aWork.mRequests));
  rated.mCost = option.mExpectedMs + (mSettings.mRereadWeight - 1.0) *
                                       static_cast<double>(uncached) /
                                       mSettings.mPrefillTokensPerMs;
  return rated;
}

std::optional<placement> upstream_roster::Choose(const placement_query& aQuery,
                                                 time_point aNow) const
{
  const auto service = mServices.find(aQuery.mService.mName);
  const bool engine =
    service != mServices.end() && service->second.mEngine.has_value();
  const shared_prompt shared = SharedPrompt(aQuery.mPrompt);
  // If all healthy servers are full, the request waits and is not sent to a
  // suspect one.
  const auto candidates = Candidates(aQuery, aNow);
  // Every node computes the same preferred server for a shared prompt.
  const upstream_record* home = nullptr;
  if (!shared.mParts.empty() && !candidates.empty()) {
    home = *std::ranges::max_element(
      candidates, {}, [&](const upstream_record* aRecord) {
        return RendezvousWeight(shared.mParts.back().first,
                                aRecord->mEntry.mId.mName);
      });
  }
  std::optional<rated_placement> best;
  for (const upstream_record* record : candidates) {
    const std::int64_t slots = std::max(record->mEntry.mSlots, 1U);
    const upstream_work work = WorkAt(*record);
    const std::int64_t most = engine ? slots : slots * kPlainQueueFactor;
    if (record->mOwn.mRequests >= slots || work.mRequests >= most) {
      continue;
    }
    std::optional<rated_placement> rated;
    if (engine) {
      rated = RateEngine(*record,
                         work,
                         *service->second.mEngine,
                         aQuery,
                         shared,
                         record == home,
                         aNow);
      if (!rated) {
        continue;
      }
    } else {
      rated.emplace();
      rated->mPlacement.mExpectedMs = record->mSlowness * kPlainWorkMs;
      rated->mCost = rated->mPlacement.mExpectedMs *
                     static_cast<double>(work.mRequests + 1) /
                     static_cast<double>(slots);
    }
    if (record->mEntry.mZone != aQuery.mZone) {
      rated->mCost += mSettings.mOtherZoneMs;
    }
    if (!best || rated->mCost < best->mCost) {
      best = std::move(rated);
      best->mPlacement.mUpstream = record->mEntry.mId;
      best->mPlacement.mAddress = record->mEntry.mAddress;
      best->mPlacement.mWork.mRequests = 1;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return std::move(best->mPlacement);
}

bool upstream_roster::HasUsable(const service_id& aService,
                                time_point aNow) const
{
  return std::ranges::any_of(mUpstreams, [&](const auto& aPair) {
    const upstream_record& record = aPair.second;
    return record.mEntry.mService == aService &&
           (!record.mUsableUntil || aNow < *record.mUsableUntil);
  });
}

void upstream_roster::Begin(const placement& aPlacement,
                            const placement_query& aQuery,
                            time_point aNow)
{
  const auto found = mUpstreams.find(aPlacement.mUpstream);
  if (found == mUpstreams.end()) {
    return;
  }
  upstream_record& record = found->second;
  if (record.mOwn.mRequests == 0) {
    record.mOldestSilent = aNow;
  }
  record.mOwn += aPlacement.mWork;
  for (const auto& [key, tokens] : SharedPrompt(aQuery.mPrompt).mParts) {
    mHeldParts[key][record.mKey] = aNow + mSettings.mCacheMemory;
  }
}

void upstream_roster::FirstEvent(const upstream_id& aId,
                                 const upstream_work& aWork,
                                 time_point aSentAt,
                                 double aExpectedMs,
                                 time_point aNow)
{
  const auto found = mUpstreams.find(aId);
  if (found == mUpstreams.end()) {
    return;
  }
  upstream_record& record = found->second;
  record.mOwn.mPrefillTokens -= aWork.mPrefillTokens;
  const double observed = Milliseconds(aNow - aSentAt);
  if (aExpectedMs >= kLeastObservedMs) {
    const double ratio = observed * record.mSlowness / aExpectedMs;
    record.mSlowness =
      std::clamp(record.mSlowness + kSlownessGain * (ratio - record.mSlowness),
                 kLeastSlowness,
                 kMostSlowness);
  }
}

void upstream_roster::End(const upstream_id& aId, const upstream_work& aRest)
{
  const auto found = mUpstreams.find(aId);
  if (found != mUpstreams.end()) {
    found->second.mOwn -= aRest;
  }
}

void upstream_roster::OnEventGap(const upstream_id& aId,
                                 double aGapMs,
                                 time_point aNow)
{
  const auto found = mUpstreams.find(aId);
  if (found == mUpstreams.end()) {
    return;
  }
  upstream_record& record = found->second;
  if (aNow >= record.mGapValidUntil) {
    record.mEventGapMs = aGapMs;
  }
  record.mEventGapMs += kGapGain * (aGapMs - record.mEventGapMs);
  record.mGapValidUntil = aNow + kGapMemory;
}

void upstream_roster::OnByte(const upstream_id& aId, time_point aNow)
{
  const auto found = mUpstreams.find(aId);
  if (found != mUpstreams.end()) {
    found->second.mLastByte = aNow;
  }
}

void upstream_roster::OnSuccess(const upstream_id& aId)
{
  const auto found = mUpstreams.find(aId);
  if (found != mUpstreams.end()) {
    found->second.mFailures = 0;
  }
}

void upstream_roster::OnFailure(const upstream_id& aId, time_point aNow)
{
  const auto found = mUpstreams.find(aId);
  if (found == mUpstreams.end()) {
    return;
  }
  upstream_record& record = found->second;
  const unsigned doublings = std::min(record.mFailures, kMostDoublings);
  record.mSuspectUntil = aNow + kFirstSuspicion * (1U << doublings);
  ++record.mFailures;
}

std::vector<std::pair<std::uint32_t, upstream_work>> upstream_roster::OwnWork()
  const
{
  std::vector<std::pair<std::uint32_t, upstream_work>> work;
  for (const auto& [id, record] : mUpstreams) {
    if (record.mOwn.mRequests > 0) {
      work.emplace_back(record.mKey, record.mOwn);
    }
  }
  return work;
}

const server_entry* upstream_roster::Find(const upstream_id& aId) const
{
  const auto found = mUpstreams.find(aId);
  return found == mUpstreams.end() ? nullptr : &found->second.mEntry;
}
