#include "Gateway/CrashExchange.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "Common/Log.h"

namespace {

using std::chrono::milliseconds;

// Time for which news is repeated, so that single lost datagrams do not matter.
constexpr milliseconds kNewsTime(1000);
// Limit of the entries of a notice, so that it fits an unfragmented datagram.
constexpr std::size_t kMaxNoticeEntries = 24;
// Interval at which reports of requests with several crashes are repeated for
// nodes that started or were cut off, and the limit of these reports.
constexpr milliseconds kRepeatInterval(1000);
constexpr std::size_t kMaxRepeatedReports = 48;
// Time for which the end of a server waits for bytes from the server on other
// connections, and the age from which on bytes were sent after the end.
constexpr milliseconds kSignOfLifeTimeout(100);
constexpr milliseconds kMaxByteAge(30);
// Time after which a crash is confirmed without a byte of a server. A host that
// has lost its links knows it by then.
constexpr milliseconds kConfirmTimeout(1000);
// Limit of the crashes that wait for confirmation. A host that loses its links
// breaks every request that it has sent.
constexpr std::size_t kMaxSuspected = 1000;

crash_notice& LastNotice(std::vector<crash_notice>& aNotices)
{
  if (aNotices.empty() || aNotices.back().mReports.size() +
                              aNotices.back().mServed.size() +
                              aNotices.back().mSegments.size() +
                              aNotices.back().mServedSegments.size() >=
                            kMaxNoticeEntries) {
    aNotices.emplace_back();
  }
  return aNotices.back();
}

milliseconds AgeOf(time_point aTime, time_point aNow)
{
  return std::chrono::duration_cast<milliseconds>(aNow - aTime);
}

crash_report ReportOf(const observed_crash& aCrash)
{
  return { aCrash.mRequest.mContent,
           aCrash.mServer,
           aCrash.mObservedAt,
           aCrash.mLastByte.has_value() };
}

/// Divides reports among notices that fit a datagram.
std::vector<crash_notice> Split(const std::vector<crash_report>& aReports,
                                const std::vector<served_report>& aServed,
                                time_point aNow)
{
  std::vector<crash_notice> notices;
  for (const crash_report& report : aReports) {
    LastNotice(notices).mReports.push_back({ report.mRequest,
                                             report.mServer,
                                             AgeOf(report.mObservedAt, aNow),
                                             report.mSilent });
  }
  for (const served_report& served : aServed) {
    LastNotice(notices).mServed.push_back(
      { served.mRequest, AgeOf(served.mServedAt, aNow) });
  }
  return notices;
}

/// Appends the crash of a prompt segment to the last notice with room for it.
void Append(std::vector<crash_notice>& aNotices,
            const segment_crash& aCrash,
            time_point aNow)
{
  LastNotice(aNotices).mSegments.push_back(
    { aCrash.mSegment, aCrash.mServer, AgeOf(aCrash.mObservedAt, aNow) });
}

void Append(std::vector<crash_notice>& aNotices,
            const segment_id& aServedSegment,
            time_point aServedAt,
            time_point aNow)
{
  LastNotice(aNotices).mServedSegments.push_back(
    { aServedSegment, AgeOf(aServedAt, aNow) });
}

} // namespace

crash_exchange::crash_exchange(crash_history& aHistory,
                               segment_crash_history& aSegments,
                               gateway_metrics& aMetrics,
                               row_store& aStore,
                               const time_source& aTime,
                               std::string aRun)
  : mHistory(aHistory)
  , mSegments(aSegments)
  , mMetrics(aMetrics)
  , mStore(aStore)
  , mTime(aTime)
  , mRun(std::move(aRun))
{
}

crash_exchange::~crash_exchange()
{
  *mAlive = false;
}

bool crash_exchange::Add(const char* aSource,
                         const crash_report& aReport,
                         time_point aNow)
{
  if (!mHistory.Add(aReport, aNow)) {
    return false;
  }
  mMetrics.OnCrashReport(aSource);
  Log(log_level::Info,
      "crash_known",
      { Field("source", aSource),
        Field("fingerprint", FormatWide(aReport.mRequest)),
        Field("server_run", FormatServerRun(aReport.mServer)),
        Field("known_crashes", mHistory.CrashCount(aReport.mRequest, aNow)) });
  return true;
}

