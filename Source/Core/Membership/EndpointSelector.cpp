#include "Membership/EndpointSelector.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

#include "Common/Hash.h"

namespace {

/// A member and its rendezvous weight for the account.
struct candidate
{
  const member* mMember;
  std::uint64_t mWeight;
};

/// Candidates of each zone, preferred first.
using zone_ranking = std::map<zone_id, std::vector<candidate>>;

bool HasHigherWeight(const candidate& aLeft, const candidate& aRight)
{
  return std::tie(aRight.mWeight, aLeft.mMember->mId) <
         std::tie(aLeft.mWeight, aRight.mMember->mId);
}

zone_ranking RankByZone(const std::vector<member>& aMembers,
                        const account_id& aAccount,
                        const std::optional<region_id>& aRegion,
                        bool aInRegion)
{
  zone_ranking zones;
  for (const member& node : aMembers) {
    if (!aRegion || (node.mDescriptor.mRegion == *aRegion) == aInRegion) {
      zones[node.mDescriptor.mZone].push_back(
        { &node, RendezvousWeight(aAccount.mName, node.mId.mName) });
    }
  }
  for (auto& [zone, nodes] : zones) {
    std::sort(nodes.begin(), nodes.end(), HasHigherWeight);
  }
  return zones;
}

/// Takes the node with the highest weight of each zone, then the second of each
/// zone, and so on, so that the nodes are spread over the zones. Within a
/// round, nodes are ordered by descending weight.
std::vector<const member*> PickAcrossZones(const zone_ranking& aZones,
                                           std::size_t aCount)
{
  std::vector<const member*> taken;
  for (std::size_t round = 0; taken.size() < aCount; ++round) {
    std::vector<candidate> level;
    for (const auto& [zone, nodes] : aZones) {
      if (round < nodes.size()) {
        level.push_back(nodes[round]);
      }
    }
    if (level.empty()) {
      break;
    }
    std::sort(level.begin(), level.end(), HasHigherWeight);
    for (const candidate& node : level) {
      if (taken.size() < aCount) {
        taken.push_back(node.mMember);
      }
    }
  }
  return taken;
}

// Moves the nodes of the caller's zone to the front. If there is none, adds the
// zone's node with the highest weight. The other nodes are the same for callers
// of all zones, so that the account's grants stay on few nodes.
void PreferZone(std::vector<const member*>& aChosen,
                const zone_ranking& aZones,
                const zone_id& aZone)
{
  const auto isInZone = [&](const member* aNode) {
    return aNode->mDescriptor.mZone == aZone;
  };
  std::stable_partition(aChosen.begin(), aChosen.end(), isInZone);
  const auto zone = aZones.find(aZone);
  if (zone != aZones.end() && !aChosen.empty() && !isInZone(aChosen.front())) {
    aChosen.insert(aChosen.begin(), zone->second.front().mMember);
  }
}

} // namespace

endpoint_selector::endpoint_selector(endpoint_settings aSettings)
  : mSettings(aSettings)
{
}

void endpoint_selector::SetMembers(const std::vector<member>& aMembers)
{
  mAllMembers = aMembers;
  mAvailableMembers.clear();
  for (const member& node : aMembers) {
    if (node.mState == member_state::Alive ||
        node.mState == member_state::Suspect) {
      mAvailableMembers.push_back(node);
    }
  }
}

endpoint_answer endpoint_selector::Select(const endpoint_query& aQuery) const
{
  endpoint_answer answer;
  answer.mTimeToLive = mSettings.mTimeToLive;
  const auto region =
    aQuery.mZone ? RegionOf(*aQuery.mZone) : std::optional<region_id>();
  const zone_ranking zones =
    RankByZone(mAvailableMembers, aQuery.mAccount, region, true);
  std::size_t nodes = 0;
  for (const auto& [zone, ranked] : zones) {
    nodes += ranked.size();
  }
  auto chosen = PickAcrossZones(zones, NodeCount(aQuery.mDemand, nodes));
  if (aQuery.mZone) {
    PreferZone(chosen, zones, *aQuery.mZone);
  }
  if (region) {
    // One node of another region, in case the whole region fails.
    const auto others = PickAcrossZones(
      RankByZone(mAvailableMembers, aQuery.mAccount, region, false), 1);
    chosen.insert(chosen.end(), others.begin(), others.end());
  }
  for (const member* node : chosen) {
    answer.mNodes.push_back(*node);
  }
  return answer;
}

std::optional<region_id> endpoint_selector::RegionOf(const zone_id& aZone) const
{
  const auto found = std::find_if(
    mAllMembers.begin(), mAllMembers.end(), [&](const member& aNode) {
      return aNode.mDescriptor.mZone == aZone;
    });
  return found == mAllMembers.end() ? std::optional<region_id>()
                                    : found->mDescriptor.mRegion;
}

std::size_t endpoint_selector::NodeCount(double aDemand,
                                         std::size_t aNodes) const
{
  const double share = std::clamp(aDemand, 0.0, 1.0);
  const auto wanted = static_cast<std::size_t>(
    std::ceil(share * mSettings.mHeadroom * static_cast<double>(aNodes)));
  return std::clamp(wanted,
                    mSettings.mMinNodes,
                    std::max(mSettings.mMinNodes, mSettings.mMaxNodes));
}

std::vector<member> endpoint_selector::BackupCandidates(
  const node_id& aSelf) const
{
  const auto self =
    std::find_if(mAllMembers.begin(),
                 mAllMembers.end(),
                 [&](const member& aNode) { return aNode.mId == aSelf; });
  const bool known = self != mAllMembers.end();
  struct ranked
  {
    bool mOtherRegion;
    bool mSuspect;
    std::uint64_t mWeight;
    const member* mMember;
  };
  std::vector<ranked> order;
  for (const member& node : mAvailableMembers) {
    if (node.mId == aSelf ||
        (known && node.mDescriptor.mZone == self->mDescriptor.mZone)) {
      continue;
    }
    order.push_back(
      { known && node.mDescriptor.mRegion != self->mDescriptor.mRegion,
        node.mState == member_state::Suspect,
        RendezvousWeight(aSelf.mName, node.mId.mName),
        &node });
  }
  std::sort(
    order.begin(), order.end(), [](const ranked& aLeft, const ranked& aRight) {
      return std::tie(aLeft.mSuspect, aLeft.mOtherRegion, aRight.mWeight) <
             std::tie(aRight.mSuspect, aRight.mOtherRegion, aLeft.mWeight);
    });
  std::vector<member> candidates;
  candidates.reserve(order.size());
  for (const ranked& entry : order) {
    candidates.push_back(*entry.mMember);
  }
  return candidates;
}
