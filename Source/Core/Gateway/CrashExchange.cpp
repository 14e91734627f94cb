#include "Gateway/CrashExchange.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "Common/Log.h"
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
  if (aNotices.empty() ||
      aNotices.back().mReports.size() + aNotices.back().mServed.size() >=
        kMaxNoticeEntries) {
    aNotices.emplace_back();
  }
  return aNotices.back();
}

/// Divides reports among notices that fit a datagram.
std::vector<crash_notice> Split(const std::vector<crash_report>& aReports,
                                const std::vector<served_report>& aServed,
                                time_point aNow)
{
  const auto age = [aNow](time_point aTime) {
    return std::chrono::duration_cast<milliseconds>(aNow - aTime);
  };
  std::vector<crash_notice> notices;
  for (const crash_report& report : aReports) {
    LastNotice(notices).mReports.push_back({ report.mRequest,
                                             report.mServer,
                                             age(report.mObservedAt),
                                             report.mSilent });
  }
  for (const served_report& served : aServed) {
    LastNotice(notices).mServed.push_back(
      { served.mRequest, age(served.mServedAt) });
  }
  return notices;
}

row_key FleetRow(const std::string& aKey)
{
  return { fleet_rows::kFleetTableName, "", aKey };
}

} // namespace

crash_exchange::crash_exchange(crash_history& aHistory,
                               gateway_metrics& aMetrics,
                               row_store& aStore,
                               const time_source& aTime,
                               std::string aRun)
  : mHistory(aHistory)
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

void crash_exchange::Report(const crash_report& aReport)
{
  if (Add("own", aReport, mTime.Now())) {
    mNewReports.push_back(aReport);
    QueueRow(aReport);
  }
}

void crash_exchange::OnServed(const content_id& aRequest)
{
  const time_point now = mTime.Now();
  if (mHistory.OnServed(aRequest, now)) {
    mNewServed.push_back({ aRequest, now });
  }
}

std::vector<crash_notice> crash_exchange::TakeNews(time_point aNow)
{
  auto notices = Split(mNewReports, mNewServed, aNow);
  for (const crash_report& report : mNewReports) {
    mRecentReports.emplace_back(report, aNow);
  }
  std::ranges::move(mNewServed, std::back_inserter(mRecentServed));
  mNewReports.clear();
  mNewServed.clear();
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
  std::set<crash_report> reports;
  for (const auto& [report, sentAt] : mRecentReports) {
    reports.insert(report);
  }
  if (aNow >= mNextRepeatAt) {
    mNextRepeatAt = aNow + kRepeatInterval;
    for (const crash_report& report :
         mHistory.RepeatedCrashes(kMaxRepeatedReports)) {
      reports.insert(report);
    }
  }
  return Split({ reports.begin(), reports.end() }, mRecentServed, aNow);
}

void crash_exchange::OnNotice(const crash_notice& aNotice, time_point aNow)
{
  for (const auto& response : aNotice.mServed) {
    mHistory.OnServed(response.mRequest, aNow - response.mAge);
  }
  for (const auto& report : aNotice.mReports) {
    Add("peer",
        { report.mRequest, report.mServer, aNow - report.mAge, report.mSilent },
        aNow);
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

void crash_exchange::ApplyRow(std::string_view aKey)
{
  const time_point now = mTime.Now();
  const auto report = ParseRowKey(aKey, now);
  if (!report) {
    Log(log_level::Info, "crash_row_unusable", { Field("key", aKey) });
    return;
  }
  Add("store", *report, now);
}

void crash_exchange::OnMaintenanceTick(time_point aNow)
{
  for (const crash_report& report : mHistory.Expire(aNow)) {
    const std::string key = RowKey(report);
    mWrites.erase(key);
    if (mWritten.contains(key)) {
      mRemovals.insert(key);
    }
  }
  WriteRows(aNow);
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
    transaction.mWrites.push_back({ FleetRow(key), mRun });
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
