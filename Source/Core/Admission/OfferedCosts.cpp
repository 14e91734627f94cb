#include "Admission/OfferedCosts.h"

#include <bit>
#include <cmath>

#include "Common/Hash.h"

namespace {

constexpr std::size_t kEntryBytes = 12;
// Bits of the rank in the byte that also holds the kind.
constexpr unsigned kRankBits = 4;
constexpr std::uint32_t kRankMask = 0xf;
constexpr unsigned kByteBits = 8;
constexpr std::uint32_t kByteMask = 0xff;

void Append(std::string& aBytes, std::uint32_t aValue, std::size_t aSize)
{
  for (std::size_t i = 0; i < aSize; ++i) {
    aBytes.push_back(
      static_cast<char>((aValue >> (kByteBits * i)) & kByteMask));
  }
}

std::uint32_t Take(std::string_view& aBytes, std::size_t aSize)
{
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < aSize; ++i) {
    value |= static_cast<std::uint32_t>(static_cast<unsigned char>(aBytes[i]))
             << (kByteBits * i);
  }
  aBytes.remove_prefix(aSize);
  return value;
}

bool IsAmount(float aValue)
{
  return std::isfinite(aValue) && aValue >= 0.0F;
}

} // namespace

std::uint16_t ServiceKey(std::string_view aService)
{
  return static_cast<std::uint16_t>(StableHash(aService));
}

std::uint32_t AdmissionAccountKey(std::string_view aAccount)
{
  return static_cast<std::uint32_t>(StableHash(aAccount));
}

std::string WriteOfferedCosts(const std::vector<offered_cost>& aCosts)
{
  std::string bytes;
  for (const offered_cost& cost : aCosts) {
    Append(bytes,
           cost.mKind == offered_kind::Completed
             ? std::bit_cast<std::uint32_t>(cost.mSlotSeconds)
             : cost.mAccount,
           sizeof(std::uint32_t));
    Append(bytes, cost.mService, sizeof(std::uint16_t));
    Append(bytes,
           (static_cast<std::uint32_t>(cost.mKind) << kRankBits) |
             (cost.mRank & kRankMask),
           1);
    Append(bytes, cost.mPromised, 1);
    Append(
      bytes, std::bit_cast<std::uint32_t>(cost.mCost), sizeof(std::uint32_t));
  }
  return bytes;
}

std::optional<std::vector<offered_cost>> ParseOfferedCosts(
  std::string_view aBytes)
{
  if (aBytes.size() % kEntryBytes != 0 ||
      aBytes.size() > kEntryBytes * kMaxOfferedCosts) {
    return std::nullopt;
  }
  std::vector<offered_cost> costs;
  while (!aBytes.empty()) {
    offered_cost cost;
    const std::uint32_t first = Take(aBytes, sizeof(std::uint32_t));
    cost.mService =
      static_cast<std::uint16_t>(Take(aBytes, sizeof(std::uint16_t)));
    const std::uint32_t kind = Take(aBytes, 1);
    cost.mRank = static_cast<std::uint8_t>(kind & kRankMask);
    cost.mPromised = static_cast<std::uint8_t>(Take(aBytes, 1));
    cost.mCost = std::bit_cast<float>(Take(aBytes, sizeof(std::uint32_t)));
    if (kind >> kRankBits >
        static_cast<std::uint32_t>(offered_kind::Completed)) {
      return std::nullopt;
    }
    cost.mKind = static_cast<offered_kind>(kind >> kRankBits);
    if (cost.mKind == offered_kind::Completed) {
      cost.mSlotSeconds = std::bit_cast<float>(first);
    } else {
      cost.mAccount = first;
    }
    if (!IsAmount(cost.mCost) || !IsAmount(cost.mSlotSeconds)) {
      return std::nullopt;
    }
    costs.push_back(cost);
  }
  return costs;
}
