#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Nodes to which the observations of a round are sent: all peers in a fleet of
/// up to 100 nodes, otherwise a sample that changes with each round.
std::vector<std::string> ObservationTargets(
  const std::vector<std::string>& aPeers,
  const std::string& aSelf,
  std::uint64_t aRound);
