#include "Dispatch/UpstreamTable.h"

#include <algorithm>
#include <cmath>

#include "Common/Hash.h"

namespace {

// Longer than the delay of load reports.
constexpr std::chrono::seconds kHistoryPeriod{ 5 };
// Longer than the interval between load reports plus their delay.
constexpr std::chrono::milliseconds kRoundingOffsetPeriod{ 500 };
constexpr std::uint32_t kMaxEjectionDoublings = 5;

// Weights of the score, in units of a full upstream's load.
constexpr double kOtherZonePenalty = 0.15;
constexpr double kOtherRegionPenalty = 1.0;
constexpr double kPrefixWeight = 0.4;
// Spreads different contents over the upstreams, and sends equal contents from
// several nodes to the same one.
constexpr double kContentWeight = 0.1;

// An upstream is congested for a class when at most this share of the class's
// capacity is free.
constexpr double kCongestedFreeShare = 0.1;
// Share of its part of the free capacity that a node fills with lower-priority
// requests between two load reports. It keeps a flood that begins at every node
// at once from overfilling upstreams before the reports show it.
constexpr double kLowerPriorityFillShare = 0.5;
// Shares of its equal part of the capacity that a node may always use: for
// lower-priority requests, and for those of the highest engine priority.
constexpr double kGuaranteedShare = 0.25;
constexpr double kGuaranteedTopPriorityShare = 0.5;
// Share of its excess over the equal part that a node releases between two load
// reports while the upstream is congested.
constexpr double kExcessReleaseShare = 0.1;

double UnitInterval(std::uint64_t aHash)
{
  return static_cast<double>(aHash >> 11) * 0x1.0p-53;
}

bool Contains(const std::vector<std::uint32_t>* aList, std::uint32_t aValue)
{
  return aList != nullptr &&
         std::find(aList->begin(), aList->end(), aValue) != aList->end();
}

/// Hash of a content and a number that is the same on every node. Mixes
/// integers directly, since building a text for `StableHash` costs more.
std::uint64_t MixHash(std::uint64_t aContent, std::uint64_t aCandidate)
{
  std::uint64_t mixed = aContent ^ (aCandidate * 0x9e3779b97f4a7c15);
  mixed ^= mixed >> 32;
  mixed *= 0xd6e8feb86659fd93;
  mixed ^= mixed >> 32;
  return mixed * 0xd6e8feb86659fd93;
}

} // namespace

