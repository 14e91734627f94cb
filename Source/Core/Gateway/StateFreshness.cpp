#include "Gateway/StateFreshness.h"

namespace {

using std::chrono::milliseconds;

// A peer whose contact is not older than this is served by the store: nodes
// read server entries every 400 ms. Peers lose a store that goes away for all
// at about the same time, so their older contacts prove nothing.
constexpr milliseconds kPeerContactTime(700);
// Time after an overload of the link for which missing replies of the store and
// missing reports of peers are attributed to the link.
constexpr milliseconds kOverloadTime(3000);

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
  if (aNow <= aEvidence.mCurrentAt + aMaxAge) {
    return state_verdict::Current;
  }
  bool newerExists = false;
  if (aEvidence.mPeerContactAt) {
    newerExists = aNow <= *aEvidence.mPeerContactAt + kPeerContactTime;
  } else if (aEvidence.mLinkOverloadedAt) {
    newerExists = aNow <= *aEvidence.mLinkOverloadedAt + kOverloadTime;
  }
  return newerExists ? state_verdict::Outdated : state_verdict::StoreAway;
}
