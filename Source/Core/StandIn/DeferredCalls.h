#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <memory>

#include "Common/EventLoop.h"

/// Calls that run later on the loop, unless their owner is destroyed before.
class deferred_calls
{
public:
  void After(std::chrono::milliseconds aDelay, std::function<void()> aCall);
  void CancelAll() { mTimers.clear(); }

private:
  std::list<loop_timer> mTimers;
};
