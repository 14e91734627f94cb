#pragma once

#include <array>
#include <optional>

#include "Dispatch/DispatchSettings.h"

/// Floors of the lower ranks. Every started token earns each waiting rank its
/// floor share of credit; a rank with credit is due before the ranks above it.
class rank_credit
{
public:
  /// Ranks that have requests waiting.
  using waiting_ranks = std::array<bool, kWorkRanks>;

  /// The waiting rank that is owed most, nothing when none is.
  std::optional<work_rank> Due(const waiting_ranks& aWaiting) const;

  /// Accounts for a started request. `aFromFloor`: it started because its rank
  /// was due.
  void OnStarted(work_rank aRank,
                 double aTokens,
                 bool aFromFloor,
                 const waiting_ranks& aWaiting,
                 const dispatch_settings& aSettings);

  /// A rank without waiting requests keeps no credit, or it could later
  /// claim the whole capacity at once.
  void DropIdle(const waiting_ranks& aWaiting);

private:
  std::array<double, kWorkRanks> mCredit{};
};
