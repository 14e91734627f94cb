#include "Node/UpstreamWatch.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/Identity.h"

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

// A leaving host must get no new work later than 3 s after the first sign, so
// the host list is polled well within that time.
constexpr milliseconds kHostListInterval(1000);
// Engines are polled one at a time, so that the traffic of a node does not grow
// with their number.
constexpr milliseconds kMinEnginePollInterval(100);
// All nodes together poll 200 engines a second. With 340 nodes each node polls
// one engine every 1.7 s, about 500 B/s.
constexpr milliseconds kEnginePollIntervalPerNode(5);
constexpr milliseconds kEngineTimeout(1000);
constexpr std::string_view kPrefillRole = "prefill";

bool IsCount(const json& aBody, const char* aField)
{
  return aBody.contains(aField) && aBody.at(aField).is_number_unsigned();
}

std::uint32_t ReadCountOrZero(const json& aBody, const char* aField)
{
  return IsCount(aBody, aField) ? aBody.at(aField).get<std::uint32_t>() : 0;
}

void ReadModels(const json& aBody, load_report& aReport)
{
  if (!aBody.contains("models") || !aBody.at("models").is_array()) {
    return;
  }
  for (const json& model : aBody.at("models")) {
    if (model.is_string()) {
      aReport.mModels.push_back({ model.get<std::string>() });
    }
  }
}

/// Parses one event of an engine's prefix cache; false when it is malformed.
bool ReadCacheEvent(const json& aEvent, cache_events& aRead)
{
  const bool wellFormed =
    aEvent.is_object() && IsCount(aEvent, "sequence") &&
    aEvent.contains("kind") && aEvent.at("kind").is_string() &&
    aEvent.contains("block") && aEvent.at("block").is_string();
  if (!wellFormed) {
    return false;
  }
  const std::string padded =
    std::string(16, '0') + aEvent.at("block").get<std::string>();
  std::uint64_t high = 0;
  cache_change change;
  if (!ParseHex(padded, high, change.mBlock)) {
    return false;
  }
  change.mAction = aEvent.at("kind") == "stored" ? cache_action::Stored
                                                 : cache_action::Removed;
  aRead.mSequence = aEvent.at("sequence").get<std::uint64_t>();
  aRead.mChanges.push_back(change);
  return true;
}

} // namespace

bool ParseLoadReport(std::string_view aBody,
                     time_point aNow,
                     load_report& aReport)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object() || !IsCount(body, "running") ||
      !IsCount(body, "waiting")) {
    return false;
  }
  aReport.mMeasuredAt = aNow;
  aReport.mRunning = ReadCountOrZero(body, "running");
  aReport.mWaiting = ReadCountOrZero(body, "waiting");
  aReport.mSlots = ReadCountOrZero(body, "capacity");
  const bool prefill = body.contains("role") && body.at("role") == kPrefillRole;
  aReport.mRole = prefill ? upstream_role::Reserved : upstream_role::Serving;
  ReadModels(body, aReport);
  return true;
}

bool ParseCacheEvents(std::string_view aBody,
                      std::vector<cache_events>& aEvents)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("events") ||
      !body.at("events").is_array()) {
    return false;
  }
  for (const json& event : body.at("events")) {
    cache_events read;
    if (!ReadCacheEvent(event, read)) {
      return false;
    }
    aEvents.push_back(std::move(read));
  }
  return true;
}

upstream_watch::upstream_watch(host_list& aHosts,
                               http_client& aClient,
                               const time_source& aTime,
                               upstream_watch_handler& aHandler)
  : mHosts(aHosts)
  , mClient(aClient)
  , mTime(aTime)
  , mHandler(aHandler)
{
}

void upstream_watch::Tick(time_point aNow)
{
  if (aNow >= mNextFetch && !mFetchPending) {
    FetchHosts(aNow);
  }
  if (aNow >= mNextPoll && !mEngines.empty()) {
    PollNextEngine(aNow);
  }
}

void upstream_watch::SetEngines(std::map<upstream_id, std::string> aAddresses)
{
  mEngines = std::move(aAddresses);
}

void upstream_watch::Refresh()
{
  mListVersion = 0;
  mNextFetch = {};
}

void upstream_watch::FetchHosts(time_point aNow)
{
  mNextFetch = aNow + kHostListInterval;
  mFetchPending = true;
  mHosts.Fetch(
    mListVersion,
    [this](const result<host_list_snapshot, host_list_error>& aReply) {
      mFetchPending = false;
      if (aReply.has_value()) {
        mListVersion = aReply.value().mVersion;
        mHandler.OnHosts(aReply.value());
      }
    });
}

void upstream_watch::PollNextEngine(time_point aNow)
{
  mNextPoll = aNow + std::max(kMinEnginePollInterval,
                              kEnginePollIntervalPerNode * mNodeCount);
  auto next = mEngines.upper_bound(mLastPolled);
  if (next == mEngines.end()) {
    next = mEngines.begin();
  }
  mLastPolled = next->first;
  PollLoad(next->first, next->second);
  PollCacheEvents(next->first, next->second);
}

void upstream_watch::PollLoad(const upstream_id& aUpstream,
                              const std::string& aAddress)
{
  http_request request;
  request.mUrl = fmt::format("http://{}/v1/load", aAddress);
  request.mTimeout = kEngineTimeout;
  mClient.Send(
    request,
    mRequests,
    [this, aUpstream](const result<http_reply, http_failure>& aReply) {
      load_report report;
      const bool read =
        aReply.has_value() &&
        ParseLoadReport(aReply.value().mBody, mTime.Now(), report);
      if (read) {
        mHandler.OnLoad(aUpstream, report);
      }
    });
}

void upstream_watch::PollCacheEvents(const upstream_id& aUpstream,
                                     const std::string& aAddress)
{
  http_request request;
  request.mUrl = fmt::format(
    "http://{}/v1/cache_events?after={}", aAddress, mCacheSequence[aUpstream]);
  request.mTimeout = kEngineTimeout;
  mClient.Send(
    request,
    mRequests,
    [this, aUpstream](const result<http_reply, http_failure>& aReply) {
      std::vector<cache_events> events;
      const bool read =
        aReply.has_value() && ParseCacheEvents(aReply.value().mBody, events);
      if (!read) {
        // A restarted engine numbers its events from the start, so read them
        // all again.
        mCacheSequence[aUpstream] = 0;
        return;
      }
      for (const cache_events& event : events) {
        mCacheSequence[aUpstream] = event.mSequence;
        mHandler.OnCache(aUpstream, event);
      }
    });
}
