#include "Dispatch/Scheduler.h"

#include <algorithm>

#include "Dispatch/AttemptEnd.h"

namespace {

// A floor is a share of tokens, and the number of running requests approximates
// it only roughly; this factor allows for the difference.
constexpr double kFloorSlack = 2.0;
// An account is heavy when it has more than this share of the running requests
// of its class.
constexpr double kHeavyShare = 0.34;

std::size_t Index(service_class aClass)
{
  return static_cast<std::size_t>(aClass);
}

void RejectOverdue(dispatch_tables& aTables, time_point aNow)
{
  while (!aTables.mLatestStarts.empty() &&
         aTables.mLatestStarts.top().first < aNow) {
    const auto [latest, request] = aTables.mLatestStarts.top();
    aTables.mLatestStarts.pop();
    request_entry* entry = aTables.FindRequest(request);
    const bool waiting = entry != nullptr &&
                         entry->mState != request_state::Running &&
                         entry->mLatestStart == latest;
    if (waiting) {
      aTables.Detach(*entry, aNow);
      aTables.Reject(request, reject_reason::TooLate, entry->mRun);
    }
  }
}

/// Starts a request that has been removed from its queue or retry list.
void Start(dispatch_tables& aTables,
           request_entry& aEntry,
           std::uint32_t aUpstream,
           bool aTopPriority,
           time_point aNow)
{
  const std::size_t index = Index(aEntry.mClass);
  const dispatch_request& request = aEntry.mRequest;
  --aTables.mQueued[index];
  ++aTables.mRunning[index];
  ++aTables.mAccountRunning[aEntry.mAccount][index];
  aEntry.mState = request_state::Running;
  aEntry.mUpstream = aUpstream;
  aEntry.mStartedAt = aNow;
  aEntry.mFirstToken = false;
  aEntry.mTopPriority = aTopPriority;
  ++aEntry.mAttempts;
  if (aEntry.mAttempts == 1) {
    ++aTables.CountersOf(aEntry.mClass).mStarted;
    aTables.mRetryBudget.OnStarted(aTables.mSettings);
  }
  if (aTables.mPrefixes.CachedShare(aUpstream, request.mPrefixBlocks) > 0.0) {
    ++aTables.mCounters.mPrefixHits;
  }
  aTables.mPrefixes.RecordPrompt(aUpstream, request.mPrefixBlocks);
  aTables.mUpstreams.AddRunning(
    aUpstream, request.mRequest, aTopPriority, aNow);
  aTables.mOutput.mStarts.push_back(
    { request.mRequest,
      aTables.mUpstreams.At(aUpstream).mEntry.mUpstream,
      aEntry.mAttempts,
      static_cast<std::uint8_t>(aTopPriority ? 0 : index) });
}

rank_credit::waiting_ranks WaitingRanks(const model_lane& aLane)
{
  rank_credit::waiting_ranks waiting{};
  for (std::size_t rank = 0; rank < kWorkRankCount; ++rank) {
    waiting[rank] = !aLane.mQueues[rank].Empty();
  }
  return waiting;
}

/// The upstream for a retry in isolation, or nothing while other suspects come
/// first.
std::optional<std::uint32_t> ChooseIsolatedUpstream(dispatch_tables& aTables,
                                                    const model_lane& aLane,
                                                    const request_entry& aEntry,
                                                    time_point aNow)
{
  const content_id content = aEntry.mRequest.mContent;
  const auto chosen = aTables.mUpstreams.ChooseForIsolation(
    aLane.mSubset, content, aEntry.mFailedUpstreams);
  if (!chosen) {
    return std::nullopt;
  }
  for (const content_id& before :
       aTables.mQuarantine.RetriesBefore(content, aNow)) {
    const auto other = aTables.mUpstreams.ChooseForIsolation(
      aLane.mSubset, before, aEntry.mFailedUpstreams);
    if (other == chosen) {
      return std::nullopt;
    }
  }
  // A suspect whose claim timed out may still be in flight on this upstream.
  for (const request_id& running : aTables.mUpstreams.At(*chosen).mRunning) {
    const content_id other = aTables.FindRequest(running)->mRequest.mContent;
    if (aTables.mQuarantine.Check(other, aNow).mVerdict !=
        content_verdict::Clear) {
      return std::nullopt;
    }
  }
  return chosen;
}

std::optional<std::uint32_t> ChooseRetryUpstream(dispatch_tables& aTables,
                                                 const model_lane& aLane,
                                                 request_entry& aEntry,
                                                 time_point aNow)
{
  if (aEntry.mNotBefore > aNow) {
    return std::nullopt;
  }
  const content_check check =
    aTables.mQuarantine.Check(aEntry.mRequest.mContent, aNow);
  if (check.mVerdict != content_verdict::Clear &&
      !aTables.mQuarantine.IsRetrying(aEntry.mRequest.mContent, aNow)) {
    // The claim timed out, so other nodes may retry the content now. Claims it
    // again.
    aEntry.mNotBefore =
      aTables.mQuarantine.BeginRetry(aEntry.mRequest.mContent, aNow);
    return std::nullopt;
  }
  if (check.mVerdict != content_verdict::Clear) {
    return ChooseIsolatedUpstream(aTables, aLane, aEntry, aNow);
  }
  // Paid retries may use the full concurrency limit, because they have already
  // waited once.
  const double share = aEntry.mClass == service_class::Free
                         ? aTables.mSettings.mFreeTier.mUpstreamShare
                         : 1.0;
  const bool first = aEntry.mClass == service_class::Urgent;
  return aTables.mUpstreams.Choose(
    aLane.mSubset,
    { &aEntry.mRequest, share, first, &aEntry.mFailedUpstreams },
    aTables.mPrefixes);
}

void StartRetries(dispatch_tables& aTables, model_lane& aLane, time_point aNow)
{
  for (std::size_t i = 0; i < aLane.mRetries.size();) {
    request_entry& entry = *aTables.FindRequest(aLane.mRetries[i]);
    const auto upstream = ChooseRetryUpstream(aTables, aLane, entry, aNow);
    if (!upstream) {
      ++i;
      continue;
    }
    aLane.mRetries.erase(aLane.mRetries.begin() +
                         static_cast<std::ptrdiff_t>(i));
    const bool topPriority = entry.mClass == service_class::Urgent;
    Start(aTables, entry, *upstream, topPriority, aNow);
  }
}

enum class start_result : std::uint8_t
{
  Started,
  /// The first request was moved to the retry list or rejected.
  LeftQueue,
  NoCapacity,
};

/// Moves a request whose content became suspect while it waited to the retry
/// list, or rejects it. Returns whether it left the queue.
bool RetryOrRejectSuspect(dispatch_tables& aTables,
                          request_entry& aEntry,
                          time_point aNow)
{
  if (aTables.mQuarantine.Empty()) {
    return false;
  }
  const content_check check =
    aTables.mQuarantine.Check(aEntry.mRequest.mContent, aNow);
  if (check.mVerdict == content_verdict::Clear) {
    return false;
  }
  aTables.Detach(aEntry, aNow);
  if (check.mVerdict == content_verdict::Suspect) {
    RetrySuspect(aTables, aEntry, aNow);
    return true;
  }
  const bool quarantined = check.mVerdict == content_verdict::Quarantined;
  aTables.Reject(aEntry.mRequest.mRequest,
                 quarantined ? reject_reason::Quarantined
                             : reject_reason::Suspect,
                 aEntry.mRun);
  return true;
}

/// Share of its class's capacity that the account may use. A heavy account
/// leaves some capacity to other accounts, which would otherwise wait until one
/// of its long requests ends.
double AccountCapacityShare(const dispatch_tables& aTables,
                            const request_entry& aEntry)
{
  const std::size_t index = Index(aEntry.mClass);
  const std::uint32_t accountRunning =
    aTables.mAccountRunning[aEntry.mAccount][index];
  const bool heavy = accountRunning > kHeavyShare * aTables.mRunning[index];
  return heavy ? aTables.mSettings.mHeavyAccountShare : 1.0;
}

/// Starts the first request of a class if an upstream has capacity.
start_result StartFront(dispatch_tables& aTables,
                        model_lane& aLane,
                        service_class aClass,
                        upstream_query aQuery,
                        time_point aNow)
{
  fair_queue& queue = aLane.mQueues[Index(aClass)];
  request_entry& entry = *aTables.FindRequest(queue.Front()->mRequest);
  if (RetryOrRejectSuspect(aTables, entry, aNow)) {
    return start_result::LeftQueue;
  }
  aQuery.mRequest = &entry.mRequest;
  aQuery.mShare *= AccountCapacityShare(aTables, entry);
  const auto upstream =
    aTables.mUpstreams.Choose(aLane.mSubset, aQuery, aTables.mPrefixes);
  if (!upstream) {
    return start_result::NoCapacity;
  }
  queue.PopFront(aNow);
  Start(aTables, entry, *upstream, aQuery.mTopPriority, aNow);
  return start_result::Started;
}

/// Whether a rank has few running requests compared with its floor. A rank that
/// already fills the upstreams does not need the capacity reserved for higher
/// ranks.
bool IsBelowFloor(const dispatch_tables& aTables, work_rank aRank)
{
  std::uint32_t running = 0;
  for (const std::uint32_t count : aTables.mRunning) {
    running += count;
  }
  const auto index = static_cast<std::size_t>(aRank);
  const double floor = aTables.mSettings.mRanks[index].mFloorShare * running;
  return aTables.mRunning[index] < std::max(1.0, kFloorSlack * floor);
}

/// Starts, moves or rejects one paid request of a lane; false when no upstream
/// has capacity.
bool StartPaidRequest(dispatch_tables& aTables,
                      model_lane& aLane,
                      time_point aNow)
{
  const rank_credit::waiting_ranks waiting = WaitingRanks(aLane);
  const auto mostCredited = aLane.mCredit.MostCredited(waiting);
  std::vector<work_rank> ranks;
  if (mostCredited) {
    ranks.push_back(*mostCredited);
  }
  for (std::size_t rank = 0; rank < kWorkRankCount; ++rank) {
    if (waiting[rank]) {
      ranks.push_back(static_cast<work_rank>(rank));
    }
  }
  bool fromFloor = mostCredited.has_value();
  for (const work_rank rank : ranks) {
    const auto serviceClass = static_cast<service_class>(rank);
    const auto front = aLane.mQueues[Index(serviceClass)].Front();
    // A rank below its floor may use the capacity reserved for higher ranks,
    // and gets the engine's highest priority. Otherwise a flood of
    // higher-ranked requests would starve it.
    const bool floor = fromFloor && IsBelowFloor(aTables, rank);
    const bool topPriority = floor || rank == work_rank::Urgent;
    const double share =
      floor ? 1.0 : aTables.ClassSettings(serviceClass).mUpstreamShare;
    const start_result result = StartFront(
      aTables, aLane, serviceClass, { nullptr, share, topPriority }, aNow);
    if (result == start_result::Started) {
      aLane.mCredit.OnStarted(rank, front->mCost, aTables.mSettings);
    }
    if (result != start_result::NoCapacity) {
      return true;
    }
    fromFloor = false;
  }
  return false;
}

bool HasPaidWaiting(const model_lane& aLane)
{
  for (std::size_t rank = 0; rank < kWorkRankCount; ++rank) {
    if (!aLane.mQueues[rank].Empty()) {
      return true;
    }
  }
  return false;
}

void StartPaidRequests(dispatch_tables& aTables,
                       model_lane& aLane,
                       time_point aNow)
{
  StartRetries(aTables, aLane, aNow);
  while (HasPaidWaiting(aLane) && StartPaidRequest(aTables, aLane, aNow)) {
  }
}

/// The most recently started free-tier request on an upstream of the lane that
/// is filled beyond the free tier's share. Upstreams below that share have
/// capacity for paid requests anyway.
request_entry* FindNewestFreeRequest(dispatch_tables& aTables,
                                     const model_lane& aLane)
{
  const double share = aTables.mSettings.mFreeTier.mUpstreamShare;
  request_entry* last = nullptr;
  for (const std::uint32_t upstream : aLane.mSubset.mUpstreams) {
    const upstream_state& state = aTables.mUpstreams.At(upstream);
    if (state.InUse() < share * state.mLimit.Value()) {
      continue;
    }
    for (const request_id& running : state.mRunning) {
      request_entry* entry = aTables.FindRequest(running);
      const bool later =
        last == nullptr || entry->mStartedAt > last->mStartedAt;
      if (entry->mClass == service_class::Free && later) {
        last = entry;
      }
    }
  }
  return last;
}

std::uint32_t CountPaidWaiting(const model_lane& aLane)
{
  std::uint32_t count = 0;
  for (std::size_t rank = 0; rank < kWorkRankCount; ++rank) {
    count += aLane.mQueues[rank].Size();
  }
  return count;
}

/// Cancels free-tier requests while paid requests wait that could use their
/// capacity. At most one is cancelled per waiting request: an upstream that is
/// filled beyond its limit needs more than one cancellation before a paid
/// request can start.
void DisplaceFreeRequests(dispatch_tables& aTables,
                          model_lane& aLane,
                          time_point aNow)
{
  const std::uint32_t most = CountPaidWaiting(aLane);
  for (std::uint32_t i = 0; i < most && HasPaidWaiting(aLane); ++i) {
    if (aTables.mRunning[Index(service_class::Free)] == 0) {
      return;
    }
    request_entry* free = FindNewestFreeRequest(aTables, aLane);
    if (free == nullptr) {
      return;
    }
    const request_id request = free->mRequest.mRequest;
    const run_state run =
      free->mFirstToken ? run_state::Ran : run_state::Unknown;
    aTables.CancelRunning(*free, cancel_reason::Displaced, aNow);
    aTables.Reject(request, reject_reason::Displaced, run);
    ++aTables.mCounters.mDisplaced;
    StartPaidRequest(aTables, aLane, aNow);
  }
}

/// Marks the upstreams that waiting paid requests could use; the free tier does
/// not use them in this tick.
void MarkUpstreamsForPaid(dispatch_tables& aTables)
{
  for (const model_lane& lane : aTables.mLanes) {
    if (!HasPaidWaiting(lane)) {
      continue;
    }
    for (const std::uint32_t upstream : lane.mSubset.mUpstreams) {
      aTables.mUpstreams.Marks()[upstream] = aTables.mTicks;
    }
  }
}

void StartFreeRequests(dispatch_tables& aTables,
                       model_lane& aLane,
                       time_point aNow)
{
  const fair_queue& queue = aLane.mQueues[Index(service_class::Free)];
  const double share = aTables.mSettings.mFreeTier.mUpstreamShare;
  const upstream_query query{ nullptr, share, false, nullptr, aTables.mTicks };
  while (!queue.Empty() &&
         StartFront(aTables, aLane, service_class::Free, query, aNow) !=
           start_result::NoCapacity) {
  }
}

} // namespace

void RunScheduler(dispatch_tables& aTables, time_point aNow)
{
  ++aTables.mTicks;
  aTables.mQuarantine.Expire(aNow);
  aTables.mUpstreams.EndEjections(aNow);
  RejectOverdue(aTables, aNow);
  const std::size_t lanes = aTables.mLanes.size();
  // Rotates the order, so that lanes that share upstreams are served first in
  // turn.
  for (std::size_t i = 0; i < lanes; ++i) {
    model_lane& lane = aTables.mLanes[(aTables.mTicks + i) % lanes];
    aTables.mUpstreams.RefreshSubset(lane.mSubset, lane.mModel);
    StartPaidRequests(aTables, lane, aNow);
    DisplaceFreeRequests(aTables, lane, aNow);
  }
  if (aTables.mQueued[Index(service_class::Free)] == 0) {
    return;
  }
  MarkUpstreamsForPaid(aTables);
  for (std::size_t i = 0; i < lanes; ++i) {
    StartFreeRequests(
      aTables, aTables.mLanes[(aTables.mTicks + i) % lanes], aNow);
  }
}
