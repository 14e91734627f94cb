#pragma once

#include <cstdint>

#include "Budget/BudgetTypes.h"

/// Inputs of `ComputeGrant`, in tokens.
struct grant_demand
{
  /// Tokens of the row that no holder has been granted.
  std::int64_t mAvailable = 0;
  /// This holder's outstanding grant after its charges are written.
  std::int64_t mGrant = 0;
  /// Tokens of the grant that open requests and unwritten charges need.
  std::int64_t mReserved = 0;
  /// Sum and smallest of the refused reservations that wait for a grant.
  std::int64_t mWaiting = 0;
  std::int64_t mSmallestWaiting = 0;
  /// Largest recent reservation.
  std::int64_t mLargestRequest = 0;
  /// Tokens used per second.
  double mRate = 0;
  /// The budget was used within the idle time after which a grant is returned.
  bool mInUse = false;
  /// See `IsScarceBudget`.
  bool mScarce = false;
};

/// Returns whether a budget is scarce: less than 1/20 of the total or less than
/// 16 of the largest requests is unspent. `aUnspent` is the total minus the
/// spent tokens, because the available tokens change with every grant.
bool IsScarceBudget(std::int64_t aUnspent,
                    std::int64_t aTotal,
                    std::int64_t aLargest);

/// Returns the outstanding grant in tokens that the holder should have. It
/// covers the reserved tokens and is at most the holder's grant plus the
/// available tokens.
std::int64_t ComputeGrant(const grant_demand& aDemand,
                          const budget_settings& aSettings);
