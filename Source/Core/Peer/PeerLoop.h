#pragma once

#include <memory>

#include <glib.h>
#include <kj/async.h>

/// Runs Cap'n Proto's event loop inside the GLib main context of this thread.
/// There is one per thread, shared by all clients and servers.
class peer_loop final : public kj::EventPort
{
public:
  /// The loop of this thread, created when there is none.
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

/// Readiness of a file descriptor as a promise. One waiter at a time.
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

  /// Resolves when the descriptor is ready or broken.
  kj::Promise<void> Ready();
  void Cancel();

private:
  static gboolean OnReady(gint aFd, GIOCondition aCondition, gpointer aSelf);

  int mFd;
  GIOCondition mCondition;
  guint mSource = 0;
  kj::Own<kj::PromiseFulfiller<void>> mFulfiller;
};
