#include "Gateway/PeerTransport.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <limits>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <fmt/format.h>
#include <glib-unix.h>
#include <kj/exception.h>

#include "Capacity/ObservationTargets.h"
#include "Common/CallbackGuard.h"
#include "Common/Log.h"
#include "Gateway/Fleet.capnp.h"
#include "Net/HttpStatus.h"
#include "Net/LinkTraffic.h"

namespace {

using std::chrono::milliseconds;

// Largest datagram accepted, in bytes; reports of 70 nodes and 140 servers need
// 6 KB.
constexpr std::size_t kMaxDatagramBytes = 65536;
constexpr int kMaxDatagramsPerRead = 64;
constexpr milliseconds kSnapshotFetchTimeout(1500);
constexpr tcp_liveness kPeerLiveness{ milliseconds(1500) };
// Share of the link of the host that snapshots may take.
constexpr double kSnapshotLinkShare = 0.25;
constexpr const char* kSnapshotPath = "/snapshot";
// Limit of a snapshot: a configuration of 1 MB and the entries of thousands of
// servers.
constexpr std::size_t kMaxSnapshotBytes = 8'000'000;
constexpr std::uint64_t kMaxSnapshotWords =
  kMaxSnapshotBytes / sizeof(capnp::word);
// A peer asks for snapshots without a body.
constexpr std::uint64_t kMaxPeerBodyBytes = 1024;

/// The conversion of the library ends at a NUL byte.
kj::StringPtr WriteText(const std::string& aText)
{
  return { aText.data(), aText.size() };
}

std::string WriteSnapshot(const state_snapshot& aSnapshot, time_point aNow)
{
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<fleet_wire::StateSnapshot>();
  std::size_t rowCount = 0;
  for (const auto& [name, copy] : aSnapshot) {
    rowCount += copy.mRows.size();
  }
  auto rows = root.initRows(static_cast<unsigned>(rowCount));
  auto tables = root.initTables(static_cast<unsigned>(aSnapshot.size()));
  unsigned nextRow = 0;
  unsigned nextTable = 0;
  for (const auto& [name, copy] : aSnapshot) {
    auto table = tables[nextTable++];
    table.setTable(name);
    table.setVersion(copy.mVersion);
    table.setEra(copy.mEra);
    const auto age =
      std::chrono::duration_cast<milliseconds>(aNow - copy.mCurrentAt).count();
    table.setAgeMs(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      age, 0, std::numeric_limits<std::uint32_t>::max())));
    for (const stored_row& row : copy.mRows) {
      auto entry = rows[nextRow++];
      entry.setTable(WriteText(row.mKey.mTable));
      entry.setKey(WriteText(row.mKey.mKey));
      entry.setValue({ reinterpret_cast<const kj::byte*>(row.mValue.data()),
                       row.mValue.size() });
      entry.setVersion(row.mVersion);
    }
  }
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

/// The whole text; it may hold NUL bytes.
std::string ReadText(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

/// `aRequestedAt` is the local time before which the peer did not write it.
state_snapshot ParseSnapshot(const std::string& aBytes, time_point aRequestedAt)
{
  state_snapshot snapshot;
  auto aligned =
    kj::heapArray<capnp::word>(aBytes.size() / sizeof(capnp::word));
  std::memcpy(aligned.begin(), aBytes.data(), aligned.asBytes().size());
  const auto failure = kj::runCatchingExceptions([&] {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxSnapshotWords;
    capnp::FlatArrayMessageReader reader(aligned, options);
    const auto root = reader.getRoot<fleet_wire::StateSnapshot>();
    for (const auto table : root.getTables()) {
      table_copy& copy = snapshot[ReadText(table.getTable())];
      copy.mVersion = table.getVersion();
      copy.mEra = table.getEra();
      copy.mCurrentAt = aRequestedAt - milliseconds(table.getAgeMs());
    }
    for (const auto entry : root.getRows()) {
      stored_row row;
      row.mKey.mTable = ReadText(entry.getTable());
      row.mKey.mKey = ReadText(entry.getKey());
      const auto value = entry.getValue();
      row.mValue.assign(reinterpret_cast<const char*>(value.begin()),
                        value.size());
      row.mVersion = entry.getVersion();
      snapshot[row.mKey.mTable].mRows.push_back(std::move(row));
    }
  });
  if (failure != nullptr) {
    Log(log_level::Warning, "snapshot_unreadable");
    snapshot.clear();
  }
  return snapshot;
}

} // namespace

