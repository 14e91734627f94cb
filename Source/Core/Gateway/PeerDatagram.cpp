#include "Gateway/PeerDatagram.h"

#include <algorithm>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>

#include "Common/JsonText.h"
#include "Gateway/CapacityDatagram.h"
#include "Gateway/Fleet.capnp.h"

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxUint32 = 0xffffffff;
// Limit of 8-byte words read from an unpacked message: 512 KB, several times
// the report of a fleet of 2,000 nodes.
constexpr std::uint64_t kMaxMessageWords = 65536;
constexpr std::uint64_t kMaxStoreTimeMs = 4'000'000'000'000;

std::uint32_t ClampToUint32(std::int64_t aValue)
{
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(aValue, 0, kMaxUint32));
}

/// The largest value means that there is no age.
std::uint32_t WriteAge(const std::optional<milliseconds>& aAge)
{
  return aAge ? ClampToUint32(aAge->count()) : kMaxUint32;
}

std::optional<milliseconds> ReadAge(std::uint32_t aAgeMs)
{
  return aAgeMs == kMaxUint32 ? std::nullopt
                              : std::optional(milliseconds(aAgeMs));
}

// Unknown use or number of connections.
constexpr std::uint16_t kUnknownUint16 = 0xffff;
constexpr double kPermille = 1000.0;

std::uint16_t ClampToUint16(double aValue)
{
  return static_cast<std::uint16_t>(
    std::clamp(aValue, 0.0, static_cast<double>(kUnknownUint16 - 1)));
}

std::uint16_t WriteUse(const std::optional<double>& aUse)
{
  return aUse ? ClampToUint16(*aUse * kPermille) : kUnknownUint16;
}

std::optional<double> ReadUse(std::uint16_t aPermille)
{
  return aPermille == kUnknownUint16
           ? std::nullopt
           : std::optional(static_cast<double>(aPermille) / kPermille);
}

/// A state of a later version means that the node is not to be named.
/// A time of the store's clock that does not overflow in ns.
milliseconds ReadStoreTime(std::uint64_t aMs)
{
  return milliseconds(
    static_cast<std::int64_t>(std::min(aMs, kMaxStoreTimeMs)));
}

client_state ReadClientState(std::uint8_t aState)
{
  return static_cast<client_state>(
    std::min(aState, static_cast<std::uint8_t>(client_state::Refusing)));
}

