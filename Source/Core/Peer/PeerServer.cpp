#include "Peer/PeerServer.h"

#include <list>
#include <utility>

#include <capnp/rpc-twoparty.h>
#include <glib-unix.h>

#include "Common/EventLoop.h"
#include "Peer/Peer.capnp.h"
#include "Peer/PeerLoop.h"
#include "Peer/PeerStream.h"

namespace {

constexpr int kListenBacklog = 256;
/// Connections accepted per dispatch, so that a burst of them does not block
/// the main loop.
constexpr int kAcceptsPerDispatch = 16;
/// Bytes of unsent replies above which a connection is closed, because its
/// caller does not read them.
constexpr std::size_t kMaxUnsentBytes = 4 * 1024 * 1024;
/// Largest message from a caller, in words of 8 bytes.
constexpr std::uint64_t kMaxCallWords = 128 * 1024;

std::string_view ToView(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

capnp::Data::Reader ToBytes(std::string_view aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

capnp::ReaderOptions CallOptions()
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxCallWords;
  return options;
}

std::string SocketAddressText(GSocket* aSocket)
{
  GSocketAddress* address = g_socket_get_local_address(aSocket, nullptr);
  if (address == nullptr) {
    return {};
  }
  char* text = g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(address));
  std::string result = text;
  g_free(text);
  g_object_unref(address);
  return result;
}

} // namespace

struct peer_server::state
{
  struct connection;
  class gate;
  class session;

  state(peer_server_settings aSettings,
        peer_key_ring aKeys,
        peer_call_handler& aHandler)
    : mSettings(std::move(aSettings))
    , mKeys(std::move(aKeys))
    , mHandler(aHandler)
  {
  }
  ~state();

  bool Bind(GSocketAddress* aAddress);
  void AcceptConnections();
  void AddConnection(peer_socket aSocket);
  void RemoveClosedConnections();
  peer_wire::Status DispatchMethod(peer_method aMethod,
                                   const node_id& aFrom,
                                   std::string_view aBody,
                                   std::string& aReply);
  template<class Message, class Handler>
  peer_wire::Status DecodeAndHandle(std::string_view aBody,
                                    std::string& aReply,
                                    const Handler& aCall);

  std::shared_ptr<peer_loop> mLoop = peer_loop::Get();
  peer_server_settings mSettings;
  peer_key_ring mKeys;
  peer_call_handler& mHandler;
  peer_server_counters mCounters;
  peer_socket mListener;
  std::string mAddress;
  guint mAcceptSource = 0;
  loop_timer mCleanupTimer;
  std::list<connection> mConnections;
};

struct peer_server::state::connection
{
  connection(state& aServer, peer_socket aSocket);

  state& mServer;
  std::chrono::steady_clock::time_point mIdleDeadline;
  bool mClosed = false;
  peer_stream mStream;
  capnp::TwoPartyVatNetwork mNetwork;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> mRpc;
  kj::Promise<void> mDisconnect;
};

/// Authenticates and handles the calls of one opened connection.
class peer_server::state::session final : public peer_wire::Peer::Server
{
public:
  session(connection& aConnection, peer_signing_context aSigningContext)
    : mConnection(aConnection)
    , mSigningContext(std::move(aSigningContext))
  {
  }

  kj::Promise<void> heartbeat(HeartbeatContext aContext) override
  {
    return HandleCall(peer_method::Heartbeat, aContext);
  }
  kj::Promise<void> holdCharges(HoldChargesContext aContext) override
  {
    return HandleCall(peer_method::HoldCharges, aContext);
  }
  kj::Promise<void> dropCharges(DropChargesContext aContext) override
  {
    return HandleCall(peer_method::DropCharges, aContext);
  }
  kj::Promise<void> quarantine(QuarantineContext aContext) override
  {
    return HandleCall(peer_method::Quarantine, aContext);
  }

private:
  template<class Context>
  kj::Promise<void> HandleCall(peer_method aMethod, Context& aContext)
  {
    const auto call = aContext.getParams();
    const peer_key* key = nullptr;
    peer_wire::Status status = Authenticate(aMethod, call, key);
    std::string body;
    if (status == peer_wire::Status::OK) {
      status = mConnection.mServer.DispatchMethod(
        aMethod, mSigningContext.mCaller, ToView(call.getBody()), body);
    }
    auto reply = aContext.getResults();
    reply.setStatus(status);
    if (status == peer_wire::Status::OK) {
      const peer_signature mac = SignMessage(
        *key, mSigningContext, true, aMethod, call.getCounter(), body);
      reply.setBody(ToBytes(body));
      reply.setMac({ mac.data(), mac.size() });
    }
    return kj::READY_NOW;
  }

