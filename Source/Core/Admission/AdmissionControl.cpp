#include "Admission/AdmissionControl.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "Admission/AdmissionShares.h"

namespace {

using std::chrono::milliseconds;
using seconds_d = std::chrono::duration<double>;

// Time in which a sum fades to 1/e. Its mean age is that of a window of 2 s.
constexpr double kFadeS = 1.0;
constexpr double kNearlyFull = 0.85;
constexpr milliseconds kStartTime(300);
constexpr double kRelieved = 0.7;
constexpr milliseconds kEndTime(1000);
// Below this use, and if nothing waits, nothing is refused.
constexpr double kHalfFull = 0.5;
// Time in which the interval moves through the hash range.
constexpr milliseconds kPeriod(4000);
constexpr milliseconds kMaxReportAge(1000);
constexpr milliseconds kMaxLoadAge(1000);
// Longer than the interval at which loads are set.
constexpr milliseconds kNoRoomTime(250);
constexpr milliseconds kChangeInterval(1000);
// Part of the full capacity that each rank keeps. A tenth is to be served, and
// some admitted requests of the less urgent ranks find no slot.
constexpr double kFloorPart = 0.11;
// Bounds of the tables. Clients choose neither services nor ranks, and further
// accounts are counted together.
constexpr std::size_t kMaxServices = 256;
constexpr std::size_t kMaxAccounts = 256;
constexpr std::size_t kMaxPeers = 4096;
constexpr int kMaxRank = 15;
// Part of the admitted cost that clients may be told to come back with. The
// rest is admitted at once, which saves a round trip.
constexpr double kPromisedPart = 0.25;
// Clients are told to come back this much after the front has reached them,
// because clocks differ by up to 50 ms.
constexpr milliseconds kClockMargin(80);
// Width that is kept for clients that were told to come back: twice the margin.
constexpr double kReservedWidth = 0.04;
// Part of the capacity that it may take.
constexpr double kReservedPart = 0.1;
// Narrower intervals give no promise: the client could miss them.
constexpr double kMinPromisingWidth = 0.01;
// Demand below this cost a second is forgotten.
constexpr double kForgottenCost = 1e-3;
// Use at which the servers are kept. Fuller ones refuse requests that were
// admitted, emptier ones waste capacity.
constexpr double kTargetUse = 0.93;
// Use that counts if requests wait although the servers have places.
constexpr double kUseWhileWaiting = 1.05;
// A controller on the use of the servers corrects the capacity. The integral
// part alone overshoots, because a change shows only after a request's time.
constexpr double kProportionalGain = 1.5;
constexpr double kIntegralGainPerS = 0.2;
constexpr double kMaxIntegral = 0.4;
constexpr double kMinCorrection = 0.2;
constexpr double kMaxCorrection = 1.4;
// Time in which the average of the places' trend follows a change to 1 - 1/e.
constexpr double kTrendTimeS = 0.1;
// Demand counts as this much larger when capacity is divided. Its estimate
// varies by about a tenth, and less urgent ranks do not get what a low estimate
// leaves.
constexpr double kDemandHeadroom = 1.15;
constexpr double kMaxUint8 = 255.0;
// Change of a rank's share that is worth a log line.
constexpr double kStatedChange = 0.05;

int RankOf(int aRank)
{
  return std::clamp(aRank, 0, kMaxRank);
}

/// Position of the front in the hash range, 0 to 1.
double Front(milliseconds aClock)
{
  const auto rest = ((aClock % kPeriod) + kPeriod) % kPeriod;
  return static_cast<double>(rest.count()) /
         static_cast<double>(kPeriod.count());
}

double PositionOf(std::uint64_t aContent)
{
  constexpr unsigned kShift = 11;
  constexpr double kScale = 1.0 / 9007199254740992.0;
  return static_cast<double>(aContent >> kShift) * kScale;
}

double Use(const service_load& aLoad)
{
  return aLoad.mPlaces > 0.0 ? aLoad.mTaken / aLoad.mPlaces : 0.0;
}

} // namespace

void admission_control::faded_sum::Add(double aValue, time_point aNow)
{
  mSum = Rate(aNow) * kFadeS + aValue;
  mAt = std::max(mAt, aNow);
}

double admission_control::faded_sum::Rate(time_point aNow) const
{
  const double age = std::max(seconds_d(aNow - mAt).count(), 0.0);
  return mSum * std::exp(-age / kFadeS) / kFadeS;
}

