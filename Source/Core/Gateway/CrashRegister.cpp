#include "Gateway/CrashRegister.h"

namespace {

// Number of different server runs broken by a request from which on it is
// refused. Two may be chance, because a client repeats at most once after
// servers failed.
constexpr std::size_t kMostCrashes = 3;
// Entries are dropped after this time; clients repeat such a request within
// seconds.
constexpr std::chrono::seconds kMemory(120);
// Limit of the table size; broken connections come in bursts of hundreds.
constexpr std::size_t kMostSuspects = 20000;

} // namespace

bool crash_register::Add(const std::string& aFingerprint,
                         const std::string& aServerRun,
                         time_point aNow)
{
  if (mSuspects.size() >= kMostSuspects) {
    Expire(aNow);
    if (mSuspects.size() >= kMostSuspects) {
      return false;
    }
  }
  suspect& entry = mSuspects[aFingerprint];
  entry.mForgetAt = aNow + kMemory;
  return entry.mServerRuns.insert(aServerRun).second;
}

bool crash_register::Blocked(const std::string& aFingerprint,
                             time_point aNow) const
{
  const auto found = mSuspects.find(aFingerprint);
  return found != mSuspects.end() && aNow < found->second.mForgetAt &&
         found->second.mServerRuns.size() >= kMostCrashes;
}

void crash_register::Expire(time_point aNow)
{
  std::erase_if(mSuspects, [aNow](const auto& aPair) {
    return aPair.second.mForgetAt <= aNow;
  });
}
