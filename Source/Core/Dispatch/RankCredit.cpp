#include "Dispatch/RankCredit.h"

#include <algorithm>

std::optional<work_rank> rank_credit::MostCredited(
  const waiting_ranks& aWaiting) const
{
  std::optional<work_rank> mostCredited;
  double most = 0.0;
  for (std::size_t rank = 1; rank < kWorkRankCount; ++rank) {
    if (aWaiting[rank] && mCredit[rank] > most) {
      most = mCredit[rank];
      mostCredited = static_cast<work_rank>(rank);
    }
  }
  return mostCredited;
}

void rank_credit::OnStarted(work_rank aRank,
                            double aTokens,
                            const dispatch_settings& aSettings)
{
  for (std::size_t rank = 1; rank < kWorkRankCount; ++rank) {
    const double earned =
      aSettings.mFloorFactor * aSettings.mRanks[rank].mFloorShare * aTokens;
    mCredit[rank] = std::min(mCredit[rank] + earned, aSettings.mMaxFloorCredit);
  }
  double& credit = mCredit[static_cast<std::size_t>(aRank)];
  credit = std::max(credit - aTokens, -aTokens);
}
