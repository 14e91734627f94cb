#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Model of nodes that place streams at servers of uneven speed and knee, to
/// measure how many streams are in time. Nodes learn of each other's requests
/// by reports, which are delayed and go to a part of the nodes.

struct model_server
{
  /// Factor to the speed that `placement_settings` assumes.
  double mSpeed = 1.0;
  /// Requests from which the times of all its streams rise.
  double mKnee = 16.0;
  auto operator<=>(const model_server&) const = default;
};

/// What holds from a moment on until the next phase.
struct model_phase
{
  /// Since the start of the model.
  std::chrono::milliseconds mFrom{ 0 };
  /// Offered streams a second.
  double mPerSecond = 0.0;
  std::vector<model_server> mServers;
};

struct model_settings
{
  std::size_t mNodes = 6;
  std::vector<model_phase> mPhases;
  std::chrono::milliseconds mEnd{ 0 };
  std::uint64_t mSeed = 1;
  /// Setting `learn_server_capacity`.
  bool mLearn = false;
};

/// Streams that arrived in a window of time.
struct model_outcome
{
  std::size_t mOffered = 0;
  /// The first event came within the objective, and no gap between events
  /// exceeded the gap objective.
  std::size_t mInTime = 0;
  std::size_t mRefused = 0;

  model_outcome& operator+=(const model_outcome& aOther);
  double InTimeShare() const;
  double RefusedShare() const;
  bool operator==(const model_outcome&) const = default;
};

struct model_window
{
  std::chrono::milliseconds mFrom{ 0 };
  std::chrono::milliseconds mTo{ 0 };
};

/// Servers with speeds of 0.6, 1.0 and 1.6 and knees of 4 and 8.
std::vector<model_server> UnevenServers(std::size_t aCount,
                                        std::uint64_t aSeed);

/// Streams a second that servers with these knees carry.
double KneeCapacity(const std::vector<model_server>& aServers);

/// Runs the model; one outcome for each window, by the time of arrival.
std::vector<model_outcome> RunModel(const model_settings& aSettings,
                                    const std::vector<model_window>& aWindows);
