#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <libsoup/soup.h>

#include "Common/HttpHeaders.h"
#include "Common/Result.h"
#include "Remote/ConnectionSockets.h"

/// Why an HTTP request got no reply. A reply with an error status is a reply.
enum class http_failure : std::uint8_t
{
  /// No connection was established: no byte of the request was sent.
  Unavailable,
  /// No reply before the timeout; the request may have been sent.
  Timeout,
  /// The connection broke or the reply is not HTTP; the request may have been
  /// sent.
  Broken,
};

std::string_view HttpFailureName(http_failure aFailure);

/// One request to a server.
struct http_request
{
  std::string mMethod = "GET";
  /// Complete URL, for example `http://10.0.0.1:80/v1/read`.
  std::string mUrl{};
  /// Content type of the body; ignored when the body is empty.
  std::string mContentType = "application/json";
  std::string mBody{};
  http_headers mHeaders{};
  /// Time until the reply must be complete, or until the response head of a
  /// stream must have arrived.
  std::chrono::milliseconds mTimeout{ 5000 };
};

/// A complete reply, whatever its status.
struct http_reply
{
  unsigned mStatus = 0;
  http_headers mHeaders;
  std::string mBody;
};

struct http_call;

/// Owner of requests. Its destruction cancels the open ones; their callbacks
/// are not called.
class http_request_owner
{
public:
  http_request_owner() = default;
  ~http_request_owner() { CancelAll(); }
  http_request_owner(const http_request_owner&) = delete;
  http_request_owner& operator=(const http_request_owner&) = delete;

  void CancelAll();
  /// Number of requests in progress.
  std::size_t Open() const { return mCalls.size(); }

private:
  friend class http_client;
  friend struct http_call;
  std::set<http_call*> mCalls;
};

/// The HTTP client of a process on one libsoup session, with connection limits
/// for a node with hundreds of concurrent streams.
class http_client
{
public:
  using callback = std::function<void(result<http_reply, http_failure>)>;

  http_client();
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request at most once and reads the whole reply. The callback runs
  /// on the loop, never from inside this call, and not after `aOwner` was
  /// destroyed.
  void Send(const http_request& aRequest,
            http_request_owner& aOwner,
            callback aCallback);

  SoupSession* Session() { return mSession; }
  const connection_sockets& Sockets() const { return *mSockets; }

private:
  SoupSession* mSession;
  std::shared_ptr<connection_sockets> mSockets;
};

/// Creates the libsoup message of a request; null when the URL is not valid.
/// The caller owns the reference.
SoupMessage* MakeSoupMessage(const http_request& aRequest);

/// Allows a message to reuse a connection and prevents libsoup from sending it
/// a second time when that connection breaks.
void SendOnlyOnce(SoupMessage* aMessage, GCancellable* aCancellable);

/// Copies header fields out of libsoup's representation.
/// Whether the head of a reply is one of HTTP. libsoup passes on any number as
/// a status, and any text before a colon as a name.
bool IsSoundHead(unsigned aStatus, const http_headers& aHeaders);
http_headers CopyHeaders(SoupMessageHeaders* aHeaders);