/// HTTP request for the tables of a peer.
class peer_transport::snapshot_fetch final
  : public http_client_exchange_observer
{
public:
  snapshot_fetch(const tcp_address& aPeer,
                 time_point aNow,
                 snapshot_callback aReply)
    : mConnection(aPeer, kPeerLiveness)
    , mRequestedAt(aNow)
    , mDeadline(aNow + kSnapshotFetchTimeout)
    , mReply(std::move(aReply))
  {
    mConnection.Start(
      fmt::format("GET {} HTTP/1.1\r\nHost: peer\r\n\r\n", kSnapshotPath),
      {},
      false,
      *this);
  }

  bool Finished(time_point aNow) const
  {
    return mFinished || aNow >= mDeadline;
  }

private:
  bool OnResponse(http_client_connection&,
                  http_client_response aResponse) override
  {
    mStatus = aResponse.mStatus;
    return true;
  }
  void OnBody(std::string_view aBytes) override
  {
    if (mBody.size() + aBytes.size() <= kMaxSnapshotBytes) {
      mBody.append(aBytes);
      return;
    }
    mFinished = true;
    mBody = {};
    Log(log_level::Warning,
        "snapshot_failed",
        { Field("peer", FormatTcpAddress(mConnection.Address())),
          Field("reason", "too_long"),
          Field("limit_bytes", kMaxSnapshotBytes) });
    mConnection.Cancel();
  }
  void OnComplete(bool) override
  {
    mFinished = true;
    if (mStatus == http_status::kOk) {
      mReply(ParseSnapshot(mBody, mRequestedAt));
      return;
    }
    Log(log_level::Info,
        "snapshot_failed",
        { Field("peer", FormatTcpAddress(mConnection.Address())),
          Field("status", mStatus) });
    mReply({});
  }
  void OnExchangeFailed(exchange_failure aFailure) override
  {
    mFinished = true;
    Log(log_level::Info,
        "snapshot_failed",
        { Field("peer", FormatTcpAddress(mConnection.Address())),
          Field("reason", ExchangeFailureName(aFailure)) });
  }

  http_client_connection mConnection;
  time_point mRequestedAt;
  time_point mDeadline;
  snapshot_callback mReply;
  unsigned mStatus = 0;
  std::string mBody;
  bool mFinished = false;
};

peer_transport::peer_transport(fleet_view& aView,
                               token_allowance& aTokenAllowance,
                               crash_exchange& aCrashes,
                               stream_origins& aStreams,
                               admission_control& aAdmission,
                               const time_source& aTime,
                               double aLinkBytesPerSecond,
                               snapshot_source aSnapshot)
  : mView(aView)
  , mTokenAllowance(aTokenAllowance)
  , mCrashes(aCrashes)
  , mStreams(aStreams)
  , mAdmission(aAdmission)
  , mTime(aTime)
  , mLinkBytesPerSecond(aLinkBytesPerSecond)
  , mSnapshot(std::move(aSnapshot))
{
}

peer_transport::~peer_transport()
{
  if (mWatch != 0) {
    g_source_remove(mWatch);
  }
  if (mSocket >= 0) {
    close(mSocket);
  }
}

bool peer_transport::Start(const tcp_address& aAddress, std::string& aError)
{
  mSocket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in native = ToSockaddr(aAddress);
  if (mSocket < 0 || bind(mSocket,
                          reinterpret_cast<const sockaddr*>(&native),
                          sizeof native) != 0) {
    aError = std::strerror(errno);
    return false;
  }
  mWatch = g_unix_fd_add(mSocket, G_IO_IN, OnReadable, this);
  mListener = http_listener::Listen(aAddress, *this, mTime, aError);
  if (mListener) {
    http_server_limits limits;
    limits.mBodyBytes = kMaxPeerBodyBytes;
    mListener->SetLimits(limits);
  }
  return mListener != nullptr;
}

