#include "Dispatch/RankCredit.h"

#include <algorithm>

std::optional<work_rank> rank_credit::Due(const waiting_ranks& aWaiting) const
{
  std::optional<work_rank> due;
  double most = 0.0;
  for (std::size_t rank = 1; rank < kWorkRanks; ++rank) {
    if (aWaiting[rank] && mCredit[rank] > most) {
      most = mCredit[rank];
      due = static_cast<work_rank>(rank);
    }
  }
  return due;
}

void rank_credit::OnStarted(work_rank aRank,
                            double aTokens,
                            bool aFromFloor,
                            const waiting_ranks& aWaiting,
                            const dispatch_settings& aSettings)
{
  for (std::size_t rank = 1; rank < kWorkRanks; ++rank) {
    if (aWaiting[rank]) {
      mCredit[rank] += aSettings.mRanks[rank].mFloorShare * aTokens;
    }
  }
  if (aFromFloor) {
    mCredit[static_cast<std::size_t>(aRank)] -= aTokens;
  }
}

void rank_credit::DropIdle(const waiting_ranks& aWaiting)
{
  for (std::size_t rank = 0; rank < kWorkRanks; ++rank) {
    if (!aWaiting[rank]) {
      mCredit[rank] = std::min(mCredit[rank], 0.0);
    }
  }
}
