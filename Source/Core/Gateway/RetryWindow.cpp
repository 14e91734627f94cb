#include "Gateway/RetryWindow.h"

namespace {

// Share of the limit that a node uses. The count of the fleet and the sum of
// the nodes' counts differ by requests in flight and by nodes that join.
constexpr double kUsableShare = 0.7;

void DropBefore(std::deque<time_point>& aTimes, time_point aBegin)
{
  while (!aTimes.empty() && aTimes.front() < aBegin) {
    aTimes.pop_front();
  }
}

} // namespace

void retry_window::Expire(service_window& aWindow, time_point aNow) const
{
  DropBefore(aWindow.mRequests, aNow - mLimits.mWindow);
  DropBefore(aWindow.mRetryTimes, aNow - mLimits.mWindow);
}

void retry_window::OnRequest(const std::string& aService, time_point aNow)
{
  service_window& window = mServices[aService];
  window.mRequests.push_back(aNow);
  Expire(window, aNow);
}

bool retry_window::TryAcquire(const std::string& aService,
                              std::size_t aNodes,
                              time_point aNow)
{
  service_window& window = mServices[aService];
  Expire(window, aNow);
  const double nodes = aNodes == 0 ? 1.0 : static_cast<double>(aNodes);
  const double limit =
    kUsableShare *
    (mLimits.mRatio * static_cast<double>(window.mRequests.size()) +
     mLimits.mAllowance / nodes);
  if (static_cast<double>(window.mRetryTimes.size()) + 1.0 > limit) {
    return false;
  }
  window.mRetryTimes.push_back(aNow);
  return true;
}
