#include "AdmissionModel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>

namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kService = 7;
constexpr milliseconds kStep(10);
constexpr milliseconds kReportInterval(200);
constexpr std::size_t kReportTargets = 16;
constexpr milliseconds kMaxWait(250);
// A third of the time that a client has left.
constexpr milliseconds kMaxDelay(3300);
constexpr milliseconds kNetworkTime(10);

struct model_request
{
  model_stream mStream;
  double mCost = 0.0;
  std::uint64_t mContent = 0;
  bool mCameBack = false;
  milliseconds mAt{ 0 };
  std::size_t mNode = 0;
};

struct model_end
{
  milliseconds mAt{ 0 };
  std::size_t mNode = 0;
  double mCost = 0.0;
  milliseconds mTook{ 0 };
  bool operator>(const model_end& aOther) const { return mAt > aOther.mAt; }
};

class admission_model
{
public:
  explicit admission_model(const model_settings& aSettings)
    : mSettings(aSettings)
    , mNodes(aSettings.mNodes)
  {
    const auto error = static_cast<int>(aSettings.mClockError.count());
    for (std::size_t node = 0; node < aSettings.mNodes; ++node) {
      mClocks.emplace_back(
        std::uniform_int_distribution(-error, error)(mRandom));
    }
  }

  model_result Run()
  {
    for (; mNow < mSettings.mRunsFor; mNow += kStep) {
      Exchange();
      End();
      Arrive();
      Start();
    }
    const double seconds =
      std::chrono::duration<double>(mSettings.mRunsFor - mSettings.mCountsFrom)
        .count();
    mResult.mGoodput /= seconds * Slots();
    return mResult;
  }

private:
  time_point Now() const { return time_point(std::chrono::hours(1) + mNow); }
  bool Counts() const { return mNow >= mSettings.mCountsFrom; }
  double Slots() const
  {
    const double lost =
      std::clamp(std::chrono::duration<double>(mNow - mSettings.mHalvesAt) /
                   std::chrono::seconds(1),
                 0.0,
                 1.0);
    return std::floor(mSettings.mSlots * (1.0 - lost / 2.0));
  }
  double Uniform() { return std::uniform_real_distribution()(mRandom); }

  /// Nodes tick at different times.
  void Exchange()
  {
    for (std::size_t node = 0; node < mNodes.size(); ++node) {
      const auto offset = kStep * static_cast<int>(node % 20);
      if ((mNow + offset) % kReportInterval != milliseconds(0)) {
        continue;
      }
      const auto costs =
        ParseOfferedCosts(WriteOfferedCosts(mNodes[node].Report(Now())));
      const auto round =
        static_cast<std::size_t>((mNow + offset) / kReportInterval);
      const std::size_t others = mNodes.size() - 1;
      for (std::size_t i = 0; i < std::min(others, kReportTargets); ++i) {
        const std::size_t target =
          (node + 1 + (round * kReportTargets + i) % others) % mNodes.size();
        if (Uniform() >= mSettings.mLostReports) {
          mNodes[target].OnReport(
            static_cast<std::uint32_t>(node), *costs, Now());
        }
      }
      mNodes[node].SetLoad(
        kService,
        { Slots(),
          static_cast<double>(mEnds.size()),
          !mWaiting.empty() && mWaiting.front().mAt + kMaxWait / 2 < mNow },
        Now());
      mNodes[node].Update(mNodes.size(), Now());
    }
  }

  void End()
  {
    while (!mEnds.empty() && mEnds.top().mAt <= mNow) {
      const model_end& end = mEnds.top();
      mNodes[end.mNode].OnCompleted(kService, end.mCost, end.mTook, Now());
      mEnds.pop();
    }
  }

  void Arrive()
  {
    for (const model_stream& stream : mSettings.mStreams) {
      if (mNow < stream.mFrom) {
        continue;
      }
      const double mean = stream.mShare * mSettings.mSlots *
                          std::chrono::duration<double>(kStep).count();
      const int count = std::poisson_distribution(mean)(mRandom);
      for (int i = 0; i < count; ++i) {
        model_request request{
          stream, 0.5 + Uniform(), mRandom(), false, {}, 0
        };
        if (Counts()) {
          mResult.mByRank[stream.mRank].mOffered += request.mCost;
          mResult.mByAccount[stream.mAccount].mOffered += request.mCost;
        }
        Decide(request);
      }
    }
    std::vector<model_request> back;
    std::erase_if(mAway, [&](const model_request& aRequest) {
      if (aRequest.mAt <= mNow) {
        back.push_back(aRequest);
      }
      return aRequest.mAt <= mNow;
    });
    for (model_request& request : back) {
      request.mCameBack = true;
      if (Counts()) {
        ++mResult.mCameBack;
      }
      Decide(request);
    }
  }

  void Decide(model_request aRequest)
  {
    aRequest.mNode = mRandom() % mNodes.size();
    aRequest.mAt = mNow;
    std::optional<milliseconds> clock;
    if (mSettings.mHasClock) {
      clock = mNow + mClocks[aRequest.mNode];
    }
    const shed_decision decision = mNodes[aRequest.mNode].Decide(
      { kService,
        aRequest.mStream.mAccount,
        aRequest.mStream.mRank,
        aRequest.mCost,
        aRequest.mContent,
        aRequest.mCameBack ? milliseconds(0) : kMaxDelay },
      clock,
      Now());
    if (decision.mAdmit) {
      mWaiting.push_back(aRequest);
      return;
    }
    ++mResult.mShed;
    if (decision.mComeBack) {
      aRequest.mAt = mNow + *decision.mComeBack + kNetworkTime;
      mAway.push_back(aRequest);
    }
  }

  /// The most urgent requests are sent first.
  void Start()
  {
    std::ranges::stable_sort(mWaiting, {}, [](const model_request& aRequest) {
      return aRequest.mStream.mRank;
    });
    std::erase_if(mWaiting, [this](const model_request& aRequest) {
      if (static_cast<double>(mEnds.size()) < Slots()) {
        Serve(aRequest);
        return true;
      }
      if (mNow >= aRequest.mAt + kMaxWait) {
        ++mResult.mRefused;

        return true;
      }
      return false;
    });
  }

  void Serve(const model_request& aRequest)
  {
    const milliseconds took(std::lround(aRequest.mCost * 1000.0));
    mEnds.push({ mNow + took, aRequest.mNode, aRequest.mCost, took });
    if (!Counts()) {
      return;
    }
    mResult.mByRank[aRequest.mStream.mRank].mServed += aRequest.mCost;
    mResult.mByAccount[aRequest.mStream.mAccount].mServed += aRequest.mCost;
    mResult.mGoodput += aRequest.mCost;
    if (aRequest.mCameBack) {
      ++mResult.mCameBackServed;
    }
  }

  const model_settings mSettings;
  std::mt19937_64 mRandom{ 17 };
  std::vector<admission_control> mNodes;
  std::vector<milliseconds> mClocks;
  milliseconds mNow{ 0 };
  std::vector<model_request> mWaiting;
  std::vector<model_request> mAway;
  std::priority_queue<model_end, std::vector<model_end>, std::greater<>> mEnds;
  model_result mResult;
};

} // namespace

model_result RunAdmissionModel(const model_settings& aSettings)
{
  return admission_model(aSettings).Run();
}
