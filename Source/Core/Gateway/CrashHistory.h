#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "Common/Identity.h"
#include "Common/Time.h"

/// Requests that are suspected of crashing servers, identified by a fingerprint
/// of account, target and body. Every node adds the crashes that it and its
/// peers report. A request that broke the connections of several server runs is
/// no longer sent.
class crash_history
{
public:
  /// Records that a server closed the connection while it ran the request.
  /// `aServerRun` identifies one run of one server. Returns false if this crash
  /// was known or the table is full.
  bool Add(const std::string& aFingerprint,
           const std::string& aServerRun,
           time_point aNow);
  bool Blocked(const std::string& aFingerprint, time_point aNow) const;
  /// Number of server runs that the request broke.
  std::size_t CrashCount(const std::string& aFingerprint,
                         time_point aNow) const;
  void Expire(time_point aNow);

private:
  struct crash_record
  {
    std::set<std::string> mServerRuns;
    time_point mForgetAt;
  };
  std::unordered_map<std::string, crash_record> mRecords;
};
