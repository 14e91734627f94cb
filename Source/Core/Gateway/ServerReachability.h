#pragma once

#include <cstddef>
#include <map>

#include "Common/Time.h"
#include "Gateway/GatewayTypes.h"

/// Detects that the host has lost its links to all servers.
///
/// One failing server is suspected by itself. If several servers fail and no
/// byte of any server arrives meanwhile, the fault is with the host, and no
/// other choice of a server helps.
class server_reachability
{
public:
  /// A byte of a server arrived.
  void OnByte(time_point aNow);
  /// A connection to the server was refused, or broke without a response.
  void OnFailure(const upstream_id& aServer, time_point aNow);
  /// The server does not accept a connection in time, or is slow to respond.
  void OnSilence(const upstream_id& aServer, time_point aNow);
  /// Judges the failures so far. `aServers` is the number of known servers.
  void Update(std::size_t aServers, time_point aNow);

  bool IsCutOff() const { return mCutOff; }
  /// Number of servers that failed since the last byte of any server.
  std::size_t FailedServers() const { return mFailures.size(); }
  time_point LastByteAt() const { return mLastByteAt; }
  /// When the host was last cut off; what was sent before proves nothing about
  /// servers.
  time_point LastCutOffAt() const { return mLastCutOffAt; }

private:
  struct failure
  {
    time_point mAt;
    /// Whether a connection was refused or broke.
    bool mBroken = false;
  };

  void Record(const upstream_id& aServer, failure aFailure);

  /// Last failure of each server since the last byte of any server.
  std::map<upstream_id, failure> mFailures;
  time_point mLastByteAt;
  time_point mLastCutOffAt;
  bool mCutOff = false;
};
