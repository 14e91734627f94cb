#pragma once

#include <chrono>
#include <compare>

/// Time types of the systems. Tables store deadlines of these types, never
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

/// Time since the Unix epoch, in microseconds. Only for records that people or
/// other processes read; decisions within a process use `time_point`.
using wall_time = std::chrono::sys_time<std::chrono::microseconds>;

/// Source of time. Tests and the replay replace it by a manual clock.
class time_source
{
public:
  virtual ~time_source() = default;
  virtual time_point Now() const = 0;
  virtual wall_time WallNow() const = 0;
};

/// The system clocks.
class system_time_source final : public time_source
{
public:
  time_point Now() const override;
  wall_time WallNow() const override;
};

/// A clock that advances only when `Advance` is called.
class manual_time_source final : public time_source
{
public:
  time_point Now() const override { return mNow; }
  wall_time WallNow() const override;
  void Advance(std::chrono::microseconds aStep) { mNow += aStep; }

private:
  time_point mNow{ std::chrono::seconds(1) };
};
