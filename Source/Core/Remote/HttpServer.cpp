#include "Remote/HttpServer.h"

#include <charconv>
#include <cstring>
#include <utility>

#include <fmt/format.h>

namespace {

constexpr const char* kBodyTooLarge =
  R"({"error":{"code":"too_large","message":"request body is too long",)"
  R"("run":"not_run"}})";
constexpr const char* kHeadersTooLarge =
  R"({"error":{"code":"too_large","message":"request headers are too long",)"
  R"("run":"not_run"}})";

/// State of a request body that is still being received.
struct request_body_state
{
  std::size_t mLimit = 0;
  std::size_t mReceived = 0;
  /// Closes the connection when the body takes too long.
  loop_timer mTimeoutTimer;
};

/// Responds before the body is read and closes the connection afterwards.
void RejectRequest(SoupServerMessage* aMessage,
                   guint aStatus,
                   const char* aBody)
{
  soup_message_body_set_accumulate(
    soup_server_message_get_request_body(aMessage), FALSE);
  soup_server_message_set_status(aMessage, aStatus, nullptr);
  soup_server_message_set_response(aMessage,
                                   "application/json",
                                   SOUP_MEMORY_STATIC,
                                   aBody,
                                   std::strlen(aBody));
  soup_message_headers_replace(
    soup_server_message_get_response_headers(aMessage), "Connection", "close");
}

void RejectBody(SoupServerMessage* aMessage)
{
  RejectRequest(aMessage, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, kBodyTooLarge);
}

void CloseConnection(SoupServerMessage* aMessage)
{
  GSocket* socket = soup_server_message_get_socket(aMessage);
  if (socket != nullptr) {
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  }
}

void OnBodyChunk(SoupServerMessage* aMessage,
                 GBytes* aChunk,
                 gpointer aBodyState)
{
  auto* bodyState = static_cast<request_body_state*>(aBodyState);
  const bool wasWithin = bodyState->mReceived <= bodyState->mLimit;
  bodyState->mReceived += g_bytes_get_size(aChunk);
  if (wasWithin && bodyState->mReceived > bodyState->mLimit) {
    RejectBody(aMessage);
  }
  // A client that sends more than twice the limit gets no status.
  if (bodyState->mReceived / 2 > bodyState->mLimit) {
    CloseConnection(aMessage);
  }
}

void OnBodyComplete(SoupServerMessage*, gpointer aBodyState)
{
  static_cast<request_body_state*>(aBodyState)->mTimeoutTimer.Cancel();
}

/// Size of the header fields as received, without the request line.
std::size_t HeaderBytes(SoupMessageHeaders* aHeaders)
{
  constexpr std::size_t kSeparators = 4;
  std::size_t bytes = 0;
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(&iterator, aHeaders);
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value)) {
    bytes += std::strlen(name) + std::strlen(value) + kSeparators;
  }
  return bytes;
}

void RejectHeaders(SoupServerMessage* aMessage)
{
  constexpr guint kHeaderFieldsTooLarge = 431;
  RejectRequest(aMessage, kHeaderFieldsTooLarge, kHeadersTooLarge);
}

void FreeBodyState(gpointer aBodyState, GClosure*)
{
  delete static_cast<request_body_state*>(aBodyState);
}

std::string FormatAddress(const std::string& aHost, int aPort)
{
  const bool isV6 = aHost.find(':') != std::string::npos;
  return isV6 ? fmt::format("[{}]:{}", aHost, aPort)
              : fmt::format("{}:{}", aHost, aPort);
}

// libsoup's own listener has a backlog of 10, with which only 24 of 100
// simultaneous clients got a response.
GSocket* OpenListener(GSocketAddress* aAddress, GError** aError)
{
  constexpr int kBacklog = 1024;
  GSocket* socket = g_socket_new(g_socket_address_get_family(aAddress),
                                 G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP,
                                 aError);
  if (socket == nullptr) {
    return nullptr;
  }
  g_socket_set_listen_backlog(socket, kBacklog);
  g_socket_set_blocking(socket, FALSE);
  if (!g_socket_bind(socket, aAddress, TRUE, aError) ||
      !g_socket_listen(socket, aError)) {
    g_clear_object(&socket);
  }
  return socket;
}

