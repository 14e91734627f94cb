#include "SignalWatch.h"

#include <csignal>
#include <utility>

#include <glib-unix.h>

signal_watch::signal_watch(std::function<void()> aCallback)
  : mCallback(std::move(aCallback))
  , mTerminate(g_unix_signal_add(SIGTERM, OnSignal, this))
  , mInterrupt(g_unix_signal_add(SIGINT, OnSignal, this))
{
}

signal_watch::~signal_watch()
{
  g_source_remove(mTerminate);
  g_source_remove(mInterrupt);
}

gboolean signal_watch::OnSignal(gpointer aSelf)
{
  static_cast<signal_watch*>(aSelf)->mCallback();
  return G_SOURCE_CONTINUE;
}
