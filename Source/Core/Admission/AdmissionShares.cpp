#include "Admission/AdmissionShares.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace {

// Upper limit of all floors together, so that most capacity follows the ranks
// if there are many of them.
constexpr double kMaxFloorSum = 0.5;

struct rank_members
{
  std::vector<std::size_t> mMembers;
  double mDemand = 0.0;
  double mGranted = 0.0;
};

/// Raises the level that all accounts of a rank get until nothing is left.
void ShareInRank(const std::vector<admission_demand>& aDemands,
                 rank_members& aRank,
                 std::vector<double>& aGranted)
{
  std::ranges::sort(aRank.mMembers, {}, [&aDemands](std::size_t aIndex) {
    return aDemands[aIndex].mCost / aDemands[aIndex].mAccounts;
  });
  double accounts = 0.0;
  for (const std::size_t member : aRank.mMembers) {
    accounts += aDemands[member].mAccounts;
  }
  double left = aRank.mGranted;
  for (const std::size_t member : aRank.mMembers) {
    const admission_demand& demand = aDemands[member];
    aGranted[member] =
      std::min(demand.mCost, left * demand.mAccounts / accounts);
    left = std::max(left - aGranted[member], 0.0);
    accounts -= demand.mAccounts;
  }
}

} // namespace

std::vector<double> DivideCapacity(
  const std::vector<admission_demand>& aDemands,
  double aCapacity,
  double aFloor)
{
  std::map<int, rank_members> ranks;
  for (std::size_t i = 0; i < aDemands.size(); ++i) {
    rank_members& rank = ranks[aDemands[i].mRank];
    rank.mMembers.push_back(i);
    rank.mDemand += aDemands[i].mCost;
  }
  std::vector<double> granted(aDemands.size(), 0.0);
  if (ranks.empty()) {
    return granted;
  }
  const double floor = std::min(
    aFloor, kMaxFloorSum * aCapacity / static_cast<double>(ranks.size()));
  double left = aCapacity;
  for (auto& [priority, rank] : ranks) {
    rank.mGranted = std::min(rank.mDemand, floor);
    left -= rank.mGranted;
  }
  for (auto& [priority, rank] : ranks) {
    const double more =
      std::clamp(rank.mDemand - rank.mGranted, 0.0, std::max(left, 0.0));
    rank.mGranted += more;
    left -= more;
    ShareInRank(aDemands, rank, granted);
  }
  return granted;
}
