#include "SignalWatch.h"

#include <csignal>
#include <utility>

#include <glib-unix.h>

#include "Common/CallbackGuard.h"

signal_watch::signal_watch(std::function<void()> aStop,
                           std::function<void()> aReload)
  : mStop(std::move(aStop))
  , mReload(std::move(aReload))
  , mTerminate(g_unix_signal_add(SIGTERM, OnStop, this))
  , mInterrupt(g_unix_signal_add(SIGINT, OnStop, this))
{
  if (mReload) {
    mHangUp = g_unix_signal_add(SIGHUP, OnReload, this);
  }
}

signal_watch::~signal_watch()
{
  g_source_remove(mTerminate);
  g_source_remove(mInterrupt);
  if (mHangUp != 0) {
    g_source_remove(mHangUp);
  }
}

gboolean signal_watch::OnStop(gpointer aSelf)
{
  RunGuarded("signal", static_cast<signal_watch*>(aSelf)->mStop);
  return G_SOURCE_CONTINUE;
}

gboolean signal_watch::OnReload(gpointer aSelf)
{
  RunGuarded("signal", static_cast<signal_watch*>(aSelf)->mReload);
  return G_SOURCE_CONTINUE;
}