  peer_wire::Status Authenticate(peer_method aMethod,
                                 peer_wire::Call::Reader aCall,
                                 const peer_key*& aKey)
  {
    peer_server_counters& counters = mConnection.mServer.mCounters;
    ++counters.mCalls;
    const auto id = aCall.getKeyId();
    aKey = mConnection.mServer.mKeys.Find({ id.begin(), id.size() });
    if (aKey == nullptr) {
      ++counters.mUnknownKey;
      return peer_wire::Status::UNKNOWN_KEY;
    }
    const peer_signature expected = SignMessage(*aKey,
                                                mSigningContext,
                                                false,
                                                aMethod,
                                                aCall.getCounter(),
                                                ToView(aCall.getBody()));
    if (!SignaturesMatch(expected, ToView(aCall.getMac()))) {
      ++counters.mBadSignature;
      return peer_wire::Status::BAD_SIGNATURE;
    }
    if (aCall.getCounter() <= mLastCounter) {
      ++counters.mReplayed;
      return peer_wire::Status::REPLAYED;
    }
    mLastCounter = aCall.getCounter();
    mConnection.mIdleDeadline = std::chrono::steady_clock::now() +
                                mConnection.mServer.mSettings.mIdleTimeout;
    return peer_wire::Status::OK;
  }

  connection& mConnection;
  peer_signing_context mSigningContext;
  std::uint64_t mLastCounter = 0;
};

/// Bootstrap object of a connection; opens its session.
class peer_server::state::gate final : public peer_wire::Gate::Server
{
public:
  explicit gate(connection& aConnection)
    : mConnection(aConnection)
  {
  }

  kj::Promise<void> open(OpenContext aContext) override
  {
    const auto params = aContext.getParams();
    auto results = aContext.getResults();
    state& server = mConnection.mServer;
    const auto receiver = params.getReceiver();
    if (std::string_view(receiver.begin(), receiver.size()) !=
        server.mSettings.mSelf.mName) {
      ++server.mCounters.mWrongReceiver;
      results.setStatus(peer_wire::Status::WRONG_RECEIVER);
      return kj::READY_NOW;
    }
    if (params.getNonce().size() != kNonceBytes || mOpened) {
      ++server.mCounters.mMalformed;
      results.setStatus(peer_wire::Status::MALFORMED);
      return kj::READY_NOW;
    }
    mOpened = true;
    peer_signing_context signingContext;
    signingContext.mCaller.mName = params.getCaller();
    signingContext.mReceiver = server.mSettings.mSelf;
    signingContext.mCallerNonce = ToView(params.getNonce());
    signingContext.mReceiverNonce = MakeNonce();
    results.setNonce(ToBytes(signingContext.mReceiverNonce));
    results.setPeer(kj::heap<session>(mConnection, std::move(signingContext)));
    return kj::READY_NOW;
  }

private:
  connection& mConnection;
  bool mOpened = false;
};

peer_server::state::connection::connection(state& aServer, peer_socket aSocket)
  : mServer(aServer)
  , mIdleDeadline(std::chrono::steady_clock::now() +
                  aServer.mSettings.mIdleTimeout)
  , mStream(std::move(aSocket),
            aServer.mCounters.mBytesIn,
            aServer.mCounters.mBytesOut)
  , mNetwork(mStream, capnp::rpc::twoparty::Side::SERVER, CallOptions())
  , mRpc(capnp::makeRpcServer(mNetwork, kj::heap<gate>(*this)))
  , mDisconnect(mNetwork.onDisconnect()
                  .then([this] { mClosed = true; },
                        [this](kj::Exception&&) { mClosed = true; })
                  .eagerlyEvaluate(nullptr))
{
}

peer_server::state::~state()
{
  if (mAcceptSource != 0) {
    g_source_remove(mAcceptSource);
  }
}

bool peer_server::state::Bind(GSocketAddress* aAddress)
{
  mListener = MakePeerSocket(aAddress);
  if (!mListener ||
      g_socket_bind(mListener.Get(), aAddress, TRUE, nullptr) == FALSE) {
    return false;
  }
  g_socket_set_listen_backlog(mListener.Get(), kListenBacklog);
  if (g_socket_listen(mListener.Get(), nullptr) == FALSE) {
    return false;
  }
  mAddress = SocketAddressText(mListener.Get());
  mAcceptSource = g_unix_fd_add(
    mListener.Fd(),
    G_IO_IN,
    [](gint, GIOCondition, gpointer aSelf) -> gboolean {
      static_cast<state*>(aSelf)->AcceptConnections();
      return G_SOURCE_CONTINUE;
    },
    this);
  constexpr std::chrono::milliseconds kCleanupInterval{ 500 };
  mCleanupTimer.Every(kCleanupInterval, [this] { RemoveClosedConnections(); });
  return true;
}

