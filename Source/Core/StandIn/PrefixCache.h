#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"

enum class cache_event_kind : std::uint8_t
{
  Stored,
  Evicted,
};

/// A change of the prefix cache. Missing sequence numbers are gaps.
struct cache_event
{
  std::uint64_t mSequence = 0;
  cache_event_kind mKind = cache_event_kind::Stored;
  std::string mModel;
  std::uint64_t mBlock = 0;
  auto operator<=>(const cache_event&) const = default;
};

struct prefix_cache_options
{
  /// Blocks kept; the least recently used one is evicted.
  std::size_t mBlocks = 4096;
  /// Events are published this late.
  std::chrono::milliseconds mEventLag{ 200 };
  /// One event of so many is never published; zero means none is lost.
  std::uint32_t mEventGap = 50;
};

/// Prefix cache of an engine, with the events that it publishes.
class prefix_cache
{
public:
  explicit prefix_cache(prefix_cache_options aOptions);

  /// Uses the blocks of a prompt; gives the number of leading blocks that were
  /// cached before.
  std::size_t Use(const std::string& aModel,
                  const std::vector<std::uint64_t>& aBlocks,
                  time_point aNow);
  /// Events after a sequence number that are published by now.
  std::vector<cache_event> Events(std::uint64_t aAfter, time_point aNow) const;
  std::size_t Size() const { return mEntries.size(); }
  /// Forgets the blocks and the events; the numbering starts again.
  void Clear();

private:
  struct entry
  {
    std::uint64_t mBlock = 0;
    std::string mModel;
  };
  struct pending_event
  {
    cache_event mEvent;
    time_point mVisible;
  };

  void Store(const std::string& aModel, std::uint64_t aBlock, time_point aNow);
  void Publish(cache_event_kind aKind, const entry& aEntry, time_point aNow);

  prefix_cache_options mOptions;
  /// Most recently used first.
  std::list<entry> mEntries;
  std::unordered_map<std::uint64_t, std::list<entry>::iterator> mIndex;
  std::deque<pending_event> mEvents;
  std::uint64_t mSequence = 0;
};
