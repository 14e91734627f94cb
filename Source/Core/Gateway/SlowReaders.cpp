#include "Gateway/SlowReaders.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace {

using std::chrono::milliseconds;

// The client's host must have been heard of this long after the last byte was
// taken, or the network may be at fault. Kernels probe a closed window after
// 0.2, 0.6, 1.4 and 3 s.
constexpr milliseconds kMinHeardTime(1000);

} // namespace

bool slow_readers::DoesNotRead(const client_sample& aSample,
                               time_point aUnreadSince,
                               time_point aNow)
{
  return aSample.mWindowClosed && aNow >= aUnreadSince + kUnreadTime &&
         aSample.mHeardAt >= aUnreadSince + kMinHeardTime;
}

std::vector<client_to_end> slow_readers::Update(
  const std::vector<client_sample>& aSamples,
  std::size_t aExcess,
  time_point aNow)
{
  std::unordered_map<std::uintptr_t, progress> progresses;
  std::vector<client_to_end> ended;
  std::vector<client_to_end> unread;
  for (const client_sample& sample : aSamples) {
    const auto known = mProgress.find(sample.mConnection);
    const bool taken = known == mProgress.end() ||
                       known->second.mTakenBytes != sample.mTakenBytes ||
                       !sample.mWindowClosed;
    const time_point unreadSince = taken ? aNow : known->second.mUnreadSince;
    progresses[sample.mConnection] = { sample.mTakenBytes, unreadSince };
    if (!DoesNotRead(sample, unreadSince, aNow)) {
      continue;
    }
    (sample.mAtBound ? ended : unread)
      .push_back({ sample.mConnection,
                   sample.mUnsentBytes,
                   unreadSince,
                   !sample.mAtBound });
  }
  mProgress = std::move(progresses);
  mUnreadCount = ended.size() + unread.size();
  std::size_t freed = 0;
  for (const client_to_end& client : ended) {
    freed += client.mUnsentBytes;
  }
  std::ranges::sort(unread, std::greater<>(), &client_to_end::mUnsentBytes);
  for (const client_to_end& client : unread) {
    if (freed >= aExcess) {
      break;
    }
    freed += client.mUnsentBytes;
    ended.push_back(client);
  }
  return ended;
}
