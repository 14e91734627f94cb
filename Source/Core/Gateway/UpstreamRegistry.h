#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Capacity/OverloadGuard.h"
#include "Capacity/ServerEstimates.h"
#include "Gateway/GatewayTypes.h"
#include "Gateway/ServerRateLimits.h"
#include "Gateway/StreamOrigins.h"

/// The servers of all services, their state as this node estimates it, and the
/// choice of a server for a request.

/// Load that one or more requests put on a server.
struct upstream_work
{
  std::int64_t mRequests = 0;
  /// Prompt tokens of requests whose first event has not arrived.
  std::int64_t mPrefillTokens = 0;
  /// Tokens that occupy the KV cache.
  std::int64_t mKvTokens = 0;

  upstream_work& operator+=(const upstream_work& aOther);
  upstream_work& operator-=(const upstream_work& aOther);
  auto operator<=>(const upstream_work&) const = default;
};

struct placement_settings
{
  /// Prefill speed of an engine in prompt tokens per ms; the platform states 64
  /// for its engines.
  double mPrefillTokensPerMs = 60.0;
  /// Weight of prefilling a shared prompt prefix again, against the time that
  /// it takes. Above 1, requests prefer servers that have the prefix cached.
  double mRereadWeight = 8.0;
  /// Share of the allowed output tokens that responses use on average.
  double mOutputShare = 0.6;
  /// Share of an engine's KV cache that running requests may fill.
  double mKvShare = 0.92;
  /// Extra time per concurrent request, in ms.
  double mPerRequestMs = 3.0;
  /// Extra cost of a server in another availability zone, in ms.
  double mOtherZoneMs = 1.0;
  /// Time for which a prompt segment is assumed to stay in the cache of a
  /// server.
  std::chrono::milliseconds mCacheTimeToLive{ 20000 };
};

/// Input of the choice of a server.
struct placement_query
{
  service_id mService;
  zone_id mZone;
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  /// Prompt in order; the last element belongs to this request alone.
  const std::vector<prompt_segment>* mPrompt = nullptr;
  /// Software at which the request must run; any if absent.
  std::optional<software_key> mSoftware;
  /// Servers that must not be chosen, because they were tried already.
  std::vector<upstream_id> mExcluded;
  /// Zones in which the request may run; any if null.
  const std::set<zone_id>* mAllowedZones = nullptr;
  /// Random number that stays the same for a request.
  std::uint64_t mRandom = 0;
  /// Longest time between events at which streams of the route are in time; 0
  /// if there is none.
  std::chrono::milliseconds mEventGapObjective{ 0 };
};

struct placement
{
  upstream_id mUpstream;
  tcp_address mAddress;
  upstream_work mWork;
  /// Expected time to the first event, in ms.
  double mExpectedMs = 0.0;
  /// Share of `mExpectedMs` that is caused by other requests, in ms.
  double mWaitMs = 0.0;
  /// Expected time from the first event to the end of the response, in ms.
  double mOutputMs = 0.0;
};

/// Requests at the servers of a service, of all nodes.
struct service_use
{
  /// Requests that the limits of the usable servers allow.
  std::int64_t mPlaces = 0;
  std::int64_t mTaken = 0;
  auto operator<=>(const service_use&) const = default;
};

/// When a server last showed that it runs.
struct signs_of_life
{
  std::uint64_t mIncarnation = 0;
  /// Last byte that the server sent to this node.
  time_point mLastByte;
  /// When the newest entry of the server was read.
  time_point mEntryReadAt;
};

/// Where a server tells its health.
struct probe_target
{
  upstream_id mServer;
  std::uint64_t mIncarnation = 0;
  tcp_address mAddress;
  std::string mHealthPath;
  auto operator<=>(const probe_target&) const = default;
};

