#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include <glib.h>

/// A GLib timer that is cancelled when its owner is destroyed.
class loop_timer
{
public:
  using callback = std::function<void()>;

  loop_timer() = default;
  ~loop_timer() { Cancel(); }
  loop_timer(const loop_timer&) = delete;
  loop_timer& operator=(const loop_timer&) = delete;

  /// Calls back every `aPeriod` until cancelled. Replaces a timer that is
  /// running.
  void Every(std::chrono::milliseconds aPeriod, callback aCallback);
  /// Calls back once after `aDelay`, unless cancelled before. Replaces a timer
  /// that is running.
  void Once(std::chrono::milliseconds aDelay, callback aCallback);
  void Cancel();
  bool Active() const { return mSource != 0; }

private:
  void Start(std::chrono::milliseconds aPeriod, GSourceFunc aFunction);

  callback mCallback;
  guint mSource = 0;
};

/// Total time in which the main loop waited for events.
std::chrono::nanoseconds LoopWaitTime();

/// The main loop of the process.
class event_loop
{
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Runs until `Quit`.
  void Run();
  void Quit();
  /// Runs until the condition holds or `aTimeout` has passed; returns whether
  /// the condition holds. For tests and for commands that wait for one reply.
  bool RunUntil(const std::function<bool()>& aCondition,
                std::chrono::milliseconds aTimeout);

private:
  GMainLoop* mLoop;
};
