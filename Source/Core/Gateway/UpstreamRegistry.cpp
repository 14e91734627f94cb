#include "Gateway/UpstreamRegistry.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

// Time for which a server is suspect after a failure, doubled with each further
// one.
constexpr milliseconds kInitialSuspicionTime(300);
constexpr unsigned kMaxDoublings = 5;
// A server with open requests that sent nothing for this long is suspect;
// engines send an event to some request every few milliseconds.
constexpr milliseconds kSilenceTimeout(1500);
// Weight of the newest observation in the moving average of the slowness, and
// its limits.
constexpr double kSlownessGain = 0.15;
constexpr double kMinSlowness = 0.7;
constexpr double kMaxSlowness = 8.0;
// Expected times below this many ms give no useful observation of speed.
constexpr double kMinObservedMs = 20.0;
// Weight of the newest time between events in its moving average.
constexpr double kGapGain = 0.1;
// Observed times between events are valid for this long.
constexpr milliseconds kGapTimeToLive(1000);
// Limit of the remembered prompt segments; all are dropped when it is exceeded.
constexpr std::size_t kMaxCachedSegments = 20000;
// Segments of a prompt that are tracked one by one. Clients choose their
// number.
constexpr std::size_t kMaxTrackedSegments = 64;
// Limit of the requests of all nodes at a plain server, as a multiple of its
// slots. Requests of a node with a slow link stay open long after the server
// has answered, so a server whose slots seem taken may be idle.
constexpr std::int64_t kPlainQueueFactor = 2;
// Share of the slots of a brittle server that the nodes use together. Each has
// an equal part, because what it knows of the others' requests is up to a few
// hundred ms old.
constexpr std::int64_t kBrittleSharePercent = 75;
// Time for which a brittle server gets nothing after it had no room for a
// request: the time in which it counts what it turns away.
constexpr milliseconds kBrittlePause(1000);
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

upstream_registry::shared_prompt upstream_registry::SharedPrompt(
  const std::vector<prompt_segment>* aPrompt)
{
  shared_prompt shared;
  if (aPrompt == nullptr) {
    return shared;
  }
  std::uint64_t key = 0;
  for (std::size_t i = 0; i + 1 < aPrompt->size(); ++i) {
    const prompt_segment& segment = (*aPrompt)[i];
    shared.mName.append(segment.mId).push_back('/');
    shared.mTokens += segment.mTokens;
    if (i < kMaxTrackedSegments) {
      key = StableHash(segment.mId, key);
      shared.mSegments.emplace_back(key, segment.mTokens);
    } else {
      shared.mSegments.back().second += segment.mTokens;
    }
  }
  return shared;
}

std::uint32_t upstream_registry::KeyOf(const upstream_id& aId)
{
  return static_cast<std::uint32_t>(StableHash(aId.mName));
}

void upstream_registry::SetService(const gateway_service& aService)
{
  mServices[aService.mName.mName] = aService;
}

void upstream_registry::Apply(const server_entry& aEntry, time_point aNow)
{
  upstream_record& record = mUpstreams[aEntry.mId];
  const server_entry& old = record.mEntry;
  const bool known = !old.mId.mName.empty();
  // Writes that are applied late may bring an older entry after a newer one.
  if (known && !record.mRemoved &&
      std::pair(aEntry.mIncarnation, aEntry.mSequence) <
        std::pair(old.mIncarnation, old.mSequence)) {
    return;
  }
  const bool restarted = !known || aEntry.mIncarnation != old.mIncarnation ||
                         aEntry.mAddress != old.mAddress;
  if (restarted) {
    record.mSuspectUntil = {};
    record.mSaidLeaving = false;
    record.mBrittle = false;
    record.mPausedUntil = {};
    record.mFailures = 0;
    record.mSlowness = 1.0;
    record.mKey = KeyOf(aEntry.mId);
    record.mRunSeenAt = aNow;
    record.mEntryColdUntil.reset();
    record.mResponseColdUntil = {};
    mRateLimits.OnServerStart(record.mKey, aEntry.mIncarnation);
    for (auto& [segment, holders] : mCachedSegments) {
      holders.erase(record.mKey);
    }
  }
  if (restarted || aEntry.mSequence > old.mSequence) {
    record.mEntryReadAt = aNow;
    if (aEntry.mColdTimeLeft) {
      record.mEntryColdUntil = aNow + *aEntry.mColdTimeLeft;
    }
  }
  record.mEntry = aEntry;
  record.mSoftware = SoftwareKey(aEntry.mService, aEntry.mSoftware);
  record.mRemoved = false;
  if (aEntry.mState == server_state::Ready && !record.mSaidLeaving) {
    record.mUsableUntil.reset();
  } else if (!record.mUsableUntil) {
    record.mUsableUntil = aNow;
  }
  SetEstimatedServer(record);
  UpdateCold(record, aNow);
}

