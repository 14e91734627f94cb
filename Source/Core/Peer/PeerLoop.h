#pragma once

#include <memory>

#include <glib.h>
#include <kj/async.h>

/// Runs the KJ event loop of Cap'n Proto inside the GLib main context of this
/// thread. All clients and servers of a thread share one.
class peer_loop final : public kj::EventPort
{
public:
  /// Returns the loop of this thread and creates it if needed.
  static std::shared_ptr<peer_loop> Get();

  peer_loop();
  ~peer_loop();
  peer_loop(const peer_loop&) = delete;
  peer_loop& operator=(const peer_loop&) = delete;

  bool wait() override;
  bool poll() override;
  void setRunnable(bool aRunnable) override;

private:
  static gboolean OnIdle(gpointer aSelf);

  guint mSource = 0;
  kj::EventLoop mLoop;
  kj::WaitScope mScope;
};

/// Turns the readiness of a file descriptor into a promise. Supports one waiter
/// at a time.
class fd_watch
{
public:
  fd_watch(int aFd, GIOCondition aCondition)
    : mFd(aFd)
    , mCondition(aCondition)
  {
  }
  ~fd_watch() { Cancel(); }
  fd_watch(const fd_watch&) = delete;
  fd_watch& operator=(const fd_watch&) = delete;

  /// Resolves when the descriptor is ready or has an error. Cancels the
  /// previous promise.
  kj::Promise<void> Ready();
  void Cancel();

private:
  static gboolean OnReady(gint aFd, GIOCondition aCondition, gpointer aSelf);

  int mFd;
  GIOCondition mCondition;
  guint mSource = 0;
  kj::Own<kj::PromiseFulfiller<void>> mFulfiller;
};
