#pragma once

#include <algorithm>

#include "Dispatch/DispatchSettings.h"

/// Limits retries to a share of the started requests, so that failures do not
/// multiply the load.
class retry_budget
{
public:
  void OnStarted(const dispatch_settings& aSettings)
  {
    mAvailable =
      std::min(mAvailable + aSettings.mRetryRatio, aSettings.mMaxRetryBudget);
  }

  /// Takes one retry from the budget; false when it is empty.
  bool TryTake()
  {
    if (mAvailable < 1.0) {
      return false;
    }
    mAvailable -= 1.0;
    return true;
  }

  /// Fills the budget to its maximum, so that a new node may retry at once.
  void Fill(const dispatch_settings& aSettings)
  {
    mAvailable = aSettings.mMaxRetryBudget;
  }

private:
  double mAvailable = 0.0;
};
