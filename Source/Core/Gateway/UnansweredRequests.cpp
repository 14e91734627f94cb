#include "Gateway/UnansweredRequests.h"

#include <algorithm>

namespace {

using std::chrono::milliseconds;

// A server is silent after it sent this node nothing for this long, if its
// entry in the store was not renewed for the second time either. Servers renew
// their entries every 1.2 s, and reads take up to half a second more.
constexpr milliseconds kSilenceTimeout(1000);
constexpr milliseconds kEntryTimeout(2000);
// Age that an entry usually has at most when it is read.
constexpr milliseconds kMaxEntryAge(1000);
// Silence that counts alone while the store is out of contact, and the time
// without contact after which it is.
constexpr milliseconds kLongSilenceTimeout(2000);
constexpr milliseconds kStoreContactTimeout(1500);

} // namespace

unanswered_requests::ticket unanswered_requests::Add(
  const request_fingerprint& aRequest,
  const server_run& aServer,
  time_point aSentAt)
{
  mRequests[++mLastTicket] = { aRequest, aServer, aSentAt, {}, false };
  return mLastTicket;
}

void unanswered_requests::Remove(ticket aTicket)
{
  mRequests.erase(aTicket);
}

void unanswered_requests::Abandon(ticket aTicket, time_point aNow)
{
  const auto found = mRequests.find(aTicket);
  if (found != mRequests.end()) {
    found->second.mAbandonedAt = aNow;
  }
}

bool unanswered_requests::Contains(const content_id& aRequest) const
{
  return std::ranges::any_of(mRequests, [&](const auto& aPair) {
    return aPair.second.mRequest.mContent == aRequest;
  });
}

bool unanswered_requests::ContainsAny(
  std::span<const segment_id> aSegments) const
{
  return std::ranges::any_of(mRequests, [&](const auto& aPair) {
    const auto& segments = aPair.second.mRequest.mSegments;
    return std::ranges::find_first_of(segments, aSegments) != segments.end();
  });
}

std::vector<upstream_id> unanswered_requests::ServersOfSuspects(
  const crash_history& aHistory,
  const content_id& aExcept,
  time_point aNow) const
{
  std::vector<upstream_id> servers;
  for (const auto& [ticket, request] : mRequests) {
    const content_id& content = request.mRequest.mContent;
    if (!request.mAbandonedAt && content != aExcept &&
        aHistory.CrashCount(content, aNow) > 0) {
      servers.push_back(request.mServer.mUpstream);
    }
  }
  return servers;
}

std::vector<observed_crash> unanswered_requests::TakeSilent(
  const upstream_registry& aServers,
  time_point aStoreContact,
  time_point aNow)
{
  const bool storeLost = aNow >= aStoreContact + kStoreContactTimeout;
  std::vector<observed_crash> silent;
  for (auto next = mRequests.begin(); next != mRequests.end();) {
    open_request& request = next->second;
    const auto signs = aServers.SignsOfLife(request.mServer.mUpstream);
    const state found = request.mReported
                          ? state::Settled
                          : StateOf(request, signs, storeLost, aNow);
    if (found == state::Silent) {
      silent.push_back({ request.mRequest,
                         request.mServer,
                         LastByteOf(request, *signs),
                         EndOf(request, *signs) });
      request.mReported = true;
    }
    const bool drop = request.mAbandonedAt && found != state::Undecided;
    next = drop ? mRequests.erase(next) : std::next(next);
  }
  return silent;
}

time_point unanswered_requests::LastByteOf(const open_request& aRequest,
                                           const signs_of_life& aSigns)
{
  return std::max(EndOf(aRequest, aSigns), aRequest.mSentAt);
}

time_point unanswered_requests::EndOf(const open_request& aRequest,
                                      const signs_of_life& aSigns)
{
  const bool sameRun = aSigns.mIncarnation == aRequest.mServer.mIncarnation;
  return sameRun && aSigns.mLastByte != time_point() ? aSigns.mLastByte
                                                     : aRequest.mSentAt;
}

unanswered_requests::state unanswered_requests::StateOf(
  const open_request& aRequest,
  const std::optional<signs_of_life>& aSigns,
  bool aStoreLost,
  time_point aNow)
{
  if (!aSigns) {
    return state::Settled;
  }
  if (aSigns->mIncarnation > aRequest.mServer.mIncarnation) {
    return state::Silent;
  }
  // Cancelled requests end at once, so only a server that ended before the node
  // stopped to wait can have ended under the request.
  if (aRequest.mAbandonedAt &&
      (aSigns->mLastByte > *aRequest.mAbandonedAt ||
       aSigns->mEntryReadAt > *aRequest.mAbandonedAt + kMaxEntryAge)) {
    return state::Settled;
  }
  const time_point lastByte = LastByteOf(aRequest, *aSigns);
  const bool isSilent = aStoreLost
                          ? aNow >= lastByte + kLongSilenceTimeout
                          : aNow >= lastByte + kSilenceTimeout &&
                              aNow >= aSigns->mEntryReadAt + kEntryTimeout;
  return isSilent ? state::Silent : state::Undecided;
}
