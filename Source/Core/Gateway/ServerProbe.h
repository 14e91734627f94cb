#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Gateway/UpstreamRegistry.h"
#include "Net/HttpConnection.h"

/// Asks servers for their health while the host reaches none, to notice when
/// its links are back.
class server_probe
{
public:
  using response_callback =
    std::function<void(const probe_target&, const http_client_response&)>;

  /// `aOnResponse` is called when a server responds, whatever it says.
  explicit server_probe(response_callback aOnResponse);
  ~server_probe();

  /// Asks the next servers if it is time, and gives up old requests.
  void OnTick(const upstream_registry& aServers, time_point aNow);
  /// Gives up all requests.
  void Stop();

private:
  class request;

  response_callback mOnResponse;
  std::vector<std::unique_ptr<request>> mRequests;
  std::size_t mNextTarget = 0;
  time_point mNextAt;
};
