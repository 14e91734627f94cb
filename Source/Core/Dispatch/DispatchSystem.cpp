#include "Dispatch/DispatchSystem.h"

#include <algorithm>
#include <array>
#include <utility>

#include "Dispatch/AttemptEnd.h"
#include "Dispatch/DispatchTables.h"
#include "Dispatch/Scheduler.h"

namespace {

constexpr std::array<std::string_view, kRejectReasonCount>
  kRejectReasonNames = {
    "queue_full",       "too_late",  "no_upstream",
    "quarantined",      "suspect",   "retries_exhausted",
    "broke_mid_stream", "displaced", "duplicate",
  };

std::size_t Index(service_class aClass)
{
  return static_cast<std::size_t>(aClass);
}

/// Reason to reject a new request immediately, or nothing when it may be
/// queued.
std::optional<reject_reason> CheckAdmission(dispatch_tables& aTables,
                                            const dispatch_request& aRequest,
                                            const content_check& aCheck)
{
  if (aTables.FindRequest(aRequest.mRequest) != nullptr) {
    return reject_reason::Duplicate;
  }
  if (aCheck.mVerdict == content_verdict::Quarantined) {
    return reject_reason::Quarantined;
  }
  if (aCheck.mVerdict == content_verdict::RetriedElsewhere) {
    return reject_reason::Suspect;
  }
  if (!aTables.mUpstreams.Serves(aRequest.mModel)) {
    return reject_reason::NoUpstream;
  }
  return std::nullopt;
}

/// Whether a queued request is expected to wait beyond its latest start.
bool IsExpectedToMissTarget(const dispatch_tables& aTables,
                            const request_entry& aEntry,
                            time_point aNow)
{
  const model_lane& lane = aTables.mLanes[aEntry.mLane];
  const auto wait =
    lane.mQueues[Index(aEntry.mClass)].ExpectedWait(aEntry.mAccount);
  if (!wait) {
    return false;
  }
  const std::chrono::duration<double> maxWait =
    (aEntry.mLatestStart - aNow) * aTables.mSettings.mMaxExpectedWaitShare;
  return *wait > maxWait;
}

/// Cancels and rejects the requests of a content as its quarantine state
/// requires, after it crashed an upstream.
void EnforceQuarantine(dispatch_tables& aTables,
                       const content_id& aContent,
                       time_point aNow)
{
  switch (aTables.mQuarantine.Check(aContent, aNow).mVerdict) {
    case content_verdict::Quarantined:
      RejectQuarantinedContent(aTables, aContent, aNow);
      break;
    case content_verdict::Suspect:
    case content_verdict::RetriedElsewhere:
      CancelSuspectAttempts(aTables, aContent, aNow);
      break;
    case content_verdict::Clear:
      break;
  }
}

/// Queues an entry. When this exceeds the queue limit of its class, the request
/// that would be served last is rejected instead.
void EnqueueBounded(dispatch_tables& aTables,
                    request_entry& aEntry,
                    time_point aNow)
{
  const std::size_t index = Index(aEntry.mClass);
  fair_queue& queue = aTables.mLanes[aEntry.mLane].mQueues[index];
  queue.SetBurst(aTables.mSettings.mAccountBurst);
  queue.Push({ aEntry.mRequest.mRequest, aEntry.mAccount, aEntry.mCost },
             std::max(aEntry.mRequest.mWeight, 1e-6),
             aNow);
  ++aTables.mQueued[index];
  if (aTables.mQueued[index] <=
      aTables.ClassSettings(aEntry.mClass).mMaxQueued) {
    return;
  }
  const request_id last = queue.Back()->mRequest;
  request_entry* victim = aTables.FindRequest(last);
  aTables.Detach(*victim, aNow);
  aTables.Reject(last, reject_reason::QueueFull, victim->mRun);
}

} // namespace

std::string_view RejectReasonName(reject_reason aReason)
{
  return kRejectReasonNames[static_cast<std::size_t>(aReason)];
}

dispatch_system::dispatch_system(const dispatch_settings& aSettings)
  : mTables(std::make_unique<dispatch_tables>(aSettings))
{
}

dispatch_system::~dispatch_system() = default;
dispatch_system::dispatch_system(dispatch_system&&) noexcept = default;
dispatch_system& dispatch_system::operator=(dispatch_system&&) noexcept =
  default;

void dispatch_system::ApplySettings(const dispatch_settings& aSettings)
{
  mTables->mSettings = aSettings;
  mTables->mUpstreams.ApplySettings(aSettings);
  mTables->mQuarantine.ApplySettings(aSettings.mNode, aSettings.mQuarantine);
}

void dispatch_system::SetUpstreams(
  const std::vector<listed_upstream>& aUpstreams,
  time_point)
{
  mTables->mUpstreams.SetUpstreams(aUpstreams);
}

