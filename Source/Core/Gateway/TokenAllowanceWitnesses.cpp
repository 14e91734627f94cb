// Parts of `token_allowance` that stop the limits of claims without a quorum of
// witnesses, and prove that the limits of an earlier run had stopped.
//
// A run lets the limits of a claim rise on only by statements that were made
// after the start of the claim, and the statements of a node tell until when it
// made no other. So if enough witnesses state, after the end of the run, that
// they were in contact since before the claim, there was no quorum.

#include "Gateway/TokenAllowance.h"

#include <algorithm>

#include "Common/Hash.h"

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kWitnesses = 5;
// Age at which the limits of a small fleet stop rising without a quorum. A
// claim follows within 300 ms while the store replies.
constexpr milliseconds kRisesAloneTime(400);

} // namespace

claim_terms token_allowance::NextTerms() const
{
  claim_terms terms;
  terms.mTimeToLive = mSettings.mClaimTimeToLive;
  if (!IsSmallFleet()) {
    return terms;
  }
  terms.mKeepsRising = true;
  terms.mRisesAloneFor = kRisesAloneTime;
  for (const auto& [run, contact] : mPeerContacts) {
    terms.mWitnesses.push_back(run);
  }
  if (terms.mWitnesses.size() > kWitnesses) {
    std::ranges::sort(terms.mWitnesses, {}, [this](std::uint64_t aRun) {
      return StableHash(mRun, aRun);
    });
    terms.mWitnesses.resize(kWitnesses);
  }
  return terms;
}

bool token_allowance::HasQuorum(const active_claim& aClaim) const
{
  const auto lost =
    std::ranges::count_if(aClaim.mTerms.mWitnesses, [&](std::uint64_t aRun) {
      const auto found = mPeerContacts.find(aRun);
      return found != mPeerContacts.end() && found->second.IsLost() &&
             found->second.mStatedAt >= aClaim.mStartsAt;
    });
  return static_cast<std::size_t>(lost) >= aClaim.mTerms.Quorum();
}

milliseconds token_allowance::LimitAge(const active_claim& aClaim,
                                       time_point aNow) const
{
  // A run that takes over sees an age that is not lower, because the start in
  // the row is not later than this one.
  const auto age =
    std::chrono::duration_cast<milliseconds>(aNow - aClaim.mStartedAt);
  return age <= aClaim.mTerms.mRisesAloneFor
           ? age
           : aClaim.mTerms.EffectiveAge(age, HasQuorum(aClaim));
}

std::size_t token_allowance::CountProofs(const claim_row& aRow,
                                         milliseconds aEnd) const
{
  const auto proofs =
    std::ranges::count_if(aRow.mTerms.mWitnesses, [&](std::uint64_t aRun) {
      const auto found = mPeerContacts.find(aRun);
      return found != mPeerContacts.end() && !found->second.IsLost() &&
             found->second.mSince <= aRow.mStartsAt &&
             found->second.mStatedAt >= aEnd;
    });
  return static_cast<std::size_t>(proofs);
}

bool token_allowance::NeedsContacts(time_point aNow) const
{
  return !IsLargeFleet() && (!mClaimConfirmed || IsStoreLost(aNow));
}
