#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/EventLoop.h"
#include "Demo/EmbeddedFleet.h"
#include "Load/LoadReport.h"

struct demo_options
{
  std::uint32_t mNodes = 3;
  std::uint32_t mEngines = 4;
  std::chrono::milliseconds mDuration{ 5000 };
  /// Requests a second of all accounts together.
  double mRate = 60;
  std::uint64_t mSeed = 1;
};

/// One prepaid budget after the load.
struct demo_budget_line
{
  std::string mBudget;
  std::int64_t mPrepaid = 0;
  /// As the responses reported it to the callers.
  std::int64_t mReported = 0;
  /// As the budget row has it.
  std::int64_t mSpent = 0;
  bool mReconciled = false;
  auto operator<=>(const demo_budget_line&) const = default;

  /// Every reported token was charged once, and nothing beyond the prepaid
  /// total.
  bool Holds() const
  {
    return mReconciled && mSpent == mReported && mSpent <= mPrepaid;
  }
};

struct demo_summary
{
  load_run_report mLoad;
  std::vector<demo_budget_line> mBudgets;
  bool mStopped = false;
  std::string mError;

  bool Holds() const;
};

/// Sends a short load to a fleet, stops its nodes and compares what callers
/// were told with what was charged.
demo_summary RunDemoLoad(embedded_fleet& aFleet,
                         event_loop& aLoop,
                         const demo_options& aOptions);

/// Options of a fleet for the demo.
embedded_fleet_options DemoFleetOptions(const demo_options& aOptions);

/// Closing summary for people.
std::string FormatDemoSummary(const demo_summary& aSummary);