upstream_registry::upstream_record* upstream_registry::FindRun(
  const upstream_id& aId,
  std::uint64_t aIncarnation)
{
  const auto found = mUpstreams.find(aId);
  return found != mUpstreams.end() &&
             found->second.mEntry.mIncarnation == aIncarnation
           ? &found->second
           : nullptr;
}

void upstream_registry::OnResponse(const upstream_id& aId,
                                   std::uint64_t aIncarnation,
                                   bool aBrittle)
{
  if (upstream_record* record = FindRun(aId, aIncarnation)) {
    record->mBrittle = aBrittle;
  }
}

void upstream_registry::OnNoRoom(const upstream_id& aId,
                                 std::uint64_t aIncarnation,
                                 milliseconds aPause,
                                 time_point aNow)
{
  if (upstream_record* record = FindRun(aId, aIncarnation)) {
    const milliseconds pause =
      record->mBrittle ? std::max(aPause, kBrittlePause) : aPause;
    const bool paused = aNow < record->mPausedUntil;
    record->mPausedUntil = std::max(record->mPausedUntil, aNow + pause);
    if (record->mBrittle && !paused) {
      mNewPauses.emplace_back(record->mKey, record->mPausedUntil);
    }
  }
}

std::vector<std::pair<std::uint32_t, time_point>>
upstream_registry::TakeNewPauses()
{
  return std::exchange(mNewPauses, {});
}

std::vector<std::pair<std::uint32_t, time_point>> upstream_registry::Pauses(
  time_point aNow) const
{
  std::vector<std::pair<std::uint32_t, time_point>> pauses;
  for (const auto& [id, record] : mUpstreams) {
    if (record.mBrittle && aNow < record.mPausedUntil) {
      pauses.emplace_back(record.mKey, record.mPausedUntil);
    }
  }
  return pauses;
}

time_point upstream_registry::PausedUntil(const upstream_record& aRecord) const
{
  const auto peers = mPeerPauses.find(aRecord.mKey);
  return peers != mPeerPauses.end()
           ? std::max(aRecord.mPausedUntil, peers->second)
           : aRecord.mPausedUntil;
}

bool upstream_registry::OnLeaving(const upstream_id& aId,
                                  std::uint64_t aIncarnation,
                                  time_point aNow)
{
  upstream_record* record = FindRun(aId, aIncarnation);
  if (record == nullptr) {
    return false;
  }
  record->mUsableUntil = std::min(record->mUsableUntil.value_or(aNow), aNow);
  return !std::exchange(record->mSaidLeaving, true);
}

void upstream_registry::Remove(const upstream_id& aId, time_point aUsableUntil)
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

void upstream_registry::Expire(time_point aNow)
{
  std::erase_if(mUpstreams, [&](const auto& aPair) {
    const upstream_record& record = aPair.second;
    const bool gone = record.mRemoved && record.mUsableUntil &&
                      *record.mUsableUntil < aNow &&
                      record.mLocalWork.mRequests == 0;
    if (gone) {
      mRateLimits.Remove(record.mKey);
      if (mEstimates) {
        mEstimates->Remove(record.mKey);
      }
    }
    return gone;
  });
}

