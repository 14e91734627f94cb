#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "Common/Time.h"

/// Limit on retries to a service in a sliding time window. The limit holds for
/// all nodes together, so each takes its share of the fixed allowance.
struct retry_limits
{
  /// Retries allowed per request.
  double mRatio = 0.1;
  /// Retries of the whole fleet in one window that are allowed in addition to
  /// the ratio.
  double mAllowance = 0.0;
  std::chrono::milliseconds mWindow{ 10000 };
};

class retry_window
{
public:
  explicit retry_window(const retry_limits& aLimits)
    : mLimits(aLimits)
  {
  }

  void SetLimits(const retry_limits& aLimits) { mLimits = aLimits; }
  void OnRequest(const std::string& aService, time_point aNow);
  /// Counts one retry; returns false if the window allows none.
  bool TryAcquire(const std::string& aService,
                  std::size_t aNodes,
                  time_point aNow);

private:
  struct service_window
  {
    std::deque<time_point> mRequests;
    std::deque<time_point> mRetryTimes;
  };

  void Expire(service_window& aWindow, time_point aNow) const;

  retry_limits mLimits;
  std::unordered_map<std::string, service_window> mServices;
};
