#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "Common/Time.h"
#include "Dispatch/DispatchSettings.h"
#include "Dispatch/DispatchStatus.h"
#include "Dispatch/DispatchTypes.h"

struct dispatch_tables;

/// Assigns requests to upstreams by rank, fair share, load and prefix cache,
/// and rejects requests that cannot be served. The system neither reads a clock
/// nor does I/O: callers pass in events and the time, and send what `Tick`
/// returns. Handlers only record events; the next `Tick` acts on them.
class dispatch_system
{
public:
  explicit dispatch_system(const dispatch_settings& aSettings);
  ~dispatch_system();
  dispatch_system(dispatch_system&&) noexcept;
  dispatch_system& operator=(dispatch_system&&) noexcept;

  /// Replaces the settings from the next tick on. Waiting requests stay queued.
  void ApplySettings(const dispatch_settings& aSettings);

  /// Replaces the list of upstreams. An upstream that is no longer listed gets
  /// no new requests; its running requests continue. A leaving upstream stays
  /// leaving, even if a delayed list says otherwise, until a list no longer
  /// contains it.
  void SetUpstreams(const std::vector<listed_upstream>& aUpstreams,
                    time_point aNow);

  /// Queues a request. A request that cannot be accepted is rejected in the
  /// output of the next tick.
  void Enqueue(const dispatch_request& aRequest, time_point aNow);

  /// Handles a caller that disconnected. A waiting request is dropped without a
  /// decision, a running one is cancelled.
  void Abandon(const request_id& aRequest, time_point aNow);

  /// Returns the requests to start, reject and cancel now. Call it after
  /// events, and at least every 20 ms while requests wait.
  dispatch_output Tick(time_point aNow);

  void OnFirstToken(const request_id& aRequest, time_point aNow);
  /// Counts `aCount` output tokens that arrived since the last call.
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
  /// Applies a quarantine notice of another node.
  void OnQuarantineNotice(const quarantine_notice& aNotice, time_point aNow);

  const dispatch_counters& Counters() const;
  dispatch_status Status(time_point aNow) const;
  /// Number of waiting requests of all classes.
  std::uint32_t QueuedCount() const;

private:
  std::unique_ptr<dispatch_tables> mTables;
};
