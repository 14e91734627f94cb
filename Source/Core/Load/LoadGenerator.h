#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <libsoup/soup.h>

#include "Common/EventLoop.h"
#include "Common/Time.h"
#include "Load/EndpointClient.h"
#include "Load/LoadReport.h"
#include "Load/LoadRequest.h"
#include "Load/Workload.h"

/// Sends a workload to a fleet and measures the responses. Runs on the default
/// GLib context.
class load_generator
{
public:
  using callback = std::function<void(const load_run_report&)>;

  /// `aProgress` is called about every second, `aDone` once at the end; both
  /// may be empty.
  load_generator(workload aWorkload,
                 const time_source& aTime,
                 callback aProgress,
                 callback aDone);
  ~load_generator();
  load_generator(const load_generator&) = delete;
  load_generator& operator=(const load_generator&) = delete;

  void Start();
  /// Ends arrivals now; open requests may finish within the drain time.
  void Stop();
  bool Done() const { return mDone; }
  const load_run_report& Report() const { return mReport; }

private:
  /// Next arrival of one source.
  struct arrival_row
  {
    std::size_t mSource = 0;
    time_point mNext{};
  };

  void OnTimer();
  void Arrive(const load_source& aSource, time_point aArrival);
  void SendTo(const load_source& aSource,
              time_point aArrival,
              std::vector<socket_address> aEndpoints);
  load_events EventsOf(const load_source& aSource, std::uint64_t aNumber);
  void Finished(const load_source& aSource,
                std::uint64_t aNumber,
                const std::string& aOutcome,
                const completion_check& aCheck);
  void CancelOpen();
  void FinishWhenIdle();
  std::chrono::microseconds NextGap(const load_source& aSource);
  std::string BodyOf(const load_source& aSource);
  std::uint32_t Draw(const size_range& aRange);

  workload mWorkload;
  const time_source& mTime;
  callback mProgress;
  callback mDoneCallback;
  std::mt19937_64 mRandom;
  /// Makes the idempotency keys of this run differ from those of other runs.
  std::uint64_t mRun;

  SoupSession* mSession;
  endpoint_client mEndpoints;
  std::vector<arrival_row> mArrivals;
  std::map<std::uint64_t, std::shared_ptr<load_request>> mOpen;
  std::uint64_t mNextNumber = 1;
  load_run_report mReport;
  bool mDone = false;

  time_point mStart{};
  time_point mLastArrival{};
  time_point mDrainDeadline{};
  time_point mNextProgress{};
  loop_timer mTimer;
};
