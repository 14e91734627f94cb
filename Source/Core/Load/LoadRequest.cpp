#include "Load/LoadRequest.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr gsize kReadBytes = 64 * 1024;
constexpr std::size_t kMaxErrorBody = 64 * 1024;
// Pause before the next address when a connection is refused.
constexpr milliseconds kConnectRetryPause{ 50 };
// A refusal without a usable Retry-After.
constexpr milliseconds kDefaultRetryPause{ 1000 };
constexpr milliseconds kMaxRetryPause{ 60'000 };

/// The `error` object of a rejection.
struct refusal
{
  std::string mCode;
  std::string mRun;
  std::optional<milliseconds> mRetryAfter;
};

std::string TextAt(const json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

refusal ReadRefusal(const std::string& aBody, unsigned aStatus)
{
  refusal read{ fmt::format("http_{}", aStatus), "", std::nullopt };
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("error") ||
      !body["error"].is_object()) {
    return read;
  }
  const json& error = body["error"];
  if (std::string code = TextAt(error, "code"); !code.empty()) {
    read.mCode = std::move(code);
  }
  read.mRun = TextAt(error, "run");
  const auto after = error.find("retry_after_ms");
  if (after != error.end() && after->is_number_unsigned()) {
    read.mRetryAfter = milliseconds(std::min<std::uint64_t>(
      after->get<std::uint64_t>(), kMaxRetryPause.count()));
  }
  return read;
}

std::optional<milliseconds> ReadRetryAfterHeader(SoupMessage* aMessage)
{
  const char* header = soup_message_headers_get_one(
    soup_message_get_response_headers(aMessage), "Retry-After");
  if (header == nullptr) {
    return std::nullopt;
  }
  const std::string_view text(header);
  std::uint32_t seconds = 0;
  const auto read =
    std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (read.ec != std::errc()) {
    return std::nullopt;
  }
  return std::min(milliseconds(std::int64_t{ seconds } * 1000), kMaxRetryPause);
}

bool IsConnectFailure(const GError* aError)
{
  return g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
         g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
         g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE);
}

} // namespace

load_request::load_request(SoupSession* aSession,
                           const time_source& aTime,
                           load_call aCall,
                           load_events aEvents)
  : mSession(aSession)
  , mTime(aTime)
  , mCall(std::move(aCall))
  , mEvents(std::move(aEvents))
  , mCancellable(g_cancellable_new())
{
}

load_request::~load_request()
{
  CloseStream();
  g_object_unref(mCancellable);
}

void load_request::Start()
{
  if (mCall.mEndpoints.empty()) {
    Finish("no_endpoint");
    return;
  }
  Send();
}

void load_request::Cancel(const std::string& aOutcome)
{
  const self_pointer keep = shared_from_this();
  g_cancellable_cancel(mCancellable);
  Finish(aOutcome);
}

void load_request::Send()
{
  const auto& endpoints = mCall.mEndpoints;
  const socket_address& endpoint = endpoints[mAttempts % endpoints.size()];
  ++mAttempts;
  CloseStream();
  mSplitter = {};
  mCheck = {};
  mErrorBody.clear();
  const std::string url =
    fmt::format("http://{}/v1/chat/completions", FormatSocketAddress(endpoint));
  mMessage = soup_message_new("POST", url.c_str());
  SoupMessageHeaders* headers = soup_message_get_request_headers(mMessage);
  soup_message_headers_append(
    headers, "Authorization", ("Bearer " + mCall.mApiKey).c_str());
  soup_message_headers_append(
    headers, "Idempotency-Key", mCall.mIdempotencyKey.c_str());
  GBytes* body = g_bytes_new(mCall.mBody.data(), mCall.mBody.size());
  soup_message_set_request_body_from_bytes(mMessage, "application/json", body);
  g_bytes_unref(body);
  soup_session_send_async(
    mSession,
    mMessage,
    G_PRIORITY_DEFAULT,
    mCancellable,
    [](GObject*, GAsyncResult* aResult, gpointer aSelf) {
      const std::unique_ptr<self_pointer> self(
        static_cast<self_pointer*>(aSelf));
      (*self)->OnResponse(aResult);
    },
    new self_pointer(shared_from_this()));
}

