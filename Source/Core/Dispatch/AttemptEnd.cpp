#include "Dispatch/AttemptEnd.h"

#include <algorithm>

namespace {

// Weight of the former mean in the moving average of output ratios.
constexpr double kOutputRatioDecay = 0.99;

std::size_t Index(service_class aClass)
{
  return static_cast<std::size_t>(aClass);
}

void Complete(dispatch_tables& aTables, request_entry& aEntry)
{
  const dispatch_request& request = aEntry.mRequest;
  const std::size_t index = Index(aEntry.mClass);
  class_counters& counters = aTables.CountersOf(aEntry.mClass);
  ++counters.mCompleted;
  counters.mTokens +=
    static_cast<std::uint64_t>(request.mPromptTokens + aEntry.mOutputTokens);
  if (request.mMaxOutputTokens > 0) {
    const double ratio = static_cast<double>(aEntry.mOutputTokens) /
                         static_cast<double>(request.mMaxOutputTokens);
    double& mean = aTables.mOutputRatio[index];
    mean = kOutputRatioDecay * mean +
           (1.0 - kOutputRatioDecay) * std::min(ratio, 1.0);
  }
  const double cost = aTables.mSettings.mPromptTokenCost *
                        static_cast<double>(request.mPromptTokens) +
                      static_cast<double>(aEntry.mOutputTokens);
  aTables.mLanes[aEntry.mLane].mQueues[index].Charge(aEntry.mAccount,
                                                     cost - aEntry.mCost);
  aTables.mUpstreams.OnSuccess(aEntry.mUpstream);
  aTables.mQuarantine.OnCompleted(request.mContent);
  aTables.mRequests.erase(request.mRequest);
}

std::vector<request_id> RequestsWithContent(const dispatch_tables& aTables,
                                            const content_id& aContent)
{
  std::vector<request_id> found;
  for (const auto& [request, entry] : aTables.mRequests) {
    if (entry.mRequest.mContent == aContent) {
      found.push_back(request);
    }
  }
  return found;
}

/// Counts the crash of an upstream and makes the contents that were in flight
/// on it suspects.
void RecordCrash(dispatch_tables& aTables,
                 std::uint32_t aUpstream,
                 time_point aNow)
{
  const upstream_state& upstream = aTables.mUpstreams.At(aUpstream);
  std::vector<content_id> contents;
  for (const request_id& running : upstream.mRunning) {
    contents.push_back(aTables.FindRequest(running)->mRequest.mContent);
  }
  std::sort(contents.begin(), contents.end());
  contents.erase(std::unique(contents.begin(), contents.end()), contents.end());
  if (!upstream.mEjected) {
    ++aTables.mCounters.mUpstreamCrashes;
  }
  aTables.mQuarantine.OnCrash(upstream.mEntry.mUpstream, contents, aNow);
  aTables.mPrefixes.RemoveUpstream(aUpstream);
  aTables.mCrashedContents.insert(
    aTables.mCrashedContents.end(), contents.begin(), contents.end());
}

void EjectUpstream(dispatch_tables& aTables,
                   std::uint32_t aUpstream,
                   time_point aNow)
{
  if (!aTables.mUpstreams.At(aUpstream).mEjected) {
    ++aTables.mCounters.mEjections;
  }
  aTables.mUpstreams.Eject(aUpstream, aNow);
}

/// Queues a failed request for another attempt on a different upstream. Rejects
/// it when its content may not be sent, its attempts are used up, or the node's
/// retry budget is empty.
void RetryOrReject(dispatch_tables& aTables,
                   request_entry& aEntry,
                   time_point aNow)
{
  const content_id content = aEntry.mRequest.mContent;
  const request_id request = aEntry.mRequest.mRequest;
  const content_check check = aTables.mQuarantine.Check(content, aNow);
  if (check.mVerdict == content_verdict::Quarantined) {
    aTables.Reject(request, reject_reason::Quarantined, aEntry.mRun);
    return;
  }
  if (check.mVerdict == content_verdict::RetriedElsewhere) {
    aTables.Reject(request, reject_reason::Suspect, aEntry.mRun);
    return;
  }
  if (aEntry.mAttempts >= aTables.mSettings.mMaxAttempts ||
      !aTables.mRetryBudget.TryTake()) {
    ++aTables.mCounters.mRetriesDenied;
    aTables.Reject(request, reject_reason::RetriesExhausted, aEntry.mRun);
    return;
  }
  ++aTables.mCounters.mRetries;
  if (check.mVerdict == content_verdict::Suspect) {
    RetrySuspect(aTables, aEntry, aNow);
    return;
  }
  aTables.Retry(aEntry, aNow, aNow);
}

} // namespace

