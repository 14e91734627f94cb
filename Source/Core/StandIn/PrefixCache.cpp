#include "StandIn/PrefixCache.h"

namespace {

// Readers that fall further behind see a gap.
constexpr std::size_t kEventsKept = 10000;

} // namespace

prefix_cache::prefix_cache(prefix_cache_options aOptions)
  : mOptions(aOptions)
{
}

std::size_t prefix_cache::Use(const std::string& aModel,
                              const std::vector<std::uint64_t>& aBlocks,
                              time_point aNow)
{
  std::size_t cached = 0;
  bool leading = true;
  for (const std::uint64_t block : aBlocks) {
    const auto found = mIndex.find(block);
    if (found == mIndex.end()) {
      leading = false;
      Store(aModel, block, aNow);
      continue;
    }
    cached += leading ? 1 : 0;
    mEntries.splice(mEntries.begin(), mEntries, found->second);
  }
  return cached;
}

void prefix_cache::Store(const std::string& aModel,
                         std::uint64_t aBlock,
                         time_point aNow)
{
  mEntries.push_front({ aBlock, aModel });
  mIndex[aBlock] = mEntries.begin();
  Publish(cache_event_kind::Stored, mEntries.front(), aNow);
  if (mEntries.size() > mOptions.mBlocks) {
    Publish(cache_event_kind::Evicted, mEntries.back(), aNow);
    mIndex.erase(mEntries.back().mBlock);
    mEntries.pop_back();
  }
}

void prefix_cache::Publish(cache_event_kind aKind,
                           const entry& aEntry,
                           time_point aNow)
{
  ++mSequence;
  if (mOptions.mEventGap != 0 && mSequence % mOptions.mEventGap == 0) {
    return;
  }
  mEvents.push_back({ { mSequence, aKind, aEntry.mModel, aEntry.mBlock },
                      aNow + mOptions.mEventLag });
  if (mEvents.size() > kEventsKept) {
    mEvents.pop_front();
  }
}

std::vector<cache_event> prefix_cache::Events(std::uint64_t aAfter,
                                              time_point aNow) const
{
  std::vector<cache_event> events;
  for (const pending_event& pending : mEvents) {
    if (pending.mVisible > aNow) {
      break;
    }
    if (pending.mEvent.mSequence > aAfter) {
      events.push_back(pending.mEvent);
    }
  }
  return events;
}

void prefix_cache::Clear()
{
  mEntries.clear();
  mIndex.clear();
  mEvents.clear();
  mSequence = 0;
}
