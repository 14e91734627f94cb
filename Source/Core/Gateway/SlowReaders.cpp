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
// Time without a read that is allowed, in units of the client's longest pause.
constexpr int kPauseFactor = 2;

} // namespace

slow_readers::progress slow_readers::Advance(const progress* aKnown,
                                             const client_sample& aSample,
                                             time_point aNow)
{
  if (aKnown != nullptr && aKnown->mTakenBytes == aSample.mTakenBytes &&
      aSample.mWindowClosed) {
    progress same = *aKnown;
    same.mWindowClosed = true;
    return same;
  }
  std::chrono::microseconds allowed = kUnreadTime;
  if (aKnown != nullptr) {
    allowed = aKnown->mUnreadAt - aKnown->mUnreadSince;
    // While the window was open, the pause was not the client's.
    if (aKnown->mWindowClosed) {
      allowed = std::max(allowed, (aNow - aKnown->mUnreadSince) * kPauseFactor);
    }
    allowed = std::min<std::chrono::microseconds>(allowed, kMaxUnreadTime);
  }
  return { aSample.mTakenBytes, aNow, aNow + allowed, aSample.mWindowClosed };
}

bool slow_readers::DoesNotRead(const client_sample& aSample,
                               const progress& aProgress,
                               time_point aNow)
{
  return aSample.mWindowClosed && aNow >= aProgress.mUnreadAt &&
         aSample.mHeardAt >= aProgress.mUnreadSince + kMinHeardTime;
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
    const progress& current = progresses[sample.mConnection] = Advance(
      known == mProgress.end() ? nullptr : &known->second, sample, aNow);
    if (!DoesNotRead(sample, current, aNow)) {
      continue;
    }
    (sample.mAtBound ? ended : unread)
      .push_back({ sample.mConnection,
                   sample.mUnsentBytes,
                   current.mUnreadSince,
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
