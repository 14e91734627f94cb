#include "Platform/HttpStream.h"

#include <array>
#include <memory>
#include <utility>

#include "Common/EventLoop.h"

namespace {

constexpr std::size_t kReadSize = 16U << 10U;

}

/// Lives until libsoup has no operation of the stream in progress, which may
/// be after the stream object is gone.
struct http_stream::state
{
  http_stream* mOwner = nullptr;
  SoupMessage* mMessage = nullptr;
  GInputStream* mInput = nullptr;
  GCancellable* mCancellable = g_cancellable_new();
  http_stream_handlers mHandlers;
  loop_timer mTimer;
  std::array<char, kReadSize> mBuffer{};
  /// An operation of libsoup holds a pointer to this object.
  bool mBusy = false;
  bool mSent = false;
  bool mTimedOut = false;
  bool mPaused = false;
  bool mEnded = false;
  /// Bytes that were read while paused.
  gssize mHeld = 0;

  state() = default;
  ~state()
  {
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

  void Read()
  {
    mBusy = true;
    g_input_stream_read_async(mInput,
                              mBuffer.data(),
                              mBuffer.size(),
                              G_PRIORITY_DEFAULT,
                              mCancellable,
                              OnRead,
                              this);
  }

  /// Delivers one piece and starts the next read.
  void Deliver(gssize aSize)
  {
    const std::string_view piece(mBuffer.data(),
                                 static_cast<std::size_t>(aSize));
    mBusy = true;
    mHandlers.mOnData(piece);
    mBusy = false;
    if (mOwner == nullptr) {
      Close();
    } else if (!mPaused) {
      Read();
    }
  }

  /// Gives the connection up. The cancelled operation makes libsoup close it
  /// instead of reading the rest of the body.
  void Close()
  {
    if (mBusy) {
      return;
    }
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
      const http_head head{ soup_message_get_status(self->mMessage),
                            CopyHeaders(soup_message_get_response_headers(
                              self->mMessage)) };
      self->mHandlers.mOnHead(head);
    }
    self->mBusy = false;
    if (self->mOwner == nullptr) {
      self->Close();
    } else if (!self->mEnded && !self->mPaused) {
      self->Read();
    }
  }

  static void OnRead(GObject* aInput, GAsyncResult* aResult, gpointer aState)
  {
    auto* self = static_cast<state*>(aState);
    GError* error = nullptr;
    const gssize size =
      g_input_stream_read_finish(G_INPUT_STREAM(aInput), aResult, &error);
    g_clear_error(&error);
    if (self->mOwner != nullptr && size > 0) {
      self->mBusy = false;
      if (self->mPaused) {
        self->mHeld = size;
      } else {
        self->Deliver(size);
      }
      return;
    }
    if (self->mOwner != nullptr && size == 0) {
      self->CloseAtEnd();
      return;
    }
    if (self->mOwner != nullptr) {
      self->End(http_failure::Broken);
    }
    self->mBusy = false;
    if (self->mOwner == nullptr) {
      self->Close();
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
}

void http_stream::Resume()
{
  mState->mPaused = false;
  if (mState->mBusy || mState->mEnded || mState->mInput == nullptr) {
    return;
  }
  if (mState->mHeld > 0) {
    mState->Deliver(std::exchange(mState->mHeld, 0));
  } else {
    mState->Read();
  }
}

bool http_stream::Sent() const
{
  return mState->mSent;
}
