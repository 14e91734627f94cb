#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "Remote/HttpClient.h"

/// Head of a streamed response.
struct http_response_head
{
  unsigned mStatus = 0;
  http_headers mHeaders;
};

/// Callbacks of a streamed response. Any of them may destroy the stream.
struct http_stream_handlers
{
  std::function<void(const http_response_head&)> mOnHead;
  /// Called with the bytes of one read. The next read starts after it returns,
  /// unless the stream is paused.
  std::function<void(std::string_view)> mOnData;
  /// Called once at the end of the body or with the failure that ended it.
  /// libsoup reports a chunked body that ends between two chunks as complete,
  /// so a reader must check for the end marker of its own protocol.
  std::function<void(std::optional<http_failure>)> mOnEnd;
};

/// A request whose response body is read in pieces. At most one piece is in
/// memory, so that a paused stream applies backpressure to the sender.
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

  /// Starts no more reads until `Resume`.
  void Pause();
  void Resume();
  /// True if any byte of the request may have been sent.
  bool Sent() const;

private:
  struct state;
  state* mState;
};