void EndAttempt(dispatch_tables& aTables,
                request_entry& aEntry,
                attempt_outcome aOutcome,
                time_point aNow)
{
  const std::uint32_t upstream = aEntry.mUpstream;
  const request_id request = aEntry.mRequest.mRequest;
  if (aOutcome == attempt_outcome::UpstreamCrashed) {
    RecordCrash(aTables, upstream, aNow);
  }
  aTables.Detach(aEntry, aNow);
  if (aOutcome == attempt_outcome::Completed) {
    Complete(aTables, aEntry);
    return;
  }
  if (aOutcome == attempt_outcome::Cancelled) {
    aTables.mQuarantine.EndRetry(aEntry.mRequest.mContent);
    aTables.CountersOf(aEntry.mClass).mWastedTokens +=
      static_cast<std::uint64_t>(aEntry.mOutputTokens);
    aTables.mRequests.erase(request);
    return;
  }
  EjectUpstream(aTables, upstream, aNow);
  aEntry.mFailedUpstreams.push_back(upstream);
  const bool begun =
    aEntry.mFirstToken || aOutcome == attempt_outcome::BrokeMidStream;
  const bool midStream = begun && !aEntry.mRequest.mResumable;
  if (midStream) {
    aTables.mQuarantine.EndRetry(aEntry.mRequest.mContent);
    aTables.Reject(request, reject_reason::BrokeMidStream, run_state::Ran);
    return;
  }
  if (begun) {
    aEntry.mRun = run_state::Ran;
  } else if (aOutcome != attempt_outcome::RefusedBeforeRunning &&
             aEntry.mRun == run_state::NotRun) {
    aEntry.mRun = run_state::Unknown;
  }
  RetryOrReject(aTables, aEntry, aNow);
}

void RetrySuspect(dispatch_tables& aTables,
                  request_entry& aEntry,
                  time_point aNow)
{
  const content_id content = aEntry.mRequest.mContent;
  for (const auto& [request, other] : aTables.mRequests) {
    const bool tried = other.mRequest.mContent == content &&
                       &other != &aEntry &&
                       other.mState != request_state::Queued;
    if (tried) {
      aTables.Reject(
        aEntry.mRequest.mRequest, reject_reason::Suspect, aEntry.mRun);
      return;
    }
  }
  const time_point notBefore = aTables.mQuarantine.BeginRetry(content, aNow);
  aTables.Retry(aEntry, notBefore, aNow);
}

void CancelSuspectAttempts(dispatch_tables& aTables,
                           const content_id& aContent,
                           time_point aNow)
{
  if (aTables.mQuarantine.IsRetrying(aContent, aNow)) {
    return;
  }
  for (const request_id& request : RequestsWithContent(aTables, aContent)) {
    request_entry& entry = *aTables.FindRequest(request);
    if (entry.mState == request_state::Running) {
      aTables.CancelRunning(entry, cancel_reason::Quarantined, aNow);
      aTables.Reject(request, reject_reason::Suspect, run_state::Ran);
    }
  }
}

void RejectQuarantinedContent(dispatch_tables& aTables,
                              const content_id& aContent,
                              time_point aNow)
{
  for (const request_id& request : RequestsWithContent(aTables, aContent)) {
    request_entry& entry = *aTables.FindRequest(request);
    run_state run = entry.mRun;
    if (entry.mState == request_state::Running) {
      run = run_state::Ran;
      aTables.CancelRunning(entry, cancel_reason::Quarantined, aNow);
    } else {
      aTables.Detach(entry, aNow);
    }
    aTables.Reject(request, reject_reason::Quarantined, run);
  }
}
