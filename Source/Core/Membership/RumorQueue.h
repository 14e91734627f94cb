#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Common/Identity.h"

/// Members whose changes still have to be sent to other nodes. Each change, a
/// rumor, is sent a limited number of times: urgent rumors first, then those
/// that were sent the fewest times.
class rumor_queue
{
public:
  struct rumor
  {
    node_id mNode;
    /// The descriptor of the member changed as well.
    bool mWithDescriptor = false;
  };

  /// Adds a rumor about a member, or starts its count of transmissions again.
  void Add(const node_id& aNode, bool aUrgent, bool aWithDescriptor);
  void Erase(const node_id& aNode) { mEntries.erase(aNode); }

  /// Returns up to `aCount` rumors for a message, none of them about `aExcept`.
  /// An urgent rumor is removed after `aLimit` calls that returned it, any
  /// other one after half as many.
  std::vector<rumor> SelectForMessage(std::size_t aCount,
                                      std::uint32_t aLimit,
                                      const node_id& aExcept);

private:
  struct entry
  {
    /// Number of messages that contained the rumor.
    std::uint32_t mTransmissions = 0;
    bool mUrgent = false;
    bool mWithDescriptor = false;
  };

  std::map<node_id, entry> mEntries;
};
