#include "Remote/HttpServerExchange.h"

#include <cerrno>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <nlohmann/json.hpp>

#include "Common/EventLoop.h"

namespace {

// Interval of the check for disconnected clients. libsoup does not read from a
// connection whose message is paused, so it would not notice a disconnect
// before the next write. A client that shuts down its sending side counts as
// disconnected.
constexpr std::chrono::milliseconds kDisconnectPollInterval(50);

/// Checks the clients of all open exchanges with one timer. GLib would check
/// one source per connection in every loop iteration.
class disconnect_poller
{
public:
  void Add(http_server_exchange* aExchange)
  {
    mExchanges.insert(aExchange);
    if (!mTimer.Active()) {
      mTimer.Every(kDisconnectPollInterval, [this] { Check(); });
    }
  }

  void Remove(http_server_exchange* aExchange)
  {
    mExchanges.erase(aExchange);
    if (mExchanges.empty()) {
      mTimer.Cancel();
    }
  }

private:
  void Check()
  {
    // Aborting one exchange may end others.
    const std::vector<http_server_exchange*> open(mExchanges.begin(),
                                                  mExchanges.end());
    for (http_server_exchange* exchange : open) {
      if (mExchanges.contains(exchange)) {
        exchange->AbortIfDisconnected();
      }
    }
  }

  std::set<http_server_exchange*> mExchanges;
  loop_timer mTimer;
};

disconnect_poller& DisconnectPoller()
{
  static disconnect_poller sPoller;
  return sPoller;
}

} // namespace

std::shared_ptr<http_server_exchange> http_server_exchange::Adopt(
  SoupServerMessage* aMessage)
{
  // The constructor is private, so make_shared cannot be used.
  std::shared_ptr<http_server_exchange> exchange(
    new http_server_exchange(aMessage));
  exchange->mSelf = exchange;
  exchange->ConnectSignals();
  return exchange;
}

http_server_exchange::http_server_exchange(SoupServerMessage* aMessage)
  : mMessage(SOUP_SERVER_MESSAGE(g_object_ref(aMessage)))
{
  SoupMessageBody* body = soup_server_message_get_request_body(aMessage);
  mBodyData = soup_message_body_flatten(body);
  gsize size = 0;
  const auto* data =
    static_cast<const char*>(g_bytes_get_data(mBodyData, &size));
  mBody = std::string_view(data, size);
}

http_server_exchange::~http_server_exchange()
{
  DisconnectPoller().Remove(this);
  g_signal_handlers_disconnect_by_data(mMessage, this);
  g_bytes_unref(mBodyData);
  g_object_unref(mMessage);
}

void http_server_exchange::ConnectSignals()
{
  g_signal_connect(mMessage, "wrote-chunk", G_CALLBACK(OnWroteChunk), this);
  g_signal_connect(mMessage, "finished", G_CALLBACK(OnFinished), this);
  // A closed server drops its connections without emitting "finished".
  g_signal_connect(mMessage, "disconnected", G_CALLBACK(OnFinished), this);
  soup_server_message_pause(mMessage);
  DisconnectPoller().Add(this);
}

