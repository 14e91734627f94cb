#include "Net/DescriptorWatch.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <unordered_map>

#include <glib-unix.h>

#include "Common/Log.h"

namespace {

// Most events handled in one loop iteration, so that timers are not delayed.
constexpr int kMaxEventsPerIteration = 64;
constexpr unsigned kGenerationShift = 32;

struct watched_descriptor
{
  std::uint32_t mGeneration = 0;
  readiness_observer* mObserver = nullptr;
};

/// The epoll set of the process, which has one loop and one thread.
class epoll_set
{
public:
  static epoll_set& Instance()
  {
    // Never destroyed, like the default context that it is attached to.
    static auto* sInstance = new epoll_set();
    return *sInstance;
  }

  bool Add(int aDescriptor,
           std::uint32_t aEvents,
           readiness_observer& aObserver,
           std::uint32_t& aGeneration)
  {
    aGeneration = ++mLastGeneration;
    if (!Control(EPOLL_CTL_ADD, aDescriptor, aEvents, aGeneration)) {
      return false;
    }
    mWatched[aDescriptor] = { aGeneration, &aObserver };
    return true;
  }

  void Modify(int aDescriptor, std::uint32_t aEvents, std::uint32_t aGeneration)
  {
    if (!Control(EPOLL_CTL_MOD, aDescriptor, aEvents, aGeneration)) {
      Log(log_level::Error,
          "watch_not_changed",
          { Field("error", std::strerror(errno)) });
    }
  }

  void Remove(int aDescriptor)
  {
    mWatched.erase(aDescriptor);
    if (!Control(EPOLL_CTL_DEL, aDescriptor, 0, 0)) {
      Log(log_level::Error,
          "watch_not_removed",
          { Field("error", std::strerror(errno)) });
    }
  }

private:
  epoll_set()
    : mEpollDescriptor(epoll_create1(EPOLL_CLOEXEC))
  {
    if (mEpollDescriptor < 0) {
      Log(log_level::Error,
          "epoll_failed",
          { Field("error", std::strerror(errno)) });
      return;
    }
    g_unix_fd_add(mEpollDescriptor, G_IO_IN, OnReadable, this);
  }

  bool Control(int aOperation,
               int aDescriptor,
               std::uint32_t aEvents,
               std::uint32_t aGeneration) const
  {
    epoll_event event{};
    event.events = aEvents;
    event.data.u64 =
      (static_cast<std::uint64_t>(aGeneration) << kGenerationShift) |
      static_cast<std::uint32_t>(aDescriptor);
    return epoll_ctl(mEpollDescriptor, aOperation, aDescriptor, &event) == 0;
  }

  static gboolean OnReadable(gint, GIOCondition, gpointer aSelf)
  {
    static_cast<epoll_set*>(aSelf)->Dispatch();
    return G_SOURCE_CONTINUE;
  }

  void Dispatch()
  {
    std::array<epoll_event, kMaxEventsPerIteration> events{};
    const int count =
      epoll_wait(mEpollDescriptor, events.data(), kMaxEventsPerIteration, 0);
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      const auto descriptor =
        static_cast<int>(static_cast<std::uint32_t>(event.data.u64));
      const auto found = mWatched.find(descriptor);
      // An observer called earlier in this batch may have stopped this watch,
      // and the descriptor number may already belong to another connection.
      if (found != mWatched.end() &&
          found->second.mGeneration == event.data.u64 >> kGenerationShift) {
        found->second.mObserver->OnReady(event.events);
      }
    }
  }

  int mEpollDescriptor;
  std::uint32_t mLastGeneration = 0;
  std::unordered_map<int, watched_descriptor> mWatched;
};

} // namespace

bool descriptor_watch::Start(int aDescriptor,
                             std::uint32_t aEvents,
                             readiness_observer& aObserver)
{
  Stop();
  if (!epoll_set::Instance().Add(
        aDescriptor, aEvents, aObserver, mGeneration)) {
    return false;
  }
  mDescriptor = aDescriptor;
  mEvents = aEvents;
  return true;
}

void descriptor_watch::SetEvents(std::uint32_t aEvents)
{
  if (mDescriptor >= 0 && aEvents != mEvents) {
    mEvents = aEvents;
    epoll_set::Instance().Modify(mDescriptor, aEvents, mGeneration);
  }
}

void descriptor_watch::Stop()
{
  if (mDescriptor >= 0) {
    epoll_set::Instance().Remove(mDescriptor);
    mDescriptor = -1;
  }
}
