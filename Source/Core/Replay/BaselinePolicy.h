#pragma once

#include <array>
#include <deque>
#include <map>
#include <unordered_map>

#include "Replay/ReplayPolicy.h"

/// Baseline: queues without deadlines, floors or fairness between accounts, the
/// least loaded upstream, retries before the first token without a budget.
class baseline_policy final : public replay_policy
{
public:
  baseline_policy(bool aByClass, const dispatch_settings& aSettings);

  void SetUpstreams(const std::vector<listed_upstream>& aUpstreams,
                    time_point aNow) override;
  void Enqueue(const dispatch_request& aRequest, time_point aNow) override;
  dispatch_output Tick(time_point aNow) override;
  void OnFirstToken(const request_id& aRequest, time_point aNow) override;
  void OnTokens(const request_id&, std::int64_t, time_point) override {}
  void OnFinished(const request_id& aRequest,
                  attempt_outcome aOutcome,
                  time_point aNow) override;
  void OnLoadReport(const upstream_id& aUpstream,
                    const load_report& aReport,
                    time_point aNow) override;
  void OnCacheEvents(const upstream_id&,
                     const cache_events&,
                     time_point) override
  {
  }
  void OnUpstreamLeaving(const upstream_id& aUpstream,
                         time_point aNow) override;
  void OnQuarantineNotice(const quarantine_notice&, time_point) override {}
  bool HasWaiting() const override;
  std::uint32_t QuarantinedCount(time_point) const override { return 0; }

private:
  struct upstream
  {
    bool mLeaving = false;
    double mSlots = 0.0;
    double mOwn = 0.0;
    double mOwnAtReport = 0.0;
    double mOthers = 0.0;
    time_point mNotBefore;
  };
  struct attempt
  {
    dispatch_request mRequest;
    upstream_id mUpstream;
    std::uint32_t mAttempts = 0;
    bool mFirstToken = false;
  };

  std::size_t QueueOf(const dispatch_request& aRequest) const;
  upstream* LeastLoaded(upstream_id& aName, time_point aNow);

  bool mByClass;
  dispatch_settings mSettings;
  std::map<upstream_id, upstream> mUpstreams;
  std::array<std::deque<attempt>, kServiceClassCount> mQueues;
  std::unordered_map<request_id, attempt> mRunning;
  dispatch_output mOutput;
};
