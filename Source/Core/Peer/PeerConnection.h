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

/// Result of a call: the encoded reply or an error.
using peer_call_result = result<std::string, peer_error>;

/// A call to send, identified by the client's call number.
struct peer_request
{
  std::uint64_t mCall = 0;
  peer_method mMethod = peer_method::Heartbeat;
  std::string mBody;
};

/// Client side of the Cap'n Proto RPC system over a connected stream.
struct peer_rpc_link
{
  explicit peer_rpc_link(peer_stream& aStream);
  peer_wire::Gate::Client Bootstrap();

  capnp::TwoPartyVatNetwork mNetwork;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> mRpc;
};

/// One connection to a peer, from connecting to its end. It reports results
/// from within its own events, so the report functions must not destroy the
/// connection; they only record the results for later.
class peer_connection
{
public:
  /// Functions that receive the results of a connection.
  struct report_functions
  {
    std::function<void(std::uint64_t aCall, peer_call_result aBody)> mOnResult;
    /// Called when the connection ended. It is the last report.
    std::function<void(peer_error aError)> mOnEnded;
  };

  /// Starts connecting. `aKeys` and `aCounters` must outlive the connection.
  peer_connection(node_id aSelf,
                  node_id aPeer,
                  GSocketAddress* aAddress,
                  const peer_key_ring& aKeys,
                  peer_client_counters& aCounters,
                  report_functions aReports);
  ~peer_connection();
  peer_connection(const peer_connection&) = delete;
  peer_connection& operator=(const peer_connection&) = delete;

  /// Sends a call, or queues it until the connection is open.
  void Send(peer_request aRequest);
  /// Cancels a call; its result is not reported.
  void Cancel(std::uint64_t aCall);
  /// True once the peer accepted the connection.
  bool IsOpen() const { return mOpen; }
  /// Number of replies received so far.
  std::uint64_t Replies() const { return mReplies; }

private:
  using wire_reply = capnp::Response<peer_wire::Reply>;

  static gboolean OnConnected(gint aFd,
                              GIOCondition aCondition,
                              gpointer aSelf);
  void RequestOpen();
  void OnOpenReply(peer_wire::Gate::OpenResults::Reader aResults);
  void StartCall(const peer_request& aRequest);
  capnp::RemotePromise<peer_wire::Reply> SendSigned(
    const peer_request& aRequest,
    const peer_key& aKey,
    std::uint64_t aCounter);
  template<class Request>
  capnp::RemotePromise<peer_wire::Reply> SignAndSend(
    Request aWire,
    const peer_request& aRequest,
    const peer_key& aKey,
    std::uint64_t aCounter);
  peer_call_result ReadReply(peer_wire::Reply::Reader aReply,
                             const peer_key& aKey,
                             peer_method aMethod,
                             std::uint64_t aCounter) const;
  void End(peer_error aError);

  peer_signing_context mSigningContext;
  const peer_key_ring& mKeys;
  peer_client_counters& mCounters;
  report_functions mReports;
  peer_socket mConnectingSocket;
  guint mConnectSource = 0;
  bool mOpen = false;
  bool mHasEnded = false;
  std::uint64_t mCounter = 0;
  std::uint64_t mReplies = 0;
  std::deque<peer_request> mQueued;
  // Declared in this order, so that promises are destroyed before the objects
  // that they use.
  std::unique_ptr<peer_stream> mStream;
  std::unique_ptr<peer_rpc_link> mLink;
  std::optional<peer_wire::Peer::Client> mPeer;
  std::map<std::uint64_t, kj::Promise<void>> mCalls;
  kj::Promise<void> mOpening = nullptr;
  kj::Promise<void> mDisconnect = nullptr;
};
