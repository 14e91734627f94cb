#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Gateway/GatewaySession.h"

/// Passes a request to a node that reaches servers, and its response to the
/// client.
///
/// Some clients keep the address of a node for seconds after it is no longer
/// named to them. The other node treats the request as one of a client: it
/// charges the account, keeps the limits and chooses the server.
class request_relay final : public http_client_exchange_observer
{
public:
  /// `aPeers` are the client addresses of nodes, best first.
  request_relay(gateway_context& aContext,
                http_server_connection& aClient,
                relay_request aRequest,
                std::vector<tcp_address> aPeers);
  ~request_relay() override;

  void Advance(time_point aNow);
  /// The client closed its connection.
  void Cancel();
  /// Ends the request because the node has to end.
  void EndAtStop();
  /// Records how long the request takes at least.
  void RecordProgress(time_point aNow);
  void OnClientDrained();
  /// Ends the request because its client does not read.
  void EndSlowClient();

  const std::string& RequestId() const { return mRequest.mRequest.mId; }
  /// Bytes of the request that the other node has not taken.
  std::size_t BytesToNode() const
  {
    return mConnection ? mConnection->PendingBytes() : 0;
  }
  /// Whether the other node is not read because the client is slower.
  bool ReadingPaused() const { return mReadingPaused; }
  bool Finished() const { return mFinished; }

private:
  bool OnResponse(http_client_connection& aConnection,
                  http_client_response aResponse) override;
  void OnBody(std::string_view aBytes) override;
  void OnComplete(bool aReusable) override;
  void OnExchangeFailed(exchange_failure aFailure) override;

  void TryNextPeer();
  /// Ends the request without a response of the peer.
  void EndWithoutResponse(const char* aReason);
  /// Logs that the end of the node breaks the request off.
  void LogCutByStop() const;
  void Finish(unsigned aStatus, const char* aReason);

  gateway_context& mContext;
  http_server_connection* mClient;
  relay_request mRequest;
  held_share mHeldShare;
  std::vector<tcp_address> mPeers;
  std::size_t mNextPeer = 0;
  std::unique_ptr<http_client_connection> mConnection;
  time_point mConnectDeadline;
  unsigned mStatus = 0;
  bool mReadingPaused = false;
  bool mFinished = false;
};
