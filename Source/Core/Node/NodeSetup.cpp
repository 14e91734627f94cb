#include "Node/NodeSetup.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

namespace {

rank_settings MakeRankSettings(const rank_policy& aPolicy,
                               const rank_settings& aDefault)
{
  rank_settings rank = aDefault;
  rank.mFloorShare = aPolicy.mFloorShare;
  rank.mFirstTokenTarget = aPolicy.mFirstToken;
  rank.mMaxQueued = aPolicy.mMaxQueuedRequests;
  return rank;
}

/// Number of nodes that share one engine, when each node uses a subset of
/// `aSubset` engines.
std::uint32_t NodesPerEngine(const fleet_size& aSize, std::size_t aSubset)
{
  if (aSize.mEngines <= aSubset) {
    return static_cast<std::uint32_t>(std::max<std::size_t>(aSize.mNodes, 1));
  }
  const std::size_t sharing =
    (aSize.mNodes * aSubset + aSize.mEngines - 1) / aSize.mEngines;
  return static_cast<std::uint32_t>(std::max<std::size_t>(sharing, 1));
}

} // namespace

std::uint64_t NewIncarnation(const time_source& aTime)
{
  return static_cast<std::uint64_t>(aTime.WallNow().time_since_epoch().count());
}

platform_endpoint ParsePlatformEndpoint(std::string_view aUrl)
{
  constexpr std::string_view kScheme = "http://";
  if (aUrl.starts_with(kScheme)) {
    aUrl.remove_prefix(kScheme.size());
  }
  return { std::string(aUrl) };
}

peer_key_ring MakePeerKeys(const node_settings& aSettings)
{
  std::vector<peer_key> keys;
  for (const peer_key_setting& key : aSettings.mPeerKeys) {
    keys.push_back({ key.mId, key.mSecret });
  }
  return peer_key_ring(std::move(keys));
}

dispatch_settings MakeDispatchSettings(const node_settings& aSettings,
                                       const capacity_section& aCapacity,
                                       const fleet_size& aSize)
{
  dispatch_settings settings;
  settings.mZone = aSettings.mZone;
  settings.mRegion = aSettings.mRegion;
  settings.mNode = aSettings.mName;
  settings.mSeed = StableHash(aSettings.mName.mName);
  settings.mNodesPerUpstream = NodesPerEngine(aSize, settings.mSubsetSize);
  for (std::size_t i = 0; i < kWorkRankCount; ++i) {
    settings.mRanks[i] =
      MakeRankSettings(aCapacity.mRanks[i], settings.mRanks[i]);
  }
  const auto background = static_cast<std::size_t>(work_rank::Background);
  settings.mFreeTier.mFirstTokenTarget =
    settings.mRanks[background].mFirstTokenTarget;
  settings.mFreeTier.mMaxQueued = settings.mRanks[background].mMaxQueued;
  return settings;
}
