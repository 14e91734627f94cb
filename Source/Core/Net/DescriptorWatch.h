#pragma once

#include <cstdint>

/// Readiness events of many descriptors through one GLib source.
///
/// GLib polls every descriptor in each loop iteration, which takes most of a
/// node's processor time with several hundred connections and an iteration per
/// streamed event. The descriptors are therefore in an epoll set, whose own
/// descriptor is the only one that GLib polls.

/// Receives the readiness events of one descriptor.
class readiness_observer
{
public:
  virtual ~readiness_observer() = default;
  /// `aEvents` is a combination of EPOLLIN, EPOLLOUT, EPOLLERR and EPOLLHUP.
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

  /// Starts watching for `aEvents`. Errors and hang-ups are always reported.
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
  /// Distinguishes this watch from earlier ones of the same descriptor number.
  std::uint32_t mGeneration = 0;
};