bool crash_exchange::Add(const char* aSource,
                         const segment_crash& aCrash,
                         time_point aNow)
{
  if (!mSegments.Add(aCrash, aNow)) {
    return false;
  }
  mMetrics.OnSegmentCrash(aSource);
  const std::size_t crashes = mSegments.CrashCount(aCrash.mSegment, aNow);
  // Each server that ends brings one crash for every segment on it.
  if (crashes > 1) {
    Log(log_level::Info,
        "segment_crash_known",
        { Field("source", aSource),
          Field("segment", FormatWide(aCrash.mSegment)),
          Field("server_run", FormatServerRun(aCrash.mServer)),
          Field("known_crashes", crashes) });
  }
  return true;
}

void crash_exchange::Suspect(const observed_crash& aCrash)
{
  const time_point now = mTime.Now();
  Add("own", ReportOf(aCrash), now);
  if (mSuspected.size() < kMaxSuspected) {
    mSuspected.emplace_back(aCrash, now + kConfirmTimeout);
  }
}

void crash_exchange::ReviewSuspected(
  time_point aLastByteAt,
  bool aCutOff,
  const std::function<bool(const server_run&)>& aRunsOn)
{
  const time_point now = mTime.Now();
  std::erase_if(mSuspected, [&](const auto& aSuspected) {
    const auto& [crash, dueAt] = aSuspected;
    const time_point settledAt = crash.mObservedAt + kMaxByteAge;
    const bool linksWork = aLastByteAt >= settledAt;
    const bool runsOn =
      !crash.mLastByte && now >= settledAt && aRunsOn(crash.mServer);
    if (!linksWork && !runsOn && now < dueAt) {
      return false;
    }
    if (!runsOn && (linksWork || !aCutOff)) {
      Share(crash);
      return true;
    }
    Log(log_level::Info,
        "crash_withdrawn",
        { Field("fingerprint", FormatWide(crash.mRequest.mContent)),
          Field("server_run", FormatServerRun(crash.mServer)),
          Field("runs_on", runsOn) });
    mHistory.Withdraw(ReportOf(crash));
    return true;
  });
}

bool crash_exchange::IsSuspected(const crash_report& aReport) const
{
  return std::ranges::any_of(mSuspected, [&](const auto& aSuspected) {
    return ReportOf(aSuspected.first) == aReport;
  });
}

void crash_exchange::Report(const observed_crash& aCrash)
{
  Add("own", ReportOf(aCrash), mTime.Now());
  Share(aCrash);
}

void crash_exchange::Share(const observed_crash& aCrash)
{
  const time_point now = mTime.Now();
  const bool silent = aCrash.mLastByte.has_value();
  const crash_report report = ReportOf(aCrash);
  if (mHistory.Has(report)) {
    mNewReports.push_back(report);
    QueueRow(report);
  }
  for (const segment_id& segment : aCrash.mRequest.mSegments) {
    mPendingSegmentCrashes.emplace_back(
      segment_crash{ segment,
                     aCrash.mServer,
                     aCrash.mLastByte.value_or(aCrash.mObservedAt) },
      silent ? now : now + kSignOfLifeTimeout);
  }
}

void crash_exchange::OnByte(const server_run& aServer, time_point aSentAt)
{
  if (mPendingSegmentCrashes.empty() && mSuspected.empty()) {
    return;
  }
  const time_point now = mTime.Now();
  const auto isRefuted = [&](const auto& aCrash) {
    return aCrash.mServer == aServer && aSentAt < aCrash.mObservedAt &&
           now >= aCrash.mObservedAt + kMaxByteAge;
  };
  std::erase_if(mPendingSegmentCrashes, [&](const auto& aPending) {
    return isRefuted(aPending.first);
  });
  for (auto& [crash, dueAt] : mSuspected) {
    if (isRefuted(crash)) {
      crash.mRequest.mSegments.clear();
    }
  }
}

void crash_exchange::AddPending(time_point aNow)
{
  std::erase_if(mPendingSegmentCrashes, [&](const auto& aPending) {
    const auto& [crash, dueAt] = aPending;
    if (aNow < dueAt) {
      return false;
    }
    if (Add("own", crash, aNow)) {
      mNewSegmentCrashes.push_back(crash);
      QueueRow(crash.mSegment, aNow);
    }
    return true;
  });
}

