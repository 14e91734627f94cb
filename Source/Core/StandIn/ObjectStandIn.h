#pragma once

#include <map>
#include <string>

#include "Common/Time.h"
#include "StandIn/StandInServer.h"

struct object_stand_in_options
{
  /// Zero means no limit.
  double mCallsPerSecond = 0;
};

/// Object store with faults; `Platform/HttpObjectStore.h` describes the
/// protocol.
class object_stand_in
{
public:
  explicit object_stand_in(object_stand_in_options aOptions = {});

  stand_in_server& Server() { return mServer; }
  std::map<std::string, std::string>& Objects() { return mObjects; }

private:
  stand_in_reply Handle(http_server_exchange& aExchange);

  system_time_source mTime;
  rate_limiter mCalls;
  std::map<std::string, std::string> mObjects;
  stand_in_server mServer;
};
