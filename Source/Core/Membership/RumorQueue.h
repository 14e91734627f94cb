#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Common/Identity.h"

/// Members whose news still has to be passed on. News about a member goes out
/// a limited number of times, that of the least told members first.
class rumor_queue
{
public:
  /// (Re)starts the news about a member.
  void Add(const node_id& aNode) { mTold[aNode] = 0; }
  void Erase(const node_id& aNode) { mTold.erase(aNode); }
  bool Empty() const { return mTold.empty(); }

  /// Up to `aCount` members to tell about, except `aExcept`; each is dropped
  /// once it was taken `aLimit` times.
  std::vector<node_id> Take(std::size_t aCount,
                            std::uint32_t aLimit,
                            const node_id& aExcept);

private:
  /// How often each member's news was told.
  std::map<node_id, std::uint32_t> mTold;
};
