#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "Common/Time.h"

/// Events of a simulation in the order of time, and of posting at equal times.
class event_queue
{
public:
  using action = std::function<void()>;

  time_point Now() const { return mNow; }

  void Post(time_point aAt, action aAction)
  {
    mEvents.push({ aAt, mNext++, std::move(aAction) });
  }
  void PostAfter(std::chrono::microseconds aDelay, action aAction)
  {
    Post(mNow + aDelay, std::move(aAction));
  }

  /// Runs events up to a time.
  void RunUntil(time_point aUntil)
  {
    while (!mEvents.empty() && mEvents.top().mAt <= aUntil) {
      // The action is moved out first: it may post events itself.
      action next = std::move(const_cast<event&>(mEvents.top()).mAction);
      mNow = std::max(mNow, mEvents.top().mAt);
      mEvents.pop();
      next();
    }
    mNow = aUntil;
  }

private:
  struct event
  {
    time_point mAt;
    std::uint64_t mNumber;
    action mAction;
    bool operator<(const event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mNumber > aOther.mNumber;
    }
  };

  std::priority_queue<event> mEvents;
  std::uint64_t mNext = 0;
  time_point mNow;
};
