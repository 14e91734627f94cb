#include "Membership/RumorQueue.h"

#include <algorithm>

namespace {

/// Rumors that are not urgent are numerous when a fleet starts, so a message
/// contains only some of them, and each is sent less often. Without these
/// limits each node of a fleet of 340 sent 2,056 bytes per second after the
/// start.
constexpr std::size_t kOrdinaryPerMessage = 4;
constexpr std::uint32_t kOrdinaryLimitPart = 2;

} // namespace

void rumor_queue::Add(const node_id& aNode, bool aUrgent, bool aWithWhere)
{
  entry& news = mEntries[aNode];
  news.mTold = 0;
  news.mUrgent = news.mUrgent || aUrgent;
  news.mWithWhere = news.mWithWhere || aWithWhere;
}

std::vector<rumor_queue::rumor> rumor_queue::Take(std::size_t aCount,
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
                               : left.mTold < right.mTold;
                    });
  std::vector<rumor> taken;
  std::size_t ordinary = 0;
  for (std::size_t i = 0; i < count; ++i) {
    entry& news = order[i]->second;
    if (!news.mUrgent && ordinary++ >= kOrdinaryPerMessage) {
      break;
    }
    taken.push_back({ order[i]->first, news.mWithWhere });
    const std::uint32_t limit =
      news.mUrgent ? aLimit : aLimit / kOrdinaryLimitPart;
    if (++news.mTold >= limit) {
      mEntries.erase(order[i]);
    }
  }
  return taken;
}
