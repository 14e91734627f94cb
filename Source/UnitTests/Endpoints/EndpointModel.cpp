#include "EndpointModel.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep(200);
constexpr double kStepSeconds = 0.2;
constexpr unsigned kStepsPerSecond = 5;
// Time that news of a host take to reach other nodes.
constexpr milliseconds kNewsDelay(400);
constexpr milliseconds kRunningTimeout(1300);
constexpr double kBytesPerMbit = 125000.0;
// Share of a link that is left for payload.
constexpr double kPayloadShare = 0.9;
constexpr double kBytesPerCore = 2500000.0;
constexpr double kBytesPerHost = 2500000.0 / 80.0;
constexpr std::array<double, 4> kZoneShares{ 0.67, 0.16, 0.09, 0.08 };
// Share of all traffic that a large account sends, by zone.
const std::vector<std::pair<unsigned, double>> kLargeAccounts{ { 0, 0.20 },
                                                               { 0, 0.10 },
                                                               { 1, 0.06 } };
constexpr unsigned kCallersPerZone = 20;
constexpr unsigned kAnswerers = 5;
// Clients keep an answer for one to three times its time to live.
constexpr int kMinKeepMs = 1000;
constexpr int kMaxKeepMs = 3000;
constexpr unsigned kTargetsPerRound = 16;
// Link use above which `link_overload_detector` closes the listener.
constexpr double kRefusalLinkUse = 0.75;

} // namespace

void model_result::Add(const model_result& aOther)
{
  mRequests += aOther.mRequests;
  mLost += aOther.mLost;
  mAtFullHost += aOther.mAtFullHost;
  mWorstOverMean = std::max(mWorstOverMean, aOther.mWorstOverMean);
}

endpoint_model::endpoint_model(unsigned aHosts,
                               answer_rule aRule,
                               unsigned aSeed,
                               unsigned aLargeDivisor)
  : mRule(aRule)
  , mLargeDivisor(aLargeDivisor)
  , mHosts(aHosts)
  , mAnswerers(kAnswerers)
  , mRandom(aSeed)
{
  for (unsigned i = 0; i < aHosts; ++i) {
    host& added = mHosts[i];
    added.mStated.mAddress = fmt::format("10.0.{}.{}:7000", i / 250, i % 250);
    added.mStated.mClientAddress = fmt::format("h{}", i);
    added.mStated.mZone = zone_id{ fmt::format("z{}", Zone(i)) };
    added.mStated.mRegion = region_id{ "r" };
    added.mCores = IsLarge(i) ? 0.5 : 0.12;
    const double mbps = IsLarge(i) ? 200.0 : 10.0;
    added.mLinkBytes = mbps * kBytesPerMbit;
    added.mStated.mCapacity = std::min(added.mCores, mbps / 200.0);
    added.mLoad = std::make_unique<host_load>(added.mStated.mAddress);
    mByAddress[added.mStated.mClientAddress] = i;
  }
  for (unsigned i = 0; i < mAnswerers.size(); ++i) {
    answerer& node = mAnswerers[i];
    node.mChoice = endpoint_choice(mHosts[i].mStated.mAddress);
    for (const host& entry : mHosts) {
      node.mKnown.push_back(entry.mStated);
      node.mKnown.back().mHeardAt = mNow;
    }
  }
  const double all = kBytesPerHost * aHosts;
  std::array<double, 4> rest = kZoneShares;
  for (const auto& [zone, share] : kLargeAccounts) {
    rest[zone] -= share;
    // A larger fleet has more accounts, not larger ones.
    const unsigned accounts = std::max(1U, aHosts / 72);
    for (unsigned i = 0; i < accounts; ++i) {
      AddCaller(zone, share * all / accounts, true);
    }
  }
  for (unsigned zone = 0; zone < 4; ++zone) {
    for (unsigned i = 0; i < kCallersPerZone; ++i) {
      AddCaller(zone, rest[zone] * all / kCallersPerZone, false);
    }
  }
}

bool endpoint_model::IsLarge(unsigned aHost) const
{
  return aHost < mHosts.size() / mLargeDivisor;
}

void endpoint_model::AddCaller(unsigned aZone,
                               double aBytesPerSecond,
                               bool aKeepsToOneHost)
{
  caller added;
  added.mZone = aZone;
  added.mBytesPerSecond = aBytesPerSecond;
  added.mKeepsToOneHost = aKeepsToOneHost;
  mCallers.push_back(added);
}

void endpoint_model::SetRunning(const std::function<bool(unsigned)>& aHosts,
                                bool aRunning)
{
  for (unsigned i = 0; i < Size(); ++i) {
    if (aHosts(i)) {
      mHosts[i].mRunning = aRunning;
    }
  }
}

void endpoint_model::SetForeignUse(unsigned aHost, double aUse)
{
  mHosts[aHost].mForeignUse = aUse;
}

unsigned endpoint_model::HostOfLargestAccount() const
{
  return mByAddress.at(mCallers.front().mHost);
}

endpoint_view endpoint_model::View(const answerer& aAnswerer) const
{
  return { aAnswerer.mKnown, true };
}