upstream_work upstream_registry::WorkAt(const upstream_record& aRecord) const
{
  upstream_work work = aRecord.mLocalWork;
  const auto peers = mPeerWork.find(aRecord.mKey);
  if (peers != mPeerWork.end()) {
    work += peers->second;
  }
  return work;
}

bool upstream_registry::IsSilent(const upstream_record& aRecord,
                                 milliseconds aTime,
                                 time_point aNow)
{
  return aRecord.mLocalWork.mRequests > 0 &&
         aNow > std::max(aRecord.mLastByte, aRecord.mBusySince) + aTime;
}

std::vector<upstream_id> upstream_registry::SilentFor(milliseconds aTime,
                                                      time_point aNow) const
{
  std::vector<upstream_id> silent;
  for (const auto& [id, record] : mUpstreams) {
    if (IsSilent(record, aTime, aNow)) {
      silent.push_back(id);
    }
  }
  return silent;
}

std::vector<probe_target> upstream_registry::ProbeTargets() const
{
  std::vector<probe_target> targets;
  for (const auto& [id, record] : mUpstreams) {
    const auto service = mServices.find(record.mEntry.mService.mName);
    if (!record.mUsableUntil && service != mServices.end() &&
        !mEvacuatedZones.contains(record.mEntry.mZone) &&
        !service->second.mHealthPath.empty()) {
      targets.push_back({ id,
                          record.mEntry.mIncarnation,
                          record.mEntry.mAddress,
                          service->second.mHealthPath });
    }
  }
  return targets;
}

std::int64_t upstream_registry::UncachedTokens(const upstream_record& aRecord,
                                               const shared_prompt& aShared,
                                               time_point aNow) const
{
  std::int64_t uncached = 0;
  bool held = true;
  for (const auto& [key, tokens] : aShared.mSegments) {
    if (held) {
      const auto segment = mCachedSegments.find(key);
      held = false;
      if (segment != mCachedSegments.end()) {
        const auto holder = segment->second.find(aRecord.mKey);
        held = holder != segment->second.end() && holder->second > aNow;
      }
    }
    if (!held) {
      uncached += tokens;
    }
  }
  return uncached;
}

std::vector<const upstream_registry::upstream_record*>
upstream_registry::Candidates(const placement_query& aQuery,
                              time_point aNow) const
{
  std::vector<const upstream_record*> healthy;
  std::vector<const upstream_record*> suspect;
  std::vector<const upstream_record*> leaving;
  for (const auto& [id, record] : mUpstreams) {
    if (!Fits(record, aQuery, aNow) ||
        mEvacuatedZones.contains(record.mEntry.mZone) ||
        std::ranges::find(aQuery.mExcluded, id) != aQuery.mExcluded.end()) {
      continue;
    }
    if (record.mUsableUntil) {
      leaving.push_back(&record);
    } else if (aNow < record.mSuspectUntil ||
               IsSilent(record, kSilenceTimeout, aNow)) {
      suspect.push_back(&record);
    } else {
      healthy.push_back(&record);
    }
  }
  if (!healthy.empty()) {
    return healthy;
  }
  return suspect.empty() ? leaving : suspect;
}

std::int64_t upstream_registry::UsableKvTokens(
  const engine_limits& aLimits) const
{
  return static_cast<std::int64_t>(static_cast<double>(aLimits.mKvTokens) *
                                   mSettings.mKvShare);
}

bool upstream_registry::ExceedsMemory(const placement_query& aQuery) const
{
  const auto service = mServices.find(aQuery.mService.mName);
  if (service == mServices.end() || !service->second.mEngine ||
      service->second.mEngine->mKvTokens <= 0) {
    return false;
  }
  return aQuery.mPromptTokens + aQuery.mOutputTokens >
         UsableKvTokens(*service->second.mEngine);
}

