#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "Dispatch/DispatchSettings.h"
#include "Replay/ReplayFleet.h"
#include "Replay/Trace.h"

/// Figures computed from what a replay observed.

/// Part of a trace, in milliseconds from its start.
struct trace_window
{
  std::int64_t mFromMs = 0;
  std::int64_t mToMs = 0;
  auto operator<=>(const trace_window&) const = default;
};

/// Service of one class in a window.
struct class_figures
{
  std::uint64_t mArrivals = 0;
  /// Requests that got their first token within the target and were completed,
  /// per arrival.
  double mWithinTarget = 0.0;
  /// Rejected requests per arrival.
  double mRejected = 0.0;
  /// Time to first token of the requests that got one, in milliseconds.
  double mMedianMs = 0.0;
  double mP99Ms = 0.0;
  /// Part of the served cost of all paid classes.
  double mTokenShare = 0.0;
  /// Served cost per second in the window, as a ratio of that before it.
  double mKept = 0.0;
  /// Output tokens of attempts that were not completed, per output token of the
  /// class.
  double mWasted = 0.0;
};

struct replay_figures
{
  std::array<class_figures, kServiceClassCount> mClasses;
  /// Engines crashed by the content that crashed most.
  std::uint32_t mMostCrashes = 0;
  /// Requests refused as quarantined although their content crashes nothing.
  std::uint32_t mInnocentsQuarantined = 0;
  std::uint32_t mStartsOnLeaving = 0;
  std::uint32_t mFalseNotRun = 0;
  std::uint32_t mDisplaced = 0;
};

std::string_view ServiceClassName(service_class aClass);
std::optional<service_class> ParseServiceClass(std::string_view aName);

/// Figures of the arrivals in a window.
replay_figures ComputeFigures(const trace& aTrace,
                              const replay_result& aResult,
                              const dispatch_settings& aSettings,
                              const trace_window& aWindow);

/// Share of an account's paid requests in the window that were served within
/// their targets.
double AccountService(const trace& aTrace,
                      const replay_result& aResult,
                      const dispatch_settings& aSettings,
                      const account_id& aAccount,
                      const trace_window& aWindow);

/// The trace with the arrivals of one account only.
trace OnlyAccount(const trace& aTrace, const account_id& aAccount);
