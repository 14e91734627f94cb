#include "Peer/PeerLoop.h"

#include <glib-unix.h>

namespace {

/// KJ events handled in one dispatch before other sources of the main context
/// may run.
constexpr kj::uint kMaxEventsPerDispatch = 256;

} // namespace

std::shared_ptr<peer_loop> peer_loop::Get()
{
  // KJ allows one event loop per thread.
  static thread_local std::weak_ptr<peer_loop> sCurrent;
  std::shared_ptr<peer_loop> loop = sCurrent.lock();
  if (!loop) {
    loop = std::make_shared<peer_loop>();
    sCurrent = loop;
  }
  return loop;
}

peer_loop::peer_loop()
  : mLoop(*this)
  , mScope(mLoop)
{
}

peer_loop::~peer_loop()
{
  setRunnable(false);
}

bool peer_loop::wait()
{
  g_main_context_iteration(nullptr, TRUE);
  return false;
}

bool peer_loop::poll()
{
  g_main_context_iteration(nullptr, FALSE);
  return false;
}

void peer_loop::setRunnable(bool aRunnable)
{
  if (aRunnable && mSource == 0) {
    mSource = g_idle_add_full(G_PRIORITY_DEFAULT, OnIdle, this, nullptr);
  }
  if (!aRunnable && mSource != 0) {
    g_source_remove(mSource);
    mSource = 0;
  }
}

gboolean peer_loop::OnIdle(gpointer aSelf)
{
  // `run` calls `setRunnable(false)`, which removes this source, once no
  // event is left.
  static_cast<peer_loop*>(aSelf)->mLoop.run(kMaxEventsPerDispatch);
  return G_SOURCE_CONTINUE;
}

kj::Promise<void> fd_watch::Ready()
{
  Cancel();
  auto pair = kj::newPromiseAndFulfiller<void>();
  mFulfiller = kj::mv(pair.fulfiller);
  mSource = g_unix_fd_add(mFd, mCondition, OnReady, this);
  return kj::mv(pair.promise);
}

void fd_watch::Cancel()
{
  if (mSource != 0) {
    g_source_remove(mSource);
    mSource = 0;
  }
}

gboolean fd_watch::OnReady(gint /*aFd*/,
                           GIOCondition /*aCondition*/,
                           gpointer aSelf)
{
  auto* watch = static_cast<fd_watch*>(aSelf);
  watch->mSource = 0;
  watch->mFulfiller->fulfill();
  return G_SOURCE_REMOVE;
}
