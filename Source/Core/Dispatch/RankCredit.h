#pragma once

#include <array>
#include <optional>

#include "Dispatch/DispatchSettings.h"

/// Enforces the floors (guaranteed minimum shares) of the lower ranks. Every
/// started token earns each rank its floor share in credit, up to a maximum. A
/// waiting rank with credit is served before higher ranks. Credit also accrues
/// while no request of the rank waits; otherwise a rank whose short queue is
/// sometimes empty would stay below its floor.
class rank_credit
{
public:
  /// Whether requests wait, by rank.
  using waiting_ranks = std::array<bool, kWorkRankCount>;

  /// The waiting rank with the most credit, or nothing when none has credit.
  std::optional<work_rank> MostCredited(const waiting_ranks& aWaiting) const;

  /// Adds the credit earned by a started request and charges its rank. A rank
  /// served beyond its floor goes into debt by the cost of one request at most.
  void OnStarted(work_rank aRank,
                 double aTokens,
                 const dispatch_settings& aSettings);

private:
  std::array<double, kWorkRankCount> mCredit{};
};
