#include "Remote/HttpStream.h"

#include <array>
#include <memory>
#include <utility>

#include "Common/EventLoop.h"

namespace {

constexpr std::size_t kReadBufferBytes = 16U << 10U;
// Most reads in one loop iteration, so that a fast sender does not delay other
// events.
constexpr unsigned kMaxReadsPerIteration = 16;

} // namespace

/// Exists until libsoup has finished all operations of the stream, which may be
/// after the stream object was destroyed.
struct http_stream::state
{
  http_stream* mOwner = nullptr;
  SoupMessage* mMessage = nullptr;
  GInputStream* mInput = nullptr;
  GCancellable* mCancellable = g_cancellable_new();
  http_stream_handlers mHandlers;
  loop_timer mTimer;
  std::array<char, kReadBufferBytes> mBuffer{};
  /// An operation of libsoup or a callback uses this object, so it must not be
  /// deleted.
  bool mBusy = false;
  bool mSent = false;
  bool mTimedOut = false;
  bool mPaused = false;
  bool mEnded = false;
  /// Event source for a readable input; null while paused.
  GSource* mReadableSource = nullptr;
  /// Socket of the connection, when known.
  GSocket* mSocket = nullptr;
  const connection_sockets* mSockets = nullptr;

  state() = default;
  ~state()
  {
    Unwatch();
    g_clear_object(&mSocket);
    g_clear_object(&mInput);
    g_clear_object(&mMessage);
    g_clear_object(&mCancellable);
  }
  state(const state&) = delete;
  state& operator=(const state&) = delete;

  void End(std::optional<http_failure> aFailure)
  {
    mEnded = true;
    mTimer.Cancel();
    if (mOwner != nullptr) {
      const auto onEnd = std::move(mHandlers.mOnEnd);
      onEnd(aFailure);
    }
  }

  http_failure Failure() const
  {
    if (!mSent) {
      return http_failure::Unavailable;
    }
    return mTimedOut ? http_failure::Timeout : http_failure::Broken;
  }

  /// Watches the input until it ends or is paused. One source serves the whole
  /// stream: with an asynchronous read per piece GLib creates and destroys
  /// several nested sources each time, which costs more than forwarding.
  void Watch()
  {
    if (mReadableSource != nullptr) {
      return;
    }
    if (mSocket != nullptr) {
      mReadableSource = g_socket_create_source(mSocket, G_IO_IN, nullptr);
      g_source_set_callback(
        mReadableSource, G_SOURCE_FUNC(OnSocketReadable), this, nullptr);
    } else {
      mReadableSource = g_pollable_input_stream_create_source(
        G_POLLABLE_INPUT_STREAM(mInput), nullptr);
      g_source_set_callback(
        mReadableSource, G_SOURCE_FUNC(OnReadable), this, nullptr);
    }
    // Keeps GLib from removing and adding the descriptor around each dispatch.
    // Safe because the handler never runs the loop itself.
    g_source_set_can_recurse(mReadableSource, TRUE);
    g_source_attach(mReadableSource, nullptr);
  }

  void Unwatch()
  {
    if (mReadableSource != nullptr) {
      g_source_destroy(mReadableSource);
      g_source_unref(std::exchange(mReadableSource, nullptr));
    }
  }

  static gboolean OnSocketReadable(GSocket*, GIOCondition, gpointer aState)
  {
    return OnReadable(nullptr, aState);
  }

  static gboolean OnReadable(GObject*, gpointer aState)
  {
    auto* self = static_cast<state*>(aState);
    const GSource* watching = self->mReadableSource;
    self->ReadAvailable();
    // The state may have been deleted; then its source is destroyed.
    return g_source_is_destroyed(const_cast<GSource*>(watching))
             ? G_SOURCE_REMOVE
             : G_SOURCE_CONTINUE;
  }

