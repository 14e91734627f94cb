#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "Remote/HttpClient.h"

/// Head of a streamed response.
struct http_head
{
  unsigned mStatus = 0;
  http_headers mHeaders;
};

/// Handlers of a streamed response. Any of them may destroy the stream.
struct http_stream_handlers
{
  std::function<void(const http_head&)> mOnHead;
  /// One read of the body. The next read starts after this returns, unless
  /// the stream is paused.
  std::function<void(std::string_view)> mOnData;
  /// End of the body, or the failure that ended it. Called once. libsoup
  /// reports a chunked body that breaks off between two chunks as a complete
  /// one, so a reader must look for the final marker of its own protocol.
  std::function<void(std::optional<http_failure>)> mOnEnd;
};

/// A request whose response body is read piece by piece. At most one piece is
/// in memory, so a paused stream holds the sender back.
class http_stream
{
public:
  http_stream(http_client& aClient,
              const http_request& aRequest,
              http_stream_handlers aHandlers);
  /// Cancels the request and closes its connection when it has not ended.
  ~http_stream();
  http_stream(const http_stream&) = delete;
  http_stream& operator=(const http_stream&) = delete;

  /// Starts no more reads.
  void Pause();
  void Resume();
  /// Tells whether a byte of the request may have been sent.
  bool Sent() const;

private:
  struct state;
  state* mState;
};
