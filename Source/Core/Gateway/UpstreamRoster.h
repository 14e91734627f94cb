#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Gateway/GatewayTypes.h"

/// The servers of all services with what this node believes of them, and the
/// choice of a server for a request.

/// Work of one or more requests at a server.
struct upstream_work
{
  std::int64_t mRequests = 0;
  /// Prompt tokens whose first event is still due.
  std::int64_t mPrefillTokens = 0;
  /// Tokens that occupy the KV cache.
  std::int64_t mKvTokens = 0;

  upstream_work& operator+=(const upstream_work& aOther);
  upstream_work& operator-=(const upstream_work& aOther);
  auto operator<=>(const upstream_work&) const = default;
};

struct roster_settings
{
  /// Reading speed of an engine in prompt tokens per millisecond; the platform
  /// measured 64 for its engines.
  double mPrefillTokensPerMs = 60.0;
  /// Weight of reading a shared part again against the time that it takes.
  double mRereadWeight = 8.0;
  /// Part of the allowed output that responses use on average.
  double mOutputShare = 0.6;
  /// Share of an engine's KV cache that running requests may fill.
  double mKvShare = 0.92;
  /// Extra cost of a request that runs beside, in ms per request.
  double mPerRequestMs = 3.0;
  /// Extra cost of a server in another availability zone, in ms.
  double mOtherZoneMs = 1.0;
  /// A server that held a prompt part this recently is taken to have it still.
  std::chrono::milliseconds mCacheMemory{ 20000 };
};

/// What the choice depends on.
struct placement_query
{
  service_id mService;
  zone_id mZone;
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  /// Prompt parts in order; the last one is the request's own.
  const std::vector<prompt_part>* mPrompt = nullptr;
  /// Servers that were tried already.
  std::vector<upstream_id> mExcluded;
};

struct placement
{
  upstream_id mUpstream;
  tcp_address mAddress;
  upstream_work mWork;
  /// Time to the first event, in ms.
  double mExpectedMs = 0.0;
  /// Part of it that other requests cause, in ms.
  double mWaitMs = 0.0;
  /// Time from the first event to the end of the response, in ms.
  double mOutputMs = 0.0;
};

class upstream_roster
{
public:
  explicit upstream_roster(const roster_settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Limits of a service's engines; absent for plain services.
  void SetService(const gateway_service& aService);
  void Apply(const server_entry& aEntry, time_point aNow);
  /// The entry is gone from the store. The server serves as a last resort
  /// until `aUsableUntil`.
  void Remove(const upstream_id& aId, time_point aUsableUntil);
  /// Forgets servers that left and have no work.
  void Expire(time_point aNow);

  /// Best server with room; nothing when none has room now.
  std::optional<placement> Choose(const placement_query& aQuery,
                                  time_point aNow) const;
  /// Whether any server of the service could serve at all.
  bool HasUsable(const service_id& aService, time_point aNow) const;

  void Begin(const placement& aPlacement,
             const placement_query& aQuery,
             time_point aNow);
  /// The first event arrived: the prompt is read.
  void FirstEvent(const upstream_id& aId,
                  const upstream_work& aWork,
                  time_point aSentAt,
                  double aExpectedMs,
                  time_point aNow);
  void End(const upstream_id& aId, const upstream_work& aRest);
  /// Time between two events of a stream of the server.
  void OnEventGap(const upstream_id& aId, double aGapMs, time_point aNow);
  void OnByte(const upstream_id& aId, time_point aNow);
  void OnSuccess(const upstream_id& aId);
  /// A connection failed or broke, or the response could not be used.
  void OnFailure(const upstream_id& aId, time_point aNow);

  /// Work that other nodes reported, summed by server.
  void SetPeerWork(std::unordered_map<std::uint32_t, upstream_work> aWork)
  {
    mPeerWork = std::move(aWork);
  }
  /// This node's work by server, for the other nodes.
  std::vector<std::pair<std::uint32_t, upstream_work>> OwnWork() const;

  const server_entry* Find(const upstream_id& aId) const;
  std::size_t Size() const { return mUpstreams.size(); }

  /// Short key of a server in messages between nodes.
  static std::uint32_t KeyOf(const upstream_id& aId);

private:
  /// The prompt without the request's own part.
  struct shared_prompt
  {
    /// Identity of the prompt up to each part, with the part's tokens.
    std::vector<std::pair<std::string, std::int64_t>> mParts;
    std::int64_t mTokens = 0;
  };
  struct rated_placement
  {
    placement mPlacement;
    /// Expected time and the harm to other requests, in ms.
    double mCost = 0.0;
  };
  struct upstream_record
  {
    server_entry mEntry;
    std::uint32_t mKey = 0;
    upstream_work mOwn;
    /// Removed or leaving: not used after this time.
    std::optional<time_point> mUsableUntil;
    bool mRemoved = false;
    /// Not used before this time while others are sound.
    time_point mSuspectUntil;
    unsigned mFailures = 0;
    /// Observed time to the first event against the expected one.
    double mSlowness = 1.0;
    /// Recent time between events, in ms, until `mGapValidUntil`.
    double mEventGapMs = 0.0;
    time_point mGapValidUntil;
    time_point mLastByte;
    time_point mOldestSilent;
  };

  upstream_work WorkAt(const upstream_record& aRecord) const;
  static shared_prompt SharedPrompt(const std::vector<prompt_part>* aPrompt);
  /// Servers of the soundest group that is not empty. A worse group serves only
  /// when the better ones are empty.
  std::vector<const upstream_record*> Candidates(const placement_query& aQuery,
                                                 time_point aNow) const;
  /// Nothing when the KV cache of the engine is full.
  std::optional<rated_placement> RateEngine(const upstream_record& aRecord,
                                            const upstream_work& aWork,
                                            const engine_limits& aLimits,
                                            const placement_query& aQuery,
                                            const shared_prompt& aShared,
                                            bool aHome,
                                            time_point aNow) const;
  std::int64_t UncachedTokens(const upstream_record& aRecord,
                              const shared_prompt& aShared,
                              time_point aNow) const;
  bool Silent(const upstream_record& aRecord, time_point aNow) const;

  roster_settings mSettings;
  std::map<upstream_id, upstream_record> mUpstreams;
  std::unordered_map<std::string, gateway_service> mServices;
  std::unordered_map<std::uint32_t, upstream_work> mPeerWork;
  /// Prompt part, then server, to the end of the time for which the server is
  /// taken to hold it.
  std::unordered_map<std::string, std::unordered_map<std::uint32_t, time_point>>
    mHeldParts;
};
