#include "Peer/PeerConnection.h"

#include <utility>

#include <glib-unix.h>

namespace {

/// Largest accepted message from a peer, in words of 8 bytes: 1 MiB.
constexpr std::uint64_t kMaxReplyWords = 128 * 1024;

std::string_view View(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

capnp::Data::Reader Bytes(std::string_view aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

kj::StringPtr ToText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

peer_error ToError(peer_wire::Status aStatus)
{
  switch (aStatus) {
    case peer_wire::Status::UNKNOWN_KEY:
      return peer_error::UnknownKey;
    case peer_wire::Status::BAD_SIGNATURE:
      return peer_error::BadSignature;
    case peer_wire::Status::REPLAYED:
      return peer_error::Replayed;
    case peer_wire::Status::WRONG_RECEIVER:
      return peer_error::WrongReceiver;
    default:
      return peer_error::Malformed;
  }
}

capnp::ReaderOptions ReplyOptions()
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxReplyWords;
  return options;
}

} // namespace

peer_link::peer_link(peer_stream& aStream)
  : mNetwork(aStream, capnp::rpc::twoparty::Side::CLIENT, ReplyOptions())
  , mRpc(capnp::makeRpcClient(mNetwork))
{
}

peer_wire::Gate::Client peer_link::Bootstrap()
{
  capnp::MallocMessageBuilder builder;
  auto vat = builder.initRoot<capnp::rpc::twoparty::VatId>();
  vat.setSide(capnp::rpc::twoparty::Side::SERVER);
  return mRpc.bootstrap(vat).castAs<peer_wire::Gate>();
}

peer_connection::peer_connection(node_id aSelf,
                                 node_id aPeer,
                                 GSocketAddress* aAddress,
                                 const peer_key_ring& aKeys,
                                 peer_client_counters& aCounters,
                                 reports aReports)
  : mKeys(aKeys)
  , mCounters(aCounters)
  , mReports(std::move(aReports))
{
  mScope.mCaller = std::move(aSelf);
  mScope.mReceiver = std::move(aPeer);
  ++mCounters.mConnects;
  mConnecting = MakePeerSocket(aAddress);
  if (!mConnecting) {
    End(peer_error::Unreachable);
    return;
  }
  GError* error = nullptr;
  const bool connected =
    g_socket_connect(mConnecting.Get(), aAddress, nullptr, &error) != FALSE;
  const bool pending =
    !connected && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
  g_clear_error(&error);
  if (!connected && !pending) {
    End(peer_error::Unreachable);
    return;
  }
  mConnectSource =
    g_unix_fd_add(mConnecting.Fd(),
                  static_cast<GIOCondition>(G_IO_OUT | G_IO_ERR | G_IO_HUP),
                  OnConnected,
                  this);
}

peer_connection::~peer_connection()
{
  if (mConnectSource != 0) {
    g_source_remove(mConnectSource);
  }
}

gboolean peer_connection::OnConnected(gint /*aFd*/,
                                      GIOCondition /*aWhat*/,
                                      gpointer aSelf)
{
  auto* self = static_cast<peer_connection*>(aSelf);
  self->mConnectSource = 0;
  if (g_socket_check_connect_result(self->mConnecting.Get(), nullptr) ==
      FALSE) {
    self->End(peer_error::Unreachable);
  } else {
    self->Open();
  }
  return G_SOURCE_REMOVE;
}

void peer_connection::Open()
{
  TunePeerSocket(mConnecting);
  mStream = std::make_unique<peer_stream>(
    std::move(mConnecting), mCounters.mBytesIn, mCounters.mBytesOut);
  mLink = std::make_unique<peer_link>(*mStream);
  mDisconnect =
    mLink->mNetwork.onDisconnect()
      .then([this] { End(peer_error::Unreachable); },
            [this](kj::Exception&&) { End(peer_error::Unreachable); })
      .eagerlyEvaluate(nullptr);
  mScope.mCallerNonce = MakeNonce();
  auto request = mLink->Bootstrap().openRequest();
  request.setCaller(ToText(mScope.mCaller.mName));
  request.setReceiver(ToText(mScope.mReceiver.mName));
  request.setNonce(Bytes(mScope.mCallerNonce));
  mOpening =
    request.send()
      .then([this](capnp::Response<peer_wire::Gate::OpenResults>&& aResults) {
        OnOpened(aResults);
      })
      .eagerlyEvaluate(
        [this](kj::Exception&&) { End(peer_error::Unreachable); });
}

void peer_connection::OnOpened(peer_wire::Gate::OpenResults::Reader aResults)
{
  if (aResults.getStatus() != peer_wire::Status::OK) {
    End(ToError(aResults.getStatus()));
    return;
  }
  if (aResults.getNonce().size() != kNonceBytes) {
    End(peer_error::Malformed);
    return;
  }
  mScope.mReceiverNonce = View(aResults.getNonce());
  mPeer = aResults.getPeer();
  mOpen = true;
  for (const peer_request& request : std::exchange(mWaiting, {})) {
    Start(request);
  }
}

void peer_connection::Send(peer_request aRequest)
{
  if (mOpen) {
    Start(aRequest);
  } else {
    mWaiting.push_back(std::move(aRequest));
  }
}

void peer_connection::Start(const peer_request& aRequest)
{
  const peer_key* key = mKeys.Signing();
  if (key == nullptr) {
    mReports.mDone(aRequest.mCall, peer_error::NoKey);
    return;
  }
  const std::uint64_t call = aRequest.mCall;
  const std::uint64_t counter = ++mCounter;
  const peer_method method = aRequest.mMethod;
  // The key is copied, so that the reply is verified with the key that signed
  // the call although the key ring may be replaced meanwhile.
  auto promise =
    StartMethod(aRequest, *key, counter)
      .then(
        [this, call, counter, method, signedWith = *key](wire_reply&& aReply) {
          ++mReplies;
          mReports.mDone(call, ReadReply(aReply, signedWith, method, counter));
        })
      .eagerlyEvaluate([this, call](kj::Exception&&) {
        mReports.mDone(call, peer_error::Unreachable);
      });
  mCalls.emplace(call, kj::mv(promise));
}

template<class Request>
capnp::RemotePromise<peer_wire::Reply> peer_connection::Fill(
  Request aWire,
  const peer_request& aRequest,
  const peer_key& aKey,
  std::uint64_t aCounter)
{
  const peer_signature mac = SignMessage(
    aKey, mScope, false, aRequest.mMethod, aCounter, aRequest.mBody);
  aWire.setCounter(aCounter);
  aWire.setKeyId(ToText(aKey.mId));
  aWire.setBody(Bytes(aRequest.mBody));
  aWire.setMac({ mac.data(), mac.size() });
  return aWire.send();
}

capnp::RemotePromise<peer_wire::Reply> peer_connection::StartMethod(
  const peer_request& aRequest,
  const peer_key& aKey,
  std::uint64_t aCounter)
{
  switch (aRequest.mMethod) {
    case peer_method::HoldCharges:
      return Fill(mPeer->holdChargesRequest(), aRequest, aKey, aCounter);
    case peer_method::DropCharges:
      return Fill(mPeer->dropChargesRequest(), aRequest, aKey, aCounter);
    case peer_method::Quarantine:
      return Fill(mPeer->quarantineRequest(), aRequest, aKey, aCounter);
    case peer_method::Heartbeat:
      break;
  }
  return Fill(mPeer->heartbeatRequest(), aRequest, aKey, aCounter);
}

peer_body peer_connection::ReadReply(peer_wire::Reply::Reader aReply,
                                     const peer_key& aKey,
                                     peer_method aMethod,
                                     std::uint64_t aCounter) const
{
  if (aReply.getStatus() != peer_wire::Status::OK) {
    return ToError(aReply.getStatus());
  }
  const std::string_view body = View(aReply.getBody());
  const peer_signature expected =
    SignMessage(aKey, mScope, true, aMethod, aCounter, body);
  if (!SameSignature(expected, View(aReply.getMac()))) {
    return peer_error::BadSignature;
  }
  return std::string(body);
}

void peer_connection::Cancel(std::uint64_t aCall)
{
  mCalls.erase(aCall);
  std::erase_if(mWaiting, [aCall](const peer_request& aRequest) {
    return aRequest.mCall == aCall;
  });
}

void peer_connection::End(peer_error aError)
{
  if (!std::exchange(mEnded, true)) {
    mReports.mEnded(aError);
  }
}
