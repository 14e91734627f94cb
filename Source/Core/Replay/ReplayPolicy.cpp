#include "Replay/ReplayPolicy.h"

#include "Replay/BaselinePolicy.h"

namespace {

/// The real dispatch system.
class dispatch_policy final : public replay_policy
{
public:
  explicit dispatch_policy(const dispatch_settings& aSettings)
    : mSystem(aSettings)
  {
  }

  void SetUpstreams(const std::vector<listed_upstream>& aUpstreams,
                    time_point aNow) override
  {
    mSystem.SetUpstreams(aUpstreams, aNow);
  }
  void Enqueue(const dispatch_request& aRequest, time_point aNow) override
  {
    mSystem.Enqueue(aRequest, aNow);
  }
  dispatch_output Tick(time_point aNow) override { return mSystem.Tick(aNow); }
  void OnFirstToken(const request_id& aRequest, time_point aNow) override
  {
    mSystem.OnFirstToken(aRequest, aNow);
  }
  void OnTokens(const request_id& aRequest,
                std::int64_t aCount,
                time_point aNow) override
  {
    mSystem.OnTokens(aRequest, aCount, aNow);
  }
  void OnFinished(const request_id& aRequest,
                  attempt_outcome aOutcome,
                  time_point aNow) override
  {
    mSystem.OnFinished(aRequest, aOutcome, aNow);
  }
  void OnLoadReport(const upstream_id& aUpstream,
                    const load_report& aReport,
                    time_point aNow) override
  {
    mSystem.OnLoadReport(aUpstream, aReport, aNow);
  }
  void OnCacheEvents(const upstream_id& aUpstream,
                     const cache_events& aEvents,
                     time_point aNow) override
  {
    mSystem.OnCacheEvents(aUpstream, aEvents, aNow);
  }
  void OnUpstreamLeaving(const upstream_id& aUpstream, time_point aNow) override
  {
    mSystem.OnUpstreamLeaving(aUpstream, aNow);
  }
  void OnQuarantineNotice(const quarantine_notice& aNotice,
                          time_point aNow) override
  {
    mSystem.OnQuarantineNotice(aNotice, aNow);
  }
  bool HasWaiting() const override { return mSystem.QueuedCount() > 0; }
  std::uint32_t QuarantinedCount(time_point aNow) const override
  {
    return mSystem.Status(aNow).mQuarantined;
  }

private:
  dispatch_system mSystem;
};

} // namespace

std::string_view PolicyName(policy_kind aKind)
{
  switch (aKind) {
    case policy_kind::Dispatch:
      return "dispatch";
    case policy_kind::FirstInFirstOut:
      return "fifo";
    case policy_kind::StrictPriority:
      return "strict_priority";
  }
  return "unknown";
}

std::unique_ptr<replay_policy> MakePolicy(policy_kind aKind,
                                          const dispatch_settings& aSettings)
{
  if (aKind == policy_kind::Dispatch) {
    return std::make_unique<dispatch_policy>(aSettings);
  }
  return std::make_unique<baseline_policy>(aKind == policy_kind::StrictPriority,
                                           aSettings);
}
