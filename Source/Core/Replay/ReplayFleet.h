#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "Replay/EngineModel.h"
#include "Replay/EventQueue.h"
#include "Replay/ReplayPolicy.h"
#include "Replay/Trace.h"

/// Delays of the simulated fleet.
struct replay_delays
{
  std::chrono::microseconds mNetwork{ 1'000 };
  std::chrono::milliseconds mTick{ 20 };
  std::chrono::milliseconds mReportPeriod{ 250 };
  std::chrono::milliseconds mReportLag{ 200 };
  std::chrono::milliseconds mCachePeriod{ 500 };
  std::chrono::milliseconds mCacheLag{ 300 };
  /// Share of the cache event batches that a node does not get.
  double mCacheLoss = 0.02;
  std::chrono::milliseconds mNoticeDelay{ 50 };
  /// Until a node sees the sign that an upstream leaves.
  std::chrono::milliseconds mLeavingDelay{ 500 };
  /// Until the host list shows a change.
  std::chrono::milliseconds mHostListLag{ 10'000 };
  /// Until a connection attempt to a lost host fails, and until streams from it
  /// are given up.
  std::chrono::milliseconds mConnectTimeout{ 200 };
  std::chrono::milliseconds mStreamTimeout{ 1'000 };
  /// A crashed engine is back after this.
  std::chrono::milliseconds mRestart{ 20'000 };
};

/// What happened to one arrival.
struct request_record
{
  std::size_t mArrival = 0;
  time_point mArrivedAt;
  std::optional<time_point> mFirstTokenAt;
  std::optional<time_point> mCompletedAt;
  std::optional<reject_decision> mReject;
  std::uint32_t mAttempts = 0;
  /// An engine began to run it.
  bool mRan = false;
  /// Output tokens of attempts that did not complete.
  std::int64_t mWastedTokens = 0;
};

/// Everything that a replay observed.
struct replay_result
{
  std::vector<request_record> mRecords;
  /// Crashes of engines by content number.
  std::map<std::uint64_t, std::uint32_t> mCrashes;
  std::uint32_t mStartsOnLeaving = 0;
  /// Rejections with `not_run` of requests that an engine had begun to run.
  std::uint32_t mFalseNotRun = 0;
  std::uint32_t mDisplaced = 0;
  std::uint64_t mPromptTokensComputed = 0;
  std::uint64_t mPromptTokens = 0;
};

/// Several nodes with one policy each over the same engines, driven by a manual
/// clock.
class replay_fleet
{
public:
  replay_fleet(const trace& aTrace,
               policy_kind aPolicy,
               const dispatch_settings& aSettings,
               const replay_delays& aDelays = {},
               const replay_engine_speed& aSpeed = {});

  /// Plays the trace, and a while beyond its end for what is still running.
  replay_result Run();

private:
  struct node
  {
    std::unique_ptr<replay_policy> mPolicy;
    std::set<upstream_id> mLeaving;
    bool mTickPosted = false;
  };
  struct engine
  {
    engine_model mModel;
    bool mUp = true;
    bool mHostLost = false;
    bool mStepping = false;
    /// Counts failures, so that a step begun before one has no effect.
    std::uint64_t mEpoch = 0;
    std::vector<cache_change> mCacheChanges;
    std::uint64_t mCacheSequence = 0;
  };

  void PostTrace();
  void PostEvent(const trace_event& aEvent);
  void PostPeriodic();
  std::uint32_t NodeOf(const trace_arrival& aArrival, std::size_t aNumber);
  dispatch_request MakeRequest(std::size_t aNumber) const;

  void Arrive(std::size_t aNumber);
  void TickNode(std::uint32_t aNode);
  void TickAllNodes();
  void HandleStart(std::uint32_t aNode, const start_decision& aStart);
  void HandleReject(const reject_decision& aReject);
  void HandleCancel(const cancel_decision& aCancel);
  void SendNotice(std::uint32_t aNode, const quarantine_notice& aNotice);

  void SubmitAttempt(std::uint32_t aNode, const start_decision& aStart);
  void BeginStep(std::uint32_t aEngine);
  void EndStep(std::uint32_t aEngine, std::uint64_t aEpoch);
  void ToNode(std::uint32_t aNode,
              std::chrono::microseconds aDelay,
              std::function<void(replay_policy&)> aAction);
  void Finish(const engine_attempt& aAttempt,
              attempt_outcome aOutcome,
              std::chrono::microseconds aDelay);
  void CrashEngine(std::uint32_t aEngine, const engine_attempt& aCause);
  void LoseEngine(std::uint32_t aEngine, std::chrono::milliseconds aPeriod);
  void RestartEngine(std::uint32_t aEngine);
  void LeaveEngine(std::uint32_t aEngine);
  void SendReports();
  void SendCacheEvents();
  void SendHostList();

  const trace& mTrace;
  replay_delays mDelays;
  replay_engine_speed mSpeed;
  event_queue mEvents;
  std::vector<node> mNodes;
  std::vector<engine> mEngines;
  std::map<upstream_id, std::uint32_t> mEngineNumbers;
  std::map<account_id, std::vector<std::uint32_t>> mAccountNodes;
  /// Contents that crash engines, with the delay.
  std::map<std::uint64_t, std::chrono::microseconds> mCrashers;
  /// Upstreams that leave, with the time of the first sign.
  std::map<upstream_id, time_point> mLeavingSince;
  std::mt19937_64 mRandom;
  replay_result mResult;
};