std::optional<upstream_registry::rated_placement> upstream_registry::RateEngine(
  const upstream_record& aRecord,
  const upstream_work& aWork,
  const engine_limits& aLimits,
  const placement_query& aQuery,
  const shared_prompt& aShared,
  bool aPreferred,
  time_point aNow) const
{
  const std::int64_t uncached =
    aPreferred ? 0 : UncachedTokens(aRecord, aShared, aNow);
  const std::int64_t read =
    std::max<std::int64_t>(aQuery.mPromptTokens - aShared.mTokens, 0) +
    uncached;
  rated_placement rated;
  placement& option = rated.mPlacement;
  option.mWork.mPrefillTokens = read;
  option.mWork.mKvTokens = aQuery.mPromptTokens + aQuery.mOutputTokens;
  // Without a stated capacity, an idle server takes any request.
  if ((aWork.mRequests > 0 || aLimits.mKvTokens > 0) &&
      aWork.mKvTokens + option.mWork.mKvTokens > UsableKvTokens(aLimits)) {
    return std::nullopt;
  }
  double slowness = aRecord.mSlowness;
  double gapMs = aNow < aRecord.mGapValidUntil ? aRecord.mEventGapMs : 0.0;
  rated.mRequests = aWork.mRequests;
  if (const auto estimate =
        EstimateInForce(aRecord, aWork.mRequests + 1, aNow)) {
    rated.mEstimate = *estimate;
    slowness = estimate->mSlowness;
    gapMs = estimate->mGapMs;
  }
  option.mWaitMs = slowness * static_cast<double>(aWork.mPrefillTokens) /
                   mSettings.mPrefillTokensPerMs;
  option.mOutputMs = gapMs * mSettings.mOutputShare *
                     static_cast<double>(aQuery.mOutputTokens) /
                     aLimits.mTokensPerEvent;
  option.mExpectedMs =
    slowness * (static_cast<double>(aWork.mPrefillTokens + read) /
                  mSettings.mPrefillTokensPerMs +
                mSettings.mPerRequestMs * static_cast<double>(aWork.mRequests));
  rated.mCost = option.mExpectedMs + (mSettings.mRereadWeight - 1.0) *
                                       static_cast<double>(uncached) /
                                       mSettings.mPrefillTokensPerMs;
  return rated;
}

std::int64_t upstream_registry::MostRequests(const upstream_record& aRecord,
                                             bool aEngine)
{
  const std::int64_t slots = std::max(aRecord.mEntry.mSlots, 1U);
  if (aRecord.mBrittle) {
    return std::max(slots * kBrittleSharePercent / 100, std::int64_t{ 1 });
  }
  return aEngine ? slots : slots * kPlainQueueFactor;
}

std::map<service_id, service_use> upstream_registry::ServiceUse(
  time_point aNow) const
{
  std::map<service_id, service_use> uses;
  for (const auto& [id, record] : mUpstreams) {
    if (record.mUsableUntil || aNow < record.mSuspectUntil ||
        mEvacuatedZones.contains(record.mEntry.mZone) ||
        IsSilent(record, kSilenceTimeout, aNow)) {
      continue;
    }
    const auto service = mServices.find(record.mEntry.mService.mName);
    service_use& use = uses[record.mEntry.mService];
    const bool engine =
      service != mServices.end() && service->second.mEngine.has_value();
    // A node has at most as many requests at a server as it has slots.
    use.mPlaces += std::min(MostRequests(record, engine),
                            static_cast<std::int64_t>(mNodes) *
                              std::max(record.mEntry.mSlots, 1U));
    use.mTaken += WorkAt(record).mRequests;
  }
  return uses;
}

