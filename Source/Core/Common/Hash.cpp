#include "Common/Hash.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace {

// A zero byte cannot occur in an account name, so two different pairs never
// give the same joined text.
std::string Join(std::string_view aFirst, std::string_view aSecond)
{
  std::string joined;
  joined.reserve(aFirst.size() + aSecond.size() + 1);
  joined.append(aFirst);
  joined.push_back('\0');
  joined.append(aSecond);
  return joined;
}

template<class Tag>
wide_id<Tag> WideHash(const std::string& aText)
{
  const XXH128_hash_t hash = XXH3_128bits(aText.data(), aText.size());
  return { hash.high64, hash.low64 };
}

} // namespace

std::uint64_t StableHash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t RendezvousWeight(std::string_view aKey,
                               std::string_view aCandidate)
{
  return StableHash(aCandidate, StableHash(aKey));
}

std::size_t RendezvousRank(std::string_view aKey,
                           std::string_view aCandidate,
                           const std::vector<std::string>& aOthers)
{
  const std::uint64_t own = RendezvousWeight(aKey, aCandidate);
  return static_cast<std::size_t>(
    std::ranges::count_if(aOthers, [&](const std::string& aOther) {
      return RendezvousWeight(aKey, aOther) > own;
    }));
}

request_id MakeRequestId(const account_id& aAccount,
                         std::string_view aIdempotencyKey)
{
  return WideHash<request_tag>(Join(aAccount.mName, aIdempotencyKey));
}

content_id MakeContentId(const account_id& aAccount, std::string_view aContent)
{
  return WideHash<content_tag>(Join(aAccount.mName, aContent));
}

segment_id MakeSegmentId(std::string_view aName)
{
  return WideHash<segment_tag>(std::string(aName));
}
