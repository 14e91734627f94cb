#include "Gateway/ServerReachability.h"

#include <algorithm>

namespace {

using std::chrono::milliseconds;

// Servers that must have failed. Two may end at the same moment.
constexpr std::size_t kMinFailedServers = 3;
constexpr std::size_t kMinFailedServersOfFew = 2;
// Sound servers may be silent for a second.
constexpr milliseconds kSilenceTime(1000);
// Failures that are older than this belong to another fault.
constexpr milliseconds kFailureTime(3000);
// Limit of the failures kept; more prove nothing further.
constexpr std::size_t kMaxFailures = 64;

} // namespace

void server_reachability::OnByte(time_point aNow)
{
  mLastByteAt = aNow;
  if (mCutOff) {
    mLastCutOffAt = aNow;
  }
  mFailures.clear();
  mCutOff = false;
}

void server_reachability::OnFailure(const upstream_id& aServer, time_point aNow)
{
  Record(aServer, { aNow, true });
}

void server_reachability::OnSilence(const upstream_id& aServer, time_point aNow)
{
  const auto found = mFailures.find(aServer);
  Record(aServer, { aNow, found != mFailures.end() && found->second.mBroken });
}

void server_reachability::Record(const upstream_id& aServer, failure aFailure)
{
  if (mFailures.size() < kMaxFailures || mFailures.contains(aServer)) {
    mFailures[aServer] = aFailure;
  }
}

void server_reachability::Update(std::size_t aServers, time_point aNow)
{
  if (mCutOff) {
    // A node that sends nothing to servers sees no failures. Only a byte of a
    // server proves that the links are back.
    return;
  }
  std::erase_if(mFailures, [aNow](const auto& aPair) {
    return aNow > aPair.second.mAt + kFailureTime;
  });
  const std::size_t enough =
    std::clamp(aServers, kMinFailedServersOfFew, kMinFailedServers);
  const auto broken = static_cast<std::size_t>(std::ranges::count_if(
    mFailures, [](const auto& aPair) { return aPair.second.mBroken; }));
  const bool quiet = aNow >= mLastByteAt + kSilenceTime;
  mCutOff = broken >= enough || (quiet && mFailures.size() >= enough);
}