admission_control::demand_record& admission_control::Demand(
  service_record& aRecord,
  const shed_query& aQuery,
  time_point aNow)
{
  const int rank = RankOf(aQuery.mRank);
  const demand_key key{ rank, aQuery.mAccount };
  if (aRecord.mDemand.size() >= kMaxAccounts &&
      !aRecord.mDemand.contains(key)) {
    std::erase_if(aRecord.mDemand, [aNow](const auto& aEntry) {
      return aEntry.second.mOffered.Rate(aNow) < kForgottenCost;
    });
    if (aRecord.mDemand.size() >= kMaxAccounts) {
      return aRecord.mDemand[{ rank, std::nullopt }];
    }
  }
  return aRecord.mDemand[key];
}

const admission_control::share* admission_control::FindShare(
  const service_record& aRecord,
  int aRank,
  std::uint32_t aAccount)
{
  const int rank = RankOf(aRank);
  auto found = aRecord.mShares.find({ rank, aAccount });
  if (found == aRecord.mShares.end()) {
    found = aRecord.mShares.find({ rank, std::nullopt });
  }
  return found == aRecord.mShares.end() ? nullptr : &found->second;
}

shed_decision admission_control::Decide(const shed_query& aQuery,
                                        std::optional<milliseconds> aClock,
                                        time_point aNow)
{
  shed_decision decision;
  decision.mPosition = PositionOf(aQuery.mContent);
  auto found = mServices.find(aQuery.mService);
  if (found == mServices.end()) {
    if (mServices.size() >= kMaxServices) {
      return decision;
    }
    found = mServices.try_emplace(aQuery.mService).first;
  }
  service_record& record = found->second;
  demand_record& demand = Demand(record, aQuery, aNow);
  demand.mOffered.Add(aQuery.mCost, aNow);
  const bool idle = Use(record.mLoad) < kHalfFull && !record.mLoad.mWaiting;
  const share* share = FindShare(record, aQuery.mRank, aQuery.mAccount);
  if (!record.mInForce || idle || share == nullptr || share->mWidth >= 1.0) {
    return decision;
  }
  decision.mShare = share->mWidth;
  const double front = Front(aClock.value_or(
    std::chrono::duration_cast<milliseconds>(aNow.time_since_epoch())));
  const double behind =
    front - decision.mPosition + (front < decision.mPosition ? 1.0 : 0.0);
  if (behind < std::max(share->mWidth, share->mReservedWidth)) {
    return decision;
  }
  decision.mAdmit = false;
  const double ahead = 1.0 - behind;
  const auto delay = milliseconds(static_cast<std::int64_t>(std::ceil(
                       ahead * static_cast<double>(kPeriod.count())))) +
                     kClockMargin;
  if (aClock && ahead <= share->mPromiseWidth && delay <= aQuery.mMaxDelay) {
    decision.mComeBack = delay;
    demand.mPromised.Add(aQuery.mCost, aNow);
  }
  return decision;
}

void admission_control::OnCompleted(std::uint16_t aService,
                                    double aCost,
                                    std::chrono::microseconds aTook,
                                    time_point aNow)
{
  const auto found = mServices.find(aService);
  if (found != mServices.end()) {
    found->second.mCompletedCost.Add(aCost, aNow);
    found->second.mCompleted.Add(1.0, aNow);
    found->second.mSlotSeconds.Add(seconds_d(aTook).count(), aNow);
  }
}

void admission_control::OnNoRoom(std::uint16_t aService, time_point aNow)
{
  const auto found = mServices.find(aService);
  if (found != mServices.end()) {
    found->second.mNoRoomUntil = aNow + kNoRoomTime;
  }
}

void admission_control::UpdateTrend(service_record& aRecord,
                                    double aPlaces,
                                    time_point aNow)
{
  if (aRecord.mLoadUntil < aNow) {
    // The former load is unknown or too old.
    aRecord.mPlacesTrend = 0.0;
    aRecord.mLoadAt = aNow;
    return;
  }
  const double age = seconds_d(aNow - aRecord.mLoadAt).count();
  if (age <= 0.0) {
    return;
  }
  const double slope = (aPlaces - aRecord.mLoad.mPlaces) / age;
  aRecord.mPlacesTrend +=
    (1.0 - std::exp(-age / kTrendTimeS)) * (slope - aRecord.mPlacesTrend);
  aRecord.mLoadAt = aNow;
}

