#pragma once

#include <array>
#include <optional>

#include "Dispatch/DispatchSettings.h"

/// Floors of the lower ranks. Every started token earns each rank its floor
/// share of credit, up to a bound; a waiting rank with credit is due before the
/// ranks above it. Credit is also earned while nothing waits: a rank whose
/// short queue is empty now and then would otherwise stay below its floor.
class rank_credit
{
public:
  /// Ranks that have requests waiting.
  using waiting_ranks = std::array<bool, kWorkRanks>;

  /// The waiting rank that is owed most, nothing when none is.
  std::optional<work_rank> Due(const waiting_ranks& aWaiting) const;

  /// Accounts for a started request. Service beyond the floor is not held
  /// against a rank for longer than one request.
  void OnStarted(work_rank aRank,
                 double aTokens,
                 const dispatch_settings& aSettings);

private:
  std::array<double, kWorkRanks> mCredit{};
};
