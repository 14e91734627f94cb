#pragma once

#include "Common/Time.h"
#include "Gateway/GatewayMetrics.h"
#include "Remote/RowStore.h"

/// Counts entries that name no server to use and limits the log lines about
/// them: another writer may leave thousands.
class unusable_entries
{
public:
  explicit unusable_entries(gateway_metrics& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  void OnEntry(const stored_row& aRow, time_point aNow);
  /// Logs the number of entries that had no line of their own.
  void OnTick(time_point aNow);

private:
  gateway_metrics& mMetrics;
  time_point mPeriodEnd;
  unsigned mLines = 0;
  std::size_t mNotLogged = 0;
  std::size_t mCount = 0;
};