void admission_control::SetLoad(std::uint16_t aService,
                                const service_load& aLoad,
                                time_point aNow)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return;
  }
  service_record& record = found->second;
  UpdateTrend(record, aLoad.mPlaces, aNow);
  record.mLoad = aLoad;
  record.mLoadUntil = aNow + kMaxLoadAge;
  record.mLoad.mWaiting = aLoad.mWaiting || aNow < record.mNoRoomUntil;
  const bool waiting = record.mLoad.mWaiting;
  const bool full = Use(aLoad) > kNearlyFull || waiting;
  const bool relieved = Use(aLoad) < kRelieved && !waiting;
  if (!full) {
    record.mStartsAt.reset();
  } else if (!record.mStartsAt) {
    record.mStartsAt = aNow + kStartTime;
  }
  if (!relieved) {
    record.mEndsAt.reset();
  } else if (!record.mEndsAt) {
    record.mEndsAt = aNow + kEndTime;
  }
  if (!record.mInForce && record.mStartsAt && aNow >= *record.mStartsAt) {
    record.mInForce = true;
    record.mIntegral = 0.0;
    record.mUpdatedAt = aNow;
  } else if (record.mInForce && record.mEndsAt && aNow >= *record.mEndsAt) {
    End(record);
  }
}

void admission_control::End(service_record& aRecord)
{
  aRecord.mInForce = false;
  aRecord.mStartsAt.reset();
  aRecord.mEndsAt.reset();
  aRecord.mShares.clear();
  aRecord.mCapacity = 0.0;
}

void admission_control::OnReport(std::uint32_t aPeer,
                                 const std::vector<offered_cost>& aCosts,
                                 time_point aNow)
{
  if (mPeers.size() < kMaxPeers || mPeers.contains(aPeer)) {
    mPeers[aPeer] = { aCosts, aNow + kMaxReportAge };
  }
}

std::vector<offered_cost> admission_control::Report(time_point aNow)
{
  std::vector<offered_cost> costs;
  std::vector<offered_cost> completed;
  for (const auto& [service, record] : mServices) {
    if (!record.mInForce && !record.mStartsAt) {
      continue;
    }
    for (const auto& [key, demand] : record.mDemand) {
      const double offered = demand.mOffered.Rate(aNow);
      if (offered < kForgottenCost) {
        continue;
      }
      const double promised =
        std::min(demand.mPromised.Rate(aNow) / offered, 1.0);
      costs.push_back(
        { service,
          key.second ? offered_kind::Account : offered_kind::Rest,
          static_cast<std::uint8_t>(key.first),
          key.second.value_or(1),
          static_cast<float>(offered),
          static_cast<std::uint8_t>(std::lround(promised * kMaxUint8)),
          0.0F });
    }
    const double cost = record.mCompletedCost.Rate(aNow);
    if (cost >= kForgottenCost) {
      completed.push_back(
        { service,
          offered_kind::Completed,
          0,
          0,
          static_cast<float>(cost),
          0,
          static_cast<float>(record.mSlotSeconds.Rate(aNow)) });
    }
  }
  // Services in force come first: only their demand decides something.
  std::ranges::sort(costs, [this](const auto& aLeft, const auto& aRight) {
    return std::pair(InForce(aLeft.mService), aLeft.mCost) >
           std::pair(InForce(aRight.mService), aRight.mCost);
  });
  std::map<std::pair<std::uint16_t, std::uint8_t>, offered_cost> rests;
  std::size_t named = costs.size();
  // What does not fit is summed by service and rank.
  while (named > 0 &&
         named + rests.size() + completed.size() > kMaxOfferedCosts) {
    --named;
    const offered_cost& cost = costs[named];
    offered_cost& rest = rests[{ cost.mService, cost.mRank }];
    const float promised = rest.mCost * static_cast<float>(rest.mPromised) +
                           cost.mCost * static_cast<float>(cost.mPromised);
    rest.mService = cost.mService;
    rest.mRank = cost.mRank;
    rest.mKind = offered_kind::Rest;
    rest.mAccount += cost.mKind == offered_kind::Rest ? cost.mAccount : 1;
    rest.mCost += cost.mCost;
    rest.mPromised = static_cast<std::uint8_t>(promised / rest.mCost);
  }
  costs.resize(named);
  for (const auto& [key, rest] : rests) {
    costs.push_back(rest);
  }
  costs.insert(costs.end(), completed.begin(), completed.end());
  if (costs.size() > kMaxOfferedCosts) {
    costs.resize(kMaxOfferedCosts);
  }
  return costs;
}

