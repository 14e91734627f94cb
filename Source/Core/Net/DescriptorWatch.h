#pragma once

#include <cstdint>

/// Readiness events of many descriptors behind one GLib source.
///
/// GLib polls every descriptor in every iteration. With some hundred
/// connections and an iteration per streamed event that took most of the
/// processor time of a node, so the descriptors are in an epoll set of which
/// GLib sees one descriptor only.

class readiness_observer
{
public:
  virtual ~readiness_observer() = default;
  /// `aEvents` are EPOLLIN, EPOLLOUT, EPOLLERR and EPOLLHUP.
  virtual void OnReady(std::uint32_t aEvents) = 0;
};

/// Watches one descriptor on the loop of the default context.
class descriptor_watch final
{
public:
  descriptor_watch() = default;
  ~descriptor_watch() { Stop(); }
  descriptor_watch(const descriptor_watch&) = delete;
  descriptor_watch& operator=(const descriptor_watch&) = delete;

  /// Begins to watch for `aEvents`. Errors and hang-ups are always reported.
  /// False, with `errno` set, when the descriptor cannot be watched.
  bool Start(int aDescriptor,
             std::uint32_t aEvents,
             readiness_observer& aObserver);
  void SetEvents(std::uint32_t aEvents);
  /// Must be called before the descriptor is closed.
  void Stop();

private:
  int mDescriptor = -1;
  std::uint32_t mEvents = 0;
  /// Tells this watch from earlier ones of the same descriptor.
  std::uint32_t mGeneration = 0;
};
