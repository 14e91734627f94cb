// Parts of `crash_exchange` that share crashes through rows of the store.

#include "Gateway/CrashExchange.h"

#include <algorithm>
#include <iterator>

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

// Number of crashes of a segment from which on they are written to the store.
// Fewer refuse no request.
constexpr std::size_t kMinRowCrashes = 3;
// Limit of the crashes in a row; those that a reader lacks beyond it change
// nothing.
constexpr std::size_t kMaxRowCrashes = 16;
// Times of crashes in a row beyond these bounds, by the clock of the store, are
// implausible. The clock of a restored store may be behind.
constexpr std::chrono::hours kMaxClockLead(1);
constexpr std::chrono::hours kMaxCrashAge(24);

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
    if (server && clock && *clock >= 0 &&
        *clock <= (aStoreClock + kMaxClockLead).count()) {
      const milliseconds age = aStoreClock - milliseconds(*clock);
      if (age > kMaxCrashAge) {
        continue;
      }
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

row_key FleetRow(const std::string& aKey)
{
  return { fleet_rows::kFleetTableName, "", aKey };
}

} // namespace

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
  if (mSegments.CrashCount(aSegment, aNow) < kMinRowCrashes) {
    return;
  }
  const std::string key = SegmentRowKey(aSegment);
  mRemovals.erase(key);
  mWrites.insert(key);
}

void crash_exchange::QueueRowRemoval(const segment_id& aSegment,
                                     time_point aNow)
{
  // The node that wrote the row may have ended.
  if (mSegments.CrashCount(aSegment, aNow) >= kMinRowCrashes) {
    mRemovals.insert(SegmentRowKey(aSegment));
  }
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
