#include "CapacityFleet.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "Gateway/Admission.h"
#include "Gateway/FleetView.h"
#include "Gateway/LoadNotices.h"
#include "Gateway/UpstreamRegistry.h"

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 16;
constexpr double kPrefillTokensPerMs = 60.0;
constexpr std::int64_t kMinPromptTokens = 400;
constexpr std::int64_t kMaxPromptTokens = 2000;
constexpr int kMinEvents = 10;
constexpr int kMaxEvents = 50;
// Time between events of an idle server of speed 1, and its rise for as many
// requests above the knee as the knee has.
constexpr double kGapMs = 30.0;
constexpr double kRise = 1.5;
constexpr double kGapNoise = 0.1;
constexpr milliseconds kObjective(1000);
constexpr milliseconds kGapObjective(100);
constexpr milliseconds kTimeout(20000);
constexpr milliseconds kFleetTick(200);
constexpr milliseconds kRequestTick(10);
// Rounds of reports between two notices of observations.
constexpr std::uint64_t kObservationRounds = 5;
constexpr int kMaxDelayMs = 10;
constexpr time_point kStart{ std::chrono::seconds(1000) };

std::string NodeAddress(std::size_t aNode)
{
  return "10.0.0." + std::to_string(aNode) + ":700";
}

upstream_id ServerId(std::size_t aServer)
{
  return { "server-" + std::to_string(aServer) };
}

microseconds Micros(double aMs)
{
  return microseconds(static_cast<std::int64_t>(aMs * 1000.0));
}

double MeanStreamMs(const model_server& aServer)
{
  const double prompt =
    0.5 * static_cast<double>(kMinPromptTokens + kMaxPromptTokens) /
    kPrefillTokensPerMs;
  const double output = (0.5 * (kMinEvents + kMaxEvents) - 1.0) * kGapMs;
  return (prompt + output) / aServer.mSpeed;
}

struct model_stream
{
  std::size_t mNode = 0;
  std::size_t mServer = 0;
  time_point mArrived;
  time_point mSentAt;
  time_point mLastEventAt;
  std::int64_t mPromptTokens = 0;
  std::uint64_t mRandom = 0;
  int mEvents = 0;
  int mEventsSent = 0;
  bool mInTime = true;
  placement mPlacement;
};

struct server_run
{
  model_server mServer;
  std::size_t mRunning = 0;
  time_point mPrefillFreeAt;
  /// Streams that wait for a slot.
  std::deque<std::shared_ptr<model_stream>> mQueue;

  double Rise() const
  {
    const double above =
      std::max(static_cast<double>(mRunning) - mServer.mKnee, 0.0);
    return (1.0 + kRise * above / mServer.mKnee) / mServer.mSpeed;
  }
};

struct node_run
{
  node_run(std::size_t aNode)
    : mRegistry(placement_settings())
    , mView(Report(aNode))
  {
  }

  static node_report Report(std::size_t aNode)
  {
    node_report report;
    report.mAddress = NodeAddress(aNode);
    report.mRun = aNode + 1;
    return report;
  }

  upstream_registry mRegistry;
  fleet_view mView;
  load_sender mLoadSender;
  std::uint64_t mRound = 0;
};

class capacity_fleet
{
public:
  capacity_fleet(const model_settings& aSettings,
                 const std::vector<model_window>& aWindows)
    : mSettings(aSettings)
    , mWindows(aWindows)
    , mOutcomes(aWindows.size())
    , mArrivals(aSettings.mSeed)
    , mRandom(aSettings.mSeed)
  {
    for (std::size_t i = 0; i < aSettings.mNodes; ++i) {
      mNodes.push_back(std::make_unique<node_run>(i));
      AddServers(*mNodes.back());
    }
    mServers.resize(aSettings.mPhases.front().mServers.size());
  }

