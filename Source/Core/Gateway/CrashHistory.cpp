#include "Gateway/CrashHistory.h"

namespace {

// Number of different server runs broken by a request from which on it is
// refused. Two may be chance, because a client repeats at most once after
// servers failed.
constexpr std::size_t kMaxCrashes = 3;
// Entries are dropped after this time; clients repeat such a request within
// seconds.
constexpr std::chrono::seconds kRecordTimeToLive(120);
// Limit of the table size; broken connections come in bursts of hundreds.
constexpr std::size_t kMaxCrashRecords = 20000;

} // namespace

bool crash_history::Add(const std::string& aFingerprint,
                        const std::string& aServerRun,
                        time_point aNow)
{
  if (mRecords.size() >= kMaxCrashRecords) {
    Expire(aNow);
    if (mRecords.size() >= kMaxCrashRecords) {
      return false;
    }
  }
  crash_record& entry = mRecords[aFingerprint];
  entry.mForgetAt = aNow + kRecordTimeToLive;
  return entry.mServerRuns.insert(aServerRun).second;
}

bool crash_history::Blocked(const std::string& aFingerprint,
                            time_point aNow) const
{
  return CrashCount(aFingerprint, aNow) >= kMaxCrashes;
}

std::size_t crash_history::CrashCount(const std::string& aFingerprint,
                                      time_point aNow) const
{
  const auto found = mRecords.find(aFingerprint);
  return found != mRecords.end() && aNow < found->second.mForgetAt
           ? found->second.mServerRuns.size()
           : 0;
}

void crash_history::Expire(time_point aNow)
{
  std::erase_if(mRecords, [aNow](const auto& aPair) {
    return aPair.second.mForgetAt <= aNow;
  });
}
