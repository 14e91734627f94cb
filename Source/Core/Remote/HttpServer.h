#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <libsoup/soup.h>
#include <nlohmann/json_fwd.hpp>

#include "Common/EventLoop.h"
#include "Common/Result.h"
#include "Remote/HttpServerExchange.h"

/// Why a server cannot listen.
struct http_listen_error
{
  std::string mAddress;
  std::string mMessage;
};

/// Host and port parts of an address text. Unlike `socket_address` the host is
/// not checked.
struct host_port
{
  std::string mHost;
  std::uint16_t mPort = 0;
};

/// Parses `IP:port`, with brackets around an IPv6 address. The host is empty on
/// error.
host_port ParseHostPort(std::string_view aText);

struct http_server_options
{
  /// Requests with a longer body get status 413.
  std::size_t mMaxBodyBytes = 8U << 20U;
  /// Requests with longer header fields get status 431.
  std::size_t mMaxHeaderBytes = 64U << 10U;
  /// A connection whose request body is not complete this long after its
  /// headers is closed.
  std::chrono::milliseconds mBodyTimeout{ 30'000 };
};

/// HTTP server of the process on libsoup.
class http_server
{
public:
  using handler = std::function<void(const http_server_exchange_ptr&)>;

  explicit http_server(http_server_options aOptions = {});
  /// Closes the listeners and every connection.
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Registers a handler for paths that start with the prefix. The handler with
  /// the longest matching prefix is called. A prefix matches whole segments.
  void Route(const std::string& aPrefix, handler aHandler);
  /// Listens on `IP:port`; port 0 selects a free port.
  result<void, http_listen_error> Listen(const std::string& aAddress);
  /// `IP:port` of the last successful `Listen`, with the actual port; remains
  /// set after `Close`.
  const std::string& Address() const { return mAddress; }
  /// Closes the listeners and every connection; new connections are refused.
  /// `Listen` may be called again. Must not be called from a handler.
  void Close();
  bool Listening() const { return mServer != nullptr; }
  /// Number of requests received, including rejected ones.
  std::uint64_t Requests() const { return mRequests; }

private:
  struct route
  {
    http_server* mServer = nullptr;
    std::string mPrefix;
    handler mHandler;
  };

  static void OnHeadersReceived(SoupServer*,
                                SoupServerMessage*,
                                const char*,
                                GHashTable*,
                                gpointer);
  static void OnRequest(SoupServer*,
                        SoupServerMessage*,
                        const char*,
                        GHashTable*,
                        gpointer);
  void Attach(route& aRoute);

  http_server_options mOptions;
  std::vector<std::unique_ptr<route>> mRoutes;
  SoupServer* mServer = nullptr;
  std::string mAddress;
  std::uint64_t mRequests = 0;
};