int FirstPort(SoupServer* aServer)
{
  GSList* uris = soup_server_get_uris(aServer);
  const int port =
    uris == nullptr ? 0 : g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return port;
}

} // namespace

host_port ParseHostPort(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view port = aText.substr(colon + 1);
  host_port address;
  const auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), address.mPort);
  if (error != std::errc() || end != port.data() + port.size()) {
    return {};
  }
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  address.mHost = host;
  return address;
}

http_server::http_server(http_server_options aOptions)
  : mOptions(aOptions)
{
}

http_server::~http_server()
{
  Close();
}

void http_server::Route(const std::string& aPrefix, handler aHandler)
{
  mRoutes.push_back(
    std::make_unique<route>(route{ this, aPrefix, std::move(aHandler) }));
  if (mServer != nullptr) {
    Attach(*mRoutes.back());
  }
}

void http_server::Attach(route& aRoute)
{
  // libsoup calls only the handlers of the longest prefix, so each route needs
  // its own early handler for the size limits.
  soup_server_add_early_handler(
    mServer, aRoute.mPrefix.c_str(), OnHeadersReceived, this, nullptr);
  soup_server_add_handler(
    mServer, aRoute.mPrefix.c_str(), OnRequest, &aRoute, nullptr);
}

result<void, http_listen_error> http_server::Listen(const std::string& aAddress)
{
  Close();
  const host_port parsed = ParseHostPort(aAddress);
  GSocketAddress* address = parsed.mHost.empty()
                              ? nullptr
                              : g_inet_socket_address_new_from_string(
                                  parsed.mHost.c_str(), parsed.mPort);
  if (address == nullptr) {
    return http_listen_error{ aAddress, "not an IP:port address" };
  }
  mServer = soup_server_new(nullptr, nullptr);
  soup_server_add_early_handler(
    mServer, nullptr, OnHeadersReceived, this, nullptr);
  for (const auto& entry : mRoutes) {
    Attach(*entry);
  }
  GError* error = nullptr;
  GSocket* socket = OpenListener(address, &error);
  const bool listening =
    socket != nullptr &&
    soup_server_listen_socket(
      mServer, socket, static_cast<SoupServerListenOptions>(0), &error);
  g_clear_object(&socket);
  g_object_unref(address);
  if (!listening) {
    http_listen_error failed{ aAddress, error->message };
    g_clear_error(&error);
    Close();
    return failed;
  }
  mAddress = FormatAddress(parsed.mHost, FirstPort(mServer));
  return success();
}

void http_server::Close()
{
  if (mServer != nullptr) {
    soup_server_disconnect(mServer);
    g_object_unref(std::exchange(mServer, nullptr));
  }
}

void http_server::OnHeadersReceived(SoupServer*,
                                    SoupServerMessage* aMessage,
                                    const char*,
                                    GHashTable*,
                                    gpointer aSelf)
{
  auto* self = static_cast<http_server*>(aSelf);
  ++self->mRequests;
  SoupMessageHeaders* headers =
    soup_server_message_get_request_headers(aMessage);
  const goffset length = soup_message_headers_get_content_length(headers);
  if (HeaderBytes(headers) > self->mOptions.mMaxHeaderBytes) {
    RejectHeaders(aMessage);
    return;
  }
  auto* bodyState = new request_body_state;
  bodyState->mLimit = self->mOptions.mMaxBodyBytes;
  bodyState->mTimeoutTimer.Once(self->mOptions.mBodyTimeout,
                                [aMessage] { CloseConnection(aMessage); });
  if (length > static_cast<goffset>(bodyState->mLimit)) {
    RejectBody(aMessage);
  }
  g_signal_connect_data(aMessage,
                        "got-chunk",
                        G_CALLBACK(OnBodyChunk),
                        bodyState,
                        FreeBodyState,
                        static_cast<GConnectFlags>(0));
  g_signal_connect(aMessage, "got-body", G_CALLBACK(OnBodyComplete), bodyState);
}

void http_server::OnRequest(SoupServer*,
                            SoupServerMessage* aMessage,
                            const char*,
                            GHashTable*,
                            gpointer aRoute)
{
  const auto* route = static_cast<http_server::route*>(aRoute);
  // The route may be destroyed with its server while the handler runs.
  const handler function = route->mHandler;
  function(http_server_exchange::Adopt(aMessage));
}