void peer_transport::Send(const std::string& aTo, const std::string& aBytes)
{
  const auto address = ParseTcpAddress(aTo);
  if (!address) {
    return;
  }
  const sockaddr_in native = ToSockaddr(*address);
  // Lost datagrams do no harm: reports are superseded and requests repeated.
  const ssize_t sent = sendto(mSocket,
                              aBytes.data(),
                              aBytes.size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL,
                              reinterpret_cast<const sockaddr*>(&native),
                              sizeof native);
  if (sent > 0) {
    ProcessTraffic().mSent += static_cast<std::uint64_t>(sent);
  }
}

void peer_transport::SendReports()
{
  ++mRound;
  const time_point now = mTime.Now();
  std::vector<std::string> datagrams{ WritePeerDatagram(
    mView.ComposeReport(mRound, now)) };
  for (const crash_notice& notice : mCrashes.ComposeNotices(now)) {
    datagrams.push_back(WritePeerDatagram(notice));
  }
  for (const std::string& target : mView.ReportTargets(mRound)) {
    for (const std::string& bytes : datagrams) {
      Send(target, bytes);
    }
  }
}

void peer_transport::SendOfferedCosts(const std::vector<offered_cost>& aCosts)
{
  const std::string bytes =
    WritePeerDatagram(offered_notice{ NodeKey(mView.Self().mAddress), aCosts });
  for (const std::string& target : mView.ReportTargets(mRound)) {
    Send(target, bytes);
  }
}

void peer_transport::SendCrashNews()
{
  const time_point now = mTime.Now();
  for (const crash_notice& notice : mCrashes.TakeNews(now)) {
    SendToAll(notice, now);
  }
}

void peer_transport::SendPauses(const server_pauses& aPauses)
{
  if (!aPauses.empty()) {
    SendToAll(pause_notice{ aPauses }, mTime.Now());
  }
}

void peer_transport::SendLoad(load_notice aNotice)
{
  aNotice.mAddress = mView.Self().mAddress;
  aNotice.mRun = mView.Self().mRun;
  SendToAll(aNotice, mTime.Now());
}

void peer_transport::SendObservations(const capacity_notice& aNotice)
{
  if (aNotice.mObservations.empty()) {
    return;
  }
  const std::string bytes = WritePeerDatagram(aNotice);
  for (const std::string& peer :
       ObservationTargets(mView.LivePeerAddresses(mTime.Now()),
                          mView.Self().mAddress,
                          ++mObservationRound)) {
    Send(peer, bytes);
  }
}

void peer_transport::SendToAll(const peer_datagram& aDatagram, time_point aNow)
{
  const std::string bytes = WritePeerDatagram(aDatagram);
  for (const std::string& peer : mView.LivePeerAddresses(aNow)) {
    Send(peer, bytes);
  }
}

void peer_transport::SendStreamMessages()
{
  for (const auto& [peer, notice] : mStreams.TakeNotices(mTime.Now())) {
    Send(peer, WritePeerDatagram(notice));
  }
  for (const auto& [peer, query] : mStreams.TakeQueries()) {
    Send(peer, WritePeerDatagram(query));
  }
}

void peer_transport::SendTokenRequests()
{
  for (addressed_request& request :
       mTokenAllowance.TakeTokenRequests(mView.Self().mRun, mTime.Now())) {
    request.mRequest.mAddress = mView.Self().mAddress;
    Send(request.mTo, WritePeerDatagram(request.mRequest));
  }
}

gboolean peer_transport::OnReadable(gint, GIOCondition, gpointer aSelf)
{
  static_cast<peer_transport*>(aSelf)->ReceiveDatagrams();
  return G_SOURCE_CONTINUE;
}

void peer_transport::ReceiveDatagrams()
{
  static std::array<char, kMaxDatagramBytes> sBuffer;
  for (int received = 0; received < kMaxDatagramsPerRead; ++received) {
    const ssize_t size =
      recv(mSocket, sBuffer.data(), sBuffer.size(), MSG_DONTWAIT);
    if (size <= 0) {
      return;
    }
    ProcessTraffic().mReceived += static_cast<std::uint64_t>(size);
    RunGuarded("datagram", [&] {
      const auto datagram =
        ParsePeerDatagram({ sBuffer.data(), static_cast<std::size_t>(size) });
      if (datagram) {
        OnDatagram(*datagram);
      }
    });
  }
}