std::optional<placement> upstream_registry::Choose(
  const placement_query& aQuery,
  time_point aNow) const
{
  const auto service = mServices.find(aQuery.mService.mName);
  const bool engine =
    service != mServices.end() && service->second.mEngine.has_value();
  const shared_prompt shared = SharedPrompt(aQuery.mPrompt);
  // If all healthy servers are full or at their rate limits, the request waits
  // and is not sent to a suspect one.
  auto candidates = Candidates(aQuery, aNow);
  std::erase_if(candidates, [&](const upstream_record* aRecord) {
    return !mRateLimits.MaySend(aRecord->mKey, aNow) ||
           aNow < PausedUntil(*aRecord);
  });
  const upstream_record* preferred = Preferred(candidates, shared, aNow);
  const bool estimated =
    engine && mEstimates && mEstimates->InForce(aQuery.mService, aNow);
  std::vector<rated_placement> options;
  std::optional<rated_placement> best;
  for (const upstream_record* record : candidates) {
    const std::int64_t slots = std::max(record->mEntry.mSlots, 1U);
    const upstream_work work = WorkAt(*record);
    const std::int64_t most = MostRequests(*record, engine);
    std::int64_t mostOfNode = slots;
    if (record->mBrittle) {
      mostOfNode =
        std::max(most / static_cast<std::int64_t>(mNodes), std::int64_t{ 1 });
    }
    if (record->mLocalWork.mRequests >= mostOfNode || work.mRequests >= most) {
      continue;
    }
    std::optional<rated_placement> rated;
    if (engine) {
      rated = RateEngine(*record,
                         work,
                         *service->second.mEngine,
                         aQuery,
                         shared,
                         record == preferred,
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
    if (estimated || !best || rated->mCost < best->mCost) {
      best = std::move(rated);
      best->mPlacement.mUpstream = record->mEntry.mId;
      best->mPlacement.mAddress = record->mEntry.mAddress;
      best->mPlacement.mWork.mRequests = 1;
    }
    if (estimated) {
      options.push_back(*best);
    }
  }
  if (estimated) {
    return ChooseEstimated(options, aQuery, aNow);
  }
  if (!best) {
    return std::nullopt;
  }
  return std::move(best->mPlacement);
}

time_point upstream_registry::LimitedUntil(const placement_query& aQuery,
                                           time_point aNow) const
{
  std::optional<time_point> earliest;
  for (const upstream_record* record : Candidates(aQuery, aNow)) {
    const time_point from =
      std::max(mRateLimits.MaySendFrom(record->mKey), PausedUntil(*record));
    earliest = std::min(earliest.value_or(from), from);
  }
  return earliest.value_or(time_point());
}

std::set<std::pair<service_id, software_version>> upstream_registry::Software()
  const
{
  std::set<std::pair<service_id, software_version>> software;
  for (const auto& [id, record] : mUpstreams) {
    software.emplace(record.mEntry.mService, record.mEntry.mSoftware);
  }
  return software;
}

void upstream_registry::BeginRequest(const placement& aPlacement,
                                     const placement_query& aQuery,
                                     time_point aNow)
{
  const auto found = mUpstreams.find(aPlacement.mUpstream);
  if (found == mUpstreams.end()) {
    return;
  }
  upstream_record& record = found->second;
  if (record.mLocalWork.mRequests == 0) {
    record.mBusySince = aNow;
  }
  record.mLocalWork += aPlacement.mWork;
  if (mEstimates) {
    mEstimates->OnGapObjective(aQuery.mService, aQuery.mEventGapObjective);
  }
  mRateLimits.OnSend(record.mKey, aNow);
  if (mCachedSegments.size() > kMaxCachedSegments) {
    mCachedSegments.clear();
  }
  for (const auto& [key, tokens] : SharedPrompt(aQuery.mPrompt).mSegments) {
    mCachedSegments[key][record.mKey] = aNow + mSettings.mCacheTimeToLive;
  }
}

void upstream_registry::OnFirstEvent(const upstream_id& aId,
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
  record.mLocalWork.mPrefillTokens -= aWork.mPrefillTokens;
  const double observed = Milliseconds(aNow - aSentAt);
  const std::int64_t requests = WorkAt(record).mRequests;
  // While estimates are in force, they made the expected time, and the local
  // slowness is not used.
  if (const auto estimate = EstimateInForce(record, requests, aNow)) {
    mEstimates->OnFirstEvent(record.mKey,
                             record.mEntry.mIncarnation,
                             requests,
                             aExpectedMs / estimate->mSlowness,
                             observed);
    return;
  }
  if (mEstimates) {
    mEstimates->OnFirstEvent(record.mKey,
                             record.mEntry.mIncarnation,
                             requests,
                             aExpectedMs / record.mSlowness,
                             observed);
  }
  if (aExpectedMs >= kMinObservedMs) {
    const double ratio = observed * record.mSlowness / aExpectedMs;
    record.mSlowness =
      std::clamp(record.mSlowness + kSlownessGain * (ratio - record.mSlowness),
                 kMinSlowness,
                 kMaxSlowness);
  }
}

void upstream_registry::EndRequest(const upstream_id& aId,
                                   const upstream_work& aRemaining)
{
  const auto found = mUpstreams.find(aId);
  if (found != mUpstreams.end()) {
    found->second.mLocalWork -= aRemaining;
  }
}

void upstream_registry::OnEventGap(const upstream_id& aId,
                                   double aGapMs,
                                   time_point aNow)
{
  const auto found = mUpstreams.find(aId);
  if (found == mUpstreams.end()) {
    return;
  }
  upstream_record& record = found->second;
  if (mEstimates) {
    mEstimates->OnEventGap(record.mKey,
                           record.mEntry.mIncarnation,
                           WorkAt(record).mRequests,
                           aGapMs);
  }
  if (aNow >= record.mGapValidUntil) {
    record.mEventGapMs = aGapMs;
  }
  record.mEventGapMs += kGapGain * (aGapMs - record.mEventGapMs);
  record.mGapValidUntil = aNow + kGapTimeToLive;
}

void upstream_registry::OnByte(const upstream_id& aId, time_point aNow)
{
  const auto found = mUpstreams.find(aId);
  if (found != mUpstreams.end()) {
    found->second.mLastByte = aNow;
  }
}

void upstream_registry::OnSuccess(const upstream_id& aId)
{
  const auto found = mUpstreams.find(aId);
  if (found != mUpstreams.end()) {
    found->second.mFailures = 0;
  }
}

void upstream_registry::OnFailure(const upstream_id& aId, time_point aNow)
{
  const auto found = mUpstreams.find(aId);
  if (found == mUpstreams.end()) {
    return;
  }
  upstream_record& record = found->second;
  const unsigned doublings = std::min(record.mFailures, kMaxDoublings);
  record.mSuspectUntil = aNow + kInitialSuspicionTime * (1U << doublings);
  ++record.mFailures;
}

std::vector<std::pair<std::uint32_t, upstream_work>>
upstream_registry::LocalWork() const
{
  std::vector<std::pair<std::uint32_t, upstream_work>> work;
  for (const auto& [id, record] : mUpstreams) {
    if (record.mLocalWork.mRequests > 0) {
      work.emplace_back(record.mKey, record.mLocalWork);
    }
  }
  return work;
}

const server_entry* upstream_registry::Find(const upstream_id& aId) const
{
  const auto found = mUpstreams.find(aId);
  return found == mUpstreams.end() ? nullptr : &found->second.mEntry;
}

std::optional<signs_of_life> upstream_registry::SignsOfLife(
  const upstream_id& aId) const
{
  const auto found = mUpstreams.find(aId);
  if (found == mUpstreams.end()) {
    return std::nullopt;
  }
  const upstream_record& record = found->second;
  return signs_of_life{ record.mEntry.mIncarnation,
                        record.mLastByte,
                        record.mEntryReadAt };
}