admission_control::fleet_demand admission_control::FleetDemand(
  std::uint16_t aService,
  const service_record& aRecord,
  std::size_t aLiveNodes,
  time_point aNow) const
{
  fleet_demand own;
  for (const auto& [key, demand] : aRecord.mDemand) {
    own.mDemand[key] = { demand.mOffered.Rate(aNow),
                         demand.mPromised.Rate(aNow),
                         1.0 };
  }
  own.mCompletedCost = aRecord.mCompletedCost.Rate(aNow);
  own.mSlotSeconds = aRecord.mSlotSeconds.Rate(aNow);
  const double others =
    static_cast<double>(std::max<std::size_t>(aLiveNodes, 1) - 1);
  const auto heard = static_cast<double>(mPeers.size());
  if (heard == 0.0) {
    // Without reports, the other nodes are taken to be like this one.
    for (auto& [key, demand] : own.mDemand) {
      demand.mOffered *= 1.0 + others;
      demand.mPromised *= 1.0 + others;
    }
    own.mCompletedCost *= 1.0 + others;
    own.mSlotSeconds *= 1.0 + others;
    return own;
  }
  // Only some nodes report here in each round.
  const double scale = std::max(others / heard, 1.0);
  for (const auto& [peer, record] : mPeers) {
    for (const offered_cost& cost : record.mCosts) {
      if (cost.mService != aService) {
        continue;
      }
      if (cost.mKind == offered_kind::Completed) {
        own.mCompletedCost += scale * static_cast<double>(cost.mCost);
        own.mSlotSeconds += scale * static_cast<double>(cost.mSlotSeconds);
        continue;
      }
      const bool rest = cost.mKind == offered_kind::Rest;
      total_demand& total =
        own.mDemand[{ RankOf(cost.mRank),
                      rest ? std::nullopt : std::optional(cost.mAccount) }];
      total.mOffered += scale * static_cast<double>(cost.mCost);
      total.mPromised += scale * static_cast<double>(cost.mCost) *
                         static_cast<double>(cost.mPromised) / kMaxUint8;
      total.mAccounts = std::max(
        total.mAccounts, rest ? static_cast<double>(cost.mAccount) : 1.0);
    }
  }
  return own;
}

double admission_control::CostOfLostPlaces(const service_record& aRecord,
                                           const fleet_demand& aDemand,
                                           time_point aNow)
{
  const double lost = std::max(-aRecord.mPlacesTrend, 0.0);
  const double completed = aRecord.mCompleted.Rate(aNow);
  if (lost <= 0.0 || completed <= 0.0) {
    return 0.0;
  }
  const double meanCost = aRecord.mCompletedCost.Rate(aNow) / completed;
  // Requests that began with more places still end and make room for others.
  const double ending = std::max(
    aDemand.mCompletedCost - Use(aRecord.mLoad) * aRecord.mFullCapacity, 0.0);
  return std::max(lost * meanCost - ending, 0.0);
}

void admission_control::UpdateCapacity(service_record& aRecord,
                                       const fleet_demand& aDemand,
                                       time_point aNow)
{
  if (aDemand.mSlotSeconds <= 0.0) {
    aRecord.mCapacity = 0.0;
    return;
  }
  const double use = aRecord.mLoad.mWaiting
                       ? std::max(Use(aRecord.mLoad), kUseWhileWaiting)
                       : Use(aRecord.mLoad);
  const double error = kTargetUse - use;
  aRecord.mIntegral = std::clamp(
    aRecord.mIntegral +
      kIntegralGainPerS * error * seconds_d(aNow - aRecord.mUpdatedAt).count(),
    -kMaxIntegral,
    kMaxIntegral);
  const double correction =
    std::clamp(kTargetUse + kProportionalGain * error + aRecord.mIntegral,
               kMinCorrection,
               kMaxCorrection);
  aRecord.mFullCapacity =
    aRecord.mLoad.mPlaces * aDemand.mCompletedCost / aDemand.mSlotSeconds;
  aRecord.mCapacity = std::max(correction * aRecord.mFullCapacity -
                                 CostOfLostPlaces(aRecord, aDemand, aNow),
                               kMinCorrection * aRecord.mFullCapacity);
}