  /// Reads until the input would block. libsoup buffers part of the input, for
  /// which the socket does not become readable again.
  void ReadAvailable()
  {
    for (unsigned reads = 0; reads < kMaxReadsPerIteration; ++reads) {
      GError* error = nullptr;
      const gssize size = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(mInput),
        mBuffer.data(),
        mBuffer.size(),
        nullptr,
        &error);
      const bool blocks =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      g_clear_error(&error);
      if (blocks) {
        Watch();
        return;
      }
      if (size <= 0) {
        EndInput(size == 0);
        return;
      }
      if (!Deliver(size)) {
        return;
      }
    }
    mTimer.Once(std::chrono::milliseconds(0), [this] { ReadAvailable(); });
  }

  /// Delivers one piece. False when reading must stop; the state may have been
  /// deleted then.
  bool Deliver(gssize aSize)
  {
    const std::string_view piece(mBuffer.data(),
                                 static_cast<std::size_t>(aSize));
    mBusy = true;
    mHandlers.mOnData(piece);
    mBusy = false;
    if (mOwner == nullptr) {
      Close();
      return false;
    }
    if (mPaused) {
      Unwatch();
    }
    return !mPaused;
  }

  void EndInput(bool aComplete)
  {
    Unwatch();
    // A scheduled read would end the stream a second time.
    mTimer.Cancel();
    if (aComplete) {
      mBusy = true;
      CloseAtEnd();
      return;
    }
    mBusy = true;
    End(http_failure::Broken);
    mBusy = false;
    if (mOwner == nullptr) {
      Close();
    }
  }

  /// Closes the connection. The cancelled operation keeps libsoup from reading
  /// the remaining body first.
  void Close()
  {
    if (mBusy) {
      return;
    }
    Unwatch();
    mTimer.Cancel();
    if (mInput == nullptr) {
      delete this;
      return;
    }
    mBusy = true;
    g_cancellable_cancel(mCancellable);
    g_input_stream_close_async(
      mInput,
      G_PRIORITY_DEFAULT,
      mCancellable,
      [](GObject* aInput, GAsyncResult* aResult, gpointer aState) {
        g_input_stream_close_finish(G_INPUT_STREAM(aInput), aResult, nullptr);
        delete static_cast<state*>(aState);
      },
      this);
  }

  static void OnHead(GObject* aSession, GAsyncResult* aResult, gpointer aState)
  {
    auto* self = static_cast<state*>(aState);
    self->mTimer.Cancel();
    GError* error = nullptr;
    self->mInput =
      soup_session_send_finish(SOUP_SESSION(aSession), aResult, &error);
    g_clear_error(&error);
    if (self->mOwner == nullptr) {
      self->mBusy = false;
      self->Close();
      return;
    }
    if (self->mInput == nullptr) {
      self->End(self->Failure());
    } else {
      GSocket* socket = self->mSockets->Find(self->mMessage);
      g_set_object(&self->mSocket, socket);
      const http_response_head head{
        soup_message_get_status(self->mMessage),
        CopyHeaders(soup_message_get_response_headers(self->mMessage))
      };
      if (IsSoundHead(head.mStatus, head.mHeaders)) {
        self->mHandlers.mOnHead(head);
      } else {
        self->End(http_failure::Broken);
      }
    }
    self->mBusy = false;
    if (self->mOwner == nullptr) {
      self->Close();
    } else if (!self->mEnded && !self->mPaused) {
      self->ReadAvailable();
    }
  }

  /// Closes the input at its end, which lets the next request reuse the
  /// connection.
  void CloseAtEnd()
  {
    g_input_stream_close_async(
      mInput,
      G_PRIORITY_DEFAULT,
      nullptr,
      [](GObject* aInput, GAsyncResult* aResult, gpointer aState) {
        g_input_stream_close_finish(G_INPUT_STREAM(aInput), aResult, nullptr);
        auto* self = static_cast<state*>(aState);
        g_clear_object(&self->mInput);
        self->End(std::nullopt);
        self->mBusy = false;
        if (self->mOwner == nullptr) {
          self->Close();
        }
      },
      this);
  }
};

http_stream::http_stream(http_client& aClient,
                         const http_request& aRequest,
                         http_stream_handlers aHandlers)
  : mState(new state)
{
  mState->mOwner = this;
  mState->mSockets = &aClient.Sockets();
  mState->mHandlers = std::move(aHandlers);
  mState->mMessage = MakeSoupMessage(aRequest);
  if (mState->mMessage == nullptr) {
    mState->mTimer.Once(std::chrono::milliseconds(0), [self = mState] {
      self->mBusy = true;
      self->End(http_failure::Unavailable);
      self->mBusy = false;
      if (self->mOwner == nullptr) {
        self->Close();
      }
    });
    return;
  }
  SendOnlyOnce(mState->mMessage, mState->mCancellable);
  g_signal_connect(mState->mMessage,
                   "starting",
                   G_CALLBACK(+[](SoupMessage*, gpointer aState) {
                     static_cast<state*>(aState)->mSent = true;
                   }),
                   mState);
  mState->mTimer.Once(aRequest.mTimeout, [self = mState] {
    self->mTimedOut = true;
    g_cancellable_cancel(self->mCancellable);
  });
  mState->mBusy = true;
  soup_session_send_async(aClient.Session(),
                          mState->mMessage,
                          G_PRIORITY_DEFAULT,
                          mState->mCancellable,
                          state::OnHead,
                          mState);
}

http_stream::~http_stream()
{
  mState->mOwner = nullptr;
  mState->mTimer.Cancel();
  if (!mState->mEnded) {
    g_cancellable_cancel(mState->mCancellable);
  }
  mState->Close();
}

void http_stream::Pause()
{
  mState->mPaused = true;
  if (mState->mInput != nullptr) {
    mState->Unwatch();
    mState->mTimer.Cancel();
  }
}

void http_stream::Resume()
{
  mState->mPaused = false;
  if (mState->mBusy || mState->mEnded || mState->mInput == nullptr) {
    return;
  }
  state* resumed = mState;
  resumed->mTimer.Once(std::chrono::milliseconds(0),
                       [resumed] { resumed->ReadAvailable(); });
}

bool http_stream::Sent() const
{
  return mState->mSent;
}
