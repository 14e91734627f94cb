#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Common/Identity.h"

/// Members whose news still has to be passed on. News about a member goes out
/// a limited number of times: urgent news first, then the least told.
class rumor_queue
{
public:
  struct rumor
  {
    node_id mNode;
    /// The addresses are news as well.
    bool mWithWhere = false;
  };

  /// (Re)starts the news about a member.
  void Add(const node_id& aNode, bool aUrgent, bool aWithWhere);
  void Erase(const node_id& aNode) { mEntries.erase(aNode); }

  /// Up to `aCount` members to tell about, except `aExcept`; urgent news is
  /// dropped once it was taken `aLimit` times, other news sooner.
  std::vector<rumor> Take(std::size_t aCount,
                          std::uint32_t aLimit,
                          const node_id& aExcept);

private:
  struct entry
  {
    /// How often the news was told.
    std::uint32_t mTold = 0;
    bool mUrgent = false;
    bool mWithWhere = false;
  };

  std::map<node_id, entry> mEntries;
};
