#include "Common/EventLoop.h"

#include <thread>
#include <utility>

#include "Common/CallbackGuard.h"

namespace {

using poll_clock = std::chrono::steady_clock;

// Minimum interval between two polls. GLib checks every source in each
// iteration, which with hundreds of open streams costs more than forwarding a
// token. Spaced iterations each handle all events that arrived in between.
constexpr std::chrono::microseconds kMinPollInterval(500);
// With fewer descriptors an iteration is cheap, and latency matters more.
constexpr guint kMinDescriptorsToSpacePolls = 64;

std::chrono::nanoseconds& WaitTime()
{
  static std::chrono::nanoseconds sTime{ 0 };
  return sTime;
}

gint PollAtMinInterval(GPollFD* aDescriptors, guint aCount, gint aTimeoutMs)
{
  static poll_clock::time_point sLastPoll;
  const auto began = poll_clock::now();
  if (aCount >= kMinDescriptorsToSpacePolls && aTimeoutMs != 0) {
    std::this_thread::sleep_until(sLastPoll + kMinPollInterval);
  }
  const gint ready = g_poll(aDescriptors, aCount, aTimeoutMs);
  sLastPoll = poll_clock::now();
  WaitTime() += sLastPoll - began;
  return ready;
}

} // namespace

std::chrono::nanoseconds LoopWaitTime()
{
  return WaitTime();
}

void loop_timer::Every(std::chrono::milliseconds aPeriod, callback aCallback)
{
  Cancel();
  mCallback = std::move(aCallback);
  Start(aPeriod, [](gpointer aSelf) -> gboolean {
    // The callback may cancel the timer, so it runs from a copy.
    const callback function = static_cast<loop_timer*>(aSelf)->mCallback;
    RunGuarded("timer", function);
    return G_SOURCE_CONTINUE;
  });
}

void loop_timer::Once(std::chrono::milliseconds aDelay, callback aCallback)
{
  Cancel();
  mCallback = std::move(aCallback);
  Start(aDelay, [](gpointer aSelf) -> gboolean {
    auto* timer = static_cast<loop_timer*>(aSelf);
    timer->mSource = 0;
    const callback function = std::move(timer->mCallback);
    RunGuarded("timer", function);
    return G_SOURCE_REMOVE;
  });
}

void loop_timer::Cancel()
{
  if (mSource != 0) {
    g_source_remove(std::exchange(mSource, 0));
  }
}

void loop_timer::Start(std::chrono::milliseconds aPeriod, GSourceFunc aFunction)
{
  mSource = g_timeout_add(static_cast<guint>(aPeriod.count()), aFunction, this);
}

event_loop::event_loop()
  : mLoop(g_main_loop_new(nullptr, FALSE))
{
  g_main_context_set_poll_func(nullptr, PollAtMinInterval);
}

event_loop::~event_loop()
{
  g_main_loop_unref(mLoop);
}

void event_loop::Run()
{
  g_main_loop_run(mLoop);
}

void event_loop::Quit()
{
  g_main_loop_quit(mLoop);
}

bool event_loop::RunUntil(const std::function<bool()>& aCondition,
                          std::chrono::milliseconds aTimeout)
{
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  // A periodic wake-up, so that the deadline is checked while the loop is idle.
  loop_timer wakeUp;
  wakeUp.Every(std::chrono::milliseconds(5), [] {});
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    g_main_context_iteration(nullptr, TRUE);
  }
  return true;
}
