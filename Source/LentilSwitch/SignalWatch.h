#pragma once

#include <functional>

#include <glib.h>

/// Calls back on the loop for SIGTERM and SIGINT.
class signal_watch
{
public:
  explicit signal_watch(std::function<void()> aCallback);
  ~signal_watch();
  signal_watch(const signal_watch&) = delete;
  signal_watch& operator=(const signal_watch&) = delete;

private:
  static gboolean OnSignal(gpointer aSelf);

  std::function<void()> mCallback;
  guint mTerminate;
  guint mInterrupt;
};