void endpoint_model::Report()
{
  const unsigned rounds = std::max(1U, Size() / kTargetsPerRound);
  for (unsigned node = 0; node < mAnswerers.size(); ++node) {
    answerer& to = mAnswerers[node];
    for (unsigned i = 0; i < Size(); ++i) {
      const host& from = mHosts[i];
      if (!from.mRunning) {
        continue;
      }
      endpoint_host& known = to.mKnown[i];
      known.mHeardAt = mNow - kNewsDelay;
      if ((mStep + i + node * 3) % rounds == 0) {
        known.mUse =
          std::max(from.mLoad->LinkUse(), from.mLoad->ProcessorUse());
        known.mUseAt = mNow;
        known.mLeftAnswers = from.mLoad->HasLeftAnswers();
      }
    }
    if (to.mChoice.NeedsUpdate(mNow)) {
      to.mChoice.Update(View(to), mNow);
    }
  }
}

std::vector<std::string> endpoint_model::AnswerBefore(
  const endpoint_view& aView,
  const std::string& aZone) const
{
  std::vector<std::string> addresses;
  constexpr double kMaxCapacity = 0.5;
  for (const endpoint_host& entry : aView.mHosts) {
    const double point =
      static_cast<double>(StableHash(aZone + entry.mAddress) % 1000) / 1000.0;
    if (mNow < entry.mHeardAt + kRunningTimeout &&
        point * kMaxCapacity < entry.mCapacity) {
      addresses.push_back(entry.mClientAddress);
    }
  }
  return addresses;
}

void endpoint_model::Ask(caller& aCaller)
{
  std::uniform_int_distribution<std::size_t> nodes(0, mAnswerers.size() - 1);
  const answerer& node = mAnswerers[nodes(mRandom)];
  const std::string zone = fmt::format("z{}", aCaller.mZone);
  aCaller.mAnswer =
    mRule == answer_rule::Before
      ? AnswerBefore(View(node), zone)
      : node.mChoice.Addresses(View(node), zone_id{ zone }, mNow);
  aCaller.mAsksAt = mNow + milliseconds(std::uniform_int_distribution(
                             kMinKeepMs, kMaxKeepMs)(mRandom));
  if (aCaller.mKeepsToOneHost && !aCaller.mAnswer.empty() &&
      std::ranges::find(aCaller.mAnswer, aCaller.mHost) ==
        aCaller.mAnswer.end()) {
    std::uniform_int_distribution<std::size_t> any(0,
                                                   aCaller.mAnswer.size() - 1);
    aCaller.mHost = aCaller.mAnswer[any(mRandom)];
  }
}

unsigned endpoint_model::Connect(const caller& aFrom,
                                 const std::string& aTarget)
{
  const auto refuses = [&](const std::string& aAddress) {
    return mRefusesConnections &&
           mHosts[mByAddress.at(aAddress)].mLinkUse > kRefusalLinkUse;
  };
  if (!refuses(aTarget)) {
    return mByAddress.at(aTarget);
  }
  std::vector<std::string> others;
  std::ranges::remove_copy_if(
    aFrom.mAnswer, std::back_inserter(others), refuses);
  if (others.empty()) {
    return mByAddress.at(aTarget);
  }
  std::uniform_int_distribution<std::size_t> any(0, others.size() - 1);
  return mByAddress.at(others[any(mRandom)]);
}

void endpoint_model::Send(model_result& aResult)
{
  for (caller& from : mCallers) {
    if (mNow >= from.mAsksAt) {
      Ask(from);
    }
    const double bytes = from.mBytesPerSecond * kStepSeconds;
    aResult.mRequests += bytes;
    const std::vector<std::string> one{ from.mHost };
    const auto& targets = from.mKeepsToOneHost ? one : from.mAnswer;
    for (const std::string& target : targets) {
      host& to = mHosts[Connect(from, target)];
      const double part = bytes / static_cast<double>(targets.size());
      if (to.mRunning) {
        to.mBytes += part;
      } else {
        aResult.mLost += part;
      }
    }
  }
}

model_result endpoint_model::Run(milliseconds aTime)
{
  model_result result;
  const double mean = kBytesPerHost;
  for (const auto end = mNow + aTime; mNow < end; mNow += kStep, ++mStep) {
    Report();
    Send(result);
    for (host& entry : mHosts) {
      const double carried = std::min(entry.mLinkBytes * kPayloadShare,
                                      entry.mCores * kBytesPerCore) *
                             kStepSeconds * (1.0 - entry.mForeignUse);
      result.mAtFullHost += std::max(0.0, entry.mBytes - carried);
      entry.mSecondBytes += entry.mBytes;
      const double used = std::exchange(entry.mBytes, 0.0) / kStepSeconds;
      entry.mLinkUse +=
        0.5 * (std::min(1.0, used / entry.mLinkBytes + entry.mForeignUse) -
               entry.mLinkUse);
      host_measurement measured;
      measured.mLinkUse = entry.mLinkUse;
      measured.mProcessorUse =
        std::min(1.0, used / kBytesPerCore / entry.mCores + entry.mForeignUse);
      entry.mLoad->Update(measured, mNow);
      if (mStep % kStepsPerSecond == 0) {
        result.mWorstOverMean = std::max(
          result.mWorstOverMean, std::exchange(entry.mSecondBytes, 0.0) / mean);
      }
    }
  }
  return result;
}
