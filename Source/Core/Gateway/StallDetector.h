#pragma once

#include "Common/Time.h"

/// Notices that the loop did not run for a while, because the process was
/// suspended or got no processor time.
///
/// After a stall the clock has advanced, and what arrived meanwhile is not read
/// yet. Time limits must not be checked before it is, and a server is not
/// silent because nothing of it was read.
class stall_detector
{
public:
  explicit stall_detector(time_point aNow)
    : mLastTickAt(aNow)
  {
  }

  /// Must be called at the start of each periodic task of the loop.
  void OnTick(time_point aNow);

  /// Whether bytes may wait to be read that arrived during a stall.
  bool MustReadFirst(time_point aNow) const { return aNow < mReadUntil; }
  /// Earliest time at which an event can have come that the loop handles now:
  /// that of the last periodic task, or of the last one before a stall that has
  /// just ended.
  time_point EarliestEventAt(time_point aNow) const;
  /// Whether the loop has run for long enough to judge that a server is silent.
  bool CanJudgeSilence(time_point aNow) const { return aNow >= mSilenceFrom; }

private:
  time_point mLastTickAt;
  time_point mStallBeganAt;
  time_point mStallEndedAt;
  time_point mReadUntil;
  /// Another wait for bytes begins only after this, so that a node that stalls
  /// again and again still checks its time limits.
  time_point mNextReadFrom;
  time_point mSilenceFrom;
};
