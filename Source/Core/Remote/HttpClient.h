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

/// Why an HTTP request gave no reply. A reply with an error status is a reply.
enum class http_failure : std::uint8_t
{
  /// No connection was made: no byte of the request was sent.
  Unavailable,
  /// No reply in time after the request may have been sent.
  Timeout,
  /// The connection broke after the request may have been sent, or the reply
  /// is not HTTP.
  Broken,
};

std::string_view HttpFailureName(http_failure aFailure);

/// One request. `mUrl` is complete, for example `http://10.0.0.1:80/v1/read`.
struct http_request
{
  std::string mMethod = "GET";
  std::string mUrl{};
  /// Type of the body; without effect when the body is empty.
  std::string mContentType = "application/json";
  std::string mBody{};
  http_headers mHeaders{};
  /// Limit for the whole exchange, or up to the response head of a stream.
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

/// Owner of requests. Its destruction cancels the open ones, and their
/// callbacks are never called afterwards.
class http_owner
{
public:
  http_owner() = default;
  ~http_owner() { CancelAll(); }
  http_owner(const http_owner&) = delete;
  http_owner& operator=(const http_owner&) = delete;

  void CancelAll();
  /// Number of requests without an answer yet.
  std::size_t Open() const { return mCalls.size(); }

private:
  friend class http_client;
  friend struct http_call;
  std::set<http_call*> mCalls;
};

/// The one HTTP session of a process, with limits on connections that fit a
/// node with hundreds of concurrent streams.
class http_client
{
public:
  using callback = std::function<void(result<http_reply, http_failure>)>;

  http_client();
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request, never more than once, and reads the whole reply. The
  /// callback runs on the loop, never from inside this call, and not after
  /// `aOwner` is destroyed.
  void Send(const http_request& aRequest,
            http_owner& aOwner,
            callback aCallback);

  SoupSession* Session() { return mSession; }
  const connection_sockets& Sockets() const { return *mSockets; }

private:
  SoupSession* mSession;
  std::shared_ptr<connection_sockets> mSockets;
};

/// Makes the message of a request, null when the URL is not valid. The caller
/// owns the reference.
SoupMessage* MakeSoupMessage(const http_request& aRequest);

/// Lets a message use a kept connection and keeps libsoup from sending it a
/// second time when that connection breaks.
void SendOnlyOnce(SoupMessage* aMessage, GCancellable* aCancellable);

/// Headers of a response.
http_headers CopyHeaders(SoupMessageHeaders* aHeaders);