class upstream_registry
{
public:
  explicit upstream_registry(const placement_settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// From now on, the speed and the concurrency limit of each engine are
  /// estimated and used, see `server_estimates`.
  void LearnCapacity();
  /// Adapts the estimates; to be called every 200 ms.
  void UpdateEstimates(time_point aNow);
  /// Largest share of the requests of a service that is turned away because the
  /// limits of its servers are used.
  double TurnedAwayShare() const;
  /// Name of the server with the key; empty if there is none.
  std::string NameOf(std::uint32_t aKey) const;
  /// Null unless `LearnCapacity` was called.
  server_estimates* Estimates() { return mEstimates ? &*mEstimates : nullptr; }

  /// Sets the limits of a service; plain services have no engine limits.
  void SetService(const gateway_service& aService);
  void Apply(const server_entry& aEntry, time_point aNow);
  /// The server run responded, and said whether it is brittle.
  void OnResponse(const upstream_id& aId,
                  std::uint64_t aIncarnation,
                  bool aBrittle);
  /// The server run had no room for a request, and asked for a pause, which may
  /// be zero.
  void OnNoRoom(const upstream_id& aId,
                std::uint64_t aIncarnation,
                std::chrono::milliseconds aPause,
                time_point aNow);
  /// Returns the pauses for brittle servers that began since the last call.
  std::vector<std::pair<std::uint32_t, time_point>> TakeNewPauses();
  /// Brittle servers that turned a request of this node away within the pause
  /// after it, with the end of the pause.
  std::vector<std::pair<std::uint32_t, time_point>> Pauses(
    time_point aNow) const;
  /// Sets the number of live nodes, among which the slots of brittle servers
  /// are divided.
  void SetNodes(std::size_t aNodes)
  {
    mNodes = std::max<std::size_t>(aNodes, 1);
  }
  /// Sets until when other nodes pause for brittle servers.
  void SetPeerPauses(std::unordered_map<std::uint32_t, time_point> aPauses)
  {
    mPeerPauses = std::move(aPauses);
  }
  /// The server run said itself that it leaves. It gets no further requests,
  /// whatever its entry says. Returns whether this was not known.
  bool OnLeaving(const upstream_id& aId,
                 std::uint64_t aIncarnation,
                 time_point aNow);
  /// The entry was removed from the store. The server is used only if no other
  /// is usable, until `aUsableUntil`.
  void Remove(const upstream_id& aId, time_point aUsableUntil);
  /// The server run said for how long it is still cold; 0 if it is warm.
  void OnColdStated(const upstream_id& aId,
                    std::uint64_t aIncarnation,
                    std::chrono::milliseconds aTimeLeft,
                    time_point aNow);
  /// Applies changed services to the limits of cold servers.
  void UpdateCold(time_point aNow);
  /// Returns the servers that became cold since the last call.
  std::vector<upstream_id> TakeNewCold();
  /// Whether a server that fits the query is cold.
  bool HasCold(const placement_query& aQuery, time_point aNow) const;
  /// Forbids all sends to the servers of the zone, also as a last resort.
  /// Requests in progress there go on. Returns whether this was not so.
  bool Evacuate(const zone_id& aZone);
  /// Allows sends to the servers of the zone again.
  void Restore(const zone_id& aZone);
  /// Number of servers in the zone.
  std::size_t CountInZone(const zone_id& aZone) const;
  /// Drops servers that left and have no work.
  void Expire(time_point aNow);

  /// Chooses the server of lowest cost; nothing if none has free capacity and a
  /// rate limit that allows the request. While estimates of the service are in
  /// force, the choice is that of `ChooseByEstimates`.
  std::optional<placement> Choose(const placement_query& aQuery,
                                  time_point aNow) const;
  /// Time from which the rate limits of the servers allow this node to send the
  /// request; in the past if they do, or if there is no server.
  time_point LimitedUntil(const placement_query& aQuery, time_point aNow) const;
  /// Whether any usable server fits the query, busy or not. Servers that were
  /// tried already count.
  bool HasUsable(const placement_query& aQuery, time_point aNow) const;
  /// Whether the tokens of the query exceed the memory of any server of the
  /// service.
  bool ExceedsMemory(const placement_query& aQuery) const;
  /// Whether servers fit the query, and all of them are in evacuated zones.
  bool OnlyEvacuated(const placement_query& aQuery, time_point aNow) const;
  /// Use of the servers that get new requests, by service. Suspect servers do
  /// not count, and neither do those of evacuated zones.
  std::map<service_id, service_use> ServiceUse(time_point aNow) const;
  /// Services and software versions of all servers.
  std::set<std::pair<service_id, software_version>> Software() const;

  void BeginRequest(const placement& aPlacement,
                    const placement_query& aQuery,
                    time_point aNow);
  /// The first event arrived, so the prompt is read. Updates the estimate of
  /// the server's speed.
  void OnFirstEvent(const upstream_id& aId,
                    const upstream_work& aWork,
                    time_point aSentAt,
                    double aExpectedMs,
                    time_point aNow);
  void EndRequest(const upstream_id& aId, const upstream_work& aRemaining);
  /// Records the time between two events of a stream of the server, in ms.
  void OnEventGap(const upstream_id& aId, double aGapMs, time_point aNow);
  void OnByte(const upstream_id& aId, time_point aNow);
  void OnSuccess(const upstream_id& aId);
  /// A connection failed or broke, or the response could not be used. The
  /// server is avoided for a while.
  void OnFailure(const upstream_id& aId, time_point aNow);

  /// Servers with requests of this node that sent nothing for the time.
  std::vector<upstream_id> SilentFor(std::chrono::milliseconds aTime,
                                     time_point aNow) const;
  /// Health addresses of the servers that are not about to leave.
  std::vector<probe_target> ProbeTargets() const;

  /// Sets the work that other nodes reported, summed by server.
  void SetPeerWork(std::unordered_map<std::uint32_t, upstream_work> aWork)
  {
    mPeerWork = std::move(aWork);
  }
  /// Changes the work of other nodes until the next `SetPeerWork`.
  void AddPeerWork(
    const std::vector<std::pair<std::uint32_t, upstream_work>>& aChanges);
  /// Work of this node by server, for the reports to other nodes.
  std::vector<std::pair<std::uint32_t, upstream_work>> LocalWork() const;

  const server_entry* Find(const upstream_id& aId) const;
  std::optional<signs_of_life> SignsOfLife(const upstream_id& aId) const;
  std::size_t Size() const { return mUpstreams.size(); }

  server_rate_limits& RateLimits() { return mRateLimits; }
  const server_rate_limits& RateLimits() const { return mRateLimits; }

  /// Hash of a server's identity, its key in messages between nodes.
  static std::uint32_t KeyOf(const upstream_id& aId);

private:
  /// The prompt without its last segment, which belongs to the request alone.
  struct shared_prompt
  {
    /// Hash of the prompt up to and including each segment, with the tokens of
    /// the segment. The last one has those of all that follow.
    std::vector<std::pair<std::uint64_t, std::int64_t>> mSegments;
    /// Names of all segments.
    std::string mName;
    std::int64_t mTokens = 0;
  };
  struct rated_placement
  {
    placement mPlacement;
    /// Expected time plus the delay caused to other requests, in ms.
    double mCost = 0.0;
    /// Requests of all nodes at the server.
    std::int64_t mRequests = 0;
    /// The prior if the estimates are not in force.
    server_estimate mEstimate;
  };
  struct upstream_record
  {
    server_entry mEntry;
    std::uint32_t mKey = 0;
    software_key mSoftware = 0;
    upstream_work mLocalWork;
    /// Removed or leaving servers are not used after this time.
    std::optional<time_point> mUsableUntil;
    bool mRemoved = false;
    /// The server said in a response that it leaves.
    bool mSaidLeaving = false;
    /// The server falls over if it turns too many requests away.
    bool mBrittle = false;
    /// Until this time the server gets no request of this node.
    time_point mPausedUntil;
    /// Until this time the server is used only if no healthy one exists.
    time_point mSuspectUntil;
    unsigned mFailures = 0;
    /// Moving average of the observed time to the first event divided by the
    /// expected time.
    double mSlowness = 1.0;
    /// Moving average of the time between events, in ms; valid until
    /// `mGapValidUntil`.
    double mEventGapMs = 0.0;
    time_point mGapValidUntil;
    time_point mLastByte;
    time_point mEntryReadAt;
    time_point mBusySince;
    /// When this run of the server became known.
    time_point mRunSeenAt;
    /// End of the cold time by the newest entry that states one.
    std::optional<time_point> mEntryColdUntil;
    /// End of the cold time by the newest response that states one. An entry
    /// may be written before the response and read after it, so it does not
    /// shorten this time.
    time_point mResponseColdUntil;
  };

  upstream_record* FindRun(const upstream_id& aId, std::uint64_t aIncarnation);
  /// Time until which the server wants no request of this node.
  time_point PausedUntil(const upstream_record& aRecord) const;
  /// Limits the server while it is cold, or ends the limit.
  void UpdateCold(const upstream_record& aRecord, time_point aNow);
  /// The candidate that all nodes prefer for a shared prompt; null if there is
  /// none. A cold server is preferred only if it has the prompt cached or all
  /// are cold, so that prompts stay where they are cached.
  const upstream_record* Preferred(
    const std::vector<const upstream_record*>& aCandidates,
    const shared_prompt& aShared,
    time_point aNow) const;
  /// Whether the query may run at the server, apart from the evacuation of its
  /// zone.
  static bool Fits(const upstream_record& aRecord,
                   const placement_query& aQuery,
                   time_point aNow);
  /// Tokens that running requests may occupy at an engine.
  std::int64_t UsableKvTokens(const engine_limits& aLimits) const;
  upstream_work WorkAt(const upstream_record& aRecord) const;
  /// Limit of the requests of all nodes at the server.
  static std::int64_t MostRequests(const upstream_record& aRecord,
                                   bool aEngine);
  static shared_prompt SharedPrompt(const std::vector<prompt_segment>* aPrompt);
  /// Servers of the best non-empty group: healthy, suspect, then leaving or
  /// removed ones.
  std::vector<const upstream_record*> Candidates(const placement_query& aQuery,
                                                 time_point aNow) const;
  /// Rates an engine; nothing if its KV cache is too full. `aPreferred` marks
  /// the preferred server of a shared prompt, which counts as having it cached.
  std::optional<rated_placement> RateEngine(const upstream_record& aRecord,
                                            const upstream_work& aWork,
                                            const engine_limits& aLimits,
                                            const placement_query& aQuery,
                                            const shared_prompt& aShared,
                                            bool aPreferred,
                                            time_point aNow) const;
  /// Adds the server to the estimates if it is an engine.
  void SetEstimatedServer(const upstream_record& aRecord);
  /// Whether the estimates of the server are to be used, and which ones.
  std::optional<server_estimate> EstimateInForce(const upstream_record& aRecord,
                                                 std::int64_t aRequests,
                                                 time_point aNow) const;
  /// Whether the request belongs to the share that is turned away while the
  /// limits of all servers of the service are used.
  bool TurnsAway(const placement_query& aQuery, time_point aNow) const;
  std::optional<placement> ChooseEstimated(
    const std::vector<rated_placement>& aRated,
    const placement_query& aQuery,
    time_point aNow) const;
  std::int64_t UncachedTokens(const upstream_record& aRecord,
                              const shared_prompt& aShared,
                              time_point aNow) const;
  static bool IsSilent(const upstream_record& aRecord,
                       std::chrono::milliseconds aTime,
                       time_point aNow);

  placement_settings mSettings;
  std::optional<server_estimates> mEstimates;
  /// Services whose estimates are in force.
  std::map<service_id, overload_guard> mGuards;
  std::map<upstream_id, upstream_record> mUpstreams;
  std::unordered_map<std::string, gateway_service> mServices;
  std::unordered_map<std::uint32_t, upstream_work> mPeerWork;
  std::size_t mNodes = 1;
  std::unordered_map<std::uint32_t, time_point> mPeerPauses;
  std::vector<std::pair<std::uint32_t, time_point>> mNewPauses;
  server_rate_limits mRateLimits;
  std::set<zone_id> mEvacuatedZones;
  std::vector<upstream_id> mNewCold;
  /// Prompt segment, then server, to the time until which the server is assumed
  /// to have it cached.
  std::unordered_map<std::uint64_t,
                     std::unordered_map<std::uint32_t, time_point>>
    mCachedSegments;
};
