#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "Dispatch/DispatchTypes.h"

/// Estimate of which prompt blocks the upstreams' prefix caches hold, from
/// their late and gapped events and from this node's own requests. Bounded:
/// the oldest entries are forgotten first.
class prefix_index
{
public:
  explicit prefix_index(std::size_t aMaxEntries);

  /// Applies a batch of events; true when batches before it are missing.
  bool Apply(std::uint32_t aUpstream, const cache_events& aEvents);

  /// This node sent a prompt with these blocks to the upstream.
  void Expect(std::uint32_t aUpstream,
              const std::vector<std::uint64_t>& aBlocks);

  /// Share of the blocks, from the first on, that the upstream probably holds,
  /// from 0 to 1. Entries older than a gap count half.
  double Match(std::uint32_t aUpstream,
               const std::vector<std::uint64_t>& aBlocks) const;

  /// The upstream restarted or went away: its cache is empty.
  void Forget(std::uint32_t aUpstream);

  std::size_t Size() const { return mEntries.size(); }

private:
  struct stream_state
  {
    std::uint64_t mSequence = 0;
    /// Entries of earlier generations may be gone from the cache.
    std::uint32_t mGeneration = 0;
    /// Entries of generations before this one are gone.
    std::uint32_t mFirstValid = 0;
  };
  struct entry
  {
    std::uint32_t mGeneration = 0;
    std::uint64_t mOrder = 0;
  };

  void Store(std::uint64_t aKey, std::uint32_t aGeneration);
  const entry* Find(std::uint32_t aUpstream,
                    std::uint64_t aBlock,
                    std::uint32_t aFirstValid) const;

  std::size_t mMaxEntries;
  std::unordered_map<std::uint64_t, entry> mEntries;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> mAges;
  std::uint64_t mNextOrder = 1;
  std::vector<stream_state> mStreams;
};