  std::vector<model_outcome> Run()
  {
    for (const model_phase& phase : mSettings.mPhases) {
      At(kStart + phase.mFrom, [this, &phase] { Begin(phase); });
    }
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      At(kStart + Micros(Uniform(0.0, 200.0)), [this, i] { FleetTick(i); });
    }
    for (std::size_t i = 0; mSettings.mLearn && i < mNodes.size(); ++i) {
      At(kStart + Micros(Uniform(0.0, 10.0)), [this, i] { RequestTick(i); });
    }
    At(kStart, [this] { Arrive(); });
    while (!mEvents.empty() &&
           mEvents.front().mAt < kStart + mSettings.mEnd + kTimeout) {
      std::pop_heap(mEvents.begin(), mEvents.end(), event::IsLater);
      const event next = std::move(mEvents.back());
      mEvents.pop_back();
      mNow = next.mAt;
      next.mAction();
    }
    return mOutcomes;
  }

private:
  struct event
  {
    time_point mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mAction;

    static bool IsLater(const event& aFirst, const event& aSecond)
    {
      return aFirst.mAt != aSecond.mAt ? aFirst.mAt > aSecond.mAt
                                       : aFirst.mOrder > aSecond.mOrder;
    }
  };

  void At(time_point aAt, std::function<void()> aAction)
  {
    mEvents.push_back({ aAt, mOrder++, std::move(aAction) });
    std::push_heap(mEvents.begin(), mEvents.end(), event::IsLater);
  }

  double Uniform(double aLow, double aHigh)
  {
    return std::uniform_real_distribution(aLow, aHigh)(mRandom);
  }

  bool Ended() const { return mNow >= kStart + mSettings.mEnd; }

  void AddServers(node_run& aNode) const
  {
    gateway_service service;
    service.mName = service_id{ "engine" };
    service.mEngine = engine_limits{ kSlots, 10'000'000, 1 };
    aNode.mRegistry.SetService(service);
    for (std::size_t i = 0; i < mSettings.mPhases.front().mServers.size();
         ++i) {
      server_entry entry;
      entry.mId = ServerId(i);
      entry.mService = service_id{ "engine" };
      entry.mSlots = kSlots;
      entry.mIncarnation = i + 1;
      aNode.mRegistry.Apply(entry, kStart);
    }
    aNode.mRegistry.SetNodes(mSettings.mNodes);
    if (mSettings.mLearn) {
      aNode.mRegistry.LearnCapacity();
    }
  }

  void Begin(const model_phase& aPhase)
  {
    mPerSecond = aPhase.mPerSecond;
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      mServers[i].mServer = aPhase.mServers[i];
    }
  }

  void FleetTick(std::size_t aNode)
  {
    node_run& node = *mNodes[aNode];
    if (!Ended()) {
      At(mNow + kFleetTick, [this, aNode] { FleetTick(aNode); });
    }
    node.mView.Self().mWork = node.mRegistry.LocalWork();
    ++node.mRound;
    if (node.mRound == 1) {
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        node.mView.AddCandidate(NodeAddress(i));
      }
    }
    node_report composed = node.mView.ComposeReport(node.mRound, mNow);
    // A quarter of the peers in each report keeps all of them alive, and the
    // model fast.
    std::size_t index = node.mRound;
    std::erase_if(composed.mPeers,
                  [&](const auto&) { return ++index % 4 != 0; });
    const auto report = std::make_shared<node_report>(std::move(composed));
    for (const std::string& target : node.mView.ReportTargets(node.mRound)) {
      const std::size_t peer = IndexOf(target);
      At(mNow + Micros(Uniform(0.5, kMaxDelayMs)),
         [this, peer, report] { mNodes[peer]->mView.OnReport(*report, mNow); });
    }
    node.mRegistry.SetPeerWork(node.mView.PeerWork(mNow));
    node.mRegistry.UpdateEstimates(mNow);
    if (mSettings.mLearn && node.mRound % kObservationRounds == 0) {
      SendObservations(aNode);
    }
  }

  /// What a node does every 10 ms with the setting on.
  void RequestTick(std::size_t aNode)
  {
    node_run& node = *mNodes[aNode];
    if (!Ended()) {
      At(mNow + kRequestTick, [this, aNode] { RequestTick(aNode); });
    }
    auto notice = node.mLoadSender.Update(
      node.mRegistry.LocalWork(), mNodes.size() - 1, mNow);
    if (notice) {
      notice->mAddress = node.mView.Self().mAddress;
      notice->mRun = node.mView.Self().mRun;
      SendToAll(
        aNode,
        std::move(*notice),
        [](node_run& aPeer, const load_notice& aNotice, time_point aNow) {
          aPeer.mRegistry.AddPeerWork(aPeer.mView.OnLoad(aNotice, aNow));
        });
    }
  }

  void SendObservations(std::size_t aNode)
  {
    SendToAll(aNode,
              mNodes[aNode]->mRegistry.Estimates()->TakeObservations(),
              [](node_run& aPeer, const capacity_notice& aNotice, time_point) {
                aPeer.mRegistry.Estimates()->OnObservations(aNotice);
              });
  }

  template<typename message, typename receiver>
  void SendToAll(std::size_t aNode, message aMessage, receiver aReceive)
  {
    const auto shared = std::make_shared<message>(std::move(aMessage));
    for (std::size_t peer = 0; peer < mNodes.size(); ++peer) {
      if (peer != aNode) {
        At(mNow + Micros(Uniform(0.5, kMaxDelayMs)),
           [this, peer, shared, aReceive] {
             aReceive(*mNodes[peer], *shared, mNow);
           });
      }
    }
  }

  static std::size_t IndexOf(const std::string& aAddress)
  {
    constexpr std::size_t kPrefix = 7;
    return std::stoul(aAddress.substr(kPrefix));
  }

  void Arrive()
  {
    if (Ended()) {
      return;
    }
    const double perMs = mPerSecond / 1000.0;
    At(mNow + Micros(std::exponential_distribution(perMs)(mArrivals)),
       [this] { Arrive(); });
    auto stream = std::make_shared<model_stream>();
    stream->mNode = mArrivals() % mNodes.size();
    stream->mArrived = mNow;
    stream->mRandom = mArrivals();
    stream->mPromptTokens = std::uniform_int_distribution(
      kMinPromptTokens, kMaxPromptTokens)(mRandom);
    stream->mEvents =
      std::uniform_int_distribution(kMinEvents, kMaxEvents)(mArrivals);
    for (std::size_t i = 0; i < mWindows.size(); ++i) {
      mOutcomes[i].mOffered += InWindow(*stream, i) ? 1 : 0;
    }
    Place(stream);
  }

  bool InWindow(const model_stream& aStream, std::size_t aWindow) const
  {
    return aStream.mArrived >= kStart + mWindows[aWindow].mFrom &&
           aStream.mArrived < kStart + mWindows[aWindow].mTo;
  }

  void Place(const std::shared_ptr<model_stream>& aStream)
  {
    node_run& node = *mNodes[aStream->mNode];
    placement_query query;
    query.mService = service_id{ "engine" };
    query.mPromptTokens = aStream->mPromptTokens;
    query.mOutputTokens = static_cast<std::int64_t>(
      aStream->mEvents / placement_settings().mOutputShare);
    query.mRandom = aStream->mRandom;
    query.mEventGapObjective = kGapObjective;
    const auto chosen = node.mRegistry.Choose(query, mNow);
    admission_query admission;
    admission.mArrived = aStream->mArrived;
    admission.mDeadline = aStream->mArrived + kTimeout;
    admission.mObjective = kObjective;
    admission.mHasPlacement = chosen.has_value();
    if (chosen) {
      admission.mExpectedMs = chosen->mExpectedMs;
      admission.mWaitMs = chosen->mWaitMs;
      admission.mOutputMs = chosen->mOutputMs;
    }
    const admission_verdict verdict = Admit(admission, mNow);
    if (verdict == admission_verdict::Wait) {
      At(mNow + kRequestTick, [this, aStream] { Place(aStream); });
      return;
    }
    if (verdict == admission_verdict::Refuse) {
      for (std::size_t i = 0; i < mWindows.size(); ++i) {
        mOutcomes[i].mRefused += InWindow(*aStream, i) ? 1 : 0;
      }
      return;
    }
    node.mRegistry.BeginRequest(*chosen, query, mNow);
    aStream->mPlacement = *chosen;
    aStream->mServer = std::stoul(chosen->mUpstream.mName.substr(7));
    aStream->mSentAt = mNow;
    server_run& server = mServers[aStream->mServer];
    if (server.mRunning < kSlots) {
      Start(aStream);
    } else {
      server.mQueue.push_back(aStream);
    }
  }

  void Start(const std::shared_ptr<model_stream>& aStream)
  {
    server_run& server = mServers[aStream->mServer];
    ++server.mRunning;
    server.mPrefillFreeAt = std::max(server.mPrefillFreeAt, mNow) +
                            Micros(static_cast<double>(aStream->mPromptTokens) /
                                   kPrefillTokensPerMs * server.Rise());
    At(server.mPrefillFreeAt, [this, aStream] { OnEvent(aStream); });
  }

  void OnEvent(const std::shared_ptr<model_stream>& aStream)
  {
    node_run& node = *mNodes[aStream->mNode];
    server_run& server = mServers[aStream->mServer];
    const upstream_id id = ServerId(aStream->mServer);
    node.mRegistry.OnByte(id, mNow);
    upstream_work& work = aStream->mPlacement.mWork;
    if (aStream->mEventsSent == 0) {
      aStream->mInTime = mNow <= aStream->mArrived + kObjective;
      node.mRegistry.OnFirstEvent(
        id, work, aStream->mSentAt, aStream->mPlacement.mExpectedMs, mNow);
      work.mPrefillTokens = 0;
    } else {
      const auto gap = mNow - aStream->mLastEventAt;
      node.mRegistry.OnEventGap(
        id, std::chrono::duration<double, std::milli>(gap).count(), mNow);
      aStream->mInTime = aStream->mInTime && gap <= kGapObjective;
    }
    aStream->mLastEventAt = mNow;
    if (++aStream->mEventsSent < aStream->mEvents) {
      const double noise = Uniform(1.0 - kGapNoise, 1.0 + kGapNoise);
      At(mNow + Micros(kGapMs * server.Rise() * noise),
         [this, aStream] { OnEvent(aStream); });
      return;
    }
    node.mRegistry.EndRequest(id, work);
    for (std::size_t i = 0; i < mWindows.size(); ++i) {
      mOutcomes[i].mInTime += aStream->mInTime && InWindow(*aStream, i) ? 1 : 0;
    }
    --server.mRunning;
    if (!server.mQueue.empty()) {
      const auto next = server.mQueue.front();
      server.mQueue.pop_front();
      Start(next);
    }
  }

  model_settings mSettings;
  std::vector<model_window> mWindows;
  std::vector<model_outcome> mOutcomes;
  /// Separate, so that the same streams arrive with and without estimates.
  std::mt19937_64 mArrivals;
  std::mt19937_64 mRandom;
  /// Offered streams.
  double mPerSecond = 0.0;
  time_point mNow = kStart;
  std::uint64_t mOrder = 0;
  /// Heap, the next event first.
  std::vector<event> mEvents;
  std::vector<std::unique_ptr<node_run>> mNodes;
  std::vector<server_run> mServers;
};

} // namespace

