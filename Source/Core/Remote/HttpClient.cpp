#include "Remote/HttpClient.h"

#include <algorithm>
#include <memory>

#include "Common/EventLoop.h"
#include "Net/HttpStatus.h"

namespace {

// A node keeps hundreds of streams open, several dozen of them to one engine.
// libsoup's default limits are 10 and 2.
constexpr int kMaxConnections = 4096;
constexpr int kMaxConnectionsPerHost = 1024;
// libsoup checks every idle connection for each request: 400 of them raise the
// time of a small request from 200 us to 730 us.
constexpr unsigned kIdleTimeoutSeconds = 5;

} // namespace

/// A request in progress. It exists until libsoup reports its end, which may be
/// after its owner was destroyed.
struct http_call
{
  SoupMessage* mMessage = nullptr;
  GCancellable* mCancellable = g_cancellable_new();
  http_request_owner* mOwner = nullptr;
  http_client::callback mCallback;
  loop_timer mTimer;
  bool mSent = false;
  bool mTimedOut = false;

  http_call() = default;
  ~http_call()
  {
    g_clear_object(&mMessage);
    g_clear_object(&mCancellable);
  }
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;

  http_failure Failure() const
  {
    if (!mSent) {
      return http_failure::Unavailable;
    }
    return mTimedOut ? http_failure::Timeout : http_failure::Broken;
  }

  void Finish(result<http_reply, http_failure> aResult)
  {
    if (mOwner != nullptr) {
      mOwner->mCalls.erase(this);
      mCallback(std::move(aResult));
    }
  }

  static void OnReplyRead(GObject* aSession,
                          GAsyncResult* aResult,
                          gpointer aCall)
  {
    const std::unique_ptr<http_call> call(static_cast<http_call*>(aCall));
    call->mTimer.Cancel();
    GError* error = nullptr;
    GBytes* bytes = soup_session_send_and_read_finish(
      SOUP_SESSION(aSession), aResult, &error);
    if (bytes == nullptr) {
      g_clear_error(&error);
      call->Finish(call->Failure());
      return;
    }
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    http_reply reply;
    reply.mStatus = soup_message_get_status(call->mMessage);
    reply.mHeaders =
      CopyHeaders(soup_message_get_response_headers(call->mMessage));
    if (size > 0) {
      reply.mBody.assign(data, size);
    }
    g_bytes_unref(bytes);
    if (!IsSoundHead(reply.mStatus, reply.mHeaders)) {
      call->Finish(http_failure::Broken);
      return;
    }
    call->Finish(std::move(reply));
  }

  static gboolean OnInvalidUrl(gpointer aCall)
  {
    const std::unique_ptr<http_call> call(static_cast<http_call*>(aCall));
    call->Finish(http_failure::Unavailable);
    return G_SOURCE_REMOVE;
  }
};

std::string_view HttpFailureName(http_failure aFailure)
{
  switch (aFailure) {
    case http_failure::Unavailable:
      return "unavailable";
    case http_failure::Timeout:
      return "timeout";
    case http_failure::Broken:
      return "broken";
  }
  return "unknown";
}

bool IsSoundHead(unsigned aStatus, const http_headers& aHeaders)
{
  return http_status::IsValid(aStatus) &&
         std::ranges::all_of(aHeaders, [](const auto& aHeader) {
           return IsHeaderName(aHeader.first);
         });
}

http_headers CopyHeaders(SoupMessageHeaders* aHeaders)
{
  http_headers headers;
  soup_message_headers_foreach(
    aHeaders,
    [](const char* aName, const char* aValue, gpointer aCopy) {
      static_cast<http_headers*>(aCopy)->emplace_back(aName, aValue);
    },
    &headers);
  return headers;
}

SoupMessage* MakeSoupMessage(const http_request& aRequest)
{
  SoupMessage* message =
    soup_message_new(aRequest.mMethod.c_str(), aRequest.mUrl.c_str());
  if (message == nullptr) {
    return nullptr;
  }
  soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);

  SoupMessageHeaders* headers = soup_message_get_request_headers(message);
  for (const auto& [name, value] : aRequest.mHeaders) {
    soup_message_headers_append(headers, name.c_str(), value.c_str());
  }
  if (!aRequest.mBody.empty()) {
    GBytes* body = g_bytes_new(aRequest.mBody.data(), aRequest.mBody.size());
    soup_message_set_request_body_from_bytes(
      message, aRequest.mContentType.c_str(), body);
    g_bytes_unref(body);
  }
  return message;
}

// libsoup opens a new connection for every request that is not marked as
// idempotent and keeps it open afterwards, which slows down later requests. The
// flag allows reuse. It also allows libsoup to send the request again when a
// reused connection breaks; the handler cancels the request in that case.
void SendOnlyOnce(SoupMessage* aMessage, GCancellable* aCancellable)
{
  soup_message_add_flags(aMessage, SOUP_MESSAGE_IDEMPOTENT);
  g_signal_connect_object(aMessage,
                          "restarted",
                          G_CALLBACK(g_cancellable_cancel),
                          aCancellable,
                          G_CONNECT_SWAPPED);
}

void http_request_owner::CancelAll()
{
  const std::set<http_call*> calls = std::exchange(mCalls, {});
  for (http_call* call : calls) {
    call->mOwner = nullptr;
    // The objects captured by the callback may be destroyed with the owner.
    call->mCallback = nullptr;
    call->mTimer.Cancel();
    g_cancellable_cancel(call->mCancellable);
  }
}

http_client::http_client()
  : mSession(soup_session_new_with_options("max-conns",
                                           kMaxConnections,
                                           "max-conns-per-host",
                                           kMaxConnectionsPerHost,
                                           "idle-timeout",
                                           kIdleTimeoutSeconds,
                                           nullptr))
  , mSockets(connection_sockets::Track(mSession))
{
}

http_client::~http_client()
{
  soup_session_abort(mSession);
  g_object_unref(mSession);
}

void http_client::Send(const http_request& aRequest,
                       http_request_owner& aOwner,
                       callback aCallback)
{
  auto* call = new http_call;
  call->mOwner = &aOwner;
  call->mCallback = std::move(aCallback);
  aOwner.mCalls.insert(call);
  call->mMessage = MakeSoupMessage(aRequest);
  if (call->mMessage == nullptr) {
    g_idle_add(http_call::OnInvalidUrl, call);
    return;
  }
  SendOnlyOnce(call->mMessage, call->mCancellable);
  g_signal_connect(call->mMessage,
                   "starting",
                   G_CALLBACK(+[](SoupMessage*, gpointer aCall) {
                     static_cast<http_call*>(aCall)->mSent = true;
                   }),
                   call);
  call->mTimer.Once(aRequest.mTimeout, [call] {
    call->mTimedOut = true;
    g_cancellable_cancel(call->mCancellable);
  });
  soup_session_send_and_read_async(mSession,
                                   call->mMessage,
                                   G_PRIORITY_DEFAULT,
                                   call->mCancellable,
                                   http_call::OnReplyRead,
                                   call);
}
