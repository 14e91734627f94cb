#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "Dispatch/DispatchSystem.h"

/// The decision code of one node in the replay: the real dispatch system or a
/// baseline to compare it with.
class replay_policy
{
public:
  virtual ~replay_policy() = default;
  virtual void SetUpstreams(const std::vector<listed_upstream>& aUpstreams,
                            time_point aNow) = 0;
  virtual void Enqueue(const dispatch_request& aRequest, time_point aNow) = 0;
  virtual dispatch_output Tick(time_point aNow) = 0;
  virtual void OnFirstToken(const request_id& aRequest, time_point aNow) = 0;
  virtual void OnTokens(const request_id& aRequest,
                        std::int64_t aCount,
                        time_point aNow) = 0;
  virtual void OnFinished(const request_id& aRequest,
                          attempt_outcome aOutcome,
                          time_point aNow) = 0;
  virtual void OnLoadReport(const upstream_id& aUpstream,
                            const load_report& aReport,
                            time_point aNow) = 0;
  virtual void OnCacheEvents(const upstream_id& aUpstream,
                             const cache_events& aEvents,
                             time_point aNow) = 0;
  virtual void OnUpstreamLeaving(const upstream_id& aUpstream,
                                 time_point aNow) = 0;
  virtual void OnQuarantineNotice(const quarantine_notice& aNotice,
                                  time_point aNow) = 0;
  virtual bool HasWaiting() const = 0;
  /// Contents that the node refuses now.
  virtual std::uint32_t QuarantinedCount(time_point aNow) const = 0;
};

enum class policy_kind : std::uint8_t
{
  Dispatch,
  /// First in, first out, to the least loaded upstream.
  FirstInFirstOut,
  /// Strictly by class, first in first out inside, to the least loaded
  /// upstream.
  StrictPriority,
};

inline constexpr std::size_t kPolicies = 3;

std::string_view PolicyName(policy_kind aKind);

std::unique_ptr<replay_policy> MakePolicy(policy_kind aKind,
                                          const dispatch_settings& aSettings);
