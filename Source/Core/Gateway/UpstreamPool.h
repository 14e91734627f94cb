#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "Common/Time.h"
#include "Net/HttpConnection.h"

/// Pool of idle connections to servers.
class upstream_pool
{
public:
  /// `aLiveness` is the TCP timeout after which a connection to a server that
  /// acknowledges nothing breaks.
  explicit upstream_pool(tcp_liveness aLiveness)
    : mLiveness(aLiveness)
  {
  }

  /// Returns an idle connection to the server for a request, or a new one.
  /// Connections on which a late copy of an earlier response would pass for the
  /// response to the request stay idle.
  std::unique_ptr<http_client_connection> Acquire(const tcp_address& aAddress,
                                                  std::string_view aRequestId,
                                                  time_point aNow);
  /// Returns a connection to the pool, which keeps it until `aUntil`. It is
  /// closed if the pool has `aMaxIdle` idle connections to the server already.
  void Release(std::unique_ptr<http_client_connection> aConnection,
               time_point aUntil,
               std::size_t aMaxIdle);
  /// Whether an idle connection to the server is open.
  bool HasIdle(const tcp_address& aAddress) const;
  /// Closes connections that are past their time or were closed by the server.
  void Expire(time_point aNow);

  std::uint64_t Opened() const { return mOpened; }

private:
  std::unique_ptr<http_client_connection> TakeIdle(const tcp_address& aAddress,
                                                   std::string_view aRequestId,
                                                   time_point aNow);

  struct idle_connection
  {
    std::unique_ptr<http_client_connection> mConnection;
    time_point mUntil;
  };

  tcp_liveness mLiveness;
  std::uint64_t mOpened = 0;
  std::map<tcp_address, std::vector<idle_connection>> mIdle;
};