void peer_server::state::AcceptConnections()
{
  for (int i = 0; i < kAcceptsPerDispatch; ++i) {
    peer_socket socket(g_socket_accept(mListener.Get(), nullptr, nullptr));
    if (!socket) {
      return;
    }
    ++mCounters.mConnections;
    if (mConnections.size() >= mSettings.mMaxConnections) {
      ++mCounters.mRejectedConnections;
      continue;
    }
    AddConnection(std::move(socket));
  }
}

void peer_server::state::AddConnection(peer_socket aSocket)
{
  ConfigurePeerSocket(aSocket);
  mConnections.emplace_back(*this, std::move(aSocket));
  mCounters.mOpenConnections = mConnections.size();
}

// Destroys closed, idle and congested connections. This happens here because a
// connection must not be destroyed from within one of its own events.
void peer_server::state::RemoveClosedConnections()
{
  const auto now = std::chrono::steady_clock::now();
  mConnections.remove_if([now](connection& aConnection) {
    return aConnection.mClosed || now >= aConnection.mIdleDeadline ||
           aConnection.mNetwork.getCurrentQueueSize() > kMaxUnsentBytes;
  });
  mCounters.mOpenConnections = mConnections.size();
}

template<class Message, class Handler>
peer_wire::Status peer_server::state::DecodeAndHandle(std::string_view aBody,
                                                      std::string& aReply,
                                                      const Handler& aCall)
{
  Message message;
  if (!DecodeMessage(aBody, message)) {
    ++mCounters.mMalformed;
    return peer_wire::Status::MALFORMED;
  }
  aReply = EncodeMessage(aCall(message));
  return peer_wire::Status::OK;
}

peer_wire::Status peer_server::state::DispatchMethod(peer_method aMethod,
                                                     const node_id& aFrom,
                                                     std::string_view aBody,
                                                     std::string& aReply)
{
  switch (aMethod) {
    case peer_method::Heartbeat:
      return DecodeAndHandle<heartbeat>(
        aBody, aReply, [&](const auto& aMessage) {
          return mHandler.OnHeartbeat(aFrom, aMessage);
        });
    case peer_method::HoldCharges:
      return DecodeAndHandle<hold_charges_request>(
        aBody, aReply, [&](const auto& aMessage) {
          return mHandler.OnHoldCharges(aFrom, aMessage);
        });
    case peer_method::DropCharges:
      return DecodeAndHandle<drop_charges_request>(
        aBody, aReply, [&](const auto& aMessage) {
          mHandler.OnDropCharges(aFrom, aMessage);
          return peer_ack{};
        });
    case peer_method::Quarantine:
      return DecodeAndHandle<quarantine_message>(
        aBody, aReply, [&](const auto& aMessage) {
          mHandler.OnQuarantine(aFrom, aMessage);
          return peer_ack{};
        });
  }
  return peer_wire::Status::MALFORMED;
}

result<std::unique_ptr<peer_server>, peer_listen_error> peer_server::Listen(
  peer_server_settings aSettings,
  peer_key_ring aKeys,
  peer_call_handler& aHandler)
{
  GSocketAddress* address = ParsePeerAddress(aSettings.mAddress.c_str());
  if (address == nullptr) {
    return peer_listen_error::BadAddress;
  }
  auto server =
    std::make_unique<state>(std::move(aSettings), std::move(aKeys), aHandler);
  const bool bound = server->Bind(address);
  g_object_unref(address);
  if (!bound) {
    return peer_listen_error::CannotBind;
  }
  return std::unique_ptr<peer_server>(new peer_server(std::move(server)));
}

peer_server::peer_server(std::unique_ptr<state> aState)
  : mState(std::move(aState))
{
}

peer_server::~peer_server() = default;

const std::string& peer_server::Address() const
{
  return mState->mAddress;
}

void peer_server::SetKeys(peer_key_ring aKeys)
{
  mState->mKeys = std::move(aKeys);
}

const peer_server_counters& peer_server::Counters() const
{
  return mState->mCounters;
}
