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
    mSaved =
      std::min(mSaved + aSettings.mRetryRatio, aSettings.mMaxSavedRetries);
  }

  /// Takes one retry from the budget; false when it is empty.
  bool Take()
  {
    if (mSaved < 1.0) {
      return false;
    }
    mSaved -= 1.0;
    return true;
  }

  /// Fills the budget to its maximum, so that a new node may retry at once.
  void Fill(const dispatch_settings& aSettings)
  {
    mSaved = aSettings.mMaxSavedRetries;
  }

private:
  double mSaved = 0.0;
};
