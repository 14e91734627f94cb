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

state_verdict JudgeState(const state_evidence& aEvidence,
                         milliseconds aMaxAge,
                         time_point aNow)
{
  // The verdicts are in ascending order of severity.
  return std::max(
    JudgeTable(aEvidence.mConfig, aEvidence.mLinkOverloadedAt, aMaxAge, aNow),
    JudgeTable(aEvidence.mServers, aEvidence.mLinkOverloadedAt, aMaxAge, aNow));
}
