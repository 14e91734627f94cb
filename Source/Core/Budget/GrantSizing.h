#pragma once

#include <cstdint>

#include "Budget/BudgetTypes.h"

/// What the size of a grant depends on, in tokens.
struct grant_demand
{
  /// Grantable by the row, before this holder's change.
  std::int64_t mAvailable = 0;
  /// This holder's outstanding grant once its charges are written.
  std::int64_t mGrant = 0;
  /// Part of the grant that open requests need.
  std::int64_t mReserved = 0;
  /// Refused reservations that wait for a grant: their sum and the smallest.
  std::int64_t mWaiting = 0;
  std::int64_t mSmallestWaiting = 0;
  /// Largest recent reservation.
  std::int64_t mLargest = 0;
  /// Tokens used per second.
  double mRate = 0;
  /// The budget was used within the idle period.
  bool mInUse = false;
  /// Little of the budget is left.
  bool mScarce = false;
};

/// Whether little is left of a budget: less than a part of the total, or than a
/// few of the largest requests. What is left is the total less what is spent;
/// what is available would swing with every grant.
bool IsScarceBudget(std::int64_t aLeft,
                    std::int64_t aTotal,
                    std::int64_t aLargest);

/// Outstanding grant that the holder should have. Never below the reserved
/// part, never above what the row can give.
std::int64_t SizeGrant(const grant_demand& aDemand,
                       const budget_settings& aSettings);
