#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <glib.h>

#include "Common/EventLoop.h"
#include "Common/Time.h"
#include "Gateway/FleetView.h"
#include "Gateway/PeerDatagram.h"
#include "Net/HttpListener.h"
#include "Remote/RowStore.h"

/// Datagrams between nodes, and snapshots of the store's rows for nodes that
/// start while the store is out of reach.
class fleet_link final : private http_request_handler
{
public:
  using rows_source = std::function<std::vector<stored_row>()>;
  using rows_callback = std::function<void(const std::vector<stored_row>&)>;

  fleet_link(fleet_view& aView,
             token_escrow& aEscrow,
             const time_source& aTime,
             rows_source aRows);
  ~fleet_link() override;

  /// False with the reason when an address cannot be bound.
  bool Start(const tcp_address& aAddress, std::string& aError);
  /// Sends the report to this round's targets at once.
  void SendReports();
  /// Asks other nodes for prepaid tokens where this one is short.
  void SendTokenRequests();
  /// Asks a live peer for its rows.
  void FetchSnapshot(rows_callback aReply);
  void CheckDeadlines(time_point aNow);

private:
  class snapshot_fetch;

  void OnRequest(http_server_connection& aConnection,
                 http_server_request aRequest) override;
  void OnClientDisconnected(http_server_connection&) override {}
  void OnClientDrained(http_server_connection&) override {}
  void OnConnectionClosed(http_server_connection&) override {}
  void ReceiveDatagrams();
  void OnDatagram(const peer_datagram& aDatagram);
  void Send(const std::string& aTo, const std::string& aBytes);
  static gboolean OnReadable(gint aDescriptor,
                             GIOCondition aCondition,
                             gpointer aSelf);

  fleet_view& mView;
  token_escrow& mEscrow;
  const time_source& mTime;
  rows_source mRows;
  int mSocket = -1;
  guint mWatch = 0;
  std::uint64_t mRound = 0;
  std::unique_ptr<http_listener> mListener;
  std::unique_ptr<snapshot_fetch> mFetch;
};
