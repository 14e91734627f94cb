#include "Gateway/StateFreshness.h"

#include <algorithm>

namespace {

using std::chrono::milliseconds;

// A peer whose copy is not older than this is served by the store: nodes read
// each table at least every 1,020 ms. Peers lose a store that goes away for all
// at about the same time, so their older copies prove nothing.
constexpr milliseconds kPeerCopyTime(1100);
// Time after an overload of the link for which missing replies of the store and
// missing reports of peers are attributed to the link.
constexpr milliseconds kOverloadTime(3000);
// Share of the bounds up to which state is recent. The rest is for the way of a
// request.
constexpr double kMaxStateAgeShare = 0.7;
// Share of the bounds within which requests must have left the host.
constexpr double kMaxSendShare = 0.9;
// Time in which a node reads a row that the store accepts when it comes back:
// an unanswered call ends after 1,800 ms, and the next begins 400 ms later.
constexpr milliseconds kRowReadTime(2400);

milliseconds Share(milliseconds aTime, double aShare)
{
  return std::chrono::duration_cast<milliseconds>(aTime * aShare);
}

state_verdict JudgeTable(const table_age& aAge,
                         std::optional<time_point> aLinkOverloadedAt,
                         milliseconds aMaxAge,
                         time_point aNow)
{
  if (aNow <= aAge.mCurrentAt + aMaxAge) {
    return state_verdict::Current;
  }
  bool newerExists = false;
  if (aAge.mPeerCurrentAt) {
    newerExists = aNow <= *aAge.mPeerCurrentAt + kPeerCopyTime;
  } else if (aLinkOverloadedAt) {
    newerExists = aNow <= *aLinkOverloadedAt + kOverloadTime;
  }
  return newerExists ? state_verdict::Outdated : state_verdict::StoreAway;
}

} // namespace

std::string_view StateVerdictName(state_verdict aVerdict)
{
  switch (aVerdict) {
    case state_verdict::Current:
      return "current";
    case state_verdict::StoreAway:
      return "store_away";
    case state_verdict::Outdated:
      return "outdated";
  }
  return "unknown";
}

milliseconds MaxStateAge(const state_bounds& aBounds)
{
  const milliseconds shortest =
    std::min({ aBounds.mLeave,
               aBounds.mConfig,
               aBounds.mEvacuation.value_or(milliseconds::max()) });
  return Share(shortest, kMaxStateAgeShare);
}

time_point LatestLeavesAt(const state_bounds& aBounds,
                          state_verdict aVerdict,
                          time_point aConfigCurrentAt,
                          time_point aServersCurrentAt,
                          time_point aNow)
{
  // While the store is away, nothing can be known to have left, and no
  // evacuation is acknowledged.
  const bool storeAway = aVerdict == state_verdict::StoreAway;
  const time_point latest = (storeAway ? aNow : aServersCurrentAt) +
                            Share(aBounds.mLeave, kMaxSendShare);
  if (!aBounds.mEvacuation) {
    return latest;
  }
  return std::min(latest,
                  (storeAway ? aNow - kRowReadTime : aConfigCurrentAt) +
                    Share(*aBounds.mEvacuation, kMaxSendShare));
}

state_verdict JudgeState(const state_evidence& aEvidence,
                         milliseconds aMaxAge,
                         time_point aNow)
{
  // The verdicts are in ascending order of severity.
  return std::max(
    JudgeTable(aEvidence.mConfig, aEvidence.mLinkOverloadedAt, aMaxAge, aNow),
    JudgeTable(aEvidence.mServers, aEvidence.mLinkOverloadedAt, aMaxAge, aNow));
}
