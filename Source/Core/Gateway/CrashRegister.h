#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "Common/Identity.h"
#include "Common/Time.h"

/// Requests that may crash the servers that run them, told by a fingerprint of
/// caller, path and body. Every node adds what it saw; one that broke the
/// connection of several servers is no longer sent.
class crash_register
{
public:
  /// The connection of a server broke while it ran the request. False when this
  /// was known.
  bool Add(const std::string& aFingerprint,
           const std::string& aServerRun,
           time_point aNow);
  bool Blocked(const std::string& aFingerprint, time_point aNow) const;
  void Expire(time_point aNow);

private:
  struct suspect
  {
    std::set<std::string> mServerRuns;
    time_point mForgetAt;
  };
  std::unordered_map<std::string, suspect> mSuspects;
};