model_outcome& model_outcome::operator+=(const model_outcome& aOther)
{
  mOffered += aOther.mOffered;
  mInTime += aOther.mInTime;
  mRefused += aOther.mRefused;
  return *this;
}

double model_outcome::InTimeShare() const
{
  return static_cast<double>(mInTime) / static_cast<double>(mOffered);
}

double model_outcome::RefusedShare() const
{
  return static_cast<double>(mRefused) / static_cast<double>(mOffered);
}

std::vector<model_server> UnevenServers(std::size_t aCount, std::uint64_t aSeed)
{
  constexpr std::array kSpeeds{ 0.6, 1.0, 1.6 };
  constexpr std::array kKnees{ 4.0, 8.0 };
  std::mt19937_64 random(aSeed);
  std::vector<model_server> servers(aCount);
  for (model_server& server : servers) {
    server.mSpeed = kSpeeds.at(random() % kSpeeds.size());
    server.mKnee = kKnees.at(random() % kKnees.size());
  }
  return servers;
}

double KneeCapacity(const std::vector<model_server>& aServers)
{
  double perMs = 0.0;
  for (const model_server& server : aServers) {
    perMs += server.mKnee / MeanStreamMs(server);
  }
  return 1000.0 * perMs;
}

std::vector<model_outcome> RunModel(const model_settings& aSettings,
                                    const std::vector<model_window>& aWindows)
{
  return capacity_fleet(aSettings, aWindows).Run();
}
