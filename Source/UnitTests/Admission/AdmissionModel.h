#pragma once

#include <map>
#include <random>
#include <vector>

#include "Admission/AdmissionControl.h"

/// Requests of one account that arrive at random.
struct model_stream
{
  int mRank = 0;
  std::uint32_t mAccount = 0;
  /// Share of the capacity that it demands.
  double mShare = 0.0;
  std::chrono::milliseconds mFrom{ 0 };
  auto operator<=>(const model_stream&) const = default;
};

struct model_settings
{
  std::size_t mNodes = 1;
  /// Slots of all servers. A request of mean size holds one for a second.
  double mSlots = 60.0;
  std::vector<model_stream> mStreams;
  double mLostReports = 0.0;
  /// Differences of the clocks, either way.
  std::chrono::milliseconds mClockError{ 50 };
  /// When half of the slots begin to be lost, within a second.
  std::chrono::milliseconds mHalvesAt{ 1000000 };
  bool mHasClock = true;
  std::chrono::milliseconds mRunsFor{ 25000 };
  /// What happens before is not counted.
  std::chrono::milliseconds mCountsFrom{ 5000 };
};

struct model_count
{
  double mOffered = 0.0;
  double mServed = 0.0;
};

struct model_result
{
  /// Cost of the requests by rank and by account.
  std::map<int, model_count> mByRank;
  std::map<std::uint32_t, model_count> mByAccount;
  /// Requests that came back as told, and those of them that were served.
  double mCameBack = 0.0;
  double mCameBackServed = 0.0;
  /// Cost served, as a share of what the slots can serve.
  double mGoodput = 0.0;
  std::size_t mRefused = 0;
  std::size_t mShed = 0;
};

/// Nodes that admit requests to servers with a fixed number of slots. An
/// admitted request that finds no slot within 250 ms is refused. Clients come
/// back once, as told, at any node. Nodes exchange reports as the gateway does:
/// every 200 ms with at most 16 others.
model_result RunAdmissionModel(const model_settings& aSettings);
