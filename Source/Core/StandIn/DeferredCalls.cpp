#include "StandIn/DeferredCalls.h"

#include <utility>

void deferred_calls::After(std::chrono::milliseconds aDelay,
                           std::function<void()> aCall)
{
  const auto timer = mTimers.emplace(mTimers.end());
  timer->Once(aDelay, [this, timer, call = std::move(aCall)] {
    // The call may destroy this object, so it runs last. The timer has moved
    // its callback out before it calls.
    const std::function<void()> function = call;
    mTimers.erase(timer);
    function();
  });
}
