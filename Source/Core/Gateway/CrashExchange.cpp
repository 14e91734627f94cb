#include "Gateway/CrashExchange.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "Common/Log.h"
#include "Common/TextCodec.h"
#include "Gateway/FleetRows.h"

namespace {

using std::chrono::milliseconds;

// Most rows in one transaction of the store.
constexpr std::size_t kMaxRowsPerCommit = 100;
// Delay between two transactions of a node.
constexpr milliseconds kCommitInterval(500);
// Limit of rows to be written. Beyond it only reports of requests with an
// earlier crash are accepted, because a lost server breaks every request on it.
constexpr std::size_t kMaxPendingRows = 2000;

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
// Number of crashes of a segment from which on they are written to the store.
// Fewer refuse no request.
constexpr std::size_t kMinRowCrashes = 3;
// Limit of the crashes in a row; those that a reader lacks beyond it change
// nothing.
constexpr std::size_t kMaxRowCrashes = 16;

std::string RowKey(const crash_report& aReport)
{
  return fmt::format("{}{}/{}",
                     crash_exchange::kRowPrefix,
                     FormatWide(aReport.mRequest),
                     FormatServerRun(aReport.mServer));
}

std::optional<crash_report> ParseRowKey(std::string_view aKey, time_point aNow)
{
  aKey.remove_prefix(crash_exchange::kRowPrefix.size());
  const auto slash = aKey.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto request = ParseWide<content_tag>(aKey.substr(0, slash));
  const auto server = ParseServerRun(aKey.substr(slash + 1));
  if (!request || !server) {
    return std::nullopt;
  }
  return crash_report{ *request, *server, aNow };
}

std::string SegmentRowKey(const segment_id& aSegment)
{
  return fmt::format(
    "{}{}", crash_exchange::kSegmentRowPrefix, FormatWide(aSegment));
}

std::optional<segment_id> ParseSegmentRowKey(std::string_view aKey)
{
  if (!aKey.starts_with(crash_exchange::kSegmentRowPrefix)) {
    return std::nullopt;
  }
  aKey.remove_prefix(crash_exchange::kSegmentRowPrefix.size());
  return ParseWide<segment_tag>(aKey);
}

/// Crashes as `<server run>@<store clock in ms>`, one a line. The clock of the
/// store is the only one that nodes share.
std::string WriteSegmentRow(const std::vector<segment_crash>& aCrashes,
                            milliseconds aStoreClock,
                            time_point aNow)
{
  std::string text;
  for (const segment_crash& crash : aCrashes) {
    const auto age =
      std::chrono::duration_cast<milliseconds>(aNow - crash.mObservedAt);
    text += fmt::format(
      "{}@{}\n", FormatServerRun(crash.mServer), (aStoreClock - age).count());
  }
  return text;
}

/// Parses the text of `WriteSegmentRow`; skips malformed lines.
std::vector<segment_crash> ParseSegmentRow(const segment_id& aSegment,
                                           std::string_view aText,
                                           milliseconds aStoreClock,
                                           time_point aNow)
{
  std::vector<segment_crash> crashes;
  while (!aText.empty() && crashes.size() < kMaxRowCrashes) {
    const auto end = aText.find('\n');
    const std::string_view line = aText.substr(0, end);
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    const auto at = line.rfind('@');
    if (at == std::string_view::npos) {
      continue;
    }
    const auto server = ParseServerRun(line.substr(0, at));
    const auto clock = ParseDecimal<std::int64_t>(line.substr(at + 1));
    if (server && clock) {
      const milliseconds age = aStoreClock - milliseconds(*clock);
      crashes.push_back(
        { aSegment, *server, aNow - std::max(age, milliseconds(0)) });
    }
  }
  return crashes;
}

/// The first keys of a set, at most `aMaxCount`.
std::vector<std::string> FirstKeys(const std::set<std::string>& aKeys,
                                   std::size_t aMaxCount)
{
  const auto count =
    static_cast<std::ptrdiff_t>(std::min(aMaxCount, aKeys.size()));
  return { aKeys.begin(), std::next(aKeys.begin(), count) };
}

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

row_key FleetRow(const std::string& aKey)
{
  return { fleet_rows::kFleetTableName, "", aKey };
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

void crash_exchange::Report(const observed_crash& aCrash)
{
  const time_point now = mTime.Now();
  const crash_report report{
    aCrash.mRequest.mContent, aCrash.mServer, aCrash.mObservedAt, aCrash.mSilent
  };
  if (Add("own", report, now)) {
    mNewReports.push_back(report);
    QueueRow(report);
  }
  for (const segment_id& segment : aCrash.mRequest.mSegments) {
    mPendingSegmentCrashes.emplace_back(
      segment_crash{ segment,
                     aCrash.mServer,
                     aCrash.mLastByte.value_or(aCrash.mObservedAt) },
      aCrash.mSilent ? now : now + kSignOfLifeTimeout);
  }
}

void crash_exchange::OnByte(const server_run& aServer, time_point aSentAt)
{
  if (mPendingSegmentCrashes.empty()) {
    return;
  }
  const time_point now = mTime.Now();
  std::erase_if(mPendingSegmentCrashes, [&](const auto& aPending) {
    const segment_crash& crash = aPending.first;
    return crash.mServer == aServer && aSentAt < crash.mObservedAt &&
           now >= crash.mObservedAt + kMaxByteAge;
  });
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
    const bool hasRow = mSegments.CrashCount(segment, now) >= kMinRowCrashes;
    if (mSegments.OnServed(segment, now)) {
      mNewServedSegments[segment] = now;
    }
    if (hasRow) {
      // The node that wrote the row may have ended.
      mRemovals.insert(SegmentRowKey(segment));
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
      reports.insert(report);
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

void crash_exchange::QueueRow(const crash_report& aReport)
{
  const std::string key = RowKey(aReport);
  if (mWrites.size() >= kMaxPendingRows &&
      mHistory.CrashCount(aReport.mRequest, aReport.mObservedAt) < 2) {
    Log(log_level::Info,
        "crash_row_not_written",
        { Field("key", key), Field("error", "limit of rows") });
    return;
  }
  mRemovals.erase(key);
  mWrites.insert(key);
}

void crash_exchange::QueueRow(const segment_id& aSegment, time_point aNow)
{
  const std::size_t crashes = mSegments.CrashCount(aSegment, aNow);
  if (crashes < kMinRowCrashes) {
    return;
  }
  const std::string key = SegmentRowKey(aSegment);
  mRemovals.erase(key);
  mWrites.insert(key);
}

void crash_exchange::ApplyRow(std::string_view aKey, std::string_view aValue)
{
  if (aKey.starts_with(kSegmentRowPrefix)) {
    ApplySegmentRow(aKey, aValue);
    return;
  }
  const time_point now = mTime.Now();
  const auto report = ParseRowKey(aKey, now);
  if (!report) {
    Log(log_level::Info, "crash_row_unusable", { Field("key", aKey) });
    return;
  }
  Add("store", *report, now);
}

void crash_exchange::ApplySegmentRow(std::string_view aKey,
                                     std::string_view aValue)
{
  const time_point now = mTime.Now();
  const auto segment = ParseSegmentRowKey(aKey);
  const auto clock = mStore.Clock();
  if (!segment || !clock) {
    Log(log_level::Info, "crash_row_unusable", { Field("key", aKey) });
    return;
  }
  for (const segment_crash& crash :
       ParseSegmentRow(*segment, aValue, *clock, now)) {
    Add("store", crash, now);
  }
  if (mSegments.Crashes(*segment).empty()) {
    // Left behind by a node that ended.
    mRemovals.insert(std::string(aKey));
  }
}

std::optional<std::string> crash_exchange::RowValue(
  const std::string& aKey) const
{
  const auto segment = ParseSegmentRowKey(aKey);
  if (!segment) {
    return mRun;
  }
  auto crashes = mSegments.Crashes(*segment);
  const auto clock = mStore.Clock();
  if (crashes.empty() || !clock) {
    return std::nullopt;
  }
  // The latest crashes decide how long the segment is refused.
  std::ranges::sort(
    crashes, std::ranges::greater(), &segment_crash::mObservedAt);
  crashes.resize(std::min(crashes.size(), kMaxRowCrashes));
  return WriteSegmentRow(crashes, *clock, mTime.Now());
}

void crash_exchange::OnMaintenanceTick(time_point aNow)
{
  AddPending(aNow);
  ReviewRows(aNow);
  WriteRows(aNow);
}

void crash_exchange::ReviewRows(time_point aNow)
{
  std::vector<std::string> dropped;
  for (const crash_report& report : mHistory.Expire(aNow)) {
    dropped.push_back(RowKey(report));
  }
  for (const segment_id& segment : mSegments.Expire(aNow)) {
    dropped.push_back(SegmentRowKey(segment));
  }
  for (const std::string& key : dropped) {
    mWrites.erase(key);
    if (mWritten.contains(key)) {
      mRemovals.insert(key);
    }
  }
  const std::uint64_t era = mStore.Era();
  if (era > mStoreEra) {
    if (mStoreEra != 0 && !mWritten.empty()) {
      Log(log_level::Info,
          "crash_rows_written_again",
          { Field("rows", mWritten.size()), Field("era", era) });
      mWrites.insert(mWritten.begin(), mWritten.end());
    }
    mStoreEra = era;
  }
}

void crash_exchange::WriteRows(time_point aNow)
{
  if (mCommitting || aNow < mNextCommitAt ||
      (mWrites.empty() && mRemovals.empty())) {
    return;
  }
  const auto writes = FirstKeys(mWrites, kMaxRowsPerCommit);
  const auto removals = FirstKeys(mRemovals, kMaxRowsPerCommit - writes.size());
  row_transaction transaction;
  for (const std::string& key : writes) {
    const auto value = RowValue(key);
    if (!value) {
      continue;
    }
    transaction.mWrites.push_back({ FleetRow(key), *value });
    // The transaction may be applied although its reply is lost.
    mWritten.insert(key);
  }
  for (const std::string& key : removals) {
    transaction.mRemovals.push_back(FleetRow(key));
  }
  mCommitting = true;
  mStore.Commit(transaction,
                [this, alive = mAlive, writes, removals](auto aResult) {
                  if (!*alive) {
                    return;
                  }
                  mCommitting = false;
                  mNextCommitAt = mTime.Now() + kCommitInterval;
                  if (!aResult.has_value()) {
                    Log(log_level::Info,
                        "crash_rows_not_written",
                        { Field("rows", writes.size()),
                          Field("removed", removals.size()),
                          Field("error", RowStoreErrorName(aResult.error())) });
                    return;
                  }
                  for (const std::string& key : writes) {
                    mWrites.erase(key);
                  }
                  for (const std::string& key : removals) {
                    mRemovals.erase(key);
                    mWritten.erase(key);
                  }
                });
}