void crash_exchange::OnServed(const request_fingerprint& aRequest)
{
  const time_point now = mTime.Now();
  if (mHistory.OnServed(aRequest.mContent, now)) {
    mNewServed.push_back({ aRequest.mContent, now });
  }
  OnAnswering(aRequest.mSegments);
}

void crash_exchange::OnAnswering(const std::vector<segment_id>& aSegments)
{
  const time_point now = mTime.Now();
  for (const segment_id& segment : aSegments) {
    QueueRowRemoval(segment, now);
    if (mSegments.OnServed(segment, now)) {
      mNewServedSegments[segment] = now;
    }
  }
}

std::vector<crash_notice> crash_exchange::TakeNews(time_point aNow)
{
  AddPending(aNow);
  auto notices = Split(mNewReports, mNewServed, aNow);
  for (const crash_report& report : mNewReports) {
    mRecentReports.emplace_back(report, aNow);
  }
  std::ranges::move(mNewServed, std::back_inserter(mRecentServed));
  mNewReports.clear();
  mNewServed.clear();
  for (const segment_crash& crash : mNewSegmentCrashes) {
    Append(notices, crash, aNow);
    mRecentSegmentCrashes.emplace_back(crash, aNow);
  }
  for (const auto& [segment, servedAt] : mNewServedSegments) {
    Append(notices, segment, servedAt, aNow);
    mRecentServedSegments[segment] = { servedAt, aNow + kNewsTime };
  }
  mNewSegmentCrashes.clear();
  mNewServedSegments.clear();
  return notices;
}

std::vector<crash_notice> crash_exchange::ComposeNotices(time_point aNow)
{
  std::erase_if(mRecentReports, [aNow](const auto& aRecent) {
    return aNow >= aRecent.second + kNewsTime;
  });
  std::erase_if(mRecentServed, [aNow](const served_report& aServed) {
    return aNow >= aServed.mServedAt + kNewsTime;
  });
  std::erase_if(mRecentSegmentCrashes, [aNow](const auto& aRecent) {
    return aNow >= aRecent.second + kNewsTime;
  });
  std::erase_if(mRecentServedSegments, [aNow](const auto& aServed) {
    return aNow >= aServed.second.second;
  });
  std::set<crash_report> reports;
  for (const auto& [report, sentAt] : mRecentReports) {
    reports.insert(report);
  }
  std::set<segment_crash> segments;
  for (const auto& [crash, sentAt] : mRecentSegmentCrashes) {
    segments.insert(crash);
  }
  if (aNow >= mNextRepeatAt) {
    mNextRepeatAt = aNow + kRepeatInterval;
    for (const crash_report& report :
         mHistory.RepeatedCrashes(kMaxRepeatedReports)) {
      if (!IsSuspected(report)) {
        reports.insert(report);
      }
    }
    for (const segment_crash& crash :
         mSegments.RepeatedCrashes(kMaxRepeatedReports)) {
      segments.insert(crash);
    }
  }
  auto notices = Split({ reports.begin(), reports.end() }, mRecentServed, aNow);
  for (const segment_crash& crash : segments) {
    Append(notices, crash, aNow);
  }
  for (const auto& [segment, served] : mRecentServedSegments) {
    Append(notices, segment, served.first, aNow);
  }
  return notices;
}

void crash_exchange::OnNotice(const crash_notice& aNotice, time_point aNow)
{
  for (const auto& response : aNotice.mServed) {
    mHistory.OnServed(response.mRequest, aNow - response.mAge);
  }
  for (const auto& report : aNotice.mReports) {
    Add("peer",
        crash_report{
          report.mRequest, report.mServer, aNow - report.mAge, report.mSilent },
        aNow);
  }
  for (const auto& response : aNotice.mServedSegments) {
    mSegments.OnServed(response.mSegment, aNow - response.mAge);
  }
  for (const auto& crash : aNotice.mSegments) {
    const time_point observedAt = aNow - crash.mAge;
    Add(
      "peer", segment_crash{ crash.mSegment, crash.mServer, observedAt }, aNow);
    // The sender has not seen the response that refutes the crash.
    if (const auto servedAt = mSegments.RefutedAt(crash.mSegment, observedAt)) {
      mRecentServedSegments[crash.mSegment] = { *servedAt, aNow + kNewsTime };
    }
  }
}

void crash_exchange::OnMaintenanceTick(time_point aNow)
{
  AddPending(aNow);
  ReviewRows(aNow);
  WriteRows(aNow);
}
