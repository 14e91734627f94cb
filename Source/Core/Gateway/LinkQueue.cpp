#include "Gateway/LinkQueue.h"

#include <algorithm>

namespace {

// Share of the capacity that is left for requests. Packet headers and
// acknowledgements take a tenth, responses to clients and calls to the store
// another.
constexpr double kRequestShare = 0.8;

} // namespace

link_queue::link_queue(double aBytesPerSecond)
  : mBytesPerSecond(aBytesPerSecond * kRequestShare)
{
}

void link_queue::Add(std::size_t aBytes, time_point aNow)
{
  mEmptyAt = LeavesAt(aBytes, aNow);
}

time_point link_queue::LeavesAt(std::size_t aBytes, time_point aNow) const
{
  const time_point begin = std::max(mEmptyAt, aNow);
  if (mBytesPerSecond <= 0.0) {
    return begin;
  }
  return begin + std::chrono::duration_cast<std::chrono::microseconds>(
                   std::chrono::duration<double>(static_cast<double>(aBytes) /
                                                 mBytesPerSecond));
}
