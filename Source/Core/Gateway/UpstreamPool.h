#pragma once

#include <map>
#include <memory>
#include <vector>

#include "Common/Time.h"
#include "Net/HttpConnection.h"

/// Kept connections to servers.
class upstream_pool
{
public:
  /// Break of a connection whose server does not acknowledge anything.
  explicit upstream_pool(tcp_liveness aLiveness)
    : mLiveness(aLiveness)
  {
  }

  /// A kept connection to the server, or a new one.
  std::unique_ptr<http_client_connection> Take(const tcp_address& aAddress,
                                               time_point aNow);
  /// Keeps an idle connection until `aUntil`, unless `aMost` connections to the
  /// server are kept already.
  void Keep(std::unique_ptr<http_client_connection> aConnection,
            time_point aUntil,
            std::size_t aMost);
  /// Drops connections that are over time or were closed by the server.
  void Expire(time_point aNow);

  std::uint64_t Opened() const { return mOpened; }

private:
  struct idle_connection
  {
    std::unique_ptr<http_client_connection> mConnection;
    time_point mUntil;
  };

  tcp_liveness mLiveness;
  std::uint64_t mOpened = 0;
  std::map<tcp_address, std::vector<idle_connection>> mIdle;
};
