#include "Common/EventLoop.h"

#include <utility>

void loop_timer::Every(std::chrono::milliseconds aPeriod, callback aCallback)
{
  Cancel();
  mCallback = std::move(aCallback);
  Start(aPeriod, [](gpointer aSelf) -> gboolean {
    // The callback may cancel the timer, so it runs from a copy.
    const callback function = static_cast<loop_timer*>(aSelf)->mCallback;
    function();
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
    function();
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
                          std::chrono::milliseconds aLimit)
{
  const auto deadline = std::chrono::steady_clock::now() + aLimit;
  // A periodic wake-up lets the deadline be seen on an idle loop.
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
