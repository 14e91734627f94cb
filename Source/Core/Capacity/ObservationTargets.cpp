#include "Capacity/ObservationTargets.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

namespace {

// Peers of a fleet of 100 nodes; all of them get each notice.
constexpr std::size_t kMaxFullPeers = 99;
// Peers that get a notice in larger fleets. At 340 nodes and 600 bytes this is
// 38 KB/s, 3 % of a link of 10 Mbit/s.
constexpr std::size_t kSampledPeers = 64;

} // namespace

std::vector<std::string> ObservationTargets(
  const std::vector<std::string>& aPeers,
  const std::string& aSelf,
  std::uint64_t aRound)
{
  if (aPeers.size() <= kMaxFullPeers) {
    return aPeers;
  }
  std::vector<std::pair<std::uint64_t, std::string>> order;
  order.reserve(aPeers.size());
  for (const std::string& peer : aPeers) {
    order.emplace_back(StableHash(peer + aSelf, aRound), peer);
  }
  std::ranges::nth_element(order, order.begin() + kSampledPeers);
  std::vector<std::string> targets;
  for (std::size_t i = 0; i < kSampledPeers; ++i) {
    targets.push_back(std::move(order[i].second));
  }
  return targets;
}
