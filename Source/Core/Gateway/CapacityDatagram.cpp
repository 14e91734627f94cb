#include "Gateway/CapacityDatagram.h"

#include <algorithm>
#include <cstring>
#include <limits>

#include <capnp/any.h>

#include "Gateway/Fleet.capnp.h"

namespace {

// Numbers of the members in the union of `PeerDatagram`, which has one word of
// data and one pointer.
constexpr std::uint16_t kCapacity = 8;
constexpr std::uint16_t kLoad = 9;
// `CapacityNotice` has no data and one pointer for each of its lists.
constexpr std::uint16_t kCapacityPointers = 8;
// `LoadNotice`: two words, a text and a list.
constexpr std::uint16_t kLoadWords = 2;
constexpr std::uint16_t kLoadPointers = 2;

capnp::AnyStruct::Builder InitMember(capnp::MessageBuilder& aMessage,
                                     std::uint16_t aMember,
                                     std::uint16_t aWords,
                                     std::uint16_t aPointers)
{
  auto root = aMessage.getRoot<capnp::AnyPointer>().initAsAnyStruct(1, 1);
  kj::ArrayPtr<kj::byte> data = root.getDataSection();
  data[0] = static_cast<kj::byte>(aMember);
  return root.getPointerSection()[0].initAsAnyStruct(aWords, aPointers);
}

std::optional<capnp::AnyStruct::Reader> FindMember(
  capnp::AnyPointer::Reader aRoot,
  std::uint16_t aMember)
{
  const auto root = aRoot.getAs<capnp::AnyStruct>();
  const auto data = root.getDataSection();
  if (data.size() < 2 || data[0] != aMember || data[1] != 0 ||
      root.getPointerSection().size() < 1) {
    return std::nullopt;
  }
  return root.getPointerSection()[0].getAs<capnp::AnyStruct>();
}

template<typename element, typename projection>
void WriteList(capnp::AnyStruct::Builder aStruct,
               unsigned aPointer,
               const std::vector<capacity_observation>& aObservations,
               projection aProject)
{
  auto list =
    aStruct.getPointerSection()[aPointer].initAs<capnp::List<element>>(
      static_cast<unsigned>(aObservations.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list.set(i, static_cast<element>(aProject(aObservations[i])));
  }
}

std::uint64_t ReadWord(capnp::AnyStruct::Reader aStruct, std::size_t aIndex)
{
  const auto data = aStruct.getDataSection();
  std::uint64_t value = 0;
  for (std::size_t i = sizeof value; i > 0; --i) {
    const std::size_t at = aIndex * sizeof value + i - 1;
    value = (value << 8U) | (at < data.size() ? data[at] : 0U);
  }
  return value;
}

void WriteWord(capnp::AnyStruct::Builder aStruct,
               std::size_t aIndex,
               std::uint64_t aValue)
{
  kj::ArrayPtr<kj::byte> data = aStruct.getDataSection();
  for (std::size_t i = 0; i < sizeof aValue; ++i) {
    data[aIndex * sizeof aValue + i] =
      static_cast<kj::byte>(aValue >> (8U * i));
  }
}

std::uint32_t Clamp(std::int64_t aValue)
{
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
    aValue, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

void WriteCapacity(capnp::MessageBuilder& aMessage,
                   const capacity_notice& aNotice)
{
  auto notice = InitMember(aMessage, kCapacity, 0, kCapacityPointers);
  const auto& all = aNotice.mObservations;
  using observation = const capacity_observation&;
  WriteList<std::uint32_t>(
    notice, 0, all, [](observation aItem) { return aItem.mServer; });
  WriteList<std::uint64_t>(
    notice, 1, all, [](observation aItem) { return aItem.mIncarnation; });
  WriteList<std::uint8_t>(
    notice, 2, all, [](observation aItem) { return aItem.mLevel; });
  WriteList<float>(
    notice, 3, all, [](observation aItem) { return aItem.mSums.mFirstEvents; });
  WriteList<float>(
    notice, 4, all, [](observation aItem) { return aItem.mSums.mExpectedMs; });
  WriteList<float>(
    notice, 5, all, [](observation aItem) { return aItem.mSums.mObservedMs; });
  WriteList<float>(
    notice, 6, all, [](observation aItem) { return aItem.mSums.mGaps; });
  WriteList<float>(
    notice, 7, all, [](observation aItem) { return aItem.mSums.mGapMs; });
}

std::optional<capacity_notice> ReadCapacity(capnp::AnyPointer::Reader aRoot)
{
  const auto member = FindMember(aRoot, kCapacity);
  if (!member) {
    return std::nullopt;
  }
  capacity_notice notice;
  const auto pointers = member->getPointerSection();
  if (pointers.size() < kCapacityPointers) {
    return notice;
  }
  const auto servers = pointers[0].getAs<capnp::List<std::uint32_t>>();
  const auto runs = pointers[1].getAs<capnp::List<std::uint64_t>>();
  const auto levels = pointers[2].getAs<capnp::List<std::uint8_t>>();
  const auto firstEvents = pointers[3].getAs<capnp::List<float>>();
  const auto expected = pointers[4].getAs<capnp::List<float>>();
  const auto observed = pointers[5].getAs<capnp::List<float>>();
  const auto gaps = pointers[6].getAs<capnp::List<float>>();
  const auto gapMs = pointers[7].getAs<capnp::List<float>>();
  const unsigned count = std::min({ servers.size(),
                                    runs.size(),
                                    levels.size(),
                                    firstEvents.size(),
                                    expected.size(),
                                    observed.size(),
                                    gaps.size(),
                                    gapMs.size() });
  for (unsigned i = 0; i < count; ++i) {
    notice.mObservations.push_back(
      { servers[i],
        runs[i],
        levels[i],
        { firstEvents[i], expected[i], observed[i], gaps[i], gapMs[i] } });
  }
  return notice;
}

void WriteLoad(capnp::MessageBuilder& aMessage, const load_notice& aNotice)
{
  auto notice = InitMember(aMessage, kLoad, kLoadWords, kLoadPointers);
  WriteWord(notice, 0, aNotice.mRun);
  WriteWord(notice, 1, aNotice.mSequence);
  notice.getPointerSection()[0].setAs<capnp::Text>(aNotice.mAddress.c_str());
  auto work =
    notice.getPointerSection()[1].initAs<capnp::List<fleet_wire::UpstreamLoad>>(
      static_cast<unsigned>(aNotice.mWork.size()));
  for (unsigned i = 0; i < work.size(); ++i) {
    const auto& [key, amount] = aNotice.mWork[i];
    work[i].setKey(key);
    work[i].setRequests(Clamp(amount.mRequests));
    work[i].setPrefillTokens(Clamp(amount.mPrefillTokens));
    work[i].setKvTokens(Clamp(amount.mKvTokens));
  }
}

std::optional<load_notice> ReadLoad(capnp::AnyPointer::Reader aRoot)
{
  const auto member = FindMember(aRoot, kLoad);
  if (!member || member->getPointerSection().size() < kLoadPointers) {
    return std::nullopt;
  }
  load_notice notice;
  notice.mRun = ReadWord(*member, 0);
  notice.mSequence = ReadWord(*member, 1);
  notice.mAddress = member->getPointerSection()[0].getAs<capnp::Text>().cStr();
  for (const auto work : member->getPointerSection()[1]
                           .getAs<capnp::List<fleet_wire::UpstreamLoad>>()) {
    notice.mWork.emplace_back(work.getKey(),
                              upstream_work{ work.getRequests(),
                                             work.getPrefillTokens(),
                                             work.getKvTokens() });
  }
  return notice;
}