void admission_control::UpdateShares(service_record& aRecord,
                                     const fleet_demand& aDemand)
{
  aRecord.mShares.clear();
  if (aRecord.mCapacity <= 0.0) {
    return;
  }
  std::vector<admission_demand> demands;
  double total = 0.0;
  for (const auto& [key, demand] : aDemand.mDemand) {
    // Clients that come back count as offered twice.
    const double cost =
      std::max(demand.mOffered - demand.mPromised, kForgottenCost);
    demands.push_back(
      { key.first, kDemandHeadroom * cost, std::max(demand.mAccounts, 1.0) });
    total += cost;
  }
  // The floors shrink with the capacity while the servers are too full, so that
  // the most urgent rank does not bear the whole correction.
  const std::vector<double> granted = DivideCapacity(
    demands,
    aRecord.mCapacity,
    kFloorPart * aRecord.mCapacity / (kTargetUse + aRecord.mIntegral));
  // The completed cost follows a loss of places late, as the promises do. It is
  // small while long requests begin.
  const double reserved =
    std::min(kReservedWidth,
             kReservedPart *
               std::max(aRecord.mCapacity, aDemand.mCompletedCost) / total);
  std::size_t i = 0;
  for (const auto& [key, demand] : aDemand.mDemand) {
    share& share = aRecord.mShares[key];
    const double cost = demands[i].mCost / kDemandHeadroom;
    const double part = granted[i] / cost;
    if (part < 1.0) {
      share.mWidth = std::clamp(part - demand.mPromised / cost, 0.0, 1.0);
      if (share.mWidth >= kMinPromisingWidth) {
        share.mPromiseWidth = kPromisedPart * part;
      }
      if (demand.mPromised > 0.0) {
        share.mReservedWidth = reserved;
      }
    }
    ++i;
  }
}

void admission_control::UpdateService(std::uint16_t aService,
                                      service_record& aRecord,
                                      std::size_t aLiveNodes,
                                      time_point aNow)
{
  if (aRecord.mInForce) {
    const fleet_demand demand =
      FleetDemand(aService, aRecord, aLiveNodes, aNow);
    UpdateCapacity(aRecord, demand, aNow);
    UpdateShares(aRecord, demand);
  }
  aRecord.mUpdatedAt = aNow;
}

void admission_control::Update(std::size_t aLiveNodes, time_point aNow)
{
  std::erase_if(mPeers, [aNow](const auto& aPeer) {
    return aPeer.second.mValidUntil < aNow;
  });
  for (auto& [service, record] : mServices) {
    std::erase_if(record.mDemand, [aNow](const auto& aEntry) {
      return aEntry.second.mOffered.Rate(aNow) < kForgottenCost;
    });
    if (record.mLoadUntil < aNow) {
      // No server is known any more.
      End(record);
    }
    UpdateService(service, record, aLiveNodes, aNow);
  }
}

bool admission_control::InForce(std::uint16_t aService) const
{
  const auto found = mServices.find(aService);
  return found != mServices.end() && found->second.mInForce;
}

admission_state admission_control::State(std::uint16_t aService,
                                         const service_record& aRecord)
{
  admission_state state{ aService, aRecord.mInForce, aRecord.mCapacity, {} };
  for (const auto& [key, share] : aRecord.mShares) {
    // The narrowest interval: the account that loses most.
    const auto [entry, isNew] =
      state.mShareByRank.try_emplace(key.first, share.mWidth);
    entry->second = std::min(entry->second, share.mWidth);
  }
  return state;
}

std::vector<admission_state> admission_control::TakeChanges(time_point aNow)
{
  std::vector<admission_state> changes;
  for (auto& [service, record] : mServices) {
    if (aNow < record.mNextChangeAt) {
      continue;
    }
    const admission_state state = State(service, record);
    const admission_state old =
      record.mStated.value_or(admission_state{ service, false, 0.0, {} });
    bool changed = old.mInForce != state.mInForce;
    for (const auto& [rank, share] : state.mShareByRank) {
      const auto before = old.mShareByRank.find(rank);
      changed = changed || before == old.mShareByRank.end() ||
                std::abs(before->second - share) > kStatedChange;
    }
    if (changed) {
      record.mStated = state;
      record.mNextChangeAt = aNow + kChangeInterval;
      changes.push_back(state);
    }
  }
  return changes;
}
