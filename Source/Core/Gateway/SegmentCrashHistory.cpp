#include "Gateway/SegmentCrashHistory.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Number of crashes from which on a segment is refused. Three may be chance for
// a segment that many requests share: a server that ends breaks all of them.
constexpr std::size_t kMaxCrashes = 4;
// Ends within this time count as one: a rack or a link takes several servers at
// once. A request that is repeated after a crash takes longer to reach the next
// server and crash it.
constexpr milliseconds kSameMoment(20);
// Crashes of a segment that another segment need not account for.
constexpr std::size_t kMaxUnexplained = 1;
// A segment is not suspected of crashes so soon after a complete response: a
// popular one is in progress on many servers when several fail.
constexpr seconds kServedTrustTime(2);
constexpr seconds kCrashTimeToLive(120);
// Time for which a segment is refused after its last crash. Responses are
// remembered as long, so that they refute late reports.
constexpr seconds kBlockTime(600);
// Time without crashes after which a refused segment is sent once more; doubled
// with each trial.
constexpr seconds kTrialDelay(20);
constexpr unsigned kMaxTrialDoublings = 5;
// Limits of the tables; a server that is lost breaks all its requests.
constexpr std::size_t kMaxSegments = 20000;
constexpr std::size_t kMaxServed = 20000;
// Ends of servers that are kept for one segment.
constexpr std::size_t kMaxRuns = 64;

} // namespace

bool segment_crash_history::Add(const segment_crash& aCrash, time_point aNow)
{
  if (!IsValid(aCrash.mSegment, aCrash.mServer, aCrash.mObservedAt) ||
      aNow >= aCrash.mObservedAt + kBlockTime) {
    return false;
  }
  if (mCrashes.size() >= kMaxSegments && !mCrashes.contains(aCrash.mSegment)) {
    DropSingleCrashes();
    if (mCrashes.size() >= kMaxSegments) {
      return false;
    }
  }
  server_runs& runs = mCrashes[aCrash.mSegment];
  const auto found = runs.find(aCrash.mServer);
  if (found == runs.end() && runs.size() >= kMaxRuns) {
    return false;
  }
  mSegmentsByServer[aCrash.mServer].insert(aCrash.mSegment);
  if (found == runs.end()) {
    runs.emplace(aCrash.mServer, aCrash.mObservedAt);
    return true;
  }
  const bool refuted = !IsValid(aCrash.mSegment, aCrash.mServer, found->second);
  if (refuted || aCrash.mObservedAt < found->second) {
    found->second = aCrash.mObservedAt;
  }
  return refuted;
}

bool segment_crash_history::OnServed(const segment_id& aSegment,
                                     time_point aServedAt)
{
  if (mServed.size() >= kMaxServed && !mServed.contains(aSegment)) {
    std::erase_if(mServed, [&](const auto& aPair) {
      return aPair.second + kServedTrustTime < aServedAt &&
             !mCrashes.contains(aPair.first);
    });
    if (mServed.size() >= kMaxServed) {
      mServed.clear();
    }
  }
  time_point& served = mServed[aSegment];
  served = std::max(served, aServedAt);
  return mCrashes.contains(aSegment);
}

std::optional<time_point> segment_crash_history::RefutedAt(
  const segment_id& aSegment,
  time_point aObservedAt) const
{
  const auto served = mServed.find(aSegment);
  if (served == mServed.end() ||
      aObservedAt > served->second + kServedTrustTime) {
    return std::nullopt;
  }
  return served->second;
}

bool segment_crash_history::IsValid(const segment_id& aSegment,
                                    const server_run& aServer,
                                    time_point aObservedAt) const
{
  return !RefutedAt(aSegment, aObservedAt) &&
         !mLiveness.WasAlive(aServer, aObservedAt);
}

bool segment_crash_history::IsExpired(const server_runs& aRuns, time_point aNow)
{
  time_point last;
  for (const auto& [run, at] : aRuns) {
    last = std::max(last, at);
  }
  const bool several = aRuns.size() >= kMaxCrashes;
  return aNow >= last + (several ? kBlockTime : kCrashTimeToLive);
}

bool segment_crash_history::EndedUnder(const segment_id& aSegment,
                                       const server_run& aRun) const
{
  const server_runs& runs = mCrashes.at(aSegment);
  const auto found = runs.find(aRun);
  return found != runs.end() && IsValid(aSegment, aRun, found->second);
}

std::size_t segment_crash_history::CountMoments(const segment_id& aSegment,
                                                const server_runs& aRuns,
                                                const segment_id* aOther) const
{
  std::vector<time_point> ends;
  for (const auto& [run, at] : aRuns) {
    if (IsValid(aSegment, run, at) &&
        (aOther == nullptr || !EndedUnder(*aOther, run))) {
      ends.push_back(at);
    }
  }
  std::ranges::sort(ends);
  std::size_t moments = 0;
  time_point from;
  for (const time_point end : ends) {
    if (moments == 0 || end >= from + kSameMoment) {
      ++moments;
      from = end;
    }
  }
  return moments;
}

std::size_t segment_crash_history::CrashCount(const segment_id& aSegment,
                                              time_point aNow) const
{
  const auto found = mCrashes.find(aSegment);
  if (found == mCrashes.end() || IsExpired(found->second, aNow)) {
    return 0;
  }
  return CountMoments(aSegment, found->second);
}