upstream_table::upstream_table(const dispatch_settings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
{
}

void upstream_table::ApplySettings(const dispatch_settings& aSettings)
{
  mSettings = aSettings;
  ++mVersion;
}

std::uint32_t upstream_table::Intern(const upstream_id& aUpstream)
{
  const auto [found, isNew] = mUpstreamNumbers.try_emplace(
    aUpstream, static_cast<std::uint32_t>(mStates.size()));
  if (isNew) {
    mStates.emplace_back();
    mStates.back().mEntry.mUpstream = aUpstream;
    mStates.back().mNameHash = StableHash(aUpstream.mName);
    mStates.back().mGuaranteedRoundingOffset = UnitInterval(
      StableHash(aUpstream.mName, StableHash(mSettings.mNode.mName)));
    mStates.back().mLimit.Reset(0, mSettings.mConcurrency);
    mStates.back().mLowerLimit.Reset(0, mSettings.mConcurrency);
    mMarks.push_back(0);
  }
  return found->second;
}

void upstream_table::SetUpstreams(
  const std::vector<listed_upstream>& aUpstreams)
{
  for (upstream_state& state : mStates) {
    state.mListed = false;
  }
  for (const listed_upstream& entry : aUpstreams) {
    upstream_state& state = mStates[Intern(entry.mUpstream)];
    const bool leaving = state.mEntry.mLeaving;
    state.mEntry = entry;
    // The host list lags, so an upstream stays marked as leaving until a list
    // no longer contains it.
    state.mEntry.mLeaving = entry.mLeaving || leaving;
    if (state.mModels.empty()) {
      state.mModels = entry.mModels;
    }
    state.mListed = true;
  }
  for (upstream_state& state : mStates) {
    if (!state.mListed) {
      state.mEntry.mLeaving = false;
      state.mModels.clear();
    }
  }
  ++mVersion;
}

void upstream_table::OnLeaving(const upstream_id& aUpstream)
{
  const auto found = mUpstreamNumbers.find(aUpstream);
  if (found != mUpstreamNumbers.end() &&
      !mStates[found->second].mEntry.mLeaving) {
    mStates[found->second].mEntry.mLeaving = true;
    ++mVersion;
  }
}

void upstream_table::OnReport(const upstream_id& aUpstream,
                              const load_report& aReport,
                              time_point aNow)
{
  const auto found = mUpstreamNumbers.find(aUpstream);
  if (found == mUpstreamNumbers.end()) {
    return;
  }
  upstream_state& state = mStates[found->second];
  if (aReport.mMeasuredAt < state.mReportedAt) {
    return;
  }
  state.mReportedAt = aReport.mMeasuredAt;
  state.mLimit.OnSlots(aReport.mSlots, mSettings.mConcurrency);
  state.mLowerLimit.OnSlots(aReport.mSlots, mSettings.mConcurrency);
  double ownThen = state.mHistory.empty() ? state.OwnInFlight() : 0.0;
  for (const auto& [at, count] : state.mHistory) {
    if (at > aReport.mMeasuredAt) {
      break;
    }
    ownThen = count;
  }
  const double total = aReport.mRunning + aReport.mWaiting;
  state.mOthers = std::max(0.0, total - ownThen);
  // The free capacity is computed from the time the report was taken. If nodes
  // started more before a report shows their last starts, they would together
  // overfill the upstream.
  state.mOwnAtReport = ownThen;
  if (aReport.mMeasuredAt >=
      state.mRoundingOffsetSetAt + kRoundingOffsetPeriod) {
    // If the offset changed before reports show the starts that it allowed,
    // every node would over time start as many requests as its highest offset
    // allows.
    state.mRoundingOffset = UnitInterval(mRandom());
    state.mRoundingOffsetSetAt = aNow;
  }
  const bool models =
    !aReport.mModels.empty() && aReport.mModels != state.mModels;
  if (models) {
    state.mModels = aReport.mModels;
  }
  if (models || aReport.mRole != state.mEntry.mRole) {
    state.mEntry.mRole = aReport.mRole;
    ++mVersion;
  }
}

std::optional<std::uint32_t> upstream_table::Find(
  const upstream_id& aUpstream) const
{
  const auto found = mUpstreamNumbers.find(aUpstream);
  if (found == mUpstreamNumbers.end()) {
    return std::nullopt;
  }
  return found->second;
}

void upstream_table::RecordHistory(upstream_state& aState, time_point aNow)
{
  aState.mHistory.emplace_back(
    aNow, static_cast<std::uint32_t>(aState.mRunning.size()));
  while (aState.mHistory.size() > 1 &&
         aState.mHistory[1].first < aNow - kHistoryPeriod) {
    aState.mHistory.pop_front();
  }
}

void upstream_table::AddRunning(std::uint32_t aUpstream,
                                const request_id& aRequest,
                                bool aTopPriority,
                                time_point aNow)
{
  mStates[aUpstream].mOwnTopPriority += aTopPriority ? 1 : 0;
  mStates[aUpstream].mRunning.push_back(aRequest);
  RecordHistory(mStates[aUpstream], aNow);
}

void upstream_table::RemoveRunning(std::uint32_t aUpstream,
                                   const request_id& aRequest,
                                   bool aTopPriority,
                                   time_point aNow)
{
  mStates[aUpstream].mOwnTopPriority -= aTopPriority ? 1 : 0;
  std::erase(mStates[aUpstream].mRunning, aRequest);
  RecordHistory(mStates[aUpstream], aNow);
}

void upstream_table::Eject(std::uint32_t aUpstream, time_point aNow)
{
  upstream_state& state = mStates[aUpstream];
  if (state.mEjected) {
    // Several attempts that fail at the same time count as one failure.
    return;
  }
  const std::uint32_t doublings =
    std::min(state.mFailures, kMaxEjectionDoublings);
  ++state.mFailures;
  state.mEjectedUntil = aNow + mSettings.mEjectionPeriod * (1U << doublings);
  state.mEjected = true;
  mEjected.push_back(aUpstream);
  ++mVersion;
}

void upstream_table::EndEjections(time_point aNow)
{
  const auto over = std::erase_if(mEjected, [&](std::uint32_t aUpstream) {
    upstream_state& state = mStates[aUpstream];
    state.mEjected = state.mEjectedUntil > aNow;
    return !state.mEjected;
  });
  if (over > 0) {
    ++mVersion;
  }
}

bool upstream_table::IsUsable(const upstream_state& aState,
                              const model_id& aModel) const
{
  const bool loaded =
    aState.mModels.empty() ||
    std::find(aState.mModels.begin(), aState.mModels.end(), aModel) !=
      aState.mModels.end();
  return aState.mListed && !aState.mEntry.mLeaving && loaded &&
         aState.mEntry.mRole == upstream_role::Serving;
}

bool upstream_table::Serves(const model_id& aModel) const
{
  if (mServesCache.first != mVersion) {
    mServesCache = { mVersion, {} };
  }
  const auto [found, isNew] = mServesCache.second.try_emplace(aModel, false);
  if (isNew) {
    found->second =
      std::any_of(mStates.begin(), mStates.end(), [&](const auto& aState) {
        return IsUsable(aState, aModel);
      });
  }
  return found->second;
}

void upstream_table::RefreshSubset(upstream_subset& aSubset,
                                   const model_id& aModel) const
{
  if (aSubset.mVersion == mVersion) {
    return;
  }
  aSubset.mVersion = mVersion;
  struct candidate
  {
    bool mOtherRegion;
    std::uint64_t mWeight;
    std::uint32_t mNumber;
  };
  std::vector<candidate> ownZone;
  std::vector<candidate> otherZones;
  const std::uint64_t key =
    StableHash(aModel.mName, StableHash(mSettings.mNode.mName));
  for (std::uint32_t number = 0; number < mStates.size(); ++number) {
    const upstream_state& state = mStates[number];
    if (state.mEjected || !IsUsable(state, aModel)) {
      continue;
    }
    const std::uint64_t weight = StableHash(state.mEntry.mUpstream.mName, key);
    const bool sameZone = state.mEntry.mZone == mSettings.mZone;
    const bool otherRegion = state.mEntry.mRegion != mSettings.mRegion;
    (sameZone ? ownZone : otherZones)
      .push_back({ otherRegion, weight, number });
  }
  const auto before = [](const candidate& aLeft, const candidate& aRight) {
    return aLeft.mOtherRegion != aRight.mOtherRegion
             ? aRight.mOtherRegion
             : aLeft.mWeight > aRight.mWeight;
  };
  std::sort(ownZone.begin(), ownZone.end(), before);
  std::sort(otherZones.begin(), otherZones.end(), before);
  // Some upstreams of other zones are always included, so that requests can
  // spill over when the own zone is full.
  const std::size_t size = mSettings.mSubsetSize;
  const std::size_t fromOwnZone =
    std::min(ownZone.size(),
             std::max(static_cast<std::size_t>(
                        std::ceil(size * mSettings.mOwnZoneShare)),
                      size - std::min(size, otherZones.size())));
  const std::size_t fromOtherZones =
    std::min(otherZones.size(), size - fromOwnZone);
  aSubset.mUpstreams.clear();
  for (std::size_t i = 0; i < fromOwnZone; ++i) {
    aSubset.mUpstreams.push_back(ownZone[i].mNumber);
  }
  for (std::size_t i = 0; i < fromOtherZones; ++i) {
    aSubset.mUpstreams.push_back(otherZones[i].mNumber);
  }
}

bool upstream_table::HasCapacity(const upstream_state& aState,
                                 const upstream_query& aQuery) const
{
  if (aState.mFailures > 0) {
    // Sends a single probe request after a failure.
    return aState.mRunning.empty();
  }
  const double nodes = std::max(1U, mSettings.mNodesPerUpstream);
  const concurrency_limit& limit =
    aQuery.mTopPriority ? aState.mLimit : aState.mLowerLimit;
  const double capacity = aQuery.mShare * limit.Value();
  const double equalShare = capacity / nodes;
  const double freeCapacity = capacity - aState.mOwnAtReport - aState.mOthers;
  // Requests beyond the capacity are not replaced when they end. Free capacity
  // is divided between the nodes and rounded with a random offset, so that
  // nodes that see the same free capacity do not all take it.
  double allowed = aState.mOwnAtReport;
  if (freeCapacity >= 0.0) {
    const double fillShare =
      nodes > 1.0 && !aQuery.mTopPriority ? kLowerPriorityFillShare : 1.0;
    allowed += fillShare * freeCapacity / nodes + aState.mRoundingOffset;
  } else {
    allowed -= 1.0;
  }
  if (freeCapacity <= capacity * kCongestedFreeShare &&
      aState.mOwnAtReport > equalShare) {
    allowed -= kExcessReleaseShare * (aState.mOwnAtReport - equalShare);
  }
  // Part of the equal share is always available, so that nodes that already
  // fill the upstream do not shut out a node that starts later. It is rounded
  // with a fixed offset, because with a new random offset per report every node
  // would over time get one more request. Requests of the highest engine
  // priority have a part of their own; beyond the capacity they wait inside the
  // engine, which starts them before requests of lower priority from any node.
  const double guaranteedShare =
    aQuery.mTopPriority ? kGuaranteedTopPriorityShare : kGuaranteedShare;
  const double ownInFlight =
    aQuery.mTopPriority ? aState.mOwnTopPriority : aState.OwnInFlight();
  const double guaranteed =
    std::floor(equalShare * guaranteedShare + aState.mGuaranteedRoundingOffset);
  return aState.OwnInFlight() < std::floor(allowed) || ownInFlight < guaranteed;
}

double upstream_table::DistancePenalty(const upstream_state& aState) const
{
  if (aState.mEntry.mRegion != mSettings.mRegion) {
    return kOtherRegionPenalty;
  }
  return aState.mEntry.mZone == mSettings.mZone ? 0.0 : kOtherZonePenalty;
}

double upstream_table::Score(std::uint32_t aUpstream,
                             const dispatch_request& aRequest,
                             const prefix_index& aPrefixes) const
{
  const upstream_state& state = mStates[aUpstream];
  const std::uint64_t content = aRequest.mPrefixBlocks.empty()
                                  ? aRequest.mContent.mLow
                                  : aRequest.mPrefixBlocks.front();
  const double load = state.InUse() / std::max(1.0, state.mLimit.Value());
  return load + DistancePenalty(state) +
         kContentWeight * UnitInterval(MixHash(content, state.mNameHash)) -
         kPrefixWeight *
           aPrefixes.CachedShare(aUpstream, aRequest.mPrefixBlocks);
}

std::optional<std::uint32_t> upstream_table::Choose(
  const upstream_subset& aSubset,
  const upstream_query& aQuery,
  const prefix_index& aPrefixes) const
{
  std::optional<std::uint32_t> best;
  double bestScore = 0.0;
  for (const std::uint32_t upstream : aSubset.mUpstreams) {
    const bool marked =
      aQuery.mExcludedMark != 0 && mMarks[upstream] == aQuery.mExcludedMark;
    if (marked || !HasCapacity(mStates[upstream], aQuery) ||
        Contains(aQuery.mExcluded, upstream)) {
      continue;
    }
    const double score = Score(upstream, *aQuery.mRequest, aPrefixes);
    if (!best || score < bestScore) {
      best = upstream;
      bestScore = score;
    }
  }
  return best;
}

std::optional<std::uint32_t> upstream_table::ChooseForIsolation(
  const upstream_subset& aSubset,
  const content_id& aContent,
  const std::vector<std::uint32_t>& aExcluded) const
{
  std::optional<std::uint32_t> best;
  std::uint64_t bestWeight = 0;
  for (const std::uint32_t upstream : aSubset.mUpstreams) {
    const std::string& name = mStates[upstream].mEntry.mUpstream.mName;
    const std::uint64_t weight = StableHash(name, aContent.mLow);
    if (!Contains(&aExcluded, upstream) && (!best || weight > bestWeight)) {
      best = upstream;
      bestWeight = weight;
    }
  }
  return best;
}

std::vector<upstream_status> upstream_table::Status() const
{
  std::vector<upstream_status> rows;
  for (const upstream_state& state : mStates) {
    if (!state.mListed && state.mRunning.empty()) {
      continue;
    }
    rows.push_back({ state.mEntry.mUpstream,
                     state.mEntry.mLeaving,
                     state.mEjected,
                     static_cast<std::uint32_t>(state.mRunning.size()),
                     static_cast<std::uint32_t>(state.mOthers),
                     state.mLimit.Value() });
  }
  return rows;
}