void dispatch_system::Enqueue(const dispatch_request& aRequest, time_point aNow)
{
  dispatch_tables& tables = *mTables;
  const service_class serviceClass = ClassOf(aRequest);
  ++tables.CountersOf(serviceClass).mEnqueued;
  const content_check check = tables.mQuarantine.Check(aRequest.mContent, aNow);
  const auto refusal = CheckAdmission(tables, aRequest, check);
  if (refusal) {
    tables.RejectOnArrival(aRequest, serviceClass, *refusal);
    return;
  }
  request_entry& entry = tables.mRequests[aRequest.mRequest];
  entry.mRequest = aRequest;
  entry.mClass = serviceClass;
  entry.mAccount = tables.FindOrAddAccount(aRequest.mAccount);
  entry.mLane = tables.FindOrAddLane(aRequest.mModel);
  entry.mCost = tables.EstimateCost(aRequest, serviceClass);
  if (check.mVerdict == content_verdict::Suspect) {
    RetrySuspect(tables, entry, aNow);
    return;
  }
  tables.SetLatestStart(entry, aNow);
  EnqueueBounded(tables, entry, aNow);
  request_entry* queued = tables.FindRequest(aRequest.mRequest);
  if (queued != nullptr && IsExpectedToMissTarget(tables, *queued, aNow)) {
    tables.Detach(*queued, aNow);
    tables.Reject(aRequest.mRequest, reject_reason::TooLate, run_state::NotRun);
  }
}

void dispatch_system::Abandon(const request_id& aRequest, time_point aNow)
{
  request_entry* entry = mTables->FindRequest(aRequest);
  if (entry == nullptr) {
    return;
  }
  class_counters& counters = mTables->CountersOf(entry->mClass);
  ++counters.mAbandoned;
  counters.mWastedTokens += static_cast<std::uint64_t>(entry->mOutputTokens);
  if (entry->mState == request_state::Running) {
    mTables->CancelRunning(*entry, cancel_reason::Abandoned, aNow);
  } else {
    mTables->Detach(*entry, aNow);
  }
  mTables->mRequests.erase(aRequest);
}

dispatch_output dispatch_system::Tick(time_point aNow)
{
  for (const content_id& content :
       std::exchange(mTables->mCrashedContents, {})) {
    EnforceQuarantine(*mTables, content, aNow);
  }
  RunScheduler(*mTables, aNow);
  dispatch_output output = std::move(mTables->mOutput);
  mTables->mOutput = {};
  output.mNotices = mTables->mQuarantine.TakeNotices();
  return output;
}

void dispatch_system::OnFirstToken(const request_id& aRequest, time_point aNow)
{
  request_entry* entry = mTables->FindRequest(aRequest);
  if (entry == nullptr || entry->mState != request_state::Running ||
      entry->mFirstToken) {
    return;
  }
  entry->mFirstToken = true;
  upstream_state& upstream = mTables->mUpstreams.At(entry->mUpstream);
  concurrency_limit& limit = entry->mClass == service_class::Urgent
                               ? upstream.mLimit
                               : upstream.mLowerLimit;
  limit.OnFirstToken(entry->mStartedAt,
                     aNow,
                     entry->mRequest.mPromptTokens,
                     upstream.InUse(),
                     mTables->mSettings.mConcurrency);
}

void dispatch_system::OnTokens(const request_id& aRequest,
                               std::int64_t aCount,
                               time_point)
{
  request_entry* entry = mTables->FindRequest(aRequest);
  if (entry != nullptr && entry->mState == request_state::Running) {
    entry->mOutputTokens += aCount;
  }
}

void dispatch_system::OnFinished(const request_id& aRequest,
                                 attempt_outcome aOutcome,
                                 time_point aNow)
{
  request_entry* entry = mTables->FindRequest(aRequest);
  if (entry != nullptr && entry->mState == request_state::Running) {
    EndAttempt(*mTables, *entry, aOutcome, aNow);
  }
}

void dispatch_system::OnLoadReport(const upstream_id& aUpstream,
                                   const load_report& aReport,
                                   time_point aNow)
{
  mTables->mUpstreams.OnReport(aUpstream, aReport, aNow);
}

void dispatch_system::OnCacheEvents(const upstream_id& aUpstream,
                                    const cache_events& aEvents,
                                    time_point)
{
  const auto upstream = mTables->mUpstreams.Find(aUpstream);
  if (upstream && mTables->mPrefixes.Apply(*upstream, aEvents)) {
    ++mTables->mCounters.mCacheGaps;
  }
}

void dispatch_system::OnUpstreamLeaving(const upstream_id& aUpstream,
                                        time_point)
{
  mTables->mUpstreams.OnLeaving(aUpstream);
}

void dispatch_system::OnQuarantineNotice(const quarantine_notice& aNotice,
                                         time_point aNow)
{
  mTables->mQuarantine.OnNotice(aNotice, aNow);
  if (aNotice.mState != quarantine_state::Cleared) {
    EnforceQuarantine(*mTables, aNotice.mContent, aNow);
  }
}

const dispatch_counters& dispatch_system::Counters() const
{
  return mTables->mCounters;
}

dispatch_status dispatch_system::Status(time_point) const
{
  dispatch_status status;
  status.mQueued = mTables->mQueued;
  status.mRunning = mTables->mRunning;
  status.mUpstreams = mTables->mUpstreams.Status();
  status.mSuspects = mTables->mQuarantine.Count(quarantine_state::Suspect);
  status.mQuarantined =
    mTables->mQuarantine.Count(quarantine_state::Quarantined);
  return status;
}

std::uint32_t dispatch_system::QueuedCount() const
{
  std::uint32_t count = 0;
  for (const std::uint32_t queued : mTables->mQueued) {
    count += queued;
  }
  return count;
}
