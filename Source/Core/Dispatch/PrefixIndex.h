#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "Dispatch/DispatchTypes.h"

/// Estimate of which prompt blocks are in the upstreams' prefix caches. It is
/// built from cache events, which arrive late and with gaps, and from the
/// requests that this node sent. When it is full, the oldest entries are
/// evicted.
class prefix_index
{
public:
  explicit prefix_index(std::size_t aMaxEntries);

  /// Applies a batch of cache events. Returns whether earlier batches are
  /// missing.
  bool Apply(std::uint32_t aUpstream, const cache_events& aEvents);

  /// Records that this node sent a prompt with these blocks to the upstream,
  /// which is expected to cache them.
  void RecordPrompt(std::uint32_t aUpstream,
                    const std::vector<std::uint64_t>& aBlocks);

  /// Share of the blocks, counted from the first, that the upstream probably
  /// has cached, from 0 to 1. A match whose last entry predates a gap in the
  /// events counts half.
  double CachedShare(std::uint32_t aUpstream,
                     const std::vector<std::uint64_t>& aBlocks) const;

  /// Removes the entries of an upstream that restarted or left, since its cache
  /// is empty.
  void RemoveUpstream(std::uint32_t aUpstream);

  std::size_t Size() const { return mEntries.size(); }

private:
  struct stream_state
  {
    std::uint64_t mSequence = 0;
    /// Incremented at every gap in the events. Entries of earlier generations
    /// may no longer be cached.
    std::uint32_t mGeneration = 0;
    /// Lowest valid generation; earlier entries were removed by
    /// `RemoveUpstream`.
    std::uint32_t mFirstValidGeneration = 0;
  };
  struct entry
  {
    std::uint32_t mGeneration = 0;
    std::uint64_t mInsertionNumber = 0;
  };

  void Store(std::uint64_t aKey, std::uint32_t aGeneration);
  const entry* Find(std::uint32_t aUpstream,
                    std::uint64_t aBlock,
                    std::uint32_t aFirstValidGeneration) const;

  std::size_t mMaxEntries;
  std::unordered_map<std::uint64_t, entry> mEntries;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> mInsertionOrder;
  std::uint64_t mNextInsertionNumber = 1;
  std::vector<stream_state> mStreams;
};
