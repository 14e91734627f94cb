#include "Membership/MemberTable.h"

std::string_view MemberStateName(member_state aState)
{
  switch (aState) {
    case member_state::Alive:
      return "alive";
    case member_state::Suspect:
      return "suspect";
    case member_state::Dead:
      return "dead";
    case member_state::Leaving:
      return "leaving";
  }
  return "unknown";
}

member_state member_row::State() const
{
  if (mHealth == member_health::Dead) {
    return member_state::Dead;
  }
  if (Leaving()) {
    return member_state::Leaving;
  }
  return mHealth == member_health::Suspect ? member_state::Suspect
                                           : member_state::Alive;
}

member_row* member_table::Find(const node_id& aId)
{
  const auto found = mRows.find(aId);
  return found == mRows.end() ? nullptr : &found->second;
}

const member_row* member_table::Find(const node_id& aId) const
{
  const auto found = mRows.find(aId);
  return found == mRows.end() ? nullptr : &found->second;
}

member_row& member_table::FindOrCreate(const node_id& aId)
{
  const auto [it, added] = mRows.try_emplace(aId);
  if (added) {
    it->second.mId = aId;
    BumpTopologyVersion();
  }
  return it->second;
}

void member_table::Erase(const node_id& aId)
{
  if (mRows.erase(aId) > 0) {
    BumpTopologyVersion();
  }
}
