#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <capnp/rpc-twoparty.h>

#include "Common/Result.h"
#include "Peer/Peer.capnp.h"
#include "Peer/PeerClient.h"
#include "Peer/PeerStream.h"

/// Outcome of a call on the wire: the reply's body.
using peer_body = result<std::string, peer_error>;

/// A call before it is sent.
struct peer_request
{
  std::uint64_t mCall = 0;
  peer_method mMethod = peer_method::Heartbeat;
  std::string mBody;
};

/// The RPC system over a connected stream.
struct peer_link
{
  explicit peer_link(peer_stream& aStream);
  peer_wire::Gate::Client Bootstrap();

  capnp::TwoPartyVatNetwork mNetwork;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> mRpc;
};

/// One connection to a peer, from connecting to its end. Reports outcomes
/// through functions that only record them: a report comes from within an
/// event of this connection, which must not destroy the connection.
class peer_connection
{
public:
  struct reports
  {
    std::function<void(std::uint64_t aCall, peer_body aBody)> mDone;
    /// The connection ended; nothing more is reported.
    std::function<void(peer_error aError)> mEnded;
  };

  /// Begins to connect. `aKeys` and `aCounters` must outlive the connection.
  peer_connection(node_id aSelf,
                  node_id aPeer,
                  GSocketAddress* aAddress,
                  const peer_key_ring& aKeys,
                  peer_client_counters& aCounters,
                  reports aReports);
  ~peer_connection();
  peer_connection(const peer_connection&) = delete;
  peer_connection& operator=(const peer_connection&) = delete;

  /// Sends a call as soon as the connection is open.
  void Send(peer_request aRequest);
  /// Gives a call up.
  void Cancel(std::uint64_t aCall);
  /// True once the peer accepted the connection.
  bool IsOpen() const { return mOpen; }
  /// Replies received so far.
  std::uint64_t Replies() const { return mReplies; }

private:
  using wire_reply = capnp::Response<peer_wire::Reply>;

  static gboolean OnConnected(gint aFd, GIOCondition aWhat, gpointer aSelf);
  void Open();
  void OnOpened(peer_wire::Gate::OpenResults::Reader aResults);
  void Start(const peer_request& aRequest);
  capnp::RemotePromise<peer_wire::Reply> StartMethod(
    const peer_request& aRequest,
    const peer_key& aKey,
    std::uint64_t aCounter);
  template<class Request>
  capnp::RemotePromise<peer_wire::Reply> Fill(Request aWire,
                                              const peer_request& aRequest,
                                              const peer_key& aKey,
                                              std::uint64_t aCounter);
  peer_body ReadReply(peer_wire::Reply::Reader aReply,
                      const peer_key& aKey,
                      peer_method aMethod,
                      std::uint64_t aCounter) const;
  void End(peer_error aError);

  peer_scope mScope;
  const peer_key_ring& mKeys;
  peer_client_counters& mCounters;
  reports mReports;
  peer_socket mConnecting;
  guint mConnectSource = 0;
  bool mOpen = false;
  bool mEnded = false;
  std::uint64_t mCounter = 0;
  std::uint64_t mReplies = 0;
  std::deque<peer_request> mWaiting;
  // In this order, so that promises go before what they use.
  std::unique_ptr<peer_stream> mStream;
  std::unique_ptr<peer_link> mLink;
  std::optional<peer_wire::Peer::Client> mPeer;
  std::map<std::uint64_t, kj::Promise<void>> mCalls;
  kj::Promise<void> mOpening = nullptr;
  kj::Promise<void> mDisconnect = nullptr;
};
