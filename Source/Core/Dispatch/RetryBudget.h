#pragma once

#include <algorithm>

#include "Dispatch/DispatchSettings.h"

/// Bounds retries to a share of the started requests, so that failures do not
/// multiply the load.
class retry_budget
{
public:
  void OnStarted(const dispatch_settings& aSettings)
  {
    mSaved =
      std::min(mSaved + aSettings.mRetryRatio, aSettings.mMaxSavedRetries);
  }

  /// Takes one retry; false when there is none left.
  bool Take()
  {
    if (mSaved < 1.0) {
      return false;
    }
    mSaved -= 1.0;
    return true;
  }

  /// A new node may retry at once.
  void Fill(const dispatch_settings& aSettings)
  {
    mSaved = aSettings.mMaxSavedRetries;
  }

private:
  double mSaved = 0.0;
};