bool segment_crash_history::IsExplained(
  const segment_id& aSegment,
  const server_runs& aRuns,
  std::span<const segment_id> aRequest) const
{
  std::set<segment_id> others;
  for (const auto& [run, at] : aRuns) {
    const auto segments = mSegmentsByServer.find(run);
    if (segments != mSegmentsByServer.end()) {
      others.insert(segments->second.begin(), segments->second.end());
    }
  }
  return std::ranges::any_of(others, [&](const segment_id& aOther) {
    return std::ranges::find(aRequest, aOther) == aRequest.end() &&
           CountMoments(aOther, mCrashes.at(aOther)) >= kMaxCrashes &&
           CountMoments(aSegment, aRuns, &aOther) <= kMaxUnexplained;
  });
}

segment_judgement segment_crash_history::Judge(
  std::span<const segment_id> aSegments,
  time_point aNow) const
{
  segment_judgement judgement;
  for (const segment_id& segment : aSegments) {
    const std::size_t crashes = CrashCount(segment, aNow);
    if (crashes + 1 < kMaxCrashes) {
      continue;
    }
    judgement.mSuspects.push_back(segment);
    segment_verdict verdict = segment_verdict::SendAlone;
    if (crashes >= kMaxCrashes &&
        !IsExplained(segment, mCrashes.at(segment), aSegments)) {
      if (!IsTrialDue(segment, mCrashes.at(segment), aNow)) {
        return { segment_verdict::Refuse, {} };
      }
      verdict = segment_verdict::SendTrial;
    }
    judgement.mVerdict = std::max(judgement.mVerdict, verdict);
  }
  return judgement;
}

void segment_crash_history::SetNodes(std::string aSelf,
                                     std::vector<std::string> aPeers)
{
  mSelf = std::move(aSelf);
  mPeers = std::move(aPeers);
}

bool segment_crash_history::IsTrialDue(const segment_id& aSegment,
                                       const server_runs& aRuns,
                                       time_point aNow) const
{
  if (mSelf.empty()) {
    return false;
  }
  time_point last;
  for (const auto& [run, at] : aRuns) {
    last = std::max(last, at);
  }
  auto delay = kTrialDelay;
  const auto trial = mTrials.find(aSegment);
  if (trial != mTrials.end()) {
    last = std::max(last, trial->second.mLastAt);
    delay *= 1U << std::min(trial->second.mCount, kMaxTrialDoublings);
  }
  if (aNow < last + delay) {
    return false;
  }
  // All nodes choose the same one.
  return RendezvousRank(FormatWide(aSegment), mSelf, mPeers) == 0;
}

void segment_crash_history::OnTrial(std::span<const segment_id> aSegments,
                                    time_point aNow)
{
  for (const segment_id& segment : aSegments) {
    if (CrashCount(segment, aNow) >= kMaxCrashes) {
      trials& trial = mTrials[segment];
      trial.mLastAt = aNow;
      ++trial.mCount;
    }
  }
}

std::vector<segment_crash> segment_crash_history::Crashes(
  const segment_id& aSegment) const
{
  std::vector<segment_crash> crashes;
  const auto found = mCrashes.find(aSegment);
  if (found != mCrashes.end()) {
    for (const auto& [run, at] : found->second) {
      if (IsValid(aSegment, run, at)) {
        crashes.push_back({ aSegment, run, at });
      }
    }
  }
  return crashes;
}

std::vector<segment_crash> segment_crash_history::RepeatedCrashes(
  std::size_t aMaxCount) const
{
  std::vector<std::pair<std::size_t, segment_id>> repeated;
  for (const auto& [segment, runs] : mCrashes) {
    const std::size_t count = runs.size() < 2 ? 0 : CountMoments(segment, runs);
    if (count >= 2) {
      repeated.emplace_back(count, segment);
    }
  }
  std::ranges::sort(repeated, std::greater());
  std::vector<segment_crash> crashes;
  for (const auto& [count, segment] : repeated) {
    for (const segment_crash& crash : Crashes(segment)) {
      if (crashes.size() == aMaxCount) {
        return crashes;
      }
      crashes.push_back(crash);
    }
  }
  return crashes;
}

std::vector<segment_id> segment_crash_history::Expire(time_point aNow)
{
  std::vector<segment_id> dropped;
  for (auto& [segment, runs] : mCrashes) {
    const bool expired = IsExpired(runs, aNow);
    std::erase_if(runs, [&, &content = segment](const auto& aPair) {
      if (!expired && IsValid(content, aPair.first, aPair.second)) {
        return false;
      }
      RemoveFromServer(content, aPair.first);
      return true;
    });
    if (runs.empty()) {
      dropped.push_back(segment);
    }
  }
  for (const segment_id& segment : dropped) {
    mCrashes.erase(segment);
    mTrials.erase(segment);
  }
  std::erase_if(mServed, [aNow](const auto& aPair) {
    return aNow >= aPair.second + kBlockTime;
  });
  return dropped;
}

void segment_crash_history::RemoveFromServer(const segment_id& aSegment,
                                             const server_run& aServer)
{
  const auto found = mSegmentsByServer.find(aServer);
  if (found != mSegmentsByServer.end()) {
    found->second.erase(aSegment);
    if (found->second.empty()) {
      mSegmentsByServer.erase(found);
    }
  }
}

void segment_crash_history::DropSingleCrashes()
{
  std::erase_if(mCrashes, [this](const auto& aPair) {
    if (aPair.second.size() > 1) {
      return false;
    }
    for (const auto& [run, at] : aPair.second) {
      RemoveFromServer(aPair.first, run);
    }
    return true;
  });
}
