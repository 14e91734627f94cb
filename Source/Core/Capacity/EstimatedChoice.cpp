#include "Capacity/EstimatedChoice.h"

#include <tuple>
#include <utility>

namespace {

// One of this many requests may go to a server that is too slow even when idle,
// to notice when it recovers.
constexpr std::uint64_t kProbeInterval = 16;
// Requests at a server that is too slow even when idle, if no other server has
// room. They would be refused otherwise, and show when it has recovered.
constexpr double kOverflowProbes = 4.0;
// Part of a request that must fit below the limit.
constexpr double kMinRoom = 0.25;
// Factor of the limit for the known requests. The ends of requests at other
// nodes are known up to a few hundred ms late, so a server that seems full
// often has room.
constexpr double kLateEnds = 1.1;
// Gap assumed for servers without one, in ms. Only ratios matter.
constexpr double kUnknownGapMs = 30.0;
// Use of a server's limit that weighs as much as this expected time, in ms.
constexpr double kFullUseMs = 400.0;
constexpr double kRandomSteps = 4294967296.0;

/// Weight of an option if a server that is too slow may have `aProbes`
/// requests.
double Weight(const estimated_option& aOption, double aProbes)
{
  const double limit =
    aOption.mProbeOnly ? aProbes : kLateEnds * aOption.mLimit;
  const double room = limit - aOption.mRequests;
  if (room <= kMinRoom) {
    return 0.0;
  }
  return room / (aOption.mIdleGapMs > 0.0 ? aOption.mIdleGapMs : kUnknownGapMs);
}

/// Weights of all options, and their sum.
std::pair<std::vector<double>, double> Weights(
  const std::vector<estimated_option>& aOptions,
  double aProbes)
{
  std::pair<std::vector<double>, double> weights;
  weights.first.reserve(aOptions.size());
  for (const estimated_option& option : aOptions) {
    weights.first.push_back(Weight(option, aProbes));
    weights.second += weights.first.back();
  }
  return weights;
}

/// Index drawn by weight with a number from 0 to 1; the last one with weight if
/// rounding goes beyond it.
std::size_t Draw(const std::vector<double>& aWeights,
                 double aTotal,
                 double aPoint)
{
  double left = aPoint * aTotal;
  std::size_t drawn = 0;
  for (std::size_t i = 0; i < aWeights.size(); ++i) {
    if (aWeights[i] <= 0.0) {
      continue;
    }
    drawn = i;
    left -= aWeights[i];
    if (left < 0.0) {
      break;
    }
  }
  return drawn;
}

double Cost(const estimated_option& aOption)
{
  return aOption.mCostMs +
         kFullUseMs * (aOption.mRequests + 1.0) / aOption.mLimit;
}

} // namespace

std::optional<std::size_t> ChooseByEstimates(
  const std::vector<estimated_option>& aOptions,
  std::uint64_t aRandom)
{
  const auto low = static_cast<double>(aRandom & 0xFFFFFFFFU) / kRandomSteps;
  const auto high = static_cast<double>(aRandom >> 32U) / kRandomSteps;
  const bool probes = aRandom % kProbeInterval == 0;
  auto [weights, total] = Weights(aOptions, probes ? 1.0 : 0.0);
  if (total <= 0.0) {
    std::tie(weights, total) = Weights(aOptions, kOverflowProbes);
  }
  if (total <= 0.0) {
    return std::nullopt;
  }
  const std::size_t first = Draw(weights, total, low);
  total -= weights[first];
  weights[first] = 0.0;
  if (total <= 0.0) {
    return first;
  }
  const std::size_t second = Draw(weights, total, high);
  if (weights[second] <= 0.0) {
    return first;
  }
  return Cost(aOptions[second]) < Cost(aOptions[first]) ? second : first;
}
