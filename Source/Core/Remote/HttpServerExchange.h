#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <glib.h>
#include <libsoup/soup.h>
#include <nlohmann/json_fwd.hpp>

/// One request received by an `http_server` and its response. The exchange
/// keeps itself alive until libsoup has finished with the message; handlers may
/// keep the pointer to respond later.
class http_server_exchange
  : public std::enable_shared_from_this<http_server_exchange>
{
public:
  using callback = std::function<void()>;

  /// Creates the exchange of a message inside the server's handler and pauses
  /// the message. Never returns null.
  static std::shared_ptr<http_server_exchange> Adopt(
    SoupServerMessage* aMessage);
  ~http_server_exchange();
  http_server_exchange(const http_server_exchange&) = delete;
  http_server_exchange& operator=(const http_server_exchange&) = delete;

  SoupServerMessage* Message() { return mMessage; }
  std::string_view Method() const;
  /// Percent-decoded path.
  std::string_view Path() const;
  /// Value of a query parameter, empty when absent.
  std::string Query(const std::string& aName) const;
  /// Value of a request header, empty when absent.
  std::string_view Header(const char* aName) const;
  std::string_view Body() const { return mBody; }

  /// Adds a response header. Must be called before `Reply` or `BeginStream`.
  void AddHeader(const char* aName, const std::string& aValue);
  /// Sends a whole response. No effect after the client has disconnected.
  void Reply(unsigned aStatus,
             const char* aContentType,
             std::string_view aBody);
  void ReplyJson(unsigned aStatus, const nlohmann::json& aBody);
  /// Replies `{"error":{"code","message"}}`.
  void ReplyError(unsigned aStatus,
                  std::string_view aCode,
                  std::string_view aMessage);

  /// Starts a chunked response.
  void BeginStream(unsigned aStatus, const char* aContentType);
  /// Queues bytes of a streamed response. The queue is not bounded, so a writer
  /// has to stop while `Buffered` is above a limit of its own.
  void Write(std::string_view aBytes);
  /// Ends a streamed response after all queued bytes are written.
  void End();
  /// Bytes queued and not yet handed to the connection.
  std::size_t Buffered() const { return mQueuedBytes.size() + mInFlightBytes; }
  /// Sets the callback for `Buffered` falling to zero.
  void OnDrained(callback aCallback) { mOnDrained = std::move(aCallback); }
  /// Sets the callback for the connection ending before the response is
  /// complete. It is called at most once.
  void OnClosed(callback aCallback) { mOnClosed = std::move(aCallback); }
  /// Closes the connection without completing the response. No effect after
  /// `Reply`.
  void Abort();
  /// Aborts the exchange if the client has disconnected.
  void AbortIfDisconnected();
  /// Whether the response can still be written.
  bool Open() const { return !mFinished; }

private:
  explicit http_server_exchange(SoupServerMessage* aMessage);
  void ConnectSignals();
  void StartHead(unsigned aStatus, const char* aContentType);
  void Flush();
  void HandleWroteChunk();
  void HandleFinished();
  bool IsPeerClosed();

  static void OnWroteChunk(SoupServerMessage*, gpointer aSelf);
  static void OnFinished(SoupServerMessage*, gpointer aSelf);

  SoupServerMessage* mMessage;
  std::shared_ptr<http_server_exchange> mSelf;
  GBytes* mBodyData = nullptr;
  std::string_view mBody;
  std::string mQueuedBytes;
  std::size_t mInFlightBytes = 0;
  callback mOnDrained;
  callback mOnClosed;
  bool mStreaming = false;
  bool mEndRequested = false;
  bool mCompleted = false;
  bool mFinished = false;
};

using http_server_exchange_ptr = std::shared_ptr<http_server_exchange>;