void load_request::OnResponse(GAsyncResult* aResult)
{
  GError* error = nullptr;
  GInputStream* stream = soup_session_send_finish(mSession, aResult, &error);
  if (mFinished) {
    g_clear_object(&stream);
    g_clear_error(&error);
    return;
  }
  if (error != nullptr) {
    const bool connect = IsConnectFailure(error);
    g_error_free(error);
    // Nothing was sent on a refused connection, so the request did not run.
    if (connect && MayRetry()) {
      RetryAfter(kConnectRetryPause);
    } else {
      Finish(connect ? "connect_failed" : "broken");
    }
    return;
  }
  mStream = stream;
  mStatus = soup_message_get_status(mMessage);
  Read();
}

void load_request::Read()
{
  g_input_stream_read_bytes_async(
    mStream,
    kReadBytes,
    G_PRIORITY_DEFAULT,
    mCancellable,
    [](GObject*, GAsyncResult* aResult, gpointer aSelf) {
      const std::unique_ptr<self_pointer> self(
        static_cast<self_pointer*>(aSelf));
      (*self)->OnBytes(aResult);
    },
    new self_pointer(shared_from_this()));
}

void load_request::OnBytes(GAsyncResult* aResult)
{
  // The stream may have been closed by a cancellation; the result is enough.
  GError* error = nullptr;
  GObject* source = g_async_result_get_source_object(aResult);
  GBytes* bytes =
    g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), aResult, &error);
  g_object_unref(source);
  gsize size = 0;
  const auto* data =
    bytes == nullptr ? nullptr
                     : static_cast<const char*>(g_bytes_get_data(bytes, &size));
  const bool failed = error != nullptr;
  g_clear_error(&error);
  if (!mFinished && !failed && size > 0) {
    const std::string_view text(data, size);
    if (mStatus == SOUP_STATUS_OK) {
      mSplitter.Feed(text, [this](std::string_view aData) { OnEvent(aData); });
    } else if (mErrorBody.size() < kMaxErrorBody) {
      mErrorBody.append(text);
    }
  }
  if (bytes != nullptr) {
    g_bytes_unref(bytes);
  }
  if (mFinished) {
    return;
  }
  if (failed) {
    Finish("broken");
  } else if (size > 0) {
    Read();
  } else if (mStatus == SOUP_STATUS_OK) {
    Finish(mCheck.Outcome());
  } else {
    OnRefusal();
  }
}

void load_request::OnEvent(std::string_view aData)
{
  if (mCheck.Take(aData) != completion_check::event_kind::Token) {
    return;
  }
  const time_point now = mTime.Now();
  if (mLastToken) {
    mEvents.mBetweenTokens(now - *mLastToken);
  } else {
    mEvents.mFirstToken(now - mCall.mArrival);
  }
  mLastToken = now;
}

void load_request::OnRefusal()
{
  const refusal read = ReadRefusal(mErrorBody, mStatus);
  // Only `not_run` says that another attempt cannot run the request twice.
  if (read.mRun != "not_run" || !MayRetry()) {
    Finish(read.mCode);
    return;
  }
  const auto header = ReadRetryAfterHeader(mMessage);
  RetryAfter(read.mRetryAfter.value_or(header.value_or(kDefaultRetryPause)));
}

bool load_request::MayRetry() const
{
  return mAttempts < mCall.mMaxAttempts;
}

void load_request::RetryAfter(milliseconds aPause)
{
  mEvents.mRetry();
  // A strong pointer in the timer would keep a cancelled request alive.
  mRetryTimer.Once(aPause, [weak = weak_from_this()] {
    if (const self_pointer self = weak.lock()) {
      self->Send();
    }
  });
}

void load_request::Finish(const std::string& aOutcome)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mRetryTimer.Cancel();
  const load_events events = std::move(mEvents);
  events.mFinished(aOutcome, mCheck);
}

void load_request::CloseStream()
{
  g_clear_object(&mStream);
  g_clear_object(&mMessage);
}
