#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "Common/Time.h"
#include "Dispatch/DispatchSettings.h"
#include "Dispatch/DispatchStatus.h"
#include "Dispatch/DispatchTypes.h"

struct dispatch_tables;

/// Decides which request starts on which upstream, and which is rejected. A
/// pure system over tables: it reads no clock and sends nothing. Handlers only
/// record what happened; the next `Tick` acts on it.
class dispatch_system
{
public:
  explicit dispatch_system(const dispatch_settings& aSettings);
  ~dispatch_system();
  dispatch_system(dispatch_system&&) noexcept;
  dispatch_system& operator=(dispatch_system&&) noexcept;

  /// Takes effect at the next tick; waiting requests stay.
  void ApplySettings(const dispatch_settings& aSettings);

  /// Replaces the list of upstreams. One that is missing gets no new work; its
  /// running requests go on. A leaving one never becomes usable again through
  /// an older list: it must disappear from a list first.
  void SetUpstreams(const std::vector<upstream_entry>& aUpstreams,
                    time_point aNow);

  /// Queues a request, or has it rejected by the next tick.
  void Enqueue(const dispatch_request& aRequest, time_point aNow);

  /// The caller went away. A waiting request is dropped without a decision, a
  /// running one is cancelled.
  void Abandon(const request_id& aRequest, time_point aNow);

  /// Starts, rejects and cancels what is due. Call it after events, and at
  /// least every 20 ms while requests wait.
  dispatch_output Tick(time_point aNow);

  void OnFirstToken(const request_id& aRequest, time_point aNow);
  /// `aCount` output tokens arrived since the last call.
  void OnTokens(const request_id& aRequest,
                std::int64_t aCount,
                time_point aNow);
  void OnFinished(const request_id& aRequest,
                  attempt_outcome aOutcome,
                  time_point aNow);

  void OnLoadReport(const upstream_id& aUpstream,
                    const load_report& aReport,
                    time_point aNow);
  void OnCacheEvents(const upstream_id& aUpstream,
                     const cache_events& aEvents,
                     time_point aNow);
  void OnUpstreamLeaving(const upstream_id& aUpstream, time_point aNow);
  /// A notice from another node.
  void OnQuarantineNotice(const quarantine_notice& aNotice, time_point aNow);

  const dispatch_counters& Counters() const;
  dispatch_status Status(time_point aNow) const;
  /// Requests waiting, over all classes.
  std::uint32_t QueuedCount() const;

private:
  std::unique_ptr<dispatch_tables> mTables;
};
