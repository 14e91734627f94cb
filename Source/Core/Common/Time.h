#pragma once

#include <chrono>
#include <compare>

/// Time as the systems see it. Tables store deadlines of these types, never
/// durations.

/// Monotonic time of one process, in microseconds. Not comparable between
/// processes.
struct node_time_base
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<node_time_base, duration>;
};

using time_point = node_time_base::time_point;

/// Time since the Unix epoch, in microseconds. Only for records that people
/// or other processes read; decisions use `time_point`.
using wall_time = std::chrono::sys_time<std::chrono::microseconds>;

/// Source of time, replaced by a manual clock in tests and in the replay.
class time_source
{
public:
  virtual ~time_source() = default;
  virtual time_point Now() const = 0;
  virtual wall_time WallNow() const = 0;
};

/// The clocks of the machine.
class system_time_source final : public time_source
{
public:
  time_point Now() const override;
  wall_time WallNow() const override;
};

/// A clock that moves only when told to.
class manual_time_source final : public time_source
{
public:
  time_point Now() const override { return mNow; }
  wall_time WallNow() const override;
  void Advance(std::chrono::microseconds aStep) { mNow += aStep; }

private:
  time_point mNow{ std::chrono::seconds(1) };
};