std::string ReadText(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

/// `builder` and `reader` are those of any message with a list of pauses.
template<typename builder>
void WritePauses(builder aRoot, const server_pauses& aPauses)
{
  auto pauses = aRoot.initPauses(static_cast<unsigned>(aPauses.size()));
  for (unsigned i = 0; i < pauses.size(); ++i) {
    pauses[i].setServer(aPauses[i].first);
    pauses[i].setLeftMs(ClampToUint32(aPauses[i].second.count()));
  }
}

template<typename reader>
server_pauses ReadPauses(reader aRoot)
{
  server_pauses pauses;
  for (const auto pause : aRoot.getPauses()) {
    pauses.emplace_back(pause.getServer(), milliseconds(pause.getLeftMs()));
  }
  return pauses;
}

/// What a node states of itself for the address answers.
void WriteClientFields(fleet_wire::NodeReport::Builder aRoot,
                       const node_report& aReport)
{
  if (!aReport.mZone.mName.empty()) {
    aRoot.setZone(aReport.mZone.mName);
  }
  if (!aReport.mRegion.mName.empty()) {
    aRoot.setRegion(aReport.mRegion.mName);
  }
  aRoot.setLinkUsePermille(WriteUse(aReport.mLinkUse));
  aRoot.setProcessorUsePermille(WriteUse(aReport.mProcessorUse));
  aRoot.setClientConnections(
    aReport.mClientConnections
      ? ClampToUint16(static_cast<double>(*aReport.mClientConnections))
      : kUnknownUint16);
  aRoot.setClientState(static_cast<std::uint8_t>(aReport.mClientState));
}

void ReadClientFields(fleet_wire::NodeReport::Reader aRoot,
                      node_report& aReport)
{
  aReport.mZone = zone_id{ ReadText(aRoot.getZone()) };
  aReport.mRegion = region_id{ ReadText(aRoot.getRegion()) };
  aReport.mLinkUse = ReadUse(aRoot.getLinkUsePermille());
  aReport.mProcessorUse = ReadUse(aRoot.getProcessorUsePermille());
  const std::uint16_t connections = aRoot.getClientConnections();
  if (connections != kUnknownUint16) {
    aReport.mClientConnections = connections;
  }
  aReport.mClientState = ReadClientState(aRoot.getClientState());
}

void Write(fleet_wire::NodeReport::Builder aRoot, const node_report& aReport)
{
  aRoot.setAddress(aReport.mAddress);
  aRoot.setName(aReport.mName);
  aRoot.setFront(aReport.mClientAddress);
  aRoot.setRun(aReport.mRun);
  aRoot.setReady(aReport.mReady);
  aRoot.setLeaving(aReport.mLeaving);
  aRoot.setConfigVersion(aReport.mConfigVersion);
  aRoot.setCapacity(aReport.mCapacity);
  aRoot.setCutOff(aReport.mCutOff);
  WritePauses(aRoot, aReport.mPauses);
  aRoot.setConfigAgeMs(WriteAge(aReport.mConfigAge));
  aRoot.setServersAgeMs(WriteAge(aReport.mServersAge));
  aRoot.setContactStatedAtMs(
    static_cast<std::uint64_t>(aReport.mStoreContact.mStatedAt.count()));
  aRoot.setContactSinceMs(
    static_cast<std::uint64_t>(aReport.mStoreContact.mSince.count()));
  WriteClientFields(aRoot, aReport);
  auto peers = aRoot.initPeers(static_cast<unsigned>(aReport.mPeers.size()));
  for (unsigned i = 0; i < peers.size(); ++i) {
    peers[i].setKey(aReport.mPeers[i].first);
    peers[i].setAgeMs(ClampToUint32(aReport.mPeers[i].second.count()));
  }
  auto work = aRoot.initWork(static_cast<unsigned>(aReport.mWork.size()));
  for (unsigned i = 0; i < work.size(); ++i) {
    const auto& [key, amount] = aReport.mWork[i];
    work[i].setKey(key);
    work[i].setRequests(ClampToUint32(amount.mRequests));
    work[i].setPrefillTokens(ClampToUint32(amount.mPrefillTokens));
    work[i].setKvTokens(ClampToUint32(amount.mKvTokens));
  }
  auto held = aRoot.initHeld(static_cast<unsigned>(aReport.mFreeTokens.size()));
  for (unsigned i = 0; i < held.size(); ++i) {
    held[i].setAccount(aReport.mFreeTokens[i].first);
    held[i].setTokens(static_cast<std::uint64_t>(
      std::max<std::int64_t>(aReport.mFreeTokens[i].second, 0)));
  }
  auto limits =
    aRoot.initRateLimits(static_cast<unsigned>(aReport.mRateLimits.size()));
  for (unsigned i = 0; i < limits.size(); ++i) {
    const aged_rate_limit& limit = aReport.mRateLimits[i];
    limits[i].setServer(limit.mServer);
    limits[i].setIncarnation(limit.mIncarnation);
    limits[i].setLimited(limit.mRequestsPerSecond.has_value());
    limits[i].setPerSecond(limit.mRequestsPerSecond.value_or(0.0));
    limits[i].setAgeMs(ClampToUint32(limit.mAge.count()));
  }
  auto named =
    aRoot.initNamed(static_cast<unsigned>(aReport.mKnownAddresses.size()));
  for (unsigned i = 0; i < named.size(); ++i) {
    named.set(i, aReport.mKnownAddresses[i]);
  }
}

node_report Read(fleet_wire::NodeReport::Reader aRoot)
{
  node_report report;
  report.mAddress = ReadText(aRoot.getAddress());
  report.mName = ReadText(aRoot.getName());
  report.mClientAddress = ReadText(aRoot.getFront());
  report.mRun = aRoot.getRun();
  report.mReady = aRoot.getReady();
  report.mLeaving = aRoot.getLeaving();
  report.mConfigVersion = aRoot.getConfigVersion();
  report.mCapacity = aRoot.getCapacity();
  report.mCutOff = aRoot.getCutOff();
  report.mPauses = ReadPauses(aRoot);
  report.mConfigAge = ReadAge(aRoot.getConfigAgeMs());
  report.mServersAge = ReadAge(aRoot.getServersAgeMs());
  report.mStoreContact = { ReadStoreTime(aRoot.getContactStatedAtMs()),
                           ReadStoreTime(aRoot.getContactSinceMs()) };
  ReadClientFields(aRoot, report);
  for (const auto peer : aRoot.getPeers()) {
    report.mPeers.emplace_back(peer.getKey(), milliseconds(peer.getAgeMs()));
  }
  for (const auto work : aRoot.getWork()) {
    report.mWork.emplace_back(work.getKey(),
                              upstream_work{ work.getRequests(),
                                             work.getPrefillTokens(),
                                             work.getKvTokens() });
  }
  for (const auto held : aRoot.getHeld()) {
    report.mFreeTokens.emplace_back(
      held.getAccount(), static_cast<std::int64_t>(held.getTokens()));
  }
  for (const auto limit : aRoot.getRateLimits()) {
    report.mRateLimits.push_back(
      { limit.getServer(),
        limit.getIncarnation(),
        limit.getLimited() ? std::optional(limit.getPerSecond()) : std::nullopt,
        milliseconds(limit.getAgeMs()) });
  }
  for (const auto name : aRoot.getNamed()) {
    report.mKnownAddresses.push_back(ReadText(name));
  }
  return report;
}

void Write(fleet_wire::TokenRequest::Builder aRoot,
           const token_request& aRequest)
{
  aRoot.setAddress(aRequest.mAddress);
  aRoot.setId(aRequest.mId);
  aRoot.setRun(aRequest.mRun);
  aRoot.setAccount(aRequest.mAccount.mName);
  aRoot.setNeeded(aRequest.mNeeded);
  aRoot.setWanted(aRequest.mWanted);
}

token_request Read(fleet_wire::TokenRequest::Reader aRoot)
{
  return { ReadText(aRoot.getAddress()),
           aRoot.getId(),
           aRoot.getRun(),
           account_id{ ReadText(aRoot.getAccount()) },
           aRoot.getNeeded(),
           aRoot.getWanted() };
}

void Write(fleet_wire::TokenTransfer::Builder aRoot,
           const token_transfer& aTransfer)
{
  aRoot.setId(aTransfer.mId);
  aRoot.setRun(aTransfer.mRun);
  aRoot.setAccount(aTransfer.mAccount.mName);
  aRoot.setTokens(aTransfer.mTokens);
}

token_transfer Read(fleet_wire::TokenTransfer::Reader aRoot)
{
  return { aRoot.getId(),
           aRoot.getRun(),
           account_id{ ReadText(aRoot.getAccount()) },
           aRoot.getTokens() };
}

void Write(fleet_wire::CrashNotice::Builder aRoot, const crash_notice& aNotice)
{
  auto reports =
    aRoot.initReports(static_cast<unsigned>(aNotice.mReports.size()));
  for (unsigned i = 0; i < reports.size(); ++i) {
    const auto& report = aNotice.mReports[i];
    reports[i].setRequestHigh(report.mRequest.mHigh);
    reports[i].setRequestLow(report.mRequest.mLow);
    reports[i].setServer(report.mServer.mUpstream.mName);
    reports[i].setIncarnation(report.mServer.mIncarnation);
    reports[i].setAgeMs(ClampToUint32(report.mAge.count()));
    reports[i].setSilent(report.mSilent);
  }
  auto served = aRoot.initServed(static_cast<unsigned>(aNotice.mServed.size()));
  for (unsigned i = 0; i < served.size(); ++i) {
    const auto& response = aNotice.mServed[i];
    served[i].setRequestHigh(response.mRequest.mHigh);
    served[i].setRequestLow(response.mRequest.mLow);
    served[i].setAgeMs(ClampToUint32(response.mAge.count()));
  }
  auto segments =
    aRoot.initSegments(static_cast<unsigned>(aNotice.mSegments.size()));
  for (unsigned i = 0; i < segments.size(); ++i) {
    const auto& crash = aNotice.mSegments[i];
    segments[i].setSegmentHigh(crash.mSegment.mHigh);
    segments[i].setSegmentLow(crash.mSegment.mLow);
    segments[i].setServer(crash.mServer.mUpstream.mName);
    segments[i].setIncarnation(crash.mServer.mIncarnation);
    segments[i].setAgeMs(ClampToUint32(crash.mAge.count()));
  }
  auto servedSegments = aRoot.initServedSegments(
    static_cast<unsigned>(aNotice.mServedSegments.size()));
  for (unsigned i = 0; i < servedSegments.size(); ++i) {
    const auto& response = aNotice.mServedSegments[i];
    servedSegments[i].setSegmentHigh(response.mSegment.mHigh);
    servedSegments[i].setSegmentLow(response.mSegment.mLow);
    servedSegments[i].setAgeMs(ClampToUint32(response.mAge.count()));
  }
}

void Write(fleet_wire::StreamNotice::Builder aRoot,
           const stream_notice& aNotice)
{
  auto records =
    aRoot.initRecords(static_cast<unsigned>(aNotice.mRecords.size()));
  for (unsigned i = 0; i < records.size(); ++i) {
    records[i].setStream(aNotice.mRecords[i].mStream);
    records[i].setSoftware(aNotice.mRecords[i].mSoftware);
    records[i].setAgeMs(ClampToUint32(aNotice.mRecords[i].mAge.count()));
  }
}

stream_notice Read(fleet_wire::StreamNotice::Reader aRoot)
{
  stream_notice notice;
  for (const auto record : aRoot.getRecords()) {
    notice.mRecords.push_back({ record.getStream(),
                                record.getSoftware(),
                                milliseconds(record.getAgeMs()) });
  }
  return notice;
}

void Write(fleet_wire::StreamQuery::Builder aRoot, const stream_query& aQuery)
{
  aRoot.setAddress(aQuery.mAddress);
  aRoot.setStream(aQuery.mStream);
  auto services =
    aRoot.initServices(static_cast<unsigned>(aQuery.mServices.size()));
  for (unsigned i = 0; i < services.size(); ++i) {
    services.set(i, aQuery.mServices[i].mName);
  }
}

stream_query Read(fleet_wire::StreamQuery::Reader aRoot)
{
  stream_query query{ ReadText(aRoot.getAddress()), aRoot.getStream(), {} };
  for (const auto service : aRoot.getServices()) {
    query.mServices.push_back(service_id{ ReadText(service) });
  }
  return query;
}

void Write(fleet_wire::StreamAnswer::Builder aRoot,
           const stream_answer& aAnswer)
{
  aRoot.setStream(aAnswer.mStream);
  aRoot.setSoftware(aAnswer.mSoftware);
  aRoot.setOnlySoftware(aAnswer.mOnlySoftware);
  aRoot.setNode(aAnswer.mNode);
}

stream_answer Read(fleet_wire::StreamAnswer::Reader aRoot)
{
  return { aRoot.getStream(),
           aRoot.getSoftware(),
           aRoot.getOnlySoftware(),
           aRoot.getNode() };
}

crash_notice Read(fleet_wire::CrashNotice::Reader aRoot)
{
  crash_notice notice;
  for (const auto report : aRoot.getReports()) {
    notice.mReports.push_back(
      { { report.getRequestHigh(), report.getRequestLow() },
        { upstream_id{ ReadText(report.getServer()) },
          report.getIncarnation() },
        milliseconds(report.getAgeMs()),
        report.getSilent() });
  }
  for (const auto response : aRoot.getServed()) {
    notice.mServed.push_back(
      { { response.getRequestHigh(), response.getRequestLow() },
        milliseconds(response.getAgeMs()) });
  }
  for (const auto crash : aRoot.getSegments()) {
    notice.mSegments.push_back(
      { { crash.getSegmentHigh(), crash.getSegmentLow() },
        { upstream_id{ ReadText(crash.getServer()) }, crash.getIncarnation() },
        milliseconds(crash.getAgeMs()) });
  }
  for (const auto response : aRoot.getServedSegments()) {
    notice.mServedSegments.push_back(
      { { response.getSegmentHigh(), response.getSegmentLow() },
        milliseconds(response.getAgeMs()) });
  }
  return notice;
}

// The first byte means to a reader of packed messages that the next four bytes
// are the number of segments, which is then too large.
constexpr std::string_view kOfferedMark = "\x0fLSO";
constexpr std::size_t kKeyBytes = 4;
constexpr unsigned kByteBits = 8;

std::string WriteOffered(const offered_notice& aNotice)
{
  std::string bytes(kOfferedMark);
  for (std::size_t i = 0; i < kKeyBytes; ++i) {
    bytes.push_back(static_cast<char>(aNotice.mNode >> (kByteBits * i)));
  }
  return bytes + WriteOfferedCosts(aNotice.mCosts);
}

std::optional<peer_datagram> ParseOffered(std::string_view aBytes)
{
  aBytes.remove_prefix(kOfferedMark.size());
  if (aBytes.size() < kKeyBytes) {
    return std::nullopt;
  }
  offered_notice notice;
  for (std::size_t i = 0; i < kKeyBytes; ++i) {
    notice.mNode |=
      static_cast<std::uint32_t>(static_cast<unsigned char>(aBytes[i]))
      << (kByteBits * i);
  }
  auto costs = ParseOfferedCosts(aBytes.substr(kKeyBytes));
  if (!costs) {
    return std::nullopt;
  }
  notice.mCosts = std::move(*costs);
  return notice;
}

/// Reads a datagram that the generated code does not know.
std::optional<peer_datagram> ReadLayout(capnp::AnyPointer::Reader aRoot)
{
  if (auto capacity = ReadCapacity(aRoot)) {
    return std::move(*capacity);
  }
  if (auto load = ReadLoad(aRoot)) {
    return std::move(*load);
  }
  return std::nullopt;
}

std::string Pack(capnp::MessageBuilder& aMessage)
{
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, aMessage);
  const auto bytes = packed.getArray();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

} // namespace

