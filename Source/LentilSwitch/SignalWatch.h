#pragma once

#include <functional>

#include <glib.h>

/// Calls `aStop` on the event loop for SIGTERM and SIGINT, and `aReload` for
/// SIGHUP. Without `aReload`, SIGHUP is not handled.
class signal_watch
{
public:
  explicit signal_watch(std::function<void()> aStop,
                        std::function<void()> aReload = {});
  ~signal_watch();
  signal_watch(const signal_watch&) = delete;
  signal_watch& operator=(const signal_watch&) = delete;

private:
  static gboolean OnStop(gpointer aSelf);
  static gboolean OnReload(gpointer aSelf);

  std::function<void()> mStop;
  std::function<void()> mReload;
  guint mTerminate;
  guint mInterrupt;
  guint mHangUp = 0;
};
