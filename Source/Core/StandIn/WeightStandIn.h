#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Common/Time.h"
#include "StandIn/StandInServer.h"

struct weight_stand_in_options
{
  /// Zero means no limit.
  double mTicketsPerSecond = 1;
  /// Models and the sizes of their weights in bytes.
  std::map<std::string, std::uint64_t> mModels{ { "small", 1U << 30U } };
};

/// Rate-limited weight store; `Platform/HttpWeightStore.h` describes the
/// protocol.
class weight_stand_in
{
public:
  explicit weight_stand_in(weight_stand_in_options aOptions = {});

  stand_in_server& Server() { return mServer; }
  /// Tickets granted, by model.
  const std::map<std::string, std::uint64_t>& Granted() const
  {
    return mGranted;
  }

private:
  stand_in_reply Handle(http_server_exchange& aExchange);

  weight_stand_in_options mOptions;
  system_time_source mTime;
  rate_limiter mTickets;
  std::map<std::string, std::uint64_t> mGranted;
  stand_in_server mServer;
};
