#include "Replay/BaselinePolicy.h"

#include <algorithm>
#include <cmath>

namespace {

constexpr std::size_t kMaxQueued = 5'000;
constexpr std::uint32_t kMaxAttempts = 3;
constexpr std::chrono::seconds kRetryAfter{ 1 };

} // namespace

baseline_policy::baseline_policy(bool aByClass,
                                 const dispatch_settings& aSettings)
  : mByClass(aByClass)
  , mSettings(aSettings)
{
}

void baseline_policy::SetUpstreams(
  const std::vector<listed_upstream>& aUpstreams,
  time_point)
{
  for (const listed_upstream& entry : aUpstreams) {
    upstream& known = mUpstreams[entry.mUpstream];
    known.mSlots = mSettings.mConcurrency.mDefaultLimit;
    known.mLeaving = entry.mLeaving;
  }
}

std::size_t baseline_policy::QueueOf(const dispatch_request& aRequest) const
{
  if (!mByClass) {
    return 0;
  }
  return aRequest.mFreeTier ? static_cast<std::size_t>(service_class::Free)
                            : static_cast<std::size_t>(aRequest.mRank);
}

void baseline_policy::Enqueue(const dispatch_request& aRequest, time_point)
{
  std::deque<attempt>& queue = mQueues[QueueOf(aRequest)];
  if (queue.size() >= kMaxQueued) {
    mOutput.mRejects.push_back({ aRequest.mRequest,
                                 reject_reason::QueueFull,
                                 run_state::NotRun,
                                 kRetryAfter });
    return;
  }
  queue.push_back({ aRequest, {}, 0, false });
}

baseline_policy::upstream* baseline_policy::LeastLoaded(upstream_id& aName,
                                                        time_point aNow)
{
  const double nodes = std::max(1U, mSettings.mNodesPerUpstream);
  upstream* best = nullptr;
  double least = 0.0;
  for (auto& [name, known] : mUpstreams) {
    // The free room is divided between the nodes as in the dispatch system.
    const double room = known.mSlots - known.mOwnAtReport - known.mOthers;
    const double allowed =
      std::max(known.mOwnAtReport + room / nodes, known.mSlots / nodes / 2);
    const double load = known.mOwn + known.mOthers;
    const bool usable = !known.mLeaving && known.mNotBefore <= aNow &&
                        known.mOwn < std::ceil(allowed);
    if (usable && (best == nullptr || load < least)) {
      best = &known;
      least = load;
      aName = name;
    }
  }
  return best;
}

dispatch_output baseline_policy::Tick(time_point aNow)
{
  for (std::size_t index = 0; index < kServiceClassCount; ++index) {
    std::deque<attempt>& queue = mQueues[index];
    while (!queue.empty()) {
      upstream_id name;
      upstream* chosen = LeastLoaded(name, aNow);
      if (chosen == nullptr) {
        break;
      }
      attempt next = std::move(queue.front());
      queue.pop_front();
      next.mUpstream = name;
      next.mFirstToken = false;
      ++next.mAttempts;
      chosen->mOwn += 1.0;
      mOutput.mStarts.push_back({ next.mRequest.mRequest,
                                  name,
                                  next.mAttempts,
                                  static_cast<std::uint8_t>(index) });
      mRunning[next.mRequest.mRequest] = std::move(next);
    }
  }
  dispatch_output output = std::move(mOutput);
  mOutput = {};
  return output;
}

void baseline_policy::OnFirstToken(const request_id& aRequest, time_point)
{
  const auto found = mRunning.find(aRequest);
  if (found != mRunning.end()) {
    found->second.mFirstToken = true;
  }
}

void baseline_policy::OnFinished(const request_id& aRequest,
                                 attempt_outcome aOutcome,
                                 time_point aNow)
{
  const auto found = mRunning.find(aRequest);
  if (found == mRunning.end()) {
    return;
  }
  attempt ended = std::move(found->second);
  mRunning.erase(found);
  upstream& known = mUpstreams[ended.mUpstream];
  known.mOwn -= 1.0;
  if (aOutcome == attempt_outcome::Completed) {
    return;
  }
  known.mNotBefore = aNow + mSettings.mEjectionPeriod;
  const bool again = !ended.mFirstToken && ended.mAttempts < kMaxAttempts &&
                     aOutcome != attempt_outcome::BrokeMidStream;
  if (again) {
    mQueues[QueueOf(ended.mRequest)].push_front(std::move(ended));
    return;
  }
  mOutput.mRejects.push_back({ aRequest,
                               reject_reason::RetriesExhausted,
                               run_state::Unknown,
                               kRetryAfter });
}

void baseline_policy::OnLoadReport(const upstream_id& aUpstream,
                                   const load_report& aReport,
                                   time_point)
{
  upstream& known = mUpstreams[aUpstream];
  if (aReport.mSlots > 0) {
    known.mSlots = aReport.mSlots;
  }
  const double total = aReport.mRunning + aReport.mWaiting;
  known.mOthers = std::max(0.0, total - known.mOwn);
  known.mOwnAtReport = known.mOwn;
}

void baseline_policy::OnUpstreamLeaving(const upstream_id& aUpstream,
                                        time_point)
{
  mUpstreams[aUpstream].mLeaving = true;
}

bool baseline_policy::HasWaiting() const
{
  return std::any_of(mQueues.begin(), mQueues.end(), [](const auto& aQueue) {
    return !aQueue.empty();
  });
}