void peer_transport::OnDatagram(const peer_datagram& aDatagram)
{
  const time_point now = mTime.Now();
  if (const auto* load = std::get_if<load_notice>(&aDatagram)) {
    if (mLearning != nullptr) {
      mLearning->AddPeerWork(mView.OnLoad(*load, now));
    }
  } else if (const auto* capacity = std::get_if<capacity_notice>(&aDatagram)) {
    if (mLearning != nullptr && mLearning->Estimates() != nullptr) {
      mIgnoredObservations += mLearning->Estimates()->OnObservations(*capacity);
    }
  } else if (const auto* report = std::get_if<node_report>(&aDatagram)) {
    mView.OnReport(*report, now);
  } else if (const auto* request = std::get_if<token_request>(&aDatagram)) {
    const bool repeated = mTokenAllowance.WasAnswered(*request);
    const auto transfer = mTokenAllowance.AnswerRequest(*request, now);
    if (transfer && !repeated) {
      Log(log_level::Info,
          "tokens_given",
          { Field("account", transfer->mAccount.mName),
            Field("tokens", transfer->mTokens),
            Field("to", request->mAddress) });
    }
    if (transfer) {
      Send(request->mAddress, WritePeerDatagram(*transfer));
    }
  } else if (const auto* notice = std::get_if<crash_notice>(&aDatagram)) {
    mCrashes.OnNotice(*notice, now);
  } else if (const auto* pauses = std::get_if<pause_notice>(&aDatagram)) {
    mView.OnPauses(pauses->mPauses, now);
  } else if (const auto* streams = std::get_if<stream_notice>(&aDatagram)) {
    mStreams.OnNotice(*streams, now);
  } else if (const auto* query = std::get_if<stream_query>(&aDatagram)) {
    Send(query->mAddress, WritePeerDatagram(mStreams.OnQuery(*query, now)));
  } else if (const auto* answer = std::get_if<stream_answer>(&aDatagram)) {
    mStreams.OnAnswer(*answer, now);
  } else if (const auto* offered = std::get_if<offered_notice>(&aDatagram)) {
    mAdmission.OnReport(offered->mNode, offered->mCosts, now);
  } else {
    mTokenAllowance.OnTransfer(std::get<token_transfer>(aDatagram),
                               mView.Self().mRun);
  }
}

void peer_transport::FetchSnapshot(time_point aOwnCurrentAt,
                                   snapshot_callback aReply)
{
  const time_point now = mTime.Now();
  if (mFetch && !mFetch->Finished(now)) {
    return;
  }
  mFetch.reset();
  const auto peers = mView.StateSources(aOwnCurrentAt, mRound, now);
  if (peers.empty()) {
    return;
  }
  const auto peer = ParseTcpAddress(peers.front());
  if (peer) {
    mFetch = std::make_unique<snapshot_fetch>(*peer, now, std::move(aReply));
  }
}

void peer_transport::OnRequest(http_server_connection& aConnection,
                               http_server_request aRequest)
{
  http_server_response response;
  if (aRequest.mTarget != kSnapshotPath) {
    response.mStatus = http_status::kNotFound;
    aConnection.Respond(response, {});
    return;
  }
  const time_point now = mTime.Now();
  aConnection.SetCloseAfterResponse();
  if (now < mNextSnapshotAt) {
    response.mStatus = http_status::kServiceUnavailable;
    aConnection.Respond(response, {});
    return;
  }
  const std::string snapshot = WriteSnapshot(mSnapshot(), now);
  if (mLinkBytesPerSecond > 0.0) {
    mNextSnapshotAt =
      now + std::chrono::duration_cast<std::chrono::microseconds>(
              std::chrono::duration<double>(
                static_cast<double>(snapshot.size()) /
                (mLinkBytesPerSecond * kSnapshotLinkShare)));
  }
  aConnection.Respond(response, snapshot);
}

void peer_transport::CheckDeadlines(time_point aNow)
{
  mListener->CheckDeadlines(aNow);
}