bool http_server_exchange::IsPeerClosed()
{
  GSocket* socket = soup_server_message_get_socket(mMessage);
  if (socket == nullptr) {
    return true;
  }
  char byte = 0;
  const int descriptor = g_socket_get_fd(socket);
  const ssize_t got = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

void http_server_exchange::AbortIfDisconnected()
{
  const auto self = shared_from_this();
  // libsoup delivers a complete response, even if it is not written yet.
  if (!mCompleted && IsPeerClosed()) {
    Abort();
  }
}

std::string_view http_server_exchange::Method() const
{
  return soup_server_message_get_method(mMessage);
}

std::string_view http_server_exchange::Path() const
{
  return g_uri_get_path(soup_server_message_get_uri(mMessage));
}

std::string http_server_exchange::Query(const std::string& aName) const
{
  const char* query = g_uri_get_query(soup_server_message_get_uri(mMessage));
  if (query == nullptr) {
    return {};
  }
  GHashTable* form = soup_form_decode(query);
  const auto* value =
    static_cast<const char*>(g_hash_table_lookup(form, aName.c_str()));
  std::string copy = value == nullptr ? "" : value;
  g_hash_table_unref(form);
  return copy;
}

std::string_view http_server_exchange::Header(const char* aName) const
{
  const char* value = soup_message_headers_get_one(
    soup_server_message_get_request_headers(mMessage), aName);
  return value == nullptr ? std::string_view() : std::string_view(value);
}

void http_server_exchange::AddHeader(const char* aName,
                                     const std::string& aValue)
{
  soup_message_headers_append(
    soup_server_message_get_response_headers(mMessage), aName, aValue.c_str());
}

void http_server_exchange::Reply(unsigned aStatus,
                                 const char* aContentType,
                                 std::string_view aBody)
{
  if (mFinished || mStreaming || mCompleted) {
    return;
  }
  mCompleted = true;
  soup_server_message_set_status(mMessage, aStatus, nullptr);
  soup_server_message_set_response(
    mMessage, aContentType, SOUP_MEMORY_COPY, aBody.data(), aBody.size());
  soup_server_message_unpause(mMessage);
}

void http_server_exchange::ReplyJson(unsigned aStatus,
                                     const nlohmann::json& aBody)
{
  Reply(aStatus,
        "application/json",
        aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void http_server_exchange::ReplyError(unsigned aStatus,
                                      std::string_view aCode,
                                      std::string_view aMessage)
{
  ReplyJson(aStatus,
            { { "error", { { "code", aCode }, { "message", aMessage } } } });
}

void http_server_exchange::BeginStream(unsigned aStatus,
                                       const char* aContentType)
{
  if (mFinished || mStreaming || mCompleted) {
    return;
  }
  mStreaming = true;
  SoupMessageHeaders* headers =
    soup_server_message_get_response_headers(mMessage);
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_set_content_type(headers, aContentType, nullptr);
  soup_message_body_set_accumulate(
    soup_server_message_get_response_body(mMessage), FALSE);
  soup_server_message_set_status(mMessage, aStatus, nullptr);
  soup_server_message_unpause(mMessage);
}

void http_server_exchange::Write(std::string_view aBytes)
{
  if (mFinished || !mStreaming || mEndRequested) {
    return;
  }
  mQueuedBytes.append(aBytes);
  Flush();
}

void http_server_exchange::End()
{
  if (mFinished || !mStreaming || mEndRequested) {
    return;
  }
  mEndRequested = true;
  Flush();
}

// libsoup gets one chunk at a time. Bytes queued meanwhile form the next chunk.
void http_server_exchange::Flush()
{
  if (mInFlightBytes > 0 || mCompleted) {
    return;
  }
  SoupMessageBody* body = soup_server_message_get_response_body(mMessage);
  if (!mQueuedBytes.empty()) {
    mInFlightBytes = mQueuedBytes.size();
    soup_message_body_append(
      body, SOUP_MEMORY_COPY, mQueuedBytes.data(), mQueuedBytes.size());
    mQueuedBytes.clear();
  } else if (mEndRequested) {
    mCompleted = true;
    soup_message_body_complete(body);
  } else {
    return;
  }
  soup_server_message_unpause(mMessage);
}

void http_server_exchange::HandleWroteChunk()
{
  mInFlightBytes = 0;
  if (mFinished) {
    return;
  }
  Flush();
  if (Buffered() == 0 && !mEndRequested && mOnDrained) {
    const callback drained = mOnDrained;
    drained();
  }
}

void http_server_exchange::HandleFinished()
{
  if (std::exchange(mFinished, true)) {
    return;
  }
  DisconnectPoller().Remove(this);
  mQueuedBytes = {};
  mInFlightBytes = 0;
  mOnDrained = nullptr;
  const callback closed = std::exchange(mOnClosed, nullptr);
  if (closed && !mCompleted) {
    closed();
  }
  mSelf.reset();
}

void http_server_exchange::Abort()
{
  if (mFinished || mCompleted) {
    return;
  }
  mQueuedBytes.clear();
  GSocket* socket = soup_server_message_get_socket(mMessage);
  if (socket != nullptr) {
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  }
  // Writing to the closed socket makes libsoup drop the connection.
  if (!mStreaming) {
    soup_server_message_set_status(
      mMessage, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
  } else {
    soup_message_body_append(soup_server_message_get_response_body(mMessage),
                             SOUP_MEMORY_STATIC,
                             "\n",
                             1);
  }
  soup_server_message_unpause(mMessage);
}

void http_server_exchange::OnWroteChunk(SoupServerMessage*, gpointer aSelf)
{
  const auto self =
    static_cast<http_server_exchange*>(aSelf)->shared_from_this();
  self->HandleWroteChunk();
}

void http_server_exchange::OnFinished(SoupServerMessage*, gpointer aSelf)
{
  const auto self =
    static_cast<http_server_exchange*>(aSelf)->shared_from_this();
  self->HandleFinished();
}