std::string WritePeerDatagram(const peer_datagram& aDatagram)
{
  if (const auto* offered = std::get_if<offered_notice>(&aDatagram)) {
    return WriteOffered(*offered);
  }
  capnp::MallocMessageBuilder message;
  if (const auto* capacity = std::get_if<capacity_notice>(&aDatagram)) {
    WriteCapacity(message, *capacity);
    return Pack(message);
  }
  if (const auto* load = std::get_if<load_notice>(&aDatagram)) {
    WriteLoad(message, *load);
    return Pack(message);
  }
  auto root = message.initRoot<fleet_wire::PeerDatagram>();
  if (const auto* report = std::get_if<node_report>(&aDatagram)) {
    Write(root.initReport(), *report);
  } else if (const auto* request = std::get_if<token_request>(&aDatagram)) {
    Write(root.initRequest(), *request);
  } else if (const auto* notice = std::get_if<crash_notice>(&aDatagram)) {
    Write(root.initCrashes(), *notice);
  } else if (const auto* pauses = std::get_if<pause_notice>(&aDatagram)) {
    WritePauses(root.initPauses(), pauses->mPauses);
  } else if (const auto* streams = std::get_if<stream_notice>(&aDatagram)) {
    Write(root.initStreams(), *streams);
  } else if (const auto* query = std::get_if<stream_query>(&aDatagram)) {
    Write(root.initStreamQuery(), *query);
  } else if (const auto* answer = std::get_if<stream_answer>(&aDatagram)) {
    Write(root.initStreamAnswer(), *answer);
  } else {
    Write(root.initTransfer(), std::get<token_transfer>(aDatagram));
  }
  return Pack(message);
}

