#include "Gateway/StoreContact.h"

#include <algorithm>

using std::chrono::milliseconds;

store_contact store_contact_record::State(
  bool aIsLost,
  const std::optional<milliseconds>& aClock)
{
  if (!aClock) {
    return {};
  }
  const bool wasLost = !mLatest.IsStated() || mLatest.IsLost();
  mLatest.mStatedAt = std::max(*aClock, mLatest.mStatedAt + milliseconds(1));
  if (aIsLost) {
    mLatest.mSince = milliseconds(0);
  } else if (wasLost) {
    mLatest.mSince = mLatest.mStatedAt;
  }
  return mLatest;
}
