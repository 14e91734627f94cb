#include "Gateway/LoadNotices.h"

#include <algorithm>
#include <chrono>

namespace {

using std::chrono::milliseconds;

// Time over which started requests and other changes are merged.
constexpr milliseconds kStartDelay(20);
constexpr milliseconds kOtherDelay(200);
// Interval of notices of nodes without changes, so that peers know that their
// numbers hold. It is shorter than `fleet_view` believes a notice.
constexpr milliseconds kIdleInterval(1000);
// Limit of the datagrams of a node in a second.
constexpr double kMaxPerSecond = 400.0;
// Part of the allowance that is kept for started requests.
constexpr double kStartReserve = 0.4 * kMaxPerSecond;
constexpr std::size_t kMaxPeers = 149;

} // namespace

bool load_sender::MaySend(std::size_t aPeers, bool aUrgent, time_point aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - mAllowanceAt).count();
  mAllowanceAt = aNow;
  mAllowance = std::min(mAllowance + seconds * kMaxPerSecond, kMaxPerSecond);
  const auto cost = static_cast<double>(aPeers);
  if (mAllowance < cost + (aUrgent ? 0.0 : kStartReserve)) {
    return false;
  }
  mAllowance -= cost;
  return true;
}

std::optional<load_notice> load_sender::Update(
  const std::vector<std::pair<std::uint32_t, upstream_work>>& aWork,
  std::size_t aPeers,
  time_point aNow)
{
  for (auto& [key, load] : mServers) {
    load.mCurrent = {};
  }
  for (const auto& [key, work] : aWork) {
    mServers[key].mCurrent = work;
  }
  bool due = aNow >= mNextIdleAt;
  bool urgent = false;
  for (auto& [key, load] : mServers) {
    if (load.mCurrent == load.mSent) {
      load.mDueAt.reset();
      continue;
    }
    const bool started = load.mCurrent.mRequests > load.mSent.mRequests;
    const time_point dueAt = aNow + (started ? kStartDelay : kOtherDelay);
    load.mDueAt = std::min(load.mDueAt.value_or(dueAt), dueAt);
    due = due || *load.mDueAt <= aNow;
    urgent = urgent || (started && *load.mDueAt <= aNow);
  }
  if (!due || aPeers == 0 || aPeers > kMaxPeers ||
      !MaySend(aPeers, urgent, aNow)) {
    return std::nullopt;
  }
  load_notice notice;
  notice.mSequence = ++mSequence;
  for (auto& [key, load] : mServers) {
    if (load.mDueAt && notice.mWork.size() < kMaxServers) {
      notice.mWork.emplace_back(key, load.mCurrent);
      load.mSent = load.mCurrent;
      load.mDueAt.reset();
    }
  }
  std::erase_if(mServers, [](const auto& aPair) {
    return aPair.second.mSent == upstream_work() &&
           aPair.second.mCurrent == upstream_work();
  });
  mNextIdleAt = aNow + kIdleInterval;
  return notice;
}
