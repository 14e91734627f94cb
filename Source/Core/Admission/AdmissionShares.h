#pragma once

#include <cstdint>
#include <vector>

/// Demand of one account, or of several small ones, in one rank.
struct admission_demand
{
  /// 0 is the most urgent.
  int mRank = 0;
  /// Cost a second.
  double mCost = 0.0;
  /// Number of accounts, at least 1.
  double mAccounts = 1.0;
};

/// Divides a capacity (cost a second) among demands, and returns the cost a
/// second that is granted to each, in the order of `aDemands`. Each rank keeps
/// `aFloor` (cost a second) as far as it has demand; all floors together take
/// at most half of the capacity. The rest goes to the ranks in their order.
/// Inside a rank, accounts share by max-min fairness.
std::vector<double> DivideCapacity(
  const std::vector<admission_demand>& aDemands,
  double aCapacity,
  double aFloor);