std::optional<peer_datagram> ParsePeerDatagram(std::string_view aBytes)
{
  if (aBytes.starts_with(kOfferedMark)) {
    return ParseOffered(aBytes);
  }
  std::optional<peer_datagram> datagram;
  const auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream bytes(kj::arrayPtr(
      reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size()));
    capnp::ReaderOptions limits;
    limits.traversalLimitInWords = kMaxMessageWords;
    capnp::PackedMessageReader reader(bytes, limits);
    const auto root = reader.getRoot<fleet_wire::PeerDatagram>();
    switch (root.which()) {
      case fleet_wire::PeerDatagram::REPORT:
        datagram = Read(root.getReport());
        break;
      case fleet_wire::PeerDatagram::REQUEST:
        datagram = Read(root.getRequest());
        break;
      case fleet_wire::PeerDatagram::TRANSFER: {
        const token_transfer transfer = Read(root.getTransfer());
        if (transfer.mTokens > 0 && transfer.mTokens <= kMaxWholeNumber) {
          datagram = transfer;
        }
        break;
      }
      case fleet_wire::PeerDatagram::CRASHES:
        datagram = Read(root.getCrashes());
        break;
      case fleet_wire::PeerDatagram::PAUSES:
        datagram = pause_notice{ ReadPauses(root.getPauses()) };
        break;
      case fleet_wire::PeerDatagram::STREAMS:
        datagram = Read(root.getStreams());
        break;
      case fleet_wire::PeerDatagram::STREAM_QUERY:
        datagram = Read(root.getStreamQuery());
        break;
      case fleet_wire::PeerDatagram::STREAM_ANSWER:
        datagram = Read(root.getStreamAnswer());
        break;
      default:
        datagram = ReadLayout(reader.getRoot<capnp::AnyPointer>());
        break;
    }
  });
  return failure == nullptr ? datagram : std::nullopt;
}
