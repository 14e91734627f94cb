#include "Dispatch/PrefixIndex.h"

#include <algorithm>

namespace {

// Factor on a match whose last entry predates a gap in the cache events.
constexpr double kStaleWeight = 0.5;
// 2^64 divided by the golden ratio. Multiplying by it spreads upstream numbers
// over 64 bits.
constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15;

std::uint64_t EntryKey(std::uint32_t aUpstream, std::uint64_t aBlock)
{
  return aBlock ^ ((aUpstream + 1ULL) * kGoldenRatio);
}

} // namespace

prefix_index::prefix_index(std::size_t aMaxEntries)
  : mMaxEntries(aMaxEntries)
{
}

bool prefix_index::Apply(std::uint32_t aUpstream, const cache_events& aEvents)
{
  if (mStreams.size() <= aUpstream) {
    mStreams.resize(aUpstream + 1);
  }
  stream_state& stream = mStreams[aUpstream];
  if (stream.mSequence != 0 && aEvents.mSequence <= stream.mSequence) {
    // Delayed or repeated batch: newer events already describe the cache.
    return false;
  }
  const bool gap =
    stream.mSequence != 0 && aEvents.mSequence != stream.mSequence + 1;
  stream.mSequence = aEvents.mSequence;
  if (gap) {
    ++stream.mGeneration;
  }
  for (const cache_change& change : aEvents.mChanges) {
    const std::uint64_t key = EntryKey(aUpstream, change.mBlock);
    if (change.mAction == cache_action::Stored) {
      Store(key, stream.mGeneration);
    } else {
      mEntries.erase(key);
    }
  }
  return gap;
}

void prefix_index::RecordPrompt(std::uint32_t aUpstream,
                                const std::vector<std::uint64_t>& aBlocks)
{
  if (mStreams.size() <= aUpstream) {
    mStreams.resize(aUpstream + 1);
  }
  for (const std::uint64_t block : aBlocks) {
    Store(EntryKey(aUpstream, block), mStreams[aUpstream].mGeneration);
  }
}

double prefix_index::CachedShare(
  std::uint32_t aUpstream,
  const std::vector<std::uint64_t>& aBlocks) const
{
  if (aBlocks.empty() || mStreams.size() <= aUpstream) {
    return 0.0;
  }
  const stream_state& stream = mStreams[aUpstream];
  // Hashes are chained, so a cached block implies that all blocks before it are
  // cached, and a binary search finds the length of the cached prefix.
  std::size_t cached = 0;
  std::size_t missing = aBlocks.size() + 1;
  while (cached + 1 < missing) {
    const std::size_t middle = (cached + missing) / 2;
    if (Find(aUpstream, aBlocks[middle - 1], stream.mFirstValidGeneration) !=
        nullptr) {
      cached = middle;
    } else {
      missing = middle;
    }
  }
  if (cached == 0) {
    return 0.0;
  }
  const entry* last =
    Find(aUpstream, aBlocks[cached - 1], stream.mFirstValidGeneration);
  const double share =
    static_cast<double>(cached) / static_cast<double>(aBlocks.size());
  return last->mGeneration == stream.mGeneration ? share : share * kStaleWeight;
}

void prefix_index::RemoveUpstream(std::uint32_t aUpstream)
{
  if (mStreams.size() <= aUpstream) {
    return;
  }
  stream_state& stream = mStreams[aUpstream];
  stream.mFirstValidGeneration = ++stream.mGeneration;
  stream.mSequence = 0;
}

void prefix_index::Store(std::uint64_t aKey, std::uint32_t aGeneration)
{
  const std::uint64_t order = mNextInsertionNumber++;
  mEntries[aKey] = { aGeneration, order };
  mInsertionOrder.emplace_back(order, aKey);
  // Blocks that were stored again have a newer order number, so their old queue
  // elements are skipped.
  while (mEntries.size() > mMaxEntries ||
         mInsertionOrder.size() > 2 * mMaxEntries) {
    const auto [oldest, key] = mInsertionOrder.front();
    mInsertionOrder.pop_front();
    const auto found = mEntries.find(key);
    if (found != mEntries.end() && found->second.mInsertionNumber == oldest) {
      mEntries.erase(found);
    }
  }
}

const prefix_index::entry* prefix_index::Find(
  std::uint32_t aUpstream,
  std::uint64_t aBlock,
  std::uint32_t aFirstValidGeneration) const
{
  const auto found = mEntries.find(EntryKey(aUpstream, aBlock));
  if (found == mEntries.end() ||
      found->second.mGeneration < aFirstValidGeneration) {
    return nullptr;
  }
  return &found->second;
}
