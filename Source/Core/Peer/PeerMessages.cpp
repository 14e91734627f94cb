#include "Peer/PeerMessages.h"

#include <functional>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "Peer/Peer.capnp.h"

namespace {

/// Largest accepted list, since a small packed message can unpack to a huge
/// one.
constexpr unsigned kMaxListItems = 65536;
/// Largest accepted message in words of 8 bytes: 4 MiB.
constexpr std::uint64_t kMaxMessageWords = 512 * 1024;

kj::StringPtr ToText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

std::string FromText(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

wall_time FromMicroseconds(std::int64_t aCount)
{
  return wall_time(std::chrono::microseconds(aCount));
}

template<class Id>
void WriteWide(peer_wire::Wide::Builder aWire, const Id& aId)
{
  aWire.setHigh(aId.mHigh);
  aWire.setLow(aId.mLow);
}

template<class Id>
Id ReadWide(peer_wire::Wide::Reader aWire)
{
  return { aWire.getHigh(), aWire.getLow() };
}

template<class Wire, class Fill>
std::string Pack(const Fill& aFill)
{
  capnp::MallocMessageBuilder builder;
  aFill(builder.initRoot<Wire>());
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

template<class Wire, class Read>
bool Unpack(std::string_view aText, const Read& aRead)
{
  const auto failed = kj::runCatchingExceptions([&] {
    const kj::ArrayPtr<const kj::byte> bytes(
      reinterpret_cast<const kj::byte*>(aText.data()), aText.size());
    kj::ArrayInputStream stream(bytes);
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxMessageWords;
    capnp::PackedMessageReader reader(stream, options);
    aRead(reader.getRoot<Wire>());
  });
  return failed == nullptr;
}

template<class List>
void CheckSize(const List& aList)
{
  KJ_REQUIRE(aList.size() <= kMaxListItems, "list too long");
}

template<class Ids, class List>
void WriteNames(const Ids& aIds, List aWire)
{
  unsigned index = 0;
  for (const auto& id : aIds) {
    aWire.set(index++, ToText(id.mName));
  }
}

template<class Id>
std::vector<Id> ReadNames(capnp::List<capnp::Text>::Reader aWire)
{
  CheckSize(aWire);
  std::vector<Id> ids;
  for (const auto name : aWire) {
    ids.push_back({ FromText(name) });
  }
  return ids;
}

void WriteUpdate(peer_wire::MemberUpdate::Builder aWire,
                 const member_update& aUpdate)
{
  aWire.setNode(ToText(aUpdate.mNode.mName));
  aWire.setIncarnation(aUpdate.mIncarnation);
  aWire.setCounter(aUpdate.mCounter);
  aWire.setHealth(static_cast<peer_wire::Health>(aUpdate.mHealth));
  aWire.setLeaving(aUpdate.mLeaving);
  if (aUpdate.mDescriptor) {
    auto where = aWire.initDescriptor();
    where.setZone(ToText(aUpdate.mDescriptor->mZone.mName));
    where.setRegion(ToText(aUpdate.mDescriptor->mRegion.mName));
    where.setAddress(ToText(aUpdate.mDescriptor->mAddress));
    where.setPeerAddress(ToText(aUpdate.mDescriptor->mPeerAddress));
  }
}

member_update ReadUpdate(peer_wire::MemberUpdate::Reader aWire)
{
  member_update update;
  update.mNode.mName = FromText(aWire.getNode());
  update.mIncarnation = aWire.getIncarnation();
  update.mCounter = aWire.getCounter();
  KJ_REQUIRE(aWire.getHealth() <= peer_wire::Health::DEAD, "unknown health");
  update.mHealth = static_cast<member_health>(aWire.getHealth());
  update.mLeaving = aWire.getLeaving();
  if (aWire.hasDescriptor()) {
    const auto where = aWire.getDescriptor();
    update.mDescriptor = member_descriptor{ { FromText(where.getZone()) },
                                            { FromText(where.getRegion()) },
                                            FromText(where.getAddress()),
                                            FromText(where.getPeerAddress()) };
  }
  return update;
}

void WriteCharge(peer_wire::Charge::Builder aWire, const peer_charge& aCharge)
{
  WriteWide(aWire.initRequest(), aCharge.mRequest);
  aWire.setAccount(ToText(aCharge.mAccount.mName));
  aWire.setBudget(ToText(aCharge.mBudget.mName));
  aWire.setHolderNode(ToText(aCharge.mHolder.mNode.mName));
  aWire.setHolderIncarnation(aCharge.mHolder.mIncarnation);
  aWire.setTokens(aCharge.mTokens);
  aWire.setTimeMicroseconds(aCharge.mTime.time_since_epoch().count());
  aWire.setFromSegment(aCharge.mFromSegment);
}

peer_charge ReadCharge(peer_wire::Charge::Reader aWire)
{
  peer_charge charge;
  charge.mRequest = ReadWide<request_id>(aWire.getRequest());
  charge.mAccount.mName = FromText(aWire.getAccount());
  charge.mBudget.mName = FromText(aWire.getBudget());
  charge.mHolder.mNode.mName = FromText(aWire.getHolderNode());
  charge.mHolder.mIncarnation = aWire.getHolderIncarnation();
  charge.mTokens = aWire.getTokens();
  charge.mTime = FromMicroseconds(aWire.getTimeMicroseconds());
  charge.mFromSegment = aWire.getFromSegment();
  return charge;
}

} // namespace

std::string EncodeMessage(const heartbeat& aMessage)
{
  return Pack<peer_wire::Heartbeat>([&](auto aWire) {
    WriteUpdate(aWire.initFrom(), aMessage.mFrom);
    aWire.setConfigVersion(aMessage.mConfigVersion);
    if (!aMessage.mUpdates.empty()) {
      auto updates = aWire.initUpdates(aMessage.mUpdates.size());
      for (unsigned i = 0; i < updates.size(); ++i) {
        WriteUpdate(updates[i], aMessage.mUpdates[i]);
      }
    }
    if (!aMessage.mProbeRequests.empty()) {
      WriteNames(aMessage.mProbeRequests,
                 aWire.initAskAbout(aMessage.mProbeRequests.size()));
    }
    if (!aMessage.mUnreachable.empty()) {
      WriteNames(aMessage.mUnreachable,
                 aWire.initUnreached(aMessage.mUnreachable.size()));
    }
  });
}

std::string EncodeMessage(const hold_charges_request& aMessage)
{
  return Pack<peer_wire::HoldCharges>([&](auto aWire) {
    auto charges = aWire.initCharges(aMessage.mCharges.size());
    for (unsigned i = 0; i < charges.size(); ++i) {
      WriteCharge(charges[i], aMessage.mCharges[i]);
    }
  });
}

std::string EncodeMessage(const hold_charges_reply& aMessage)
{
  return Pack<peer_wire::HoldChargesReply>([&](auto aWire) {
    aWire.setStatus(static_cast<peer_wire::HoldStatus>(aMessage.mStatus));
  });
}

std::string EncodeMessage(const drop_charges_request& aMessage)
{
  return Pack<peer_wire::DropCharges>([&](auto aWire) {
    aWire.setHolderNode(ToText(aMessage.mHolder.mNode.mName));
    aWire.setHolderIncarnation(aMessage.mHolder.mIncarnation);
    auto requests = aWire.initRequests(aMessage.mRequests.size());
    for (unsigned i = 0; i < requests.size(); ++i) {
      WriteWide(requests[i], aMessage.mRequests[i]);
    }
  });
}

std::string EncodeMessage(const quarantine_message& aMessage)
{
  return Pack<peer_wire::QuarantineNotice>([&](auto aWire) {
    WriteWide(aWire.initContent(), aMessage.mContent);
    aWire.setState(static_cast<peer_wire::QuarantineState>(aMessage.mState));
    aWire.setUpstream(ToText(aMessage.mUpstream.mName));
    aWire.setNode(ToText(aMessage.mNode.mName));
    aWire.setCrashes(aMessage.mCrashes);
    aWire.setRetrying(aMessage.mRetrying);
  });
}

std::string EncodeMessage(const peer_ack& /*aMessage*/)
{
  return Pack<peer_wire::Ack>([](auto) {});
}

bool DecodeMessage(std::string_view aText, heartbeat& aMessage)
{
  return Unpack<peer_wire::Heartbeat>(aText, [&](auto aWire) {
    aMessage = {};
    aMessage.mFrom = ReadUpdate(aWire.getFrom());
    aMessage.mConfigVersion = aWire.getConfigVersion();
    KJ_REQUIRE(aWire.getUpdates().size() <= kMaxUpdates, "too many updates");
    for (const auto update : aWire.getUpdates()) {
      aMessage.mUpdates.push_back(ReadUpdate(update));
    }
    KJ_REQUIRE(aWire.getAskAbout().size() <= kMaxAskAbout, "too many asks");
    KJ_REQUIRE(aWire.getUnreached().size() <= kMaxAskAbout, "too many reports");
    aMessage.mProbeRequests = ReadNames<node_id>(aWire.getAskAbout());
    aMessage.mUnreachable = ReadNames<node_id>(aWire.getUnreached());
  });
}

bool DecodeMessage(std::string_view aText, hold_charges_request& aMessage)
{
  return Unpack<peer_wire::HoldCharges>(aText, [&](auto aWire) {
    CheckSize(aWire.getCharges());
    aMessage = {};
    for (const auto charge : aWire.getCharges()) {
      aMessage.mCharges.push_back(ReadCharge(charge));
    }
  });
}

bool DecodeMessage(std::string_view aText, hold_charges_reply& aMessage)
{
  return Unpack<peer_wire::HoldChargesReply>(aText, [&](auto aWire) {
    KJ_REQUIRE(aWire.getStatus() <= peer_wire::HoldStatus::FULL,
               "unknown status");
    aMessage.mStatus = static_cast<hold_charges_status>(aWire.getStatus());
  });
}

bool DecodeMessage(std::string_view aText, drop_charges_request& aMessage)
{
  return Unpack<peer_wire::DropCharges>(aText, [&](auto aWire) {
    CheckSize(aWire.getRequests());
    aMessage = {};
    aMessage.mHolder.mNode.mName = FromText(aWire.getHolderNode());
    aMessage.mHolder.mIncarnation = aWire.getHolderIncarnation();
    for (const auto request : aWire.getRequests()) {
      aMessage.mRequests.push_back(ReadWide<request_id>(request));
    }
  });
}

bool DecodeMessage(std::string_view aText, quarantine_message& aMessage)
{
  return Unpack<peer_wire::QuarantineNotice>(aText, [&](auto aWire) {
    aMessage.mContent = ReadWide<content_id>(aWire.getContent());
    KJ_REQUIRE(aWire.getState() <= peer_wire::QuarantineState::QUARANTINED,
               "unknown state");
    aMessage.mState = static_cast<quarantine_message_state>(aWire.getState());
    aMessage.mUpstream.mName = FromText(aWire.getUpstream());
    aMessage.mNode.mName = FromText(aWire.getNode());
    aMessage.mCrashes = aWire.getCrashes();
    aMessage.mRetrying = aWire.getRetrying();
  });
}

bool DecodeMessage(std::string_view aText, peer_ack& /*aMessage*/)
{
  return Unpack<peer_wire::Ack>(aText, [](auto) {});
}
