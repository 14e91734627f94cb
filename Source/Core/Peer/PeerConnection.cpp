#include "Peer/PeerConnection.h"

#include <utility>

#include <glib-unix.h>

namespace {

/// Largest accepted message from a peer, in words of 8 bytes: 1 MiB.
constexpr std::uint64_t kMaxReplyWords = 128 * 1024;

std::string_view ToView(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

capnp::Data::Reader ToBytes(std::string_view aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

kj::StringPtr ToTextReader(const std::string& aText)
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

peer_rpc_link::peer_rpc_link(peer_stream& aStream)
  : mNetwork(aStream, capnp::rpc::twoparty::Side::CLIENT, ReplyOptions())
  , mRpc(capnp::makeRpcClient(mNetwork))
{
}

peer_wire::Gate::Client peer_rpc_link::Bootstrap()
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
                                 report_functions aReports)
  : mKeys(aKeys)
  , mCounters(aCounters)
  , mReports(std::move(aReports))
{
  mSigningContext.mCaller = std::move(aSelf);
  mSigningContext.mReceiver = std::move(aPeer);
  ++mCounters.mConnects;
  mConnectingSocket = MakePeerSocket(aAddress);
  if (!mConnectingSocket) {
    End(peer_error::Unreachable);
    return;
  }
  GError* error = nullptr;
  const bool connected =
    g_socket_connect(mConnectingSocket.Get(), aAddress, nullptr, &error) !=
    FALSE;
  const bool pending =
    !connected && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
  g_clear_error(&error);
  if (!connected && !pending) {
    End(peer_error::Unreachable);
    return;
  }
  mConnectSource =
    g_unix_fd_add(mConnectingSocket.Fd(),
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
                                      GIOCondition /*aCondition*/,
                                      gpointer aSelf)
{
  auto* self = static_cast<peer_connection*>(aSelf);
  self->mConnectSource = 0;
  if (g_socket_check_connect_result(self->mConnectingSocket.Get(), nullptr) ==
      FALSE) {
    self->End(peer_error::Unreachable);
  } else {
    self->RequestOpen();
  }
  return G_SOURCE_REMOVE;
}

void peer_connection::RequestOpen()
{
  ConfigurePeerSocket(mConnectingSocket);
  mStream = std::make_unique<peer_stream>(
    std::move(mConnectingSocket), mCounters.mBytesIn, mCounters.mBytesOut);
  mLink = std::make_unique<peer_rpc_link>(*mStream);
  mDisconnect =
    mLink->mNetwork.onDisconnect()
      .then([this] { End(peer_error::Unreachable); },
            [this](kj::Exception&&) { End(peer_error::Unreachable); })
      .eagerlyEvaluate(nullptr);
  mSigningContext.mCallerNonce = MakeNonce();
  auto request = mLink->Bootstrap().openRequest();
  request.setCaller(ToTextReader(mSigningContext.mCaller.mName));
  request.setReceiver(ToTextReader(mSigningContext.mReceiver.mName));
  request.setNonce(ToBytes(mSigningContext.mCallerNonce));
  mOpening =
    request.send()
      .then([this](capnp::Response<peer_wire::Gate::OpenResults>&& aResults) {
        OnOpenReply(aResults);
      })
      .eagerlyEvaluate(
        [this](kj::Exception&&) { End(peer_error::Unreachable); });
}

void peer_connection::OnOpenReply(peer_wire::Gate::OpenResults::Reader aResults)
{
  if (aResults.getStatus() != peer_wire::Status::OK) {
    End(ToError(aResults.getStatus()));
    return;
  }
  if (aResults.getNonce().size() != kNonceBytes) {
    End(peer_error::Malformed);
    return;
  }
  mSigningContext.mReceiverNonce = ToView(aResults.getNonce());
  mPeer = aResults.getPeer();
  mOpen = true;
  for (const peer_request& request : std::exchange(mQueued, {})) {
    StartCall(request);
  }
}

void peer_connection::Send(peer_request aRequest)
{
  if (mOpen) {
    StartCall(aRequest);
  } else {
    mQueued.push_back(std::move(aRequest));
  }
}

void peer_connection::StartCall(const peer_request& aRequest)
{
  const peer_key* key = mKeys.Signing();
  if (key == nullptr) {
    mReports.mOnResult(aRequest.mCall, peer_error::NoKey);
    return;
  }
  const std::uint64_t call = aRequest.mCall;
  const std::uint64_t counter = ++mCounter;
  const peer_method method = aRequest.mMethod;
  // The key is copied, so that the reply is verified with the key that signed
  // the call although the key ring may be replaced meanwhile.
  auto promise =
    SendSigned(aRequest, *key, counter)
      .then(
        [this, call, counter, method, signedWith = *key](wire_reply&& aReply) {
          ++mReplies;
          mReports.mOnResult(call,
                             ReadReply(aReply, signedWith, method, counter));
        })
      .eagerlyEvaluate([this, call](kj::Exception&&) {
        mReports.mOnResult(call, peer_error::Unreachable);
      });
  mCalls.emplace(call, kj::mv(promise));
}

template<class Request>
capnp::RemotePromise<peer_wire::Reply> peer_connection::SignAndSend(
  Request aWire,
  const peer_request& aRequest,
  const peer_key& aKey,
  std::uint64_t aCounter)
{
  const peer_signature mac = SignMessage(
    aKey, mSigningContext, false, aRequest.mMethod, aCounter, aRequest.mBody);
  aWire.setCounter(aCounter);
  aWire.setKeyId(ToTextReader(aKey.mId));
  aWire.setBody(ToBytes(aRequest.mBody));
  aWire.setMac({ mac.data(), mac.size() });
  return aWire.send();
}

capnp::RemotePromise<peer_wire::Reply> peer_connection::SendSigned(
  const peer_request& aRequest,
  const peer_key& aKey,
  std::uint64_t aCounter)
{
  switch (aRequest.mMethod) {
    case peer_method::HoldCharges:
      return SignAndSend(mPeer->holdChargesRequest(), aRequest, aKey, aCounter);
    case peer_method::DropCharges:
      return SignAndSend(mPeer->dropChargesRequest(), aRequest, aKey, aCounter);
    case peer_method::Quarantine:
      return SignAndSend(mPeer->quarantineRequest(), aRequest, aKey, aCounter);
    case peer_method::Heartbeat:
      break;
  }
  return SignAndSend(mPeer->heartbeatRequest(), aRequest, aKey, aCounter);
}

peer_call_result peer_connection::ReadReply(peer_wire::Reply::Reader aReply,
                                            const peer_key& aKey,
                                            peer_method aMethod,
                                            std::uint64_t aCounter) const
{
  if (aReply.getStatus() != peer_wire::Status::OK) {
    return ToError(aReply.getStatus());
  }
  const std::string_view body = ToView(aReply.getBody());
  const peer_signature expected =
    SignMessage(aKey, mSigningContext, true, aMethod, aCounter, body);
  if (!SignaturesMatch(expected, ToView(aReply.getMac()))) {
    return peer_error::BadSignature;
  }
  return std::string(body);
}

void peer_connection::Cancel(std::uint64_t aCall)
{
  mCalls.erase(aCall);
  std::erase_if(mQueued, [aCall](const peer_request& aRequest) {
    return aRequest.mCall == aCall;
  });
}

void peer_connection::End(peer_error aError)
{
  if (!std::exchange(mHasEnded, true)) {
    mReports.mOnEnded(aError);
  }
}
