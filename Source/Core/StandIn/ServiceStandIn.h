#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "StandIn/StandInServer.h"

/// Plain backend service. `POST` to any path runs the call, every time that it
/// is received, and answers `{"run","path","body"}`; `GET` is a lookup without
/// effect. The header `Idempotency-Key` only serves to count runs. Faults as
/// for every stand-in: down, slow, reply lost after the call ran.
class service_stand_in
{
public:
  service_stand_in();

  stand_in_server& Server() { return mServer; }
  /// Runs of the calls with this key.
  std::uint32_t Runs(const std::string& aKey) const;
  const std::map<std::string, std::uint32_t>& AllRuns() const { return mRuns; }
  std::uint64_t Lookups() const { return mLookups; }

private:
  stand_in_reply Handle(http_server_exchange& aExchange);

  std::map<std::string, std::uint32_t> mRuns;
  std::uint64_t mTotal = 0;
  std::uint64_t mLookups = 0;
  stand_in_server mServer;
};
